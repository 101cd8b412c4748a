package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/routing"
)

const (
	// lateArrivalPeriod is how long new connections are accepted after shutdown has begun. The load balancer checks
	// readiness once a second and removes a gateway after the second failed check, so new connections arrive for
	// slightly more than two seconds. Requests that arrive in this period are served as before the shutdown.
	lateArrivalPeriod = 2600 * time.Millisecond
	// exitMargin is the time reserved at the end of DrainGrace for the process to exit.
	// abortMargin is the time before exitMargin that is reserved for answering the requests
	// still in progress with an error.
	exitMargin, abortMargin = 300 * time.Millisecond, 300 * time.Millisecond
)

// shutdown decides which requests a gateway may still begin once its shutdown has begun.
type shutdown struct {
	schedule atomic.Pointer[shutdownSchedule] // nil before the shutdown
	// begun is cancelled when the shutdown begins, aborted when requests still in progress must be answered with an error.
	begun, aborted context.Context
	begin, abort   context.CancelFunc
}

func newShutdown() *shutdown {
	s := &shutdown{}
	s.begun, s.begin = context.WithCancel(context.Background())
	s.aborted, s.abort = context.WithCancel(context.Background())
	return s
}

// start begins the shutdown and returns its schedule.
func (s *shutdown) start(now time.Time, grace time.Duration) *shutdownSchedule {
	exitAt := now.Add(grace - exitMargin)
	schedule := &shutdownSchedule{startedAt: now, acceptUntil: now.Add(lateArrivalPeriod), abortAt: exitAt.Add(-abortMargin), exitAt: exitAt}
	s.schedule.Store(schedule)
	s.begin()
	return schedule
}

// started reports whether the shutdown has begun.
func (s *shutdown) started() bool { return s.schedule.Load() != nil }

// shutdownSchedule holds the times of a shutdown.
type shutdownSchedule struct {
	startedAt   time.Time
	acceptUntil time.Time // end of lateArrivalPeriod
	abortAt     time.Time // requests still in progress are answered with an error
	exitAt      time.Time // the process exits
}

// latestStart returns the time after which a request must not be sent to a server any more, because its response could
// be cut off. receivedAt is when the whole request had been received, or zero if it has not been. deadline is when the
// request ends at the latest, and expected how long its response is expected to take.
func (s *shutdownSchedule) latestStart(receivedAt, deadline time.Time, expected time.Duration) time.Time {
	switch {
	case !deadline.Add(deadlineGrace).After(s.abortAt):
		return s.abortAt
	case receivedAt.IsZero() || receivedAt.After(s.acceptUntil):
		return s.acceptUntil
	}
	// The caller may have sent the request before it could know of the shutdown, so an expectation suffices.
	if latest := s.abortAt.Add(-expected); latest.After(s.acceptUntil) {
		return latest
	}
	return s.acceptUntil
}

// checkShutdown returns an error with the outcome fault.NotRun if the gateway is shutting down and a response that
// takes the expected time from now on could be cut off.
func (g *Gateway) checkShutdown(q *request, expected time.Duration) error {
	if s := g.shutdown.schedule.Load(); s != nil && g.now().After(s.latestStart(q.receivedAt, q.deadline, expected)) {
		return shuttingDownError()
	}
	return nil
}

// untilLatestStart returns a context for the steps before a send. It ends with ctx or, because of errShuttingDown, when
// the request may no longer be sent. The returned function must be called.
func (g *Gateway) untilLatestStart(ctx context.Context, q *request, expected time.Duration) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	receivedAt := q.receivedAt
	detach := context.AfterFunc(g.shutdown.begun, func() {
		latest := g.shutdown.schedule.Load().latestStart(receivedAt, q.deadline, expected)
		timer := time.AfterFunc(latest.Sub(g.now()), func() { cancel(errShuttingDown) })
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
	return ctx, func() { detach(); cancel(nil) }
}

// expectedTime returns how long the response to a request is expected to take if the request is sent now. The first
// event of a stream is expected after firstEvent.
func (g *Gateway) expectedTime(q *request, rel *relay, firstEvent time.Duration) time.Duration {
	if q.route.Kind != routing.Streaming {
		return q.route.TargetLatency
	}
	return firstEvent + g.expectedStreamTime(q, rel)
}

// expectedStreamTime returns the expected time from the next event of a stream to its end.
func (g *Gateway) expectedStreamTime(q *request, rel *relay) time.Duration {
	whole := g.responseTime(q.route.Name).Estimate(q.info.Prompt.OutputTokens)
	if !rel.started {
		return whole
	}
	return max(0, whole-(g.now().Sub(q.start)-rel.timeToFirstEvent))
}

func shuttingDownError() *fault.Error {
	return fault.New(fault.NotReady, "%w", errShuttingDown).WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
}
