package gateway

import (
	"log/slog"
	"strings"
	"time"

	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/ratelimit"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/routing"
)

// UseRateLimiter replaces the limiter that enforces the rates which backend servers state. It must be
// called before the gateway handles requests.
func (g *Gateway) UseRateLimiter(l *ratelimit.Limiter) {
	g.notices = notice.NewRegistry(l, g.logNoticeChange)
}

// BeginShutdown begins the shutdown of a gateway that is not run by Serve. Requests that arrive within acceptFor are
// served as before, and those in progress are answered with an error after abortAfter.
func (g *Gateway) BeginShutdown(acceptFor, abortAfter time.Duration) {
	now := g.now()
	g.shutdown.schedule.Store(&shutdownSchedule{startedAt: now, acceptUntil: now.Add(acceptFor), abortAt: now.Add(abortAfter), exitAt: now.Add(abortAfter)})
	g.shutdown.begin()
	time.AfterFunc(abortAfter, g.shutdown.abort)
}

// HeldBytes returns the bytes that are held for requests and responses.
func (g *Gateway) HeldBytes() int64 {
	requests, responses := g.memory.Held()
	return requests + responses
}

// RequestsHeld returns how many requests with a body fit into the memory for request bodies. length is negative for a
// body in chunks.
func RequestsHeld(body string, length int64) (n int) {
	g := New(Settings{}, nil, registry.New(), slog.New(slog.DiscardHandler))
	for ; ; n++ {
		q := &request{table: &routing.Table{}}
		if g.readBody(q, strings.NewReader(body), length) != nil {
			return n
		}
	}
}
