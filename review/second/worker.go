package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a worker.
type run struct {
	worker string
	id     string
	at     time.Time
}

// exchange is a request that a worker has read, with the channel on which it answers.
type exchange struct {
	worker *worker
	conn   net.Conn
	req    *http.Request
	id     string
	body   string
	gone   <-chan struct{} // closed when the caller has closed the channel
}

// worker is a stand-in for a worker of the platform. It checks X-Expect-Instance, echoes X-Attempt-Id and seals
// its answers. Answer decides what it sends; it reports whether the channel stays open.
type worker struct {
	id       string
	service  string
	zone     string
	listener net.Listener
	rec      *recorder
	answer   func(x *exchange) (keep bool)

	mu       sync.Mutex
	runs     []run
	arrivals int
}

// startWorker starts a worker on a free loopback port.
func startWorker(id, service, zone string, rec *recorder, answer func(x *exchange) bool) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, listener: listener, rec: rec, answer: answer}
	go w.accept()
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

func (w *worker) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(conn)
	}
}

// serve answers the requests of a channel, one at a time.
func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		x := &exchange{worker: w, conn: conn, req: req, id: req.Header.Get("X-Attempt-Id"), body: string(body)}
		w.mu.Lock()
		w.arrivals++
		w.mu.Unlock()
		if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
			if !x.send(http.StatusMisdirectedRequest, "", "") {
				return
			}
			continue
		}
		gone, stop := watchClose(conn, reader)
		x.gone = gone
		keep := w.answer(x)
		stop()
		if !keep {
			return
		}
	}
}

// watchClose closes the returned channel when the peer closes the connection. stop ends the watch; data that has
// arrived stays in the reader.
func watchClose(conn net.Conn, reader *bufio.Reader) (gone <-chan struct{}, stop func()) {
	closed, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		_, err := reader.Peek(1)
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			close(closed)
		}
	}()
	return closed, func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}

// begin records that the worker begins to run the request.
func (x *exchange) begin() {
	x.worker.mu.Lock()
	x.worker.runs = append(x.worker.runs, run{x.worker.id, x.id, time.Now()})
	x.worker.mu.Unlock()
	x.worker.rec.printf("worker %s runs %s (%s %s, X-Request-Deadline %s)", x.worker.id, x.id, x.req.Method, x.req.RequestURI, x.req.Header.Get("X-Request-Deadline"))
}

// seal returns the proof of the worker's answer.
func (x *exchange) seal() string {
	return fmt.Sprintf("X-Response-Seal: %s.%s\r\n", x.worker.id, x.id)
}

// send sends a whole answer and reports whether that succeeded.
func (x *exchange) send(status int, headers, body string) bool {
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), x.id, headers, len(body), body)
	return err == nil
}

// answerPlain is the answer of a sound worker of a plain service.
func answerPlain(x *exchange) bool {
	x.begin()
	time.Sleep(workTime)
	return x.send(http.StatusOK, x.seal(), plainBody(x.id))
}

// workTime is how long a plain request takes, as on the sheet.
const workTime = 15 * time.Millisecond

func plainBody(id string) string { return "receipt of " + id + strings.Repeat(".", 780) }

// event returns event n of a stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }

// answerStream returns the answer of a sound model worker: a stream of events with the given pause.
func answerStream(events int, pause time.Duration) func(x *exchange) bool {
	return func(x *exchange) bool {
		x.begin()
		if _, err := fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", x.id, x.seal()); err != nil {
			return false
		}
		for n := 1; n <= events; n++ {
			select {
			case <-x.gone:
				x.worker.rec.printf("worker %s: the channel of %s was closed before event %d of %d", x.worker.id, x.id, n, events)
				return false
			case <-time.After(pause):
			}
			text := event(x.id, n)
			if _, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				return false
			}
		}
		_, err := io.WriteString(x.conn, "0\r\n\r\n")
		x.worker.rec.printf("worker %s has sent all %d events of %s", x.worker.id, events, x.id)
		return err == nil
	}
}

// runsOf returns the runs of a request at any of the workers.
func runsOf(workers []*worker, id string) []run {
	var out []run
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			if r.id == id {
				out = append(out, r)
			}
		}
		w.mu.Unlock()
	}
	return out
}
