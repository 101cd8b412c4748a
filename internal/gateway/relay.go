package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/merlinpost/merlinpost/internal/exchange"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/routing"
)

// relay is the answer as far as it has gone to the caller.
type relay struct {
	w       http.ResponseWriter
	started bool // the head has been sent
	status  int
	events  int
	first   time.Duration // from the request's start to its first event, 0 before
	lastID  int64
	hasID   bool
}

// canResume reports whether the stream can go on where it stopped.
func (r *relay) canResume() bool { return r.hasID || r.events == 0 }

// lastEventID is where a resumed stream goes on; empty if nothing was relayed.
func (r *relay) lastEventID() string {
	if !r.hasID {
		return ""
	}
	return strconv.FormatInt(r.lastID, 10)
}

// maxAnswer bounds an answer that is held until it is whole, in bytes. It is
// far above what services give and a small part of a host's memory.
const maxAnswer = 8 << 20

// take reads the server's answer and relays it if it is the caller's.
func (g *Gateway) take(ctx context.Context, q *request, rel *relay, resp *exchange.Response, answer ResponseInfo, w *watch) (outcome, error) {
	if answer.NotRun || resp.Status == http.StatusMisdirectedRequest {
		return refusedBy(resp)
	}
	if resp.Status/100 == 2 && !answer.Sealed {
		return mayHaveRun, fault.New(fault.EngineFailed, "the answer carries no proof").WithOutcome(fault.Unknown)
	}
	if q.route.Kind == routing.Streaming && resp.Status/100 == 2 {
		return g.stream(ctx, q, rel, resp, w)
	}
	if rel.started {
		return brokenOff, fault.New(fault.EngineFailed, "the server answered %d to a resumed stream", resp.Status).WithOutcome(fault.Partial)
	}
	body, err := io.ReadAll(io.LimitReader(resp, maxAnswer+1))
	switch {
	case err != nil && ctx.Err() != nil:
		return mayHaveRun, outOfTime(ctx, true)
	case err != nil:
		return mayHaveRun, fault.New(fault.IncompleteResponse, "the answer broke off: %w", err).WithOutcome(fault.Unknown)
	case len(body) > maxAnswer:
		return mayHaveRun, fault.New(fault.IncompleteResponse, "the answer has more than %d bytes", maxAnswer).WithOutcome(fault.Unknown)
	}
	if resp.Status >= http.StatusInternalServerError && q.route.MayRepeat() && len(q.sends) == 0 && q.route.MaxAttempts > 1 {
		return mayHaveRun, fault.New(fault.EngineFailed, "the server answered %d", resp.Status).WithOutcome(fault.Unknown)
	}
	rel.head(resp)
	rel.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rel.w.WriteHeader(resp.Status)
	_, _ = rel.w.Write(body) // a caller that has left shows in its context
	return delivered, nil
}

// refusedBy is a server's promise that it did not run the request.
func refusedBy(resp *exchange.Response) (outcome, error) {
	// The body is read so that the connection can be kept; its end does not matter.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxAnswer))
	code := fault.QueueFull
	if resp.Status == http.StatusMisdirectedRequest {
		code = fault.NoBackendServer
	}
	return notRun, fault.New(code, "the backend server refused the request with %d", resp.Status).
		WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
}

// head sets the caller's headers from the server's.
func (r *relay) head(resp *exchange.Response) {
	r.started = true
	r.status = resp.Status
	to := r.w.Header()
	closing := to.Get("Connection")
	for name, values := range resp.Header {
		if !connectionHeader(name, resp.Header) {
			to[name] = values
		}
	}
	if closing != "" {
		to.Set("Connection", closing)
	}
	if _, typed := resp.Header["Content-Type"]; !typed {
		to["Content-Type"] = nil // net/http would guess one
	}
	if _, dated := resp.Header["Date"]; !dated {
		to["Date"] = nil
	}
}

// stream relays events as they come.
func (g *Gateway) stream(ctx context.Context, q *request, rel *relay, resp *exchange.Response, w *watch) (outcome, error) {
	flusher := http.NewResponseController(rel.w)
	var events eventReader
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Read(buf)
		events.add(buf[:n])
		wrote := false
		for event := events.next(); event != nil; event = events.next() {
			if !rel.accept(event) {
				continue
			}
			if rel.first == 0 {
				rel.first = g.now().Sub(q.start)
			}
			w.event()
			if !rel.started {
				rel.head(resp)
				rel.w.WriteHeader(resp.Status)
			}
			if _, werr := rel.w.Write(event); werr != nil {
				return brokenOff, fault.New(fault.Cancelled, "the caller has left: %w", werr)
			}
			wrote = true
		}
		if err == io.EOF {
			return rel.end(resp, events.rest())
		}
		if wrote {
			if ferr := flusher.Flush(); ferr != nil {
				return brokenOff, fault.New(fault.Cancelled, "the caller has left: %w", ferr)
			}
		}
		if err != nil {
			return rel.broke(ctx, err)
		}
	}
}

// watch takes down what one send gives of a stream.
type watch struct {
	now   func() time.Time
	first func() // called with the first event
	seen  *permit.StreamStats
	begin time.Time // of the first event
	last  time.Time
}

// event counts an event that has come now.
func (w *watch) event() {
	now := w.now()
	if w.seen.Events == 0 {
		w.begin = now
		w.first()
	} else {
		w.seen.LongestGap = max(w.seen.LongestGap, now.Sub(w.last))
	}
	w.seen.Events++
	w.last = now
	w.seen.Duration = now.Sub(w.begin)
}

// accept reports whether the event is to be relayed, and counts it. Events that
// the caller already has, which a resumed run may send again, are not.
func (r *relay) accept(event []byte) bool {
	if id, ok := eventID(event); ok {
		if r.hasID && id <= r.lastID {
			return false
		}
		r.lastID, r.hasID = id, true
	}
	r.events++
	return true
}

// end completes the stream with what stands behind its last whole event.
func (r *relay) end(resp *exchange.Response, rest []byte) (outcome, error) {
	if !r.started {
		r.head(resp)
		r.w.WriteHeader(resp.Status)
	}
	if len(rest) > 0 {
		_, _ = r.w.Write(rest) // a caller that has left shows in its context
	}
	return delivered, nil
}

// broke types a stream that ended before its end.
func (r *relay) broke(ctx context.Context, err error) (outcome, error) {
	result, told := mayHaveRun, fault.Unknown
	if r.started {
		result, told = brokenOff, fault.Partial
	}
	if ctx.Err() != nil {
		return result, outOfTime(ctx, true)
	}
	return result, fault.New(fault.IncompleteResponse, "the stream broke off after %d events: %w", r.events, err).WithOutcome(told)
}

// connectionHeaders concern one connection only.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// connectionHeader reports whether the header is not to be passed on.
func connectionHeader(name string, h http.Header) bool {
	if connectionHeaders[name] {
		return true
	}
	for _, list := range h["Connection"] {
		for _, token := range strings.Split(list, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}
