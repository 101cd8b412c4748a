package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/merlinpost/merlinpost/internal/eventstream"
	"github.com/merlinpost/merlinpost/internal/exchange"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/registry"
)

// relayStream relays a stream of server-sent events, each event as soon as it is complete.
func (g *Gateway) relayStream(ctx context.Context, q *request, server registry.Server, rel *relay, resp *exchange.Response, meter *streamMeter) (sendResult, error) {
	var events eventstream.Reader
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Read(buf)
		events.Add(buf[:n])
		if werr := g.relayEvents(q, rel, resp, meter, &events, err != nil); werr != nil {
			return truncated, fault.New(fault.Cancelled, "the caller has left: %w", werr)
		}
		if err == nil {
			continue
		}
		incomplete := events.Incomplete()
		meter.recordEnd(err, len(incomplete))
		if err == io.EOF {
			err = g.checkStreamEnd(q, server, rel, resp, meter, rel.hasID || events.IsEvents(resp.Header))
		}
		rel.eventBegun = len(incomplete) > 0
		if err != nil {
			return rel.streamError(ctx, err)
		}
		rel.finishStream(resp, incomplete)
		return delivered, nil
	}
}

// relayEvents relays those of the complete events that are new. atEnd tells that no more data will arrive. An error
// means that the caller has disconnected.
func (g *Gateway) relayEvents(q *request, rel *relay, resp *exchange.Response, meter *streamMeter, events *eventstream.Reader, atEnd bool) error {
	wrote := false
	for event := events.Next(atEnd); event != nil; event = events.Next(atEnd) {
		if !rel.recordIfNew(event) {
			continue
		}
		if rel.timeToFirstEvent == 0 {
			rel.timeToFirstEvent = g.now().Sub(q.start)
		}
		meter.recordEvent()
		if !rel.started {
			rel.startResponse(resp)
			rel.w.WriteHeader(resp.Status)
		}
		if _, err := rel.w.Write(event); err != nil {
			return err
		}
		wrote = true
	}
	if !wrote {
		return nil
	}
	return http.NewResponseController(rel.w).Flush()
}

// Reasons why a stream is incomplete although its body ended regularly.
var (
	errEndedInsideEvent = errors.New("the response ended inside an event")
	errEndedEmpty       = errors.New("the response has no event")
	errNotContinued     = errors.New("the resumed stream does not continue the event that the previous one had begun")
	errServerExited     = errors.New("the server exited when it closed the connection")
)

// checkStreamEnd returns an error if a stream whose body ended regularly is incomplete. If it is not a stream of
// events, its framing alone determines whether it is complete.
func (g *Gateway) checkStreamEnd(q *request, server registry.Server, rel *relay, resp *exchange.Response, meter *streamMeter, isEvents bool) error {
	if !isEvents {
		return nil
	}
	empty := meter.end == streamEndedEmpty
	switch {
	case meter.end == streamEndedInsideEvent:
		return errEndedInsideEvent
	case empty && rel.eventBegun:
		return errNotContinued
	case empty && !rel.hasID && q.info.LastEventID == "" && q.method != http.MethodHead:
		return errEndedEmpty
	case resp.Framing == exchange.FramedByClose && g.exitedUnexpectedly(server, g.now()):
		return errServerExited
	}
	return nil
}

// finishStream ends a complete stream. rest is the data that follows the last event, which only a body that is not a
// stream of events has.
func (r *relay) finishStream(resp *exchange.Response, rest []byte) {
	if !r.started {
		r.startResponse(resp)
		r.w.WriteHeader(resp.Status)
	}
	if len(rest) > 0 {
		_, _ = r.w.Write(rest) // fails only if the caller has disconnected
	}
}

// streamError classifies the failure of a stream that ended early.
func (r *relay) streamError(ctx context.Context, err error) (sendResult, error) {
	result, outcome := mayHaveRun, fault.Unknown
	if r.started {
		result, outcome = truncated, fault.Partial
	}
	if ctx.Err() != nil {
		return result, contextError(ctx, true)
	}
	return result, fault.New(fault.IncompleteResponse, "the stream broke off after %d events: %w", r.events, err).WithOutcome(outcome)
}

// recordIfNew records an event that is to be relayed, and reports whether it is new. A server may send events
// again when it resumes a stream; those have already been relayed.
func (r *relay) recordIfNew(event []byte) bool {
	if id, ok := eventstream.ID(event); ok {
		if r.hasID && id <= r.lastID {
			return false
		}
		r.lastID, r.hasID = id, true
	}
	r.events++
	return true
}

// canResume reports whether another server can resume the stream after the last relayed event.
func (r *relay) canResume() bool { return r.hasID || r.events == 0 }

// lastEventID returns the ID of the last relayed event, or an empty string if there is none.
func (r *relay) lastEventID() string {
	if !r.hasID {
		return ""
	}
	return strconv.FormatInt(r.lastID, 10)
}

// streamMeter collects the event statistics of the stream of one send.
type streamMeter struct {
	now          func() time.Time
	onFirstEvent func() // called when the first event arrives
	stats        *permit.StreamStats
	firstAt      time.Time // arrival of the first event
	lastAt       time.Time // arrival of the last event
	end          streamEnd
	incomplete   int // bytes that follow the last complete event
}

// streamEnd is the position in a stream of events at which it ended.
type streamEnd string

const (
	streamEndedAfterEvent  streamEnd = "after_event"
	streamEndedInsideEvent streamEnd = "inside_event"
	streamEndedEmpty       streamEnd = "empty" // no event that has not been relayed before
	streamFailed           streamEnd = "error" // the connection broke or the body's framing was violated
)

// recordEvent records an event that arrives now.
func (m *streamMeter) recordEvent() {
	now := m.now()
	if m.stats.Events == 0 {
		m.firstAt = now
		m.onFirstEvent()
	} else {
		m.stats.LongestGap = max(m.stats.LongestGap, now.Sub(m.lastAt))
	}
	m.stats.Events++
	m.lastAt = now
	m.stats.Duration = now.Sub(m.firstAt)
}

// recordEnd records that the stream ended with err, io.EOF if its framing is complete, after the given number of bytes
// of an incomplete event.
func (m *streamMeter) recordEnd(err error, incomplete int) {
	m.incomplete = incomplete
	switch {
	case err != io.EOF:
		m.end = streamFailed
	case incomplete > 0:
		m.end = streamEndedInsideEvent
	case m.stats.Events == 0:
		m.end = streamEndedEmpty
	default:
		m.end = streamEndedAfterEvent
	}
}
