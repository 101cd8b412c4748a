// Package exchange sends a single HTTP/1.1 request to a backend server and
// reports the exact outcome: whether any part of it was sent, so that it may
// have run, and whether the response is complete. It never retries.
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

// Request is a request as it is sent to the backend server.
type Request struct {
	Method string
	Target string // path and query, unchanged from the caller
	Host   string
	Header http.Header // without Host, Content-Length and hop-by-hop headers
	Body   []byte
	// HasBody distinguishes an empty body from none.
	HasBody bool
	// EchoHeader is the header in which the server repeats EchoID. A response
	// with another value belongs to another request.
	EchoHeader string
	EchoID     string
	// MayRepeat requests may use connections that have been idle for longer:
	// if the server is just closing the connection, this only costs a retry.
	MayRepeat bool
}

// Stage is the step at which an exchange failed.
type Stage string

// The stages of an exchange.
const (
	Connecting Stage = "connect"
	Sending    Stage = "send"
	Waiting    Stage = "wait"   // for the response header
	Reading    Stage = "read"   // the response body
	Mismatched Stage = "answer" // the response does not belong to this request
)

// Error is the failure of an exchange.
type Error struct {
	Stage Stage
	// MayHaveRun is false if no part of the request was sent.
	MayHaveRun bool
	Err        error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Response is a response header; Read returns the body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64

	pool          *Pool
	conn          *conn
	raw           *http.Response
	detachContext func() bool // stops the request's context from closing the connection
	complete      bool
}

// Read reads the body. io.EOF means that the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.raw.Body.Read(p)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is reused if the body was read
// completely; otherwise it is closed, which makes the server abort the request.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	notCancelled := r.detachContext()
	if r.complete && notCancelled && !r.raw.Close && c.reader.Buffered() == 0 && c.written() {
		r.pool.putIdle(c, keepAliveTimeout(r.Header))
		return
	}
	c.close()
}

// maxMismatched bounds the responses to other requests that are skipped on a
// connection before the exchange fails.
const maxMismatchedResponses = 2

// errResponseMismatch reports a response that carries another request's ID.
var errResponseMismatch = errors.New("response belongs to another request")

// Do sends the request to the address and returns the response header. The
// connection is closed if ctx ends before the response was read. Errors are of
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
		pool: p, conn: c, raw: resp, detachContext: stop}, nil
}

// roundTrip writes the request and reads the response header.
func (c *conn) roundTrip(req *Request) (*http.Response, error) {
	if err := c.writeRequest(req); err != nil {
		// The server may have responded before it closed the connection.
		if resp, readErr := c.readResponseHeader(req); readErr == nil {
			resp.Close = true
			return resp, nil
		}
		return nil, err
	}
	return c.readResponseHeader(req)
}

// readHeader reads response headers until one belongs to the request.
func (c *conn) readResponseHeader(req *Request) (*http.Response, error) {
	for skipped := 0; ; {
		c.limited.remaining = maxHeaderBytes
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, &Error{Stage: Waiting, MayHaveRun: true, Err: err}
		}
		c.limited.remaining = -1
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		echo := resp.Header.Get(req.EchoHeader)
		if echo == "" || echo == req.EchoID {
			return resp, nil
		}
		skipped++
		if skipped > maxMismatchedResponses || resp.Close || resp.ContentLength < 0 {
			return nil, &Error{Stage: Mismatched, MayHaveRun: true, Err: errResponseMismatch}
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, &Error{Stage: Mismatched, MayHaveRun: true, Err: err}
		}
	}
}

// maxInlineBodyBytes is the size in bytes up to which a request is written before its
// response is read. It is well below a socket's send buffer, so that the write
// never blocks on the server.
const maxInlineBodyBytes = 4 << 10

// send writes the request. Larger bodies are written concurrently with reading
// the response, because a server may respond before it has read them.
func (c *conn) writeRequest(req *Request) error {
	header := appendHeader(c.headerBuf[:0], req)
	c.headerBuf = header
	c.writeDone = make(chan struct{})
	if len(req.Body) <= maxInlineBodyBytes {
		defer close(c.writeDone)
		return c.write(append(header, req.Body...))
	}
	if err := c.write(header); err != nil {
		close(c.writeDone)
		return err
	}
	go func() {
		defer close(c.writeDone)
		// The reader of the response reports a failure.
		_, c.writeErr = c.Write(req.Body)
	}()
	return nil
}

func (c *conn) write(b []byte) error {
	n, err := c.Write(b)
	if err == nil {
		return nil
	}
	c.writeErr = err
	return &Error{Stage: Sending, MayHaveRun: n > 0, Err: err}
}

// appendHeader appends the request line and the headers.
func appendHeader(b []byte, req *Request) []byte {
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

// maxHeaderBytes bounds a response header. The 1 MB that net/http accepts in a
// request by default is too much: a process of 200 MB must be able to hold a
// few hundred headers at a time.
const maxHeaderBytes = 64 << 10

// limitedConn is a connection that fails reads beyond left bytes; -1 sets no limit.
type limitedConn struct {
	net.Conn
	remaining int
}

var errHeaderTooLarge = fmt.Errorf("response header exceeds %d bytes", maxHeaderBytes)

func (l *limitedConn) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	n, err := l.Conn.Read(p)
	if l.remaining > 0 {
		l.remaining = max(0, l.remaining-n)
	}
	return n, err
}

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	address       string
	limited       *limitedConn
	reader        *bufio.Reader
	headerBuf     []byte        // buffer for request headers
	writeDone     chan struct{} // closed when the request is written
	writeErr      error         // set before sent is closed
	idleSince     time.Time     // when it became idle
	reusableUntil time.Time     // when it is too old even for a request that may be repeated
}

// written reports whether the request has been written completely.
func (c *conn) written() bool {
	select {
	case <-c.writeDone:
		return c.writeErr == nil
	default:
		return false
	}
}

// close closes the connection. It may be called more than once.
func (c *conn) close() { _ = c.Conn.Close() }
