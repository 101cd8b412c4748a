package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// endChecks find out whether a server whose connection broke has ended. A reset, a garbled
// answer or a stream that breaks off says nothing of it by itself: a server that goes on does
// the same. Requests that break at one server at a time share a check.
type endChecks struct {
	mu      sync.Mutex
	byStart map[string]*endCheck
}

// endCheck is a check of one start of a server.
type endCheck struct {
	begun time.Time
	done  chan struct{} // closed when ended is known
	ended bool
}

// checkAgain is how old a check may be that tells of another broken connection too. The
// connections of a process that ends break within some ms.
const checkAgain = 200 * time.Millisecond

// checkEnd returns the check of a server whose connection has broken.
func (g *Gateway) checkEnd(server registry.Server) *endCheck {
	g.ends.mu.Lock()
	defer g.ends.mu.Unlock()
	now, start := g.now(), server.Start()
	if c := g.ends.byStart[start]; c != nil && now.Sub(c.begun) < checkAgain {
		return c
	}
	for other, c := range g.ends.byStart {
		if now.Sub(c.begun) >= checkAgain {
			delete(g.ends.byStart, other)
		}
	}
	c := &endCheck{begun: now, done: make(chan struct{})}
	g.ends.byStart[start] = c
	go g.probe(server, c)
	return c
}

// probe asks whether anybody listens where the server was.
func (g *Gateway) probe(server registry.Server, c *endCheck) {
	defer close(c.done)
	c.ended = g.pool.Refused(context.Background(), server.Address)
	if c.ended {
		telemetry.Count("merlinpost_backend_servers_ended_total", "service", server.Service)
		g.logger.Warn("backend server ended", slog.String("server", server.Start()), slog.String("service", server.Service),
			slog.String("address", server.Address), slog.Duration("checked_in", g.now().Sub(c.begun)))
	}
}

// broke reports whether a send failed because its connection broke, without anybody here
// having ended it.
func broke(ctx context.Context, result outcome, err error) bool {
	return (result == mayHaveRun || result == brokenOff) && ctx.Err() == nil &&
		(fault.Is(err, fault.LinkLost) || fault.Is(err, fault.ShortAnswer))
}
