package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Dimensions of the case leaving-worker.
const (
	llmService       = "huvo11a"
	llmWorkers       = 10
	llmSlots         = 64
	streamEvents     = 64
	streamInterval   = 150 * time.Millisecond
	streamsPerSecond = 36
	streamDeadline   = 15 * time.Second
	// unframedOneIn: one in this many answers of a worker has no length.
	unframedOneIn = 20
	// The workers that leave: leavers at each of leaveAt. Each exits drainTime after the store has accepted its report.
	leavers     = 2
	drainTime   = 2600 * time.Millisecond
	trafficTime = 24 * time.Second
)

// leaveAt are the times, from the start of traffic, at which workers leave.
var leaveAt = []time.Duration{8 * time.Second, 14 * time.Second}

// streamResult is what a consumer got of a stream.
type streamResult struct {
	id       string
	status   int
	events   int  // events received, in order from 1
	inOrder  bool // whether each event followed the one before
	complete bool // whether the answer ended as its framing requires
}

// runLeavingWorker plays a model service of which workers are emptied and taken away while they stream.
func runLeavingWorker(d *deployment) (bool, error) {
	var workers []*streamWorkerProcess
	for i := range llmWorkers {
		w, err := d.startStreamWorker(fmt.Sprintf("i-llm%d", i+1), fmt.Sprintf("zone-%d", i%3+1), "-events", strconv.Itoa(streamEvents),
			"-interval", streamInterval.String(), "-unframed-one-in", strconv.Itoa(unframedOneIn))
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
		d.publishServer(w.id, llmService, w.address, w.zone, "ready", llmSlots)
	}
	d.publishConfig(7, []any{map[string]any{"name": "r-report", "host": consumerHost, "path_prefix": "/lohu930/", "kind": "streaming",
		"timeout_ms": 15000, "target_latency_ms": 2500, "target_gap_ms": 800, "priority": 2, "service": llmService, "max_attempts": 2,
		"anonymous_access": false, "session_affinity": true, "stream_resumption": true}},
		[]any{map[string]any{"name": llmService, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": llmSlots, "kv_capacity_tokens": 578983, "stride": 6, "models": []any{map[string]any{"name": "m"}}}}})
	for i := range 3 {
		if err := d.startGateway(fmt.Sprintf("zone-%d", i+1)); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second) // until the gateways know each other
	var leaving sync.WaitGroup
	if d.trouble {
		leaving.Go(func() { d.scaleIn(workers) })
	}
	results := d.sendStreams()
	leaving.Wait()
	wrong, complete, broken := 0, 0, 0
	answers := map[int]int{}
	for _, s := range results {
		answers[s.status]++
		switch {
		case s.status != http.StatusOK:
		case !s.complete:
			broken++
		case s.events == streamEvents && s.inOrder:
			complete++
		default:
			wrong++
			d.summaryf("ORDER: the stream %s ended as complete after %d of %d events (in order: %t)", s.id, s.events, streamEvents, s.inOrder)
		}
	}
	d.summaryf("%d streams, answers by status: %v; whole: %d, visibly broken off: %d, ended as complete before the last event: %d", len(results), answers, complete, broken, wrong)
	if complete == 0 {
		return false, errors.New("no stream was complete")
	}
	return wrong == 0, nil
}

// scaleIn takes workers away: each reports that it is draining, serves on for drainTime and exits.
func (d *deployment) scaleIn(workers []*streamWorkerProcess) {
	began := time.Now()
	for i, at := range leaveAt {
		time.Sleep(time.Until(began.Add(at)))
		group := workers[i*leavers : (i+1)*leavers]
		for _, w := range group {
			d.publishServer(w.id, llmService, w.address, w.zone, "draining", llmSlots)
		}
		time.Sleep(drainTime)
		for _, w := range group {
			w.stop()
			<-w.exited
			d.removeServer(w.id)
		}
	}
}

// sendStreams sends requests to the gateways at random times and returns what the consumers got.
func (d *deployment) sendStreams() []streamResult {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 200}, Timeout: streamDeadline}
	var (
		mu   sync.Mutex
		done []streamResult
		all  sync.WaitGroup
	)
	next := time.Now()
	end := next.Add(trafficTime)
	for n := 0; next.Before(end); n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / streamsPerSecond))
		time.Sleep(time.Until(next))
		g := d.gateways[n%len(d.gateways)]
		all.Go(func() {
			s := d.sendStream(client, g, fmt.Sprintf("%08x%08x", rand.Uint32(), n))
			mu.Lock()
			done = append(done, s)
			mu.Unlock()
		})
	}
	all.Wait()
	return done
}

// sendStream sends one request and reads its stream.
func (d *deployment) sendStream(client *http.Client, g *gatewayProcess, id string) streamResult {
	s := streamResult{id: id, inOrder: true}
	req, err := http.NewRequest(http.MethodPost, "http://"+g.front()+"/lohu930/2f", strings.NewReader("prompt "+id))
	if err != nil {
		return s
	}
	req.Host = consumerHost
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Api-Key", consumerKey)
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(streamDeadline.Milliseconds(), 10))
	req.Header.Set("X-Model", "m")
	req.Header.Set("X-Token-Count", "700,384")
	req.Header.Set("X-Prompt-Prefix", fmt.Sprintf("5c1e07a%x:400,%s:300", rand.IntN(8), id))
	d.logf("consumer sends %s to %s", id, g.name)
	resp, err := client.Do(req)
	if err != nil {
		d.logf("consumer gets no answer to %s: %v", id, err)
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	s.status = resp.StatusCode
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			number, _ := strconv.Atoi(strings.TrimSpace(text)) // 0 is out of order
			s.inOrder = s.inOrder && number == s.events+1
			s.events++
		}
		if err != nil {
			s.complete = errors.Is(err, io.EOF)
			d.logf("consumer got %d for %s: %d events, complete: %t", s.status, id, s.events, s.complete)
			return s
		}
	}
}
