// Package exchange sends one HTTP/1.1 request to one backend server and tells
// exactly what became of it: whether any of it was sent, so that it may have
// run, and whether the answer is whole. Nothing is repeated here.
package exchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Request is a request as the backend server gets it.
type Request struct {
	Method string
	Target string // path and query, as the caller sent them
	Host   string
	Header http.Header // without Host, length and headers of one connection
	Body   []byte
	// HasBody tells an empty body from none.
	HasBody bool
	// EchoHeader names the header in which the server repeats EchoID. An answer
	// with another value belongs to another request.
	EchoHeader string
	EchoID     string
	// MayRepeat requests are sent on connections that have been idle longer: a
	// connection that the server is just closing costs only a repeat.
	MayRepeat bool
}

// Stage is the step at which an exchange failed.
type Stage string

// The stages.
const (
	Connecting Stage = "connect"
	Sending    Stage = "send"
	Waiting    Stage = "wait"   // for the head of the answer
	Reading    Stage = "read"   // the body of the answer
	Mismatched Stage = "answer" // what came is no answer to this request
)

// Error is a failed exchange.
type Error struct {
	Stage Stage
	// MayHaveRun is false when nothing of the request was sent.
	MayHaveRun bool
	Err        error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Response is the answer's head; Read gives its body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if it is not known beforehand.
	Length int64

	pool  *Pool
	conn  *conn
	raw   *http.Response
	stop  func() bool // keeps the request's context from closing the connection
	whole bool
}

// Read reads the body. io.EOF means that the body is whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.raw.Body.Read(p)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the body was read whole;
// else it is closed, which makes the server drop the request.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	undisturbed := r.stop()
	if r.whole && undisturbed && !r.raw.Close && c.reader.Buffered() == 0 && c.written() {
		r.pool.put(c, keepAlive(r.Header))
		return
	}
	c.close()
}

// maxForeign bounds the answers to other requests that are skipped on a
// connection before it is given up.
const maxForeign = 2

// errForeign is the cause when an answer carries another request's ID.
var errForeign = errors.New("the answer belongs to another request")

// Do sends the request to the address and returns the answer's head. The
// connection is closed when ctx ends before the answer was read. Errors are of
// type *Error.
func (p *Pool) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	c, err := p.get(ctx, address, req.MayRepeat)
	if err != nil {
		return nil, &Error{Stage: Connecting, Err: err}
	}
	stop := context.AfterFunc(ctx, c.close)
	resp, err := c.roundTrip(req)
	if err != nil {
		stop()
		c.close()
		var e *Error
		if errors.As(err, &e) && ctx.Err() != nil {
			e.Err = context.Cause(ctx)
		}
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		pool: p, conn: c, raw: resp, stop: stop}, nil
}

// roundTrip writes the request and reads the head of its answer.
func (c *conn) roundTrip(req *Request) (*http.Response, error) {
	if err := c.send(req); err != nil {
		// The server may have answered before it closed the connection.
		if resp, readErr := c.readHead(req); readErr == nil {
			resp.Close = true
			return resp, nil
		}
		return nil, err
	}
	return c.readHead(req)
}

// readHead reads heads until one belongs to the request.
func (c *conn) readHead(req *Request) (*http.Response, error) {
	for skipped := 0; ; {
		c.limit.left = maxHeadBytes
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, &Error{Stage: Waiting, MayHaveRun: true, Err: err}
		}
		c.limit.left = -1
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		echo := resp.Header.Get(req.EchoHeader)
		if echo == "" || echo == req.EchoID {
			return resp, nil
		}
		skipped++
		if skipped > maxForeign || resp.Close || resp.ContentLength < 0 {
			return nil, &Error{Stage: Mismatched, MayHaveRun: true, Err: errForeign}
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, &Error{Stage: Mismatched, MayHaveRun: true, Err: err}
		}
	}
}

// inlineBody is the size in bytes up to which a request is written before its
// answer is read. It is well below a socket's send buffer, so that the write
// never waits for the server.
const inlineBody = 4 << 10

// send writes the request. Larger bodies are written beside the reading of the
// answer, because a server may answer before it has read them.
func (c *conn) send(req *Request) error {
	head := appendHead(c.head[:0], req)
	c.head = head
	c.sent = make(chan struct{})
	if len(req.Body) <= inlineBody {
		defer close(c.sent)
		return c.write(append(head, req.Body...))
	}
	if err := c.write(head); err != nil {
		close(c.sent)
		return err
	}
	go func() {
		defer close(c.sent)
		// A failure shows where the answer is read.
		_, c.sendErr = c.Write(req.Body)
	}()
	return nil
}

func (c *conn) write(b []byte) error {
	n, err := c.Write(b)
	if err == nil {
		return nil
	}
	c.sendErr = err
	return &Error{Stage: Sending, MayHaveRun: n > 0, Err: err}
}

// appendHead appends the request line and the headers.
func appendHead(b []byte, req *Request) []byte {
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for name, values := range req.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if req.HasBody || len(req.Body) > 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// maxHeadBytes bounds the head of an answer; it is what net/http accepts of a
// request by default, 1 MB, cut to what a process of 200 MB bears a few
// hundred times.
const maxHeadBytes = 64 << 10

// limited fails reads beyond left bytes; -1 sets no bound.
type limited struct {
	net.Conn
	left int
}

var errHeadTooLarge = errors.New("the head of the answer is too large")

func (l *limited) Read(p []byte) (int, error) {
	if l.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.Conn.Read(p)
	if l.left > 0 {
		l.left = max(0, l.left-n)
	}
	return n, err
}

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	address string
	limit   *limited
	reader  *bufio.Reader
	head    []byte        // buffer for request heads
	sent    chan struct{} // closed when the request is written
	sendErr error         // set before sent is closed
	idle    time.Time     // since when it is idle
	until   time.Time     // when it is too old for a request that may be repeated
}

// written reports whether the whole request has been written.
func (c *conn) written() bool {
	select {
	case <-c.sent:
		return c.sendErr == nil
	default:
		return false
	}
}

// close closes the connection; closing it twice is harmless.
func (c *conn) close() { _ = c.Conn.Close() }
