// Package httpcall makes HTTP calls whose replies may be large and may arrive over slow links.
package httpcall

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Limits are the limits of a call. The idle timeout detects a dead connection without limiting the
// duration of a large reply over a slow link: with a total timeout of 0.7 s, a reply of 887 KB
// could never be transferred at 10 Mbit/s.
type Limits struct {
	// ReplyWait is how long the server may delay its reply.
	ReplyWait time.Duration
	// IdleTimeout limits the time without data. Before the reply starts, ReplyWait is added.
	IdleTimeout time.Duration
	// Timeout limits the duration of the whole call, in addition to ReplyWait.
	Timeout time.Duration
	// MaxBytes limits the size of the reply body.
	MaxBytes int64
}

// maxReadBytes limits a single read. A read of a chunked body only returns when its buffer is full,
// and filling a buffer of 200 KB over a slow link takes longer than the idle timeout.
const maxReadBytes = 16 << 10

// Reply is a response with its whole body or, after an error, with the part that was received.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call. Errors have code TooLarge if the reply exceeds MaxBytes; other errors are those
// of the HTTP client.
func Do(client *http.Client, req *http.Request, l Limits) (reply Reply, err error) {
	ctx, cancel := context.WithTimeout(req.Context(), l.ReplyWait+l.Timeout)
	defer cancel()
	idleTimer := time.AfterFunc(l.ReplyWait+l.IdleTimeout, cancel)
	defer idleTimer.Stop()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }() // the body is not read any further
	reader := readerFunc(func(p []byte) (int, error) {
		idleTimer.Reset(l.IdleTimeout)
		return resp.Body.Read(p[:min(len(p), maxReadBytes)])
	})
	body, err := io.ReadAll(io.LimitReader(reader, l.MaxBytes+1))
	if err == nil && int64(len(body)) > l.MaxBytes {
		err = fault.New(fault.TooLarge, "reply exceeds %d bytes", l.MaxBytes)
	}
	return Reply{resp.StatusCode, resp.Header, body}, err
}

// readerFunc is a function that implements io.Reader.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
