package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// runStreamWorker is the program of a stand-in for a model worker. It prints its address, and a line for each
// request that it runs. It exits at SIGTERM, in the middle of what it sends, as a process does whose machine
// is taken away.
func runStreamWorker(args []string) int {
	flags := flag.NewFlagSet("stream-worker", flag.ExitOnError)
	id := flags.String("id", "", "instance ID")
	events := flags.Int("events", 0, "events of a stream")
	interval := flags.Duration("interval", 0, "time between two events")
	unframedOneIn := flags.Int64("unframed-one-in", 0, "one in this many answers has no length and ends with its channel")
	_ = flags.Parse(args) // exits on an error
	l, err := listen()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	fmt.Println("address", l.Addr())
	w := &streamWorker{id: *id, events: *events, interval: *interval, unframedOneIn: *unframedOneIn}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	<-stop
	return exitHeld
}

type streamWorker struct {
	id            string
	events        int
	interval      time.Duration
	unframedOneIn int64
	answers       atomic.Int64
}

// serve answers the requests of a channel, one at a time.
func (w *streamWorker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !w.answer(c, r, req) {
			return
		}
	}
}

// answer sends the answer to a request, and reports whether the channel may be kept.
func (w *streamWorker) answer(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	if expected := req.Header.Get("X-Expect-Instance"); expected != w.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.id)
		return err == nil
	}
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 if absent
	unframed := w.unframedOneIn > 0 && w.answers.Add(1)%w.unframedOneIn == 0
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		framing = "Connection: close\r\n"
	}
	fmt.Printf("runs %s from event %d, unframed: %t\n", id, last+1, unframed)
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\n%s\r\n", id, w.id, id, framing); err != nil {
		return false
	}
	gone := make(chan struct{})
	go func() { // the caller sends nothing more until the answer is complete, so this ends when it closes
		_, _ = r.Peek(1)
		close(gone)
	}()
	for n := last + 1; n <= w.events; n++ {
		select {
		case <-gone:
			return false
		case <-time.After(w.interval):
		}
		event := fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(c, event); err != nil {
			return false
		}
	}
	if !unframed {
		_, _ = io.WriteString(c, "0\r\n\r\n") // the channel is closed in any case, as gone may still read
	}
	return false
}

// streamWorkerProcess is a stream worker that runs as a process of its own.
type streamWorkerProcess struct {
	id, zone, address string
	cmd               *exec.Cmd
	exited            chan struct{}
}

// startStreamWorker starts a stream worker and logs what it runs.
func (d *deployment) startStreamWorker(id, zone string, args ...string) (*streamWorkerProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	w := &streamWorkerProcess{id: id, zone: zone, exited: make(chan struct{})}
	w.cmd = exec.Command(self, append([]string{"stream-worker", "-id", id}, args...)...)
	w.cmd.Stderr = os.Stderr
	w.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := w.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := w.cmd.Start(); err != nil {
		return nil, err
	}
	d.workers = append(d.workers, w)
	lines := bufio.NewScanner(output)
	if lines.Scan() {
		w.address = strings.TrimPrefix(lines.Text(), "address ")
	}
	go func() {
		for lines.Scan() {
			d.logf("%s %s", id, lines.Text())
		}
		_ = w.cmd.Wait()
		d.logf("%s has exited", id)
		close(w.exited)
	}()
	if w.address == "" {
		return nil, fmt.Errorf("%s has no address", id)
	}
	return w, nil
}

// stop makes the worker exit.
func (w *streamWorkerProcess) stop() { _ = w.cmd.Process.Signal(syscall.SIGTERM) }
