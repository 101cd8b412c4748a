// Package worker is a stand-in for a worker of the platform: one HTTP/1.1
// backend server that proves its answers, refuses requests meant for another
// start, and misbehaves as it is told. It writes its answers byte by byte, so
// that broken ones can be given too.
package worker

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one request that the worker has begun to work on.
type Execution struct {
	ID     string
	Method string
	Target string
	Body   string
	Header http.Header
	// From is the number of the first event of a stream.
	LastEventID int
	At          time.Time
}

// Arrival is a request that has come, whether it ran or was refused.
type Arrival struct {
	ID string
	At time.Time
}

// Behaviour says what the worker does with the next requests.
type Behaviour struct {
	// Refuse answers 503 without having run the request.
	Reject bool
	// RetryAfter is when a refused caller may come back, in seconds; empty says nothing.
	RetryAfter string
	// Status is the status of the answer; 0 is 200.
	Status int
	// Events is the number of events of a stream; 0 gives a plain answer.
	Events int
	// BreakAfter ends the connection in the middle of the event behind so many;
	// -1 never.
	AbortAfterEvents int
	// Hang gives no answer until the caller leaves.
	Hang bool
	// Drop closes the connection without an answer.
	DropConnection bool
	// Unframed answers have no length and end with the connection.
	CloseDelimited bool
	// ExtraBefore sends an answer to another request first.
	ForeignResponseFirst bool
	// NoSeal leaves out the proof.
	OmitSeal bool
	// Early answers 413 before the body is read, and reads it then.
	RejectBeforeBody bool
	// Pace is the pause between events.
	EventInterval time.Duration
}

// Worker is the stand-in. It is safe for concurrent use.
type Worker struct {
	ID string
	// Born is when the process started, Unix ms.
	StartedMS int64
	listener  net.Listener

	mu        sync.Mutex
	behaviour Behaviour
	once      []Behaviour // for the next requests, before behaviour
	partial   Behaviour   // for partialN of every partialOf requests
	partialN  int
	partialOf int
	runs      []Execution
	left      int // callers that closed their connection while a request ran
	conns     map[net.Conn]bool
	opened    int
	arrivals  []Arrival
	fatal     fatality
	notices   string // header lines with what it says of itself in all answers
}

// fatality is a request that ends the worker which begins it.
type fatality struct {
	body  string
	after time.Duration
	ended func()
}

// Start returns a running worker that gives plain answers. Close ends it.
func Start(id string) (*Worker, error) { return StartAt(id, "127.0.0.1:0") }

// StartAt is Start at an address, as when a worker starts again where it was.
func StartAt(id, address string) (*Worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return StartOn(id, l), nil
}

// StartOn is Start on a listener, which the worker owns.
func StartOn(id string, l net.Listener) *Worker {
	w := &Worker{ID: id, StartedMS: time.Now().UnixMilli(), listener: l, behaviour: Behaviour{AbortAfterEvents: -1}, conns: map[net.Conn]bool{}}
	go w.accept()
	return w
}

// Address returns the IP:PORT of the worker.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Close ends the worker and its connections.
func (w *Worker) Close() {
	_ = w.listener.Close()
	w.CloseConnections()
}

// CloseConnections ends the open connections.
func (w *Worker) CloseConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

// Behave sets what the worker does from now on.
func (w *Worker) SetBehaviour(b Behaviour) {
	w.mu.Lock()
	w.behaviour = b
	w.mu.Unlock()
}

// Next sets what the worker does with the next request only.
func (w *Worker) QueueBehaviours(b ...Behaviour) {
	w.mu.Lock()
	w.once = append(w.once, b...)
	w.mu.Unlock()
}

// BehavePartly sets what the worker does with n out of every "of" requests from now on.
func (w *Worker) SetPartialBehaviour(n, of int, b Behaviour) {
	w.mu.Lock()
	w.partial, w.partialN, w.partialOf = b, n, of
	w.mu.Unlock()
}

// EndBy has the worker end when it has run a request with this body for a while. It calls
// ended then.
func (w *Worker) CrashOn(body string, after time.Duration, ended func()) {
	w.mu.Lock()
	w.fatal = fatality{body, after, ended}
	w.mu.Unlock()
}

// Say has the worker say these header lines of itself in all its answers from now on, such as
// "Server-Limit: 1".
func (w *Worker) SetHeaders(lines ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notices = ""
	for _, line := range lines {
		w.notices += line + "\r\n"
	}
}

// says returns what the worker says of itself.
func (w *Worker) says() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.notices
}

// Runs returns what has run so far.
func (w *Worker) Executions() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Execution(nil), w.runs...)
}

// Left returns how many callers left while their request ran.
func (w *Worker) Disconnects() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.left
}

// Opened returns the number of connections so far.
func (w *Worker) ConnectionCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.opened
}

// Asked returns how many requests have come, refused ones included.
func (w *Worker) RequestCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.arrivals)
}

// Arrivals returns the requests that have come, refused ones included.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

func (w *Worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.opened++
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *Worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !w.answer(c, r, req) {
			return
		}
	}
}

func (w *Worker) next(id string) Behaviour {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, Arrival{id, time.Now()})
	if len(w.once) > 0 {
		b := w.once[0]
		w.once = w.once[1:]
		return b
	}
	if w.partialN > 0 && len(w.arrivals)%w.partialOf < w.partialN {
		return w.partial
	}
	return w.behaviour
}

// answer serves one request; false ends the connection.
func (w *Worker) answer(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	if expect := req.Header.Get("X-Expect-Instance"); expect != "" && expect != w.ID {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		return w.plain(c, id, http.StatusMisdirectedRequest, "X-Instance-Id: "+w.ID+"\r\n", "")
	}
	b := w.next(id)
	if b.RejectBeforeBody {
		ok := w.plain(c, id, http.StatusRequestEntityTooLarge, w.seal(id), "too long")
		_, err := io.Copy(io.Discard, req.Body)
		return ok && err == nil
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	if b.Reject {
		headers := "X-Not-Executed: 1\r\n"
		if b.RetryAfter != "" {
			headers += "Retry-After: " + b.RetryAfter + "\r\n"
		}
		return w.plain(c, id, http.StatusServiceUnavailable, headers, "")
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // none is 0
	w.mu.Lock()
	w.runs = append(w.runs, Execution{ID: id, Method: req.Method, Target: req.RequestURI, Body: string(body), Header: req.Header, LastEventID: from, At: time.Now()})
	fatal := w.fatal
	w.mu.Unlock()
	if fatal.ended != nil && string(body) == fatal.body {
		return w.endBy(c, id, fatal, b.Events > 0)
	}
	switch {
	case b.DropConnection:
		return false
	case b.Hang:
		w.hang(r)
		return false
	}
	if b.ForeignResponseFirst && !w.plain(c, "foreign", http.StatusOK, w.seal("foreign"), "for somebody else") {
		return false
	}
	if b.Events > 0 {
		return w.stream(c, r, id, from, b)
	}
	seal := w.seal(id)
	if b.OmitSeal {
		seal = ""
	}
	status := b.Status
	if status == 0 {
		status = http.StatusOK
	}
	if b.CloseDelimited {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %d OK\r\nX-Attempt-Id: %s\r\n%s%sConnection: close\r\n\r\n%s", status, id, seal, w.says(), ResponseBody(id))
		return false
	}
	return w.plain(c, id, status, seal, ResponseBody(id))
}

// endBy runs a request that ends the worker, with the head of a stream where one is asked for.
func (w *Worker) endBy(c net.Conn, id string, f fatality, stream bool) bool {
	if stream {
		_ = w.streamHead(c, id) // the caller sees what comes of it
	}
	time.Sleep(f.after)
	w.Close()
	f.ended()
	return false
}

// Answer is the body of the plain answer to a request.
func ResponseBody(id string) string { return "answer to " + id }

// Event is an event of a stream.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }

// Stream is a whole stream of n events.
func StreamBody(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(Event(id, i))
	}
	return b.String()
}

func (w *Worker) seal(id string) string {
	return fmt.Sprintf("X-Response-Seal: %s.%s\r\nX-Server-Load: 1,0,8\r\n", w.ID, id)
}

func (w *Worker) plain(c net.Conn, id string, status int, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%s%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, headers, w.says(), len(body), body)
	return err == nil
}

// hang waits until the caller leaves.
func (w *Worker) hang(r *bufio.Reader) {
	_, _ = r.Peek(1)
	w.mu.Lock()
	w.left++
	w.mu.Unlock()
}

func (w *Worker) streamHead(c net.Conn, id string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, w.seal(id), w.says())
	return err
}

func (w *Worker) stream(c net.Conn, r *bufio.Reader, id string, from int, b Behaviour) bool {
	gone := make(chan struct{})
	if b.EventInterval > 0 {
		go func() { w.hang(r); close(gone) }()
	}
	if err := w.streamHead(c, id); err != nil {
		return false
	}
	for n := from + 1; n <= b.Events; n++ {
		event := Event(id, n)
		if b.AbortAfterEvents >= 0 && n > b.AbortAfterEvents {
			half := event[:len(event)/2]
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(half), half)
			return false
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		if b.EventInterval > 0 {
			select {
			case <-gone:
				return false
			case <-time.After(b.EventInterval):
			}
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil && b.EventInterval == 0
}
