package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Dimensions of the case reset-answer.
const (
	uploadWorkers   = 7
	faultyWorkers   = 3
	uploadBytes     = 2 << 20 // half of the configuration's max_body_bytes
	uploadsPerGroup = 2       // consumers of a gateway that upload at the same time
	uploadsTime     = 30 * time.Second
	answerParts     = 8
	answerPartSize  = 100
	answerPause     = 10 * time.Millisecond
	// resetOneIn: one in this many answers of a faulty worker is reset on the way.
	resetOneIn = 20
)

// uploadWorker is a stand-in for a worker that answers before it has read a long body, with an answer that has
// no length and ends with its channel.
type uploadWorker struct {
	id         string
	resetOneIn int64 // one in this many answers is reset while the disruption is on; 0: none
	d          *deployment
	listener   net.Listener
	answers    atomic.Int64
	resets     atomic.Int64
}

// segmentBytes is the segment size of an Ethernet link. The loopback's of 64 KB would let a request of 2 MB fit in
// the buffers of its channel.
const segmentBytes = 1448

// listenWithEthernetSegments opens a listener whose channels have the segment size of an Ethernet link.
func listenWithEthernetSegments() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", "127.0.0.1:0")
}

func (w *uploadWorker) acceptAll() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

// part returns part n of the answer to a request.
func part(id string, n int) string {
	return strings.Repeat(fmt.Sprintf("%s %d ", id, n), answerPartSize)[:answerPartSize]
}

// wholeAnswer returns the body of the answer to a request.
func wholeAnswer(id string) string {
	var b strings.Builder
	for n := range answerParts {
		b.WriteString(part(id, n))
	}
	return b.String()
}

func (w *uploadWorker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	id := req.Header.Get("X-Attempt-Id")
	reset := w.resetOneIn > 0 && w.d.troubled() && w.answers.Add(1)%w.resetOneIn == 0
	w.d.logf("%s runs %s, reset: %t", w.id, id, reset)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\nConnection: close\r\n\r\n", id, w.id, id); err != nil {
		return
	}
	for n := range answerParts {
		if reset && n == answerParts/2 {
			w.resets.Add(1)
			w.d.logf("%s resets the channel of %s after %d of %d bytes", w.id, id, n*answerPartSize, answerParts*answerPartSize)
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := io.WriteString(c, part(id, n)); err != nil {
			return
		}
		time.Sleep(answerPause)
	}
	// Reads on, so that the end of the channel is not a reset.
	_, _ = io.Copy(io.Discard, req.Body)
}

// runResetAnswer plays long uploads to a service whose workers answer early. Some workers reset a few channels.
func runResetAnswer(d *deployment) (bool, error) {
	var workers []*uploadWorker
	for i := range uploadWorkers {
		l, err := listenWithEthernetSegments()
		if err != nil {
			return false, err
		}
		w := &uploadWorker{id: fmt.Sprintf("i-app%d", i+1), d: d, listener: l}
		if i < faultyWorkers {
			w.resetOneIn = resetOneIn
		}
		go w.acceptAll()
		workers = append(workers, w)
		d.publishServer(w.id, appService, l.Addr().String(), fmt.Sprintf("zone-%d", i+1), "ready", appSlots)
	}
	d.publishConfig(7, []any{map[string]any{"name": "r-upload", "host": consumerHost, "path_prefix": "/puxa403/", "kind": "non_idempotent",
		"timeout_ms": 4000, "target_latency_ms": 300, "priority": 2, "service": appService, "max_attempts": 1, "anonymous_access": false}},
		[]any{map[string]any{"name": appService, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}})
	for i := range 3 {
		if err := d.startGateway(fmt.Sprintf("zone-%d", i+1)); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	d.beginTraffic()
	body := strings.Repeat("x", uploadBytes)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: consumerDeadline}
	answers := map[string]int{}
	wrong := 0
	var mu sync.Mutex
	var all sync.WaitGroup
	end := time.Now().Add(uploadsTime)
	for _, g := range d.gateways {
		for range uploadsPerGroup {
			all.Go(func() {
				for time.Now().Before(end) {
					id := fmt.Sprintf("%016x", rand.Uint64())
					outcome, ok := d.upload(client, g, id, body)
					mu.Lock()
					answers[outcome]++
					if !ok {
						wrong++
					}
					mu.Unlock()
				}
			})
		}
	}
	all.Wait()
	for _, w := range workers {
		d.summaryf("%s: %d channels reset", w.id, w.resets.Load())
	}
	d.summaryf("answers by kind: %v; successes with a part of the body: %d", answers, wrong)
	if answers["200 whole"] == 0 {
		return false, errors.New("no answer was whole")
	}
	return wrong == 0, nil
}

// upload sends one request and describes its answer. ok is false if the answer is a complete success without the
// whole body.
func (d *deployment) upload(client *http.Client, g *gatewayProcess, id, body string) (outcome string, ok bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+g.front()+"/puxa403/2f", strings.NewReader(body))
	if err != nil {
		return "invalid", true
	}
	req.Host = consumerHost
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Api-Key", consumerKey)
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(consumerDeadline.Milliseconds(), 10))
	d.logf("consumer sends %s with %d bytes to %s", id, len(body), g.name)
	resp, err := client.Do(req)
	if err != nil {
		d.logf("consumer gets no answer to %s: %v", id, err)
		return "none", true
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	seal := resp.Header.Get("X-Response-Seal")
	d.logf("consumer gets %d for %s, seal %q, %d bytes, error: %v", resp.StatusCode, id, seal, len(got), err)
	switch {
	case resp.StatusCode != http.StatusOK:
		return strconv.Itoa(resp.StatusCode), true
	case err != nil:
		return "200 broken off", true
	case string(got) == wholeAnswer(id):
		return "200 whole", true
	}
	d.summaryf("MIXED: %s got 200 with the seal %q and %d of %d bytes, as a complete answer", id, seal, len(got), len(wholeAnswer(id)))
	return "200 cut", false
}
