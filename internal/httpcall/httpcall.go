// Package httpcall makes HTTP calls whose replies may be large and cross slow links.
package httpcall

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Limits bound a call by what comes, not by how long the whole takes: on a connection on which
// a reply was lost nothing comes any more, but a large reply over a slow link takes its time.
// A call that was given 0.7 s in all never brought 887 KB over a link of 10 Mbit/s.
type Limits struct {
	// Wait is how long the other end may hold the reply back.
	ReplyWait time.Duration
	// Silence is the longest that nothing may come beside that.
	IdleTimeout time.Duration
	// Longest bounds the whole beside Wait.
	Timeout time.Duration
	// Bytes bounds the reply.
	MaxBytes int64
}

// progressBytes is how much is read at once: a read of a chunked body returns only when
// its buffer is full, and a buffer of 200 KB takes longer to fill on a slow link than a
// reply may be silent.
const progressBytes = 16 << 10

// Reply is an answer with its whole body, or with an error what has come of it.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do makes a call. Errors have code TooLarge or are the client's.
func Do(client *http.Client, req *http.Request, l Limits) (reply Reply, err error) {
	ctx, cancel := context.WithTimeout(req.Context(), l.ReplyWait+l.Timeout)
	defer cancel()
	silence := time.AfterFunc(l.ReplyWait+l.IdleTimeout, cancel)
	defer silence.Stop()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = resp.Body.Close() }() // what is wanted of it has been read
	progress := readerFunc(func(p []byte) (int, error) {
		silence.Reset(l.IdleTimeout)
		return resp.Body.Read(p[:min(len(p), progressBytes)])
	})
	body, err := io.ReadAll(io.LimitReader(progress, l.MaxBytes+1))
	if err == nil && int64(len(body)) > l.MaxBytes {
		err = fault.New(fault.TooLarge, "a reply of more than %d bytes", l.MaxBytes)
	}
	return Reply{resp.StatusCode, resp.Header, body}, err
}

// readerFunc is an io.Reader of one function.
type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }
