package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// appWorker is a stand-in for a worker of an application service. It runs some requests at once, queues a
// few more and rejects the rest with X-Not-Executed.
type appWorker struct {
	id           string
	slots, queue int
	work         time.Duration // mean
	// extraShare is the share of its answers of which it sends a second copy while the disruption is on, late: at
	// the point where the next answer on the channel is expected.
	extraShare float64

	d        *deployment
	listener net.Listener
	running  chan struct{} // holds an element for each request that runs

	mu       sync.Mutex
	admitted int // running and queued requests
	runs     map[string]int
	rejected int
	extras   int // extra answers that were sent
}

func startAppWorker(d *deployment, id string, slots, queue int, work time.Duration, extraShare float64) (*appWorker, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	w := &appWorker{id: id, slots: slots, queue: queue, work: work, extraShare: extraShare, d: d, listener: l,
		running: make(chan struct{}, slots), runs: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return w, nil
}

func (w *appWorker) address() string { return w.listener.Addr().String() }

// serve answers the requests of a channel, one at a time.
func (w *appWorker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	extra := "" // second copy of the last answer, to be sent late
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if extra != "" {
			w.mu.Lock()
			w.extras++
			w.mu.Unlock()
			w.d.logf("%s sends the extra copy of its last answer on a channel", w.id)
			if _, err := io.WriteString(c, extra); err != nil {
				return
			}
			extra = ""
		}
		answer := w.answer(req)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if w.d.troubled() && rand.Float64() < w.extraShare {
			extra = answer
		}
	}
}

// answer runs or rejects a request and returns the answer.
func (w *appWorker) answer(req *http.Request) string {
	id := req.Header.Get("X-Attempt-Id")
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.id)
	}
	w.mu.Lock()
	full := w.admitted >= w.slots+w.queue
	if full {
		w.rejected++
	} else {
		w.admitted++
	}
	w.mu.Unlock()
	if full {
		w.d.logf("%s rejects %s: 503, X-Not-Executed", w.id, id)
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Server-Load: %d,%d,%d\r\nContent-Length: 0\r\n\r\n", id, w.slots, w.queue, w.slots)
	}
	w.running <- struct{}{}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.d.logf("%s runs %s", w.id, id)
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(w.work)))
	<-w.running
	w.mu.Lock()
	w.admitted--
	waiting := max(0, w.admitted-w.slots)
	w.mu.Unlock()
	body := "done " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\nX-Server-Load: %d,%d,%d\r\nContent-Length: %d\r\n\r\n%s",
		id, w.id, id, len(w.running), waiting, w.slots, len(body), body)
}
