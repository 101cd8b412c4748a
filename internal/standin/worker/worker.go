// Package worker is a stand-in for a worker of the platform, a backend server for
// HTTP/1.1. It seals its responses, rejects requests addressed to another instance,
// and simulates faults. It writes raw HTTP to the connection, so that it can also send
// malformed responses.
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

// Worker is the stand-in. It is safe for concurrent use.
type Worker struct {
	ID string
	// StartedMS is the start time of the worker in Unix milliseconds.
	StartedMS int64
	listener  net.Listener

	mu               sync.Mutex
	behaviour        Behaviour
	resumedBehaviour *Behaviour  // for requests with a Last-Event-Id; nil means as for others
	queuedBehaviours []Behaviour // for the next requests, one each; take precedence over the others
	partialBehaviour Behaviour   // for partialN of every partialOf requests
	partialN         int
	partialOf        int
	executions       []Execution
	disconnectCount  int   // callers that disconnected before their response was complete
	endlessBytes     int64 // sent because of Behaviour.Endless
	unframedBodies   map[string]UnframedBody
	conns            map[net.Conn]bool // open connections
	connectionCount  int               // accepted so far
	arrivals         []Arrival
	crashTrigger     crashTrigger
	extraHeaders     string              // header lines added to all responses
	lateCopies       map[net.Conn]string // to be sent before the next response
	lateCopyCount    int                 // copies sent so far
}

// Start returns a worker that listens on a free local port until Close and responds
// normally.
func Start(id string) (*Worker, error) { return StartAt(id, "127.0.0.1:0") }

// StartAt is like Start with a given address, for example to restart a worker at
// its previous address.
func StartAt(id, address string) (*Worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return StartOn(id, l), nil
}

// StartOn is like Start with a listener, which the worker closes.
func StartOn(id string, l net.Listener) *Worker {
	w := &Worker{ID: id, StartedMS: time.Now().UnixMilli(), listener: l, behaviour: Behaviour{AbortAfterEvents: -1}, conns: map[net.Conn]bool{}, lateCopies: map[net.Conn]string{}, unframedBodies: map[string]UnframedBody{}}
	go w.acceptConnections()
	return w
}

// Address returns the IP:PORT of the worker.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Close stops the worker and closes its connections.
func (w *Worker) Close() {
	_ = w.listener.Close()
	w.CloseConnections()
}

// CloseListener makes the worker refuse connections. Open connections are not affected.
func (w *Worker) CloseListener() { _ = w.listener.Close() }

// CloseConnections closes the open connections.
func (w *Worker) CloseConnections() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}

// SetHeaders sets header lines, such as "Server-Limit: 1", that the worker adds to all its
// responses from now on.
func (w *Worker) SetHeaders(lines ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.extraHeaders = ""
	for _, line := range lines {
		w.extraHeaders += line + "\r\n"
	}
}

// headerLines returns the header lines set by SetHeaders.
func (w *Worker) headerLines() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.extraHeaders
}

func (w *Worker) acceptConnections() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.connectionCount++
		w.mu.Unlock()
		go w.serveConnection(c)
	}
}

// serveConnection handles the requests of a connection, one after another.
func (w *Worker) serveConnection(c net.Conn) {
	defer func() {
		_ = c.Close()
		w.mu.Lock()
		delete(w.conns, c)
		delete(w.lateCopies, c)
		w.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !w.sendLateCopy(c) || !w.handleRequest(c, r, req) {
			return
		}
	}
}

// handleRequest handles one request. It returns false if the connection must be closed.
func (w *Worker) handleRequest(c net.Conn, r *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("X-Attempt-Id")
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != w.ID {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		return w.writeResponse(c, id, http.StatusMisdirectedRequest, "X-Instance-Id: "+w.ID+"\r\n", "")
	}
	b := w.nextBehaviour(id, req.Header.Get("Last-Event-Id") != "")
	if b.RejectBeforeBody {
		ok := w.writeResponse(c, id, http.StatusRequestEntityTooLarge, w.sealHeaders(id), "too long")
		_, err := io.Copy(io.Discard, req.Body)
		return ok && err == nil
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return false
	}
	if b.Endless != nil && b.Endless.Place == EndlessRefusal {
		w.writeEndless(c, id, b)
		return false
	}
	if b.Reject {
		headers := "X-Not-Executed: 1\r\n"
		if b.RetryAfter != "" {
			headers += "Retry-After: " + b.RetryAfter + "\r\n"
		}
		w.setLateCopy(c, b.LateCopy, id, http.StatusServiceUnavailable, headers, "")
		return w.writeResponse(c, id, http.StatusServiceUnavailable, headers, "")
	}
	lastEventID, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 if absent
	w.mu.Lock()
	w.executions = append(w.executions, Execution{ID: id, Method: req.Method, Target: req.RequestURI, Body: string(body), Header: req.Header, LastEventID: lastEventID, At: time.Now()})
	trigger := w.crashTrigger
	w.mu.Unlock()
	if trigger.matches(req, string(body)) {
		return w.crash(c, id, trigger, b.Events > 0)
	}
	switch {
	case b.Endless != nil:
		w.writeEndless(c, id, b)
		return false
	case b.DropConnection:
		return false
	case b.Hang:
		w.awaitDisconnect(r)
		return false
	}
	if b.ForeignResponseFirst && !w.writeResponse(c, "foreign", http.StatusOK, w.sealHeaders("foreign"), "response to another request") {
		return false
	}
	if b.Events > 0 {
		return w.writeStream(c, r, id, lastEventID, b)
	}
	seal := w.sealHeaders(id)
	if b.OmitSeal {
		seal = ""
	}
	status := b.Status
	if status == 0 {
		status = http.StatusOK
	}
	text := ResponseBody(id)
	if b.Filler > 0 {
		text = strings.Repeat("x", b.Filler)
	}
	w.setLateCopy(c, b.LateCopy, id, status, seal, text)
	response := newBodyWriter(c, b.framing(), []string{text}, b.Cut)
	_ = w.writeHeader(response, id, status, seal, response.headers()) // the error is returned by end
	for _, part := range response.parts {
		response.writePart(part)
	}
	return response.end()
}

// ResponseBody returns the body of the response to a request that is not streamed.
func ResponseBody(id string) string { return "answer to " + id }

// Event returns event n of a stream.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s part %d\n\n", n, id, n) }

// StreamBody returns the whole body of a stream of n events.
func StreamBody(id string, n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(Event(id, i))
	}
	return b.String()
}

// sealHeaders returns the header lines with the worker's load and with the seal, which proves
// which worker processed which request.
func (w *Worker) sealHeaders(id string) string {
	return fmt.Sprintf("X-Response-Seal: %s.%s\r\nX-Server-Load: 1,0,8\r\n", w.ID, id)
}

// writeResponse writes a response with a Content-Length. It returns false if this fails.
func (w *Worker) writeResponse(c net.Conn, id string, status int, headers, body string) bool {
	if w.writeHeader(c, id, status, headers, fmt.Sprintf("Content-Length: %d\r\n", len(body))) != nil {
		return false
	}
	_, err := io.WriteString(c, body)
	return err == nil
}

// writeHeader writes the status line and the header of a response.
func (w *Worker) writeHeader(to io.Writer, id string, status int, headers, bodyHeaders string) error {
	_, err := fmt.Fprintf(to, "HTTP/1.1 %d %s\r\nX-Attempt-Id: %s\r\n%s%s%s\r\n",
		status, http.StatusText(status), id, headers, w.headerLines(), bodyHeaders)
	return err
}

// awaitDisconnect waits until the caller disconnects and counts it.
func (w *Worker) awaitDisconnect(r *bufio.Reader) {
	_, _ = r.Peek(1)
	w.countDisconnect()
}

func (w *Worker) countDisconnect() {
	w.mu.Lock()
	w.disconnectCount++
	w.mu.Unlock()
}

// streamHeaders are the header lines of a streamed response.
func (w *Worker) streamHeaders(id string) string {
	return w.sealHeaders(id) + "Content-Type: text/event-stream\r\n"
}

// writeStream writes a streamed response from the event after lastEventID on. It returns false
// if the connection must be closed.
func (w *Worker) writeStream(c net.Conn, r *bufio.Reader, id string, lastEventID int, b Behaviour) bool {
	next := make(chan error, 1) // nil when the next request arrives, an error when the caller disconnects
	if b.EventInterval > 0 {
		go func() { _, err := r.Peek(1); next <- err }()
	}
	var events []string
	for n := lastEventID + 1; n <= b.Events; n++ {
		events = append(events, strings.TrimSuffix(Event(id, n), "\n\n")+strings.Repeat("x", b.Filler)+"\n\n")
	}
	body := newBodyWriter(c, b.framing(), events, b.streamCut(lastEventID+1))
	_ = w.writeHeader(body, id, http.StatusOK, w.streamHeaders(id), body.headers()) // the error is returned by Flush
	for _, event := range body.parts {
		body.writePart(event)
		if b.EventInterval == 0 {
			continue
		}
		if body.Flush() != nil {
			return false
		}
		select {
		case err := <-next:
			if err != nil {
				w.countDisconnect()
				return false
			}
			next <- nil // pipelined
			time.Sleep(b.EventInterval)
		case <-time.After(b.EventInterval):
		}
	}
	if !body.end() {
		return false
	}
	// The connection is read by one goroutine at a time.
	return b.EventInterval == 0 || <-next == nil
}
