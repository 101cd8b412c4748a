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
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/registry"
)

// relayStream relays a stream of server-sent events, each event as soon as it is complete.
func (g *Gateway) relayStream(ctx context.Context, q *request, server registry.Server, rel *relay, resp *exchange.Response, meter *streamMeter) (sendResult, error) {
	var events eventstream.Reader
	limits := streamLimits{held: g.memory.Response(), eventTime: callerWait(q.route)}
	defer limits.release()
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Read(buf)
		events.Add(buf[:n])
		wrote, werr := g.relayEvents(q, rel, resp, meter, &events, err != nil)
		if werr == nil && wrote && err != io.EOF {
			werr = rel.flush()
		}
		if err == nil {
			err = limits.check(streamState{isEvents: rel.hasID || events.IsEvents(resp.Header), events: rel.events, pending: len(events.Incomplete()),
				repeated: meter.skippedBytes - rel.relayedBytes}, g.now())
		}
		switch {
		case werr != nil:
			return truncated, fault.New(fault.Cancelled, "the caller has left: %w", werr)
		case err == io.EOF:
			return g.endStream(ctx, q, server, rel, resp, meter, &events)
		case err != nil:
			meter.recordEnd(streamFailed, &events)
			rel.eventBegun = meter.incomplete > 0
			return rel.streamError(ctx, err)
		}
	}
}

// relayEvents relays those of the complete events that are new, without flushing them. atEnd tells that no more data
// will arrive. An error means that the caller has disconnected.
func (g *Gateway) relayEvents(q *request, rel *relay, resp *exchange.Response, meter *streamMeter, events *eventstream.Reader, atEnd bool) (wrote bool, err error) {
	for event := events.Next(atEnd); event != nil; event = events.Next(atEnd) {
		if !rel.recordIfNew(event) {
			meter.skippedBytes += int64(len(event))
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
			return wrote, err
		}
		rel.relayedBytes += int64(len(event))
		wrote = true
	}
	return wrote, nil
}

// flush sends what has been written to the caller. An error means that the caller has disconnected.
func (r *relay) flush() error { return http.NewResponseController(r.w).Flush() }

// endStream ends a stream whose body has ended as its framing requires.
func (g *Gateway) endStream(ctx context.Context, q *request, server registry.Server, rel *relay, resp *exchange.Response, meter *streamMeter, events *eventstream.Reader) (sendResult, error) {
	if !rel.hasID && !events.IsEvents(resp.Header) {
		rel.finishStream(resp, events.Incomplete()) // not a stream of events
		return delivered, nil
	}
	meter.recordEnd(streamEndedAfterEvent, events)
	err := checkStreamEnd(q, rel, meter)
	if err == nil && resp.Framing != exchange.FramedByClose {
		rel.finishStream(resp, events.Incomplete())
		return delivered, nil
	}
	// The events are flushed before the server is probed, and because aborting the response would discard them.
	if rel.started {
		if werr := rel.flush(); werr != nil {
			return truncated, fault.New(fault.Cancelled, "the caller has left: %w", werr)
		}
	}
	if err == nil && g.mayBeCut(ctx, q, server) {
		err = errServerExited
	}
	if err != nil {
		rel.eventBegun = meter.incomplete > 0
		return rel.streamError(ctx, err)
	}
	rel.finishStream(resp, events.Incomplete())
	return delivered, nil
}

// Reasons why a stream is incomplete although its body ended regularly.
var (
	errEndedInsideEvent = errors.New("the response ended inside an event")
	errEndedEmpty       = errors.New("the response has no event")
	errNotContinued     = errors.New("the resumed stream does not continue the event that the previous one had begun")
	errServerExited     = errors.New("the server exited when it closed the connection")
)

// checkStreamEnd returns an error if a stream of events that ended regularly is incomplete.
func checkStreamEnd(q *request, rel *relay, meter *streamMeter) error {
	resumed := rel.hasID || q.info.LastEventID != ""
	switch {
	case meter.end == streamEndedInsideEvent:
		return errEndedInsideEvent
	case meter.end == streamEndedEmpty && rel.eventBegun:
		return errNotContinued
	case meter.end == streamEndedEmpty && !resumed && q.method != http.MethodHead:
		return errEndedEmpty
	}
	return nil
}

// finishStream ends a complete response. rest is the data that has not been relayed.
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
	onStarted    func() // called when events have arrived for quarantine.StartPeriod; may be nil
	started      bool
	stats        *permit.StreamStats
	firstAt      time.Time // arrival of the first event
	lastAt       time.Time // arrival of the last event
	end          streamEnd
	incomplete   int   // bytes that follow the last complete event
	skippedBytes int64 // size of the events that a previous send had relayed
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
	if !m.started && m.stats.Duration >= quarantine.StartPeriod {
		m.started = true
		if m.onStarted != nil {
			m.onStarted()
		}
	}
}

// startedAt returns when the response began: the arrival of its first event, or the time it was requested.
func (m *streamMeter) startedAt(sentAt time.Time) time.Time {
	if m.stats.Events == 0 {
		return sentAt
	}
	return m.firstAt
}

// starting reports whether events have arrived for less than quarantine.StartPeriod.
func (m *streamMeter) starting() bool {
	return m.stats.Events == 0 || m.now().Sub(m.firstAt) < quarantine.StartPeriod
}

// recordEnd records the end of the stream: streamFailed, or streamEndedAfterEvent unless the last event is incomplete
// or there is none.
func (m *streamMeter) recordEnd(end streamEnd, events *eventstream.Reader) {
	m.end, m.incomplete = end, 0
	if events.InsideEvent() {
		m.incomplete = len(events.Incomplete())
	}
	switch {
	case end == streamFailed:
	case m.incomplete > 0:
		m.end = streamEndedInsideEvent
	case m.stats.Events == 0:
		m.end = streamEndedEmpty
	}
}
