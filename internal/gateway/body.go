package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/bytebudget"
	"github.com/merlinpost/merlinpost/internal/fault"
)

// memoryLimits are the limits of the bytes that are held for requests and responses. They leave two thirds of the memory
// of the smallest host, 184 MB, to connections and the Go runtime.
var memoryLimits = bytebudget.Limits{Total: 62 << 20, Requests: 46 << 20, Responses: 31 << 20, SmallResponses: 4 << 20}

// defaultMaxBodyBytes is the limit on the size of a request body if the configuration sets none.
const defaultMaxBodyBytes = 4 << 20

// errBodyStalled is the cause of a body that does not arrive in time.
var errBodyStalled = errors.New("the request body did not arrive in time")

// receiveBody reads the request body while the request may still be sent to a server. It gives up at the request's
// deadline, and if no data arrives for the idle timeout of the configuration.
func (g *Gateway) receiveBody(w http.ResponseWriter, r *http.Request, q *request) error {
	if r.ContentLength == 0 {
		return nil
	}
	if err := g.checkShutdown(q, 0); err != nil {
		return err
	}
	ctx, release := g.untilLatestStart(r.Context(), q, 0)
	defer release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	interrupted := context.AfterFunc(ctx, func() {
		// If this fails, the connection is broken and the body ends as well.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now())
	})
	stalled := time.AfterFunc(g.bodyPatience(q), func() { cancel(errBodyStalled) })
	err := g.readBody(q, progressReader{r.Body, func() { stalled.Reset(g.bodyPatience(q)) }}, r.ContentLength)
	stalled.Stop()
	if interrupted() {
		return err
	}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errShuttingDown):
		return shuttingDownError()
	case errors.Is(cause, errBodyStalled):
		return fault.New(fault.BodyTimeout, "%w", errBodyStalled).WithField("body").WithOutcome(fault.NotRun)
	}
	return err
}

// bodyPatience returns how long the next data of the request body may take.
func (g *Gateway) bodyPatience(q *request) time.Duration {
	return min(orDefault(q.table.Limits.IdleTimeout, defaultIdleTimeout), q.deadline.Sub(g.now()))
}

// progressReader calls onData when data has been read.
type progressReader struct {
	io.Reader
	onData func()
}

// Read implements io.Reader.
func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onData()
	}
	return n, err
}

// readBody reads the whole request body, whose length is negative if it is unknown, into memory, because the request may
// be sent more than once, and because net/http detects that a caller has disconnected only after the body has been read.
func (g *Gateway) readBody(q *request, body io.Reader, length int64) error {
	limit := q.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	q.hasBody = true
	if length > limit {
		return bodyTooLarge(limit)
	}
	capacity := length
	if length < 0 {
		capacity = min(firstBodyBytes, limit)
	}
	for {
		if err := g.growBody(q, capacity); err != nil {
			return err
		}
		n, err := io.ReadFull(body, q.body[len(q.body):capacity])
		q.body = q.body[:len(q.body)+n]
		ended := length < 0 && (err == io.EOF || err == io.ErrUnexpectedEOF)
		switch {
		case ended:
			return nil
		case err != nil:
			return incompleteBody(err)
		case int64(len(q.body)) == length || int64(len(q.body)) == limit:
			return expectBodyEnd(body, limit)
		}
		capacity = min(2*capacity, limit)
	}
}

// expectBodyEnd reads the end of a body of which as much has been read as there may be.
func expectBodyEnd(body io.Reader, limit int64) error {
	var beyond [1]byte
	n, err := io.ReadFull(body, beyond[:])
	switch {
	case n > 0:
		return bodyTooLarge(limit)
	case err != io.EOF:
		return incompleteBody(err)
	}
	return nil
}

// firstBodyBytes is how much is reserved for a body of unknown length at first.
const firstBodyBytes = 4 << 10

// growBody gives q.body the given capacity and reserves it until releaseBody is called. It fails if the request bodies
// would exceed memoryLimits in total.
func (g *Gateway) growBody(q *request, capacity int64) error {
	if !g.memory.ReserveRequest(capacity - q.reservedBytes) {
		return fault.New(fault.LinkBusy, "the request bodies in memory would exceed %d bytes in total", memoryLimits.Requests).
			WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
	}
	q.reservedBytes = capacity
	grown := make([]byte, len(q.body), capacity)
	copy(grown, q.body)
	q.body = grown
	return nil
}

// dropBody releases the body, unless it is small, before the request ends. It is called when the request will not be sent
// again.
func (g *Gateway) dropBody(q *request) {
	if q.reservedBytes > firstBodyBytes {
		_ = q.quarantineID() // is computed from the body at the first call
		g.releaseBody(q)
	}
}

// releaseBody gives back the memory of the body.
func (g *Gateway) releaseBody(q *request) {
	g.memory.ReleaseRequest(q.reservedBytes)
	q.body, q.reservedBytes = nil, 0
}

func incompleteBody(err error) error {
	return fault.New(fault.BadRequest, "the request body is incomplete: %w", err).WithField("body").WithOutcome(fault.NotRun)
}

func bodyTooLarge(limit int64) error {
	return fault.New(fault.TooLarge, "the request body exceeds %d bytes", limit).WithField("body").WithOutcome(fault.NotRun)
}
