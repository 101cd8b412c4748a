package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// endChecks find out whether a server whose connection broke has ended. A reset, a garbled
// answer or a stream that breaks off says nothing of it by itself: a server that goes on does
// the same. Requests that break at one server at a time share a check.
type endChecks struct {
	mu      sync.Mutex
	byStart map[string]*endCheck
	// unclear are runs whose connection broke while nothing told whether the server had ended,
	// by its start.
	unclear map[string][]brokenRun
	// surveyed is when servers were asked last whether they are still there.
	surveyed time.Time
}

// brokenRun is a run of a request whose connection broke.
type brokenRun struct {
	id  quarantine.ID
	end quarantine.Crash
}

const (
	// unclearFor is how long the list may take to tell of a server that has ended: three missed
	// heartbeats of 1.2 s, and a start of some seconds.
	unclearFor = 10 * time.Second
	// maxUnclear bounds the runs that are kept for it, of one server and of all.
	maxUnclear, maxUnclearServers = 64, 256
)

// brokeAt takes in that the connection broke on which a server ran the request, and reports
// whether the server is known to have ended.
func (g *Gateway) brokeAt(q *request, server registry.Server, end quarantine.Crash) bool {
	if g.notices.Draining(server.InstanceID()) {
		return false // it ends as it said
	}
	check := g.checkEnd(server)
	<-check.done
	if check.ended {
		g.endedWith(brokenRun{q.id(), end})
	} else {
		g.ends.keep(brokenRun{q.id(), end})
	}
	return check.ended
}

func (g *Gateway) endedWith(r brokenRun) {
	g.ledger.SetServerCount(g.servers.Reachable(g.now()))
	if g.ledger.RecordCrash(r.id, r.end, g.now()) {
		go func() {
			g.survey()
			g.ledger.Rebroadcast(r.id, g.now())
		}()
	}
}

const (
	// surveyEvery bounds how often a gateway looks which servers have ended, surveyMost how many it
	// asks: of 12 servers the two that end every 0.6 s show among 16 at once.
	surveyEvery = time.Second
	surveyMost  = 16
)

// survey asks servers that are listed whether they are still there, so that what ran on those that
// ended is not blamed for a time in which all servers end: the list tells only after seconds which
// idle ones have ended.
func (g *Gateway) survey() {
	g.ends.mu.Lock()
	due := g.now().Sub(g.ends.surveyed) >= surveyEvery
	if due {
		g.ends.surveyed = g.now()
	}
	g.ends.mu.Unlock()
	if !due {
		return
	}
	var asked sync.WaitGroup
	for _, server := range g.servers.Sample(surveyMost, g.draw, func(s registry.Server) bool { return !g.ledger.KnownCrashed(s.InstanceID()) }) {
		asked.Go(func() {
			if g.pool.Refused(context.Background(), server.Address) {
				g.ledger.RecordServerCrash(server.InstanceID(), g.now())
			}
		})
	}
	asked.Wait()
}

// keep keeps a run until it is clear whether its server has ended.
func (c *endChecks) keep(r brokenRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for start, runs := range c.unclear {
		if r.end.At.Sub(runs[len(runs)-1].end.At) > unclearFor {
			delete(c.unclear, start)
		}
	}
	runs := c.unclear[r.end.Server]
	if len(runs) < maxUnclear && (runs != nil || len(c.unclear) < maxUnclearServers) {
		c.unclear[r.end.Server] = append(runs, r)
	}
}

// startEnded takes in that the list, or another server at the address, tells that a start of a
// server has ended. The host of a server that went with it does not refuse connections.
func (g *Gateway) startEnded(start string) {
	if g.notices.Draining(start) {
		return // it drained, whether the list said so or not
	}
	now := g.now()
	g.ledger.RecordServerCrash(start, now)
	g.ends.mu.Lock()
	runs := g.ends.unclear[start]
	delete(g.ends.unclear, start)
	g.ends.mu.Unlock()
	for _, r := range runs {
		if now.Sub(r.end.At) <= unclearFor {
			g.ledger.RecordCrash(r.id, r.end, now)
		}
	}
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
	now, start := g.now(), server.InstanceID()
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
		g.logger.Warn("backend server ended", slog.String("server", server.InstanceID()), slog.String("service", server.Service),
			slog.String("address", server.Address), slog.Duration("checked_in", g.now().Sub(c.begun)))
	}
}

// broke reports whether a send failed because its connection broke, without anybody here
// having ended it.
func broke(ctx context.Context, result outcome, err error) bool {
	return (result == mayHaveRun || result == brokenOff) && ctx.Err() == nil &&
		(fault.Is(err, fault.LinkLost) || fault.Is(err, fault.IncompleteResponse))
}
