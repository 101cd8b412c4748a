// Package scripted is a stand-in for a backend server of the platform that follows a script. For each request the
// script decides whether the server runs it, what it answers, and which bytes that belong to no request it sends
// besides. The server counts the runs of each request.
package scripted

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

// Arrival is a request that has arrived at a server.
type Arrival struct {
	ID string
	// Earlier is the number of times that the request has arrived at this server before.
	Earlier int
	// Exchange is the number of the request on its connection, 1 for the first.
	Exchange int
}

// Step is what a server does with a request.
type Step struct {
	Runs bool
	// Status is the status of the answer, or 0 if the server does not answer.
	Status int
	// NotExecuted adds X-Not-Executed to the answer.
	NotExecuted bool
	// Unsealed omits X-Response-Seal, which only the answers of runs have.
	Unsealed bool
	// OmitID omits X-Attempt-Id from the answer.
	OmitID bool
	// Events is the number of events of a streamed answer, 0 for a plain one. A resumed stream begins with the event
	// after the request's Last-Event-Id. CutAfter, if positive, is the event after which the connection ends.
	Events, CutAfter int
	// AfterEvents follows the last event that is sent.
	AfterEvents string
	Delay       time.Duration // time from the arrival to the answer
	Ending      Ending
	// Copies are sent besides the answer.
	Copies []Copy
}

// Ending is what happens to the connection after the answer, or instead of one.
type Ending int

// The endings of an exchange.
const (
	KeepOpen Ending = iota
	Close
	Reset
	// Silence keeps the connection open without an answer until the caller closes it.
	Silence
	// WorkOn sends the answer without its end, and goes on sending parts of it until the caller closes the connection.
	WorkOn
	// Garble is like WorkOn, but what follows the first part of the answer is malformed.
	Garble
)

// Copy is a further copy of an answer, which belongs to no request.
type Copy struct {
	Status int // 0: that of the answer
	ID     IDMode
	// NotExecuted adds X-Not-Executed to a copy of an answer that does not have it.
	NotExecuted bool
	// AnnounceClose adds "Connection: close", although the connection stays open.
	AnnounceClose bool
	// AfterInformational sends an informational response before the copy.
	AfterInformational bool
	// WithBody and Chunked give the copy a body, with a length or in chunks.
	WithBody, Chunked bool
	When              When
}

// IDMode selects the X-Attempt-Id of a copy.
type IDMode int

// The IDs of a copy.
const (
	SameID IDMode = iota
	NoID
	OtherID
)

// When selects when a copy is sent.
type When int

// The times of a copy.
const (
	// BeforeNext sends it when the next request of the connection has arrived, before the answer to that request.
	BeforeNext When = iota
	// WithAnswer sends it directly after the answer.
	WithAnswer
	// Split sends its first half with the answer and the second half before the next answer.
	Split
	// FirstHalfBeforeNext sends only its first half, before the next answer.
	FirstHalfBeforeNext
)

// Script returns what a server does with a request. It may be called concurrently.
type Script func(Arrival) Step

// Server is the stand-in. It is safe for concurrent use.
type Server struct {
	script   Script
	listener net.Listener

	mu       sync.Mutex
	id       string
	conns    map[net.Conn]string // ID of the last request on each open connection
	opened   int
	arrivals map[string]int
	runs     map[string]int
	working  map[net.Conn]work // runs in progress
	// answered are the requests to which the complete answer of a run was sent where the caller can find it.
	answered map[string]bool
}

// Start returns a server with an instance ID that listens on a free local port until Close.
func Start(id string, script Script) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{script: script, listener: l, id: id, conns: map[net.Conn]string{}, arrivals: map[string]int{}, runs: map[string]int{}, working: map[net.Conn]work{}, answered: map[string]bool{}}
	go s.accept()
	return s, nil
}

// Address returns the IP:PORT of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ID returns the instance ID.
func (s *Server) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.closeConnections()
}

// Crash resets all connections. The server goes on with another instance ID, like a new process at the same address.
func (s *Server) Crash(newID string) {
	s.mu.Lock()
	s.id = newID
	s.mu.Unlock()
	s.closeConnections()
}

func (s *Server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, id := range s.conns {
		delete(s.answered, id)            // the reset may overtake the answer
		_ = c.(*net.TCPConn).SetLinger(0) // the connection is closed in any case
		_ = c.Close()
		delete(s.conns, c)
	}
}

// Runs returns the number of runs by request ID.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

// RunsOf returns the number of runs of a request.
func (s *Server) RunsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// work is a run in progress.
type work struct {
	id    string
	begun time.Time
}

// beginRun records that a run begins, and returns a function that records its end.
func (s *Server) beginRun(id string, c net.Conn) (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.working[c] = work{id, time.Now()}
	return func() {
		s.mu.Lock()
		delete(s.working, c)
		s.mu.Unlock()
	}
}

// WorksOn reports whether the server works on a request since before a time, for a caller that has not disconnected. It
// asks the kernel, so that the result does not depend on when the server notices that its caller has disconnected.
func (s *Server) WorksOn(id string, before time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, w := range s.working {
		if w.id == id && w.begun.Before(before) && connected(c) {
			return true
		}
	}
	return false
}

// connected reports whether the peer of a connection that sends nothing has not closed it.
func connected(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	if err := raw.Control(func(fd uintptr) {
		_, _, peekErr = unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	}); err != nil {
		return false // closed by the server
	}
	return peekErr == unix.EAGAIN
}

// Answered reports whether the complete answer of a run was sent to a request, on a connection that was not broken off and
// not after bytes that are no whole response.
func (s *Server) Answered(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answered[id]
}

// ConnectionCount returns the number of connections accepted so far.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened
}

// ArrivalCount returns the number of requests that have arrived so far.
func (s *Server) ArrivalCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, k := range s.arrivals {
		n += k
	}
	return n
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = ""
		s.opened++
		s.mu.Unlock()
		go s.serve(c)
	}
}

// serve handles the requests of a connection, one after another.
func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	var late leftover
	for exchange := 1; ; exchange++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get("X-Attempt-Id")
		s.mu.Lock()
		if _, open := s.conns[c]; open {
			s.conns[c] = id
		}
		s.mu.Unlock()
		if _, err := c.Write(late.text); err != nil {
			return
		}
		next, ok := s.answer(c, in, req, Arrival{ID: id, Exchange: exchange}, !late.broken)
		if !ok {
			return
		}
		late = next
	}
}

// leftover is what a server sends before its next answer.
type leftover struct {
	text   []byte
	broken bool // not only whole responses, so that the answer can't be found
}

// answer handles one request. findable tells whether the caller can find the answer. It returns what is to be sent
// before the next answer, and false if the connection ends.
func (s *Server) answer(c net.Conn, in *bufio.Reader, req *http.Request, arrival Arrival, findable bool) (late leftover, ok bool) {
	id, own := arrival.ID, s.ID()
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != own {
		_, err := c.Write(response{status: http.StatusMisdirectedRequest, id: id}.bytes())
		return late, err == nil
	}
	s.mu.Lock()
	arrival.Earlier = s.arrivals[id]
	s.arrivals[id]++
	s.mu.Unlock()
	step := s.script(arrival)
	if step.Runs {
		defer s.beginRun(id, c)()
	}
	time.Sleep(step.Delay)
	if step.Ending == Silence {
		_, _ = in.Peek(1) // returns when the caller closes the connection
		return late, false
	}
	out, late := step.render(own, id, req)
	s.mu.Lock()
	_, open := s.conns[c]
	s.answered[id] = s.answered[id] || open && findable && step.answers()
	s.mu.Unlock()
	if _, err := c.Write(out); err != nil {
		s.mu.Lock()
		delete(s.answered, id)
		s.mu.Unlock()
		return late, false
	}
	switch {
	case step.open():
		step.workOn(c, in)
		return late, false
	case step.Ending == Reset:
		_ = c.(*net.TCPConn).SetLinger(0) // the connection is closed in any case
		return late, false
	case step.Ending == Close, step.cut():
		return late, false
	}
	return late, true
}

// answers reports whether the step is the complete answer of a run.
func (s Step) answers() bool {
	return s.Runs && !s.open() && s.Status == http.StatusOK && !s.NotExecuted && !s.Unsealed && !s.OmitID && !s.cut() && s.Ending == KeepOpen
}

// cut reports whether a streamed answer is cut.
func (s Step) cut() bool { return s.Events > 0 && s.CutAfter > 0 && s.CutAfter < s.Events }

// open reports whether the answer has no end.
func (s Step) open() bool { return s.Ending == WorkOn || s.Ending == Garble }

// partInterval is the time between the parts of an answer without end.
const partInterval = 10 * time.Millisecond

// workOn sends parts of an answer until the caller closes the connection.
func (s Step) workOn(c net.Conn, in *bufio.Reader) {
	closed := make(chan struct{})
	go func() {
		_, _ = in.Peek(1)
		close(closed)
	}()
	part := "3\r\n:\n\n\r\n"
	if s.Ending == Garble {
		part = "malformed\r\n"
	}
	for {
		if _, err := io.WriteString(c, part); err != nil {
			return
		}
		select {
		case <-closed:
			return
		case <-time.After(partInterval):
		}
	}
}

// render returns what the server sends for a request now, and what it sends before the next answer.
func (s Step) render(server, id string, req *http.Request) (now []byte, late leftover) {
	if s.Status == 0 {
		return nil, late
	}
	answer := response{status: s.Status, id: id, notExecuted: s.NotExecuted}
	if s.Runs && !s.Unsealed {
		answer.seal = server + "." + id
	}
	if s.OmitID {
		answer.id = ""
	}
	if s.Events > 0 && s.Status == http.StatusOK {
		from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 if absent
		answer.setEvents(id, from+1, s.Events, s.CutAfter)
		answer.body += s.AfterEvents
	} else if s.Runs {
		answer.body = worker.ResponseBody(id)
	}
	if s.open() {
		answer.chunked, answer.open = true, true
	}
	now = answer.bytes()
	for _, c := range s.Copies {
		text := c.bytes(answer)
		switch c.When {
		case BeforeNext:
			late.text = append(late.text, text...)
		case WithAnswer:
			now = append(now, text...)
		case Split:
			now = append(now, text[:len(text)/2]...)
			late.text, late.broken = append(late.text, text[len(text)/2:]...), true
		case FirstHalfBeforeNext:
			late.text, late.broken = append(late.text, text[:len(text)/2]...), true
		}
	}
	return now, late
}
