// Package httpcall makes HTTP calls whose replies may be large and arrive over slow links.
package httpcall

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Limits are the limits of a call. The idle timeout detects a connection on which a reply was lost,
// while a large reply over a slow link may take longer: a total limit of 0.7 s never let 887 KB
// through a link of 10 Mbit/s.
type Limits struct {
	// ReplyWait is how long the server may delay its reply.
	ReplyWait time.Duration
	// IdleTimeout limits the time without data, in addition to ReplyWait before the reply starts.
	IdleTimeout time.Duration
	// Timeout limits the duration of the whole call, in addition to ReplyWait.
	Timeout time.Duration
	// MaxBytes limits the size of the reply body.
	MaxBytes int64
}

// maxChunkBytes limits a single read. A read of a chunked body only returns when its buffer is
// full, and filling 200 KB over a slow link takes longer than the idle timeout.
const maxReadBytes = 16 << 10

// Reply is a response with its whole body, or, with an error, the part of it that was received.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call. Errors have code TooLarge or are those of the HTTP client.
func Do(client *http.Client, req *http.Request, l Limits) (reply Reply, err error) {
	ctx, cancel := context.WithTimeout(req.Context(), l.ReplyWait+l.Timeout)
	defer cancel()
	idleTimer := time.AfterFunc(l.ReplyWait+l.IdleTimeout, cancel)
	defer idleTimer.Stop()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
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

// readerFunc implements io.Reader with a function.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
