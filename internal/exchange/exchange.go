// Package exchange sends a single HTTP/1.1 request to a backend server and
// reports the exact outcome: whether the request may have run, because part of
// it was sent, and whether the response is complete. It never retries.
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
	"sync/atomic"
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
	// EchoHeader names the response header in which the server returns EchoID.
	EchoHeader string
	EchoID     string
	// MayRepeat is set if the request may be sent again. It may then use a
	// connection that has been idle for longer: if the server closes the
	// connection at the same time, the only cost is a retry.
	MayRepeat bool
	// Attempt is the caller's attempt that the request belongs to. Do adds a Send to it, and does not use the
	// connections of its earlier sends.
	Attempt *Attempt
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

// Error describes a failed exchange.
type Error struct {
	Stage Stage
	// MayHaveRun is true unless no part of the request was sent.
	MayHaveRun bool
	Err        error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Framing is how the end of a response body is determined (RFC 9112, section 6.3).
type Framing string

// The framings of a response body.
const (
	FramedByLength Framing = "length" // Content-Length, or no body at all
	FramedByChunks Framing = "chunks" // Transfer-Encoding: chunked
	// FramedByClose means that the body ends with the connection. A body that was cut short by an
	// orderly close is then indistinguishable from a complete one.
	FramedByClose Framing = "close"
)

// framing returns how the body of a response is framed.
func framing(resp *http.Response) Framing {
	switch {
	case resp.Body == http.NoBody:
		return FramedByLength
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0:
		return FramedByLength
	}
	return FramedByClose
}

// Response is a response whose header has been read. Read returns the body.
// Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown.
	Length  int64
	Framing Framing

	pool          *Pool
	conn          *conn
	raw           *http.Response
	detachContext func() bool // keeps the request's context from closing the connection; false if it has already ended
	complete      bool        // whether the body was read completely
}

// Read implements io.Reader for the body. It returns io.EOF only if the body is
// complete, or if it is FramedByClose and the server closed the connection after the request was written.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.raw.Body.Read(p)
	if n > 0 && r.conn != nil {
		r.conn.overhead.reset()
	}
	if err == io.EOF && r.Framing == FramedByClose && r.conn != nil && !r.conn.awaitWritten() {
		return n, errRequestNotWritten
	}
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// errRequestNotWritten is returned at the end of a body that is FramedByClose if the request could not be written as a
// whole. A write that fails consumes the reset of the connection, and reading then only finds its end.
var errRequestNotWritten = errors.New("the connection ended before the request was written")

const (
	// discardTime and maxDiscardedBytes limit the rest of a response that Discard reads so that the connection can be
	// reused.
	discardTime       = 200 * time.Millisecond
	maxDiscardedBytes = 16 << 10
)

// RequestWritten reports whether the request has been written, after which its body is not read any more.
func (r *Response) RequestWritten() bool { return r.conn != nil && r.conn.written() }

// Discard ends the exchange like Close, but does not return before the whole body has been read only if it has arrived
// already. Otherwise a short rest is read in the background, independently of the context of the request.
func (r *Response) Discard() {
	if r.conn == nil || !r.detachContext() {
		r.Close()
		return
	}
	rest := *r
	r.conn = nil
	rest.detachContext = func() bool { return true }
	if rest.arrived() {
		rest.discard()
		return
	}
	if err := rest.conn.SetReadDeadline(time.Now().Add(discardTime)); err != nil {
		rest.Close()
		return
	}
	go rest.discard()
}

// DiscardRun is like Discard, but closes the connection if the body has not arrived yet, so that the server stops working
// on the request.
func (r *Response) DiscardRun() {
	if r.conn != nil && r.arrived() {
		r.Discard()
		return
	}
	r.Close()
}

// arrived reports whether the whole body is known to have arrived.
func (r *Response) arrived() bool {
	return r.Framing == FramedByLength && r.Length <= int64(r.conn.reader.Buffered())
}

// discard reads the rest of the body and ends the exchange.
func (r *Response) discard() {
	_, err := io.CopyN(io.Discard, r, maxDiscardedBytes)
	if err == io.EOF && r.conn.SetReadDeadline(time.Time{}) != nil {
		r.complete = false
	}
	r.Close()
}

// Close ends the exchange. If the body was read completely, the connection
// returns to the pool; otherwise it is closed, so that the server aborts the
// request.
func (r *Response) Close() {
	if r.conn == nil {
		return
	}
	c := r.conn
	r.conn = nil
	c.delivery.Stop()
	notCancelled := r.detachContext()
	if r.complete && notCancelled && !r.raw.Close && c.reader.Buffered() == 0 && c.written() {
		r.pool.putIdle(c, keepAliveTimeout(r.Header))
		return
	}
	c.close()
}

// errResponseMismatch is returned for a response that does not belong to the send and is not followed by one that does.
var errResponseMismatch = errors.New("the response does not belong to the request")

// Do sends the request to the address and returns the response header. The
// connection is closed if ctx ends before the response is closed. Errors are of
// type *Error.
func (p *Pool) Do(ctx context.Context, address string, req *Request) (*Response, error) {
	send := req.Attempt.begin()
	c, err := p.get(ctx, address, req)
	if err != nil {
		return nil, &Error{Stage: Connecting, Err: err}
	}
	c.exchanges++
	send.Connection, send.Exchange = c.id, c.exchanges
	c.dropped, c.echoHeader = &send.Dropped, req.EchoHeader
	stop := context.AfterFunc(ctx, c.close)
	resp, err := c.roundTrip(req)
	if err != nil {
		stop()
		c.delivery.Stop()
		c.close()
		var e *Error
		if errors.As(err, &e) && ctx.Err() != nil {
			e.Err = context.Cause(ctx)
		}
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: framing(resp),
		pool: p, conn: c, raw: resp, detachContext: stop}, nil
}

// roundTrip writes the request and reads the response header.
func (c *conn) roundTrip(req *Request) (*http.Response, error) {
	err := c.writeRequest(req)
	var failed *Error
	if errors.As(err, &failed) && !failed.MayHaveRun {
		return nil, err // no response can belong to a request of which nothing was sent
	}
	resp, readErr := c.readResponseHeader(req)
	switch {
	case err == nil:
		return resp, readErr
	case readErr == nil: // sent before the server closed the connection
		resp.Close = true
		return resp, nil
	}
	return nil, err
}

// readResponseHeader reads the response header of the request. It skips informational responses and responses that do
// not belong to the send, which count towards the limits of the header.
func (c *conn) readResponseHeader(req *Request) (*http.Response, error) {
	c.overhead.reset()
	for {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: req.Method})
		if err != nil {
			return nil, &Error{Stage: Waiting, MayHaveRun: true, Err: c.cause(err)}
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		reason := c.checkResponse(resp, req)
		if reason == "" {
			return resp, nil
		}
		c.drop(resp, reason)
		if !c.mayFollow(resp, reason) {
			return nil, &Error{Stage: Mismatched, MayHaveRun: true, Err: errResponseMismatch}
		}
		if err := skipBody(resp.Body); err != nil {
			return nil, &Error{Stage: Mismatched, MayHaveRun: true, Err: err}
		}
	}
}

// maxInlineBodyBytes is the largest body that is written before reading the
// response. It is well below the size of a socket's send buffer, so that the
// write does not block if the server stops reading.
const maxInlineBodyBytes = 4 << 10

// writeRequest writes the request. A large body is written in the background
// while the response is read, because a server may respond before it has read
// the whole body.
func (c *conn) writeRequest(req *Request) error {
	header := appendHeader(c.headerBuf[:0], req)
	c.headerBuf = header
	c.writeDone = make(chan struct{})
	c.delivery = c.watchDelivery()
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
		// A failure is reported by reading the response.
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

// appendHeader appends the request line and headers to b.
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

// LimitError is returned for a response of which more is received than a
// response may have. The server is faulty.
type LimitError struct {
	Limit string // what was exceeded
	Bytes int64  // received so far
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s exceeded after %d bytes", e.Limit, e.Bytes)
}

const (
	// maxOverheadBytes limits what is received without any data of the body: headers,
	// responses that are skipped, chunk headers and trailers. The 1 MB that net/http
	// accepts in a request by default is too large: a process with 200 MB of memory
	// must be able to hold a few hundred headers at a time.
	maxOverheadBytes = 64 << 10
	// maxSmallReads limits the number of reads that return fewer than smallReadBytes
	// in the same place. It ends a header that arrives a few bytes at a time; silence
	// does not count. A header is usually sent as a whole.
	maxSmallReads  = 32
	smallReadBytes = 512
)

// overheadLimiter is a connection whose reads fail if too much is received
// without any data of the body.
type overheadLimiter struct {
	net.Conn
	bytes      int64
	smallReads int
}

// reset is called when a response is expected and when data of its body has been received.
func (l *overheadLimiter) reset() { l.bytes, l.smallReads = 0, 0 }

// Read implements io.Reader. It may return more than the remaining bytes in
// the call that reaches the limit.
func (l *overheadLimiter) Read(p []byte) (int, error) {
	if l.bytes >= maxOverheadBytes || l.smallReads >= maxSmallReads {
		return 0, &LimitError{"size of a header or of the framing", l.bytes}
	}
	n, err := l.Conn.Read(p)
	l.bytes += int64(n)
	if n < smallReadBytes {
		l.smallReads++
	}
	return n, err
}

// conn is a connection to a backend server.
type conn struct {
	net.Conn
	id            uint64   // unique in the process
	exchanges     int      // requests that were sent on the connection
	dropped       *Dropped // of the current send
	echoHeader    string
	address       string
	overhead      *overheadLimiter
	reader        *bufio.Reader
	headerBuf     []byte        // buffer for request headers
	delivery      *time.Timer   // see watchDelivery
	undelivered   atomic.Bool   // the server acknowledged nothing for deliveryTimeout
	writeDone     chan struct{} // closed when writing the request has ended
	writeErr      error         // error of writing the request; set before writeDone is closed
	idleSince     time.Time     // when the connection was returned to the pool
	reusableUntil time.Time     // when the connection expires, even for a request that may be repeated
}

// written reports whether the whole request has been written.
func (c *conn) written() bool {
	select {
	case <-c.writeDone:
		return c.writeErr == nil
	default:
		return false
	}
}

// writeEndTimeout is how long the writing of a request may still last after the server has closed the connection.
const writeEndTimeout = 50 * time.Millisecond

// awaitWritten waits until writing the request has ended, and reports whether all of it was written.
func (c *conn) awaitWritten() bool {
	select {
	case <-c.writeDone:
	case <-time.After(writeEndTimeout):
	}
	return c.written()
}

// close closes the connection. It may be called repeatedly.
func (c *conn) close() { _ = c.Conn.Close() }
