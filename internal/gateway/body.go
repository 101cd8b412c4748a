package gateway

import (
	"io"
	"net/http"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// defaultBody bounds a request's body in bytes where the configuration does
// not.
const defaultBody = 4 << 20

// readBody reads the request's body whole: only then can a send be repeated, and
// only then does net/http notice that the caller leaves.
func (g *Gateway) readBody(q *request, r *http.Request) error {
	bound := q.table.Limits.BodyBytes
	if bound <= 0 {
		bound = defaultBody
	}
	q.hasBody = r.ContentLength != 0
	switch {
	case !q.hasBody:
		return nil
	case r.ContentLength > bound:
		return tooLarge(bound)
	}
	var err error
	if r.ContentLength > 0 {
		if err := g.reserve(q, r.ContentLength); err != nil {
			return err
		}
		q.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(r.Body, q.body)
	} else {
		if err := g.reserve(q, bound); err != nil {
			return err
		}
		q.body, err = io.ReadAll(io.LimitReader(r.Body, bound+1))
	}
	if int64(len(q.body)) > bound {
		return tooLarge(bound)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body) // to its end
	}
	if err != nil {
		return fault.New(fault.BadRequest, "the body is not whole: %w", err).WithField("body").WithOutcome(fault.NotRun)
	}
	return nil
}

// reserve takes room for a body; release gives it back.
func (g *Gateway) reserve(q *request, n int64) error {
	if g.bodies.Add(n) > maxBodies {
		g.bodies.Add(-n)
		return fault.New(fault.LinkBusy, "the bodies of requests in progress take %d bytes", int64(maxBodies)).
			WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
	}
	q.reserved = n
	return nil
}

func (g *Gateway) release(q *request) { g.bodies.Add(-q.reserved) }

func tooLarge(bound int64) error {
	return fault.New(fault.TooLarge, "the body has more than %d bytes", bound).WithField("body").WithOutcome(fault.NotRun)
}
