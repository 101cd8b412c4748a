package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["endless-event"] = playEndlessEvent }

const (
	// memoryMB is limits.memory_mb: "A process that exceeds `memory_mb` is killed." memoryPoll is how often it is looked at.
	memoryMB, memoryPoll = 284, 20 * time.Millisecond
	// endlessBytesPerSecond is the rate of the faulty answer, 400 Mbit/s: two fifths of the link of the gateway, a fifth
	// of that of the worker.
	endlessBytesPerSecond = 50 << 20
	// keptChannels is the number of consumers that post receipts one after the other, each on a channel of its own.
	keptChannels = 14
	// receiptWork is the mean work of a receipt, receiptPause the mean time to the next one. Both are drawn, from half
	// to one and a half times as much, so that the consumers don't keep step.
	receiptWork, receiptPause = 60 * time.Millisecond, 10 * time.Millisecond
	calmTime                  = 6 * time.Second
	// tagGap is the time between two tags, short streams that go to the same workers: about 25 a second, as on the sheet.
	tagGap, tagEvents = 40 * time.Millisecond, 5
	// garbleTime and garbleShare are the limits of the site file: for how long workers garble answers, and how many of
	// their answers. A worker garbles one if it has given so many in that time that this is within the share.
	garbleTime, garbleShare = 5500 * time.Millisecond, 0.03
	reportLimit             = 15 * time.Second
	// reportGap is the gap after which a consumer abandons a report: four times its response-time goal.
	reportGap = 10 * time.Second
)

// endlessBlock is a part of an event: lines without the blank line that ends it.
var endlessBlock = strings.Repeat("data: "+strings.Repeat("x", 57)+"\n", 1024)

// answerEndless begins an event that does not end.
func answerEndless(x *exchange) bool {
	x.begin()
	x.worker.rec.printf("worker %s: the answer to %s is garbled, its first event does not end", x.worker.id, x.id)
	if _, err := fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\nid: 1\n\r\n", x.id, x.seal(), len("id: 1\n")); err != nil {
		return false
	}
	start, sent := time.Now(), 0
	for {
		if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(endlessBlock), endlessBlock); err != nil {
			x.worker.rec.printf("worker %s: the channel of %s has ended after %d MB", x.worker.id, x.id, sent>>20)
			return false
		}
		sent += len(endlessBlock)
		time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / endlessBytesPerSecond * float64(time.Second)))))
	}
}

// watchMemory kills the process of a gateway that exceeds its memory, as the platform does. It returns the largest
// size seen, in MB.
func watchMemory(f *fleet, g *gateway) (largest *atomic.Int64) {
	largest = &atomic.Int64{}
	go func() {
		for {
			select {
			case <-g.exited:
				return
			case <-time.After(memoryPoll):
			}
			mb := residentMB(g.cmd.Process.Pid)
			largest.Store(max(largest.Load(), mb))
			if mb > memoryMB {
				f.rec.printf("%s: the process has %d MB, more than memory_mb = %d: the platform kills it", g.name, mb, memoryMB)
				_ = g.cmd.Process.Kill() // it may have ended
				return
			}
		}
	}()
	return largest
}

// residentMB returns the resident memory of a process, 0 if it has ended.
func residentMB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(text))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize()) >> 20
}

// playEndlessEvent sends reports and tags. One answer of one worker is garbled: its first event does not end. Other
// consumers post receipts meanwhile, which go to sound workers.
func playEndlessEvent(rec *recorder, trouble bool) (string, error) {
	f, err := newFleet(rec, []map[string]any{
		route("puxa403", "non_idempotent", plainService, map[string]any{"timeout_ms": 1500, "target_latency_ms": 300}),
		route("lohu930", "streaming", modelService, map[string]any{"target_latency_ms": 2500, "target_gap_ms": 600, "max_attempts": 2,
			"priority": 2, "session_affinity": true, "stream_resumption": true}),
	})
	if err != nil {
		return "", err
	}
	defer f.close()
	sound := func(x *exchange) bool {
		x.begin()
		time.Sleep(around(receiptWork))
		return x.send(http.StatusOK, x.seal(), plainBody(x.id))
	}
	if err := f.addWorkers(3, plainService, sound); err != nil {
		return "", err
	}
	report, tag := answerStream(streamEvents, streamPause), answerStream(tagEvents, streamPause)
	var armed atomic.Bool              // set when the disruption begins
	garble := func(x *exchange) bool { // one answer of one worker, to a request that was sent to the first gateway
		switch {
		case !strings.HasPrefix(x.id, "tag"):
			return report(x)
		case strings.HasSuffix(x.id, "-0") && armed.Load() && x.worker.mayGarble() && armed.Swap(false):
			return answerEndless(x)
		}
		return tag(x)
	}
	if err := f.addWorkers(3, modelService, garble); err != nil {
		return "", err
	}
	if err := f.startGateways(3); err != nil {
		return "", err
	}
	g := f.gateways[0]
	largest := watchMemory(f, g)
	done := make(chan struct{})
	var (
		wg   sync.WaitGroup
		lost atomic.Int64
	)
	for i := range keptChannels {
		wg.Go(func() { lost.Add(int64(postReceipts(f, g, i, done))) })
	}
	for i := range 20 { // reports that are answered well
		wg.Go(func() {
			id := fmt.Sprintf("report%d", i)
			rec.printf("%s: %s", id, sendReport(g, id))
		})
	}
	wg.Go(func() { sendTags(f, done) })
	time.Sleep(calmTime)
	armed.Store(trouble)
	time.Sleep(reportGap)
	close(done)
	wg.Wait()
	rec.printf("%s: at most %d MB", g.name, largest.Load())
	if lost.Load() <= 3 {
		return "", nil
	}
	return fmt.Sprintf("LOST: the process was killed for its memory; %d requests from kept channels were passed on to sound workers, and their channels closed without an answer", lost.Load()), nil
}

// mayGarble reports whether one garbled answer is within the share of the answers that the worker has given.
func (w *worker) mayGarble() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	recent := 0
	for _, r := range w.runs {
		if time.Since(r.at) <= garbleTime {
			recent++
		}
	}
	w.rec.printf("worker %s has begun %d answers in the last %s", w.id, recent, garbleTime)
	return 1 <= garbleShare*float64(recent)
}

// sendTags sends tags, each on a new channel, to all gateways in turn until done is closed.
func sendTags(f *fleet, done <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(tagGap):
		}
		go func() {
			i := n % len(f.gateways)
			id, g := fmt.Sprintf("tag%d-%d", n, i), f.gateways[i]
			f.rec.printf("%s to %s: %s", id, g.name, sendReport(g, id))
		}()
	}
}

// sendReport sends a report on a new channel and reads the answer until the consumer would abandon it.
func sendReport(g *gateway, id string) answer {
	c, err := open(g.front)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.send(request("lohu930", id, "report", reportLimit, prompt(id)...), reportGap)
}

// postReceipts posts receipts on one channel until done is closed or the channel ends. It returns the number of
// requests, other than the first on the channel, that were passed on and got no answer.
func postReceipts(f *fleet, g *gateway, consumer int, done <-chan struct{}) int {
	c, err := open(g.front)
	if err != nil {
		return 0
	}
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-done:
			return 0
		case <-time.After(around(receiptPause)):
		}
		id := fmt.Sprintf("receipt%d-%d", consumer, n)
		a := c.send(request("puxa403", id, "receipt", 1500*time.Millisecond), 2*time.Second)
		f.rec.printf("%s to %s: %s", id, g.name, a)
		if a.err == nil {
			continue
		}
		passedOn := len(runsOf(f.workers, id)) > 0
		if a.status == 0 && n > 0 && passedOn && (a.err == io.EOF || a.err == io.ErrUnexpectedEOF || strings.Contains(a.err.Error(), "reset")) {
			return 1
		}
		return 0
	}
}

// around draws a duration from half to one and a half times the mean.
func around(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
