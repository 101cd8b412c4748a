package gateway

import (
	"errors"
	"io"
	"log/slog"
	"time"

	"github.com/merlinpost/merlinpost/internal/bytebudget"
	"github.com/merlinpost/merlinpost/internal/exchange"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

const (
	// maxBufferedBodyBytes limits the size of a response body, which is buffered before it is
	// relayed unless it is a stream. It is far larger than the responses of the services and a
	// small fraction of a host's memory.
	maxBufferedBodyBytes = 8 << 20
	// maxEventBytes limits the size of an event of a stream, which is buffered until it is complete. An event has a few
	// tokens, some hundred bytes.
	maxEventBytes = 1 << 20
	// minEventReads is the number of reads below which the time that an event takes to arrive is not limited: a network
	// that delays its parts is no fault of the server.
	minEventReads = 16
	// minBodyBlock and maxBodyBlock are the sizes in which the buffer of a response body grows.
	minBodyBlock, maxBodyBlock = 4 << 10, 64 << 10
)

// limitOfAllResponses is the limit that a response exceeds if the memory for all responses is taken.
const limitOfAllResponses = "memory for responses"

// bufferedBody is a response body that is buffered before it is relayed.
type bufferedBody struct {
	held   *bytebudget.Response
	blocks [][]byte
	size   int
}

// readFrom reads the whole body. It returns an *exchange.LimitError if the body is too large.
func (b *bufferedBody) readFrom(resp *exchange.Response) error {
	var block []byte
	for {
		if len(block) == cap(block) {
			n := b.nextBlock(resp.Length)
			switch {
			case b.size > maxBufferedBodyBytes:
				return &exchange.LimitError{Limit: "size of a response body", Bytes: int64(b.size)}
			case !b.held.Resize(int64(b.size + n)):
				return &exchange.LimitError{Limit: limitOfAllResponses, Bytes: int64(b.size)}
			}
			block = make([]byte, 0, n)
			b.blocks = append(b.blocks, block)
		}
		n, err := resp.Read(block[len(block):cap(block)])
		block = block[:len(block)+n]
		b.blocks[len(b.blocks)-1] = block
		b.size += n
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// nextBlock returns the size of the next block of a body whose length is given, or -1 if it is unknown.
func (b *bufferedBody) nextBlock(length int64) int {
	if length < 0 {
		return min(max(b.size, minBodyBlock), maxBodyBlock)
	}
	const eof = 1 // room for the read that returns io.EOF
	return int(max(min(length-int64(b.size)+eof, maxBodyBlock), eof))
}

// writeTo relays the body.
func (b *bufferedBody) writeTo(w io.Writer) {
	for _, block := range b.blocks {
		if _, err := w.Write(block); err != nil {
			return // the caller has disconnected
		}
	}
}

// release returns the memory of the body.
func (b *bufferedBody) release() { b.held.Resize(0) }

// streamLimits limits what a stream may hold and how long it may go on without a new event.
type streamLimits struct {
	held      *bytebudget.Response
	eventTime time.Duration // time in which a new event must be complete once data arrives

	events  int       // number of events at the last check
	begunAt time.Time // first read after the last event
	reads   int       // number of reads after the last event
}

// streamState is the state of a stream after a read.
type streamState struct {
	isEvents bool // false if the body is not a stream of events
	events   int  // events that have been relayed
	pending  int  // bytes that are not part of a complete event
	// repeated is by how many bytes the events that a server has sent again exceed those that had been relayed.
	repeated int64
}

// check is called after each read. The error is an *exchange.LimitError.
func (l *streamLimits) check(s streamState, now time.Time) error {
	switch {
	case s.events != l.events:
		l.events, l.reads = s.events, 0
	case l.reads == 0:
		l.begunAt, l.reads = now, 1
	default:
		l.reads++
	}
	limit, bytes := "", int64(s.pending)
	switch {
	case s.isEvents && s.pending > maxEventBytes:
		limit = "size of an event"
	case !s.isEvents && s.pending > maxBufferedBodyBytes:
		limit = "size of a response body"
	case s.isEvents && l.reads >= minEventReads && now.Sub(l.begunAt) >= l.eventTime:
		limit = "time of an event"
	case s.repeated > maxEventBytes:
		limit, bytes = "size of the events sent again", s.repeated
	case !l.held.Resize(int64(s.pending)):
		limit = limitOfAllResponses
	default:
		return nil
	}
	return &exchange.LimitError{Limit: limit, Bytes: bytes}
}

// release returns the memory of the stream.
func (l *streamLimits) release() { l.held.Resize(0) }

// logExceededLimit counts and logs a response that was broken off because it exceeded a limit.
func (g *Gateway) logExceededLimit(server registry.Server, err error) {
	var e *exchange.LimitError
	if !errors.As(err, &e) {
		return
	}
	telemetry.Count("merlinpost_gateway_response_limits_total", "service", server.Service, "limit", e.Limit)
	if g.logLimiter.Allow("response limit", g.now()) {
		g.logger.Warn("response exceeded a limit", slog.String("server", server.InstanceID()), slog.String("service", server.Service),
			slog.String("address", server.Address), slog.String("limit", e.Limit), slog.Int64("bytes", e.Bytes))
	}
}

// reportHeldBytes updates the metrics of the memory that requests and responses take.
func (g *Gateway) reportHeldBytes() {
	requests, responses := g.memory.Held()
	telemetry.SetGauge("merlinpost_gateway_held_bytes", float64(requests), "kind", "requests")
	telemetry.SetGauge("merlinpost_gateway_held_bytes", float64(responses), "kind", "responses")
}
