package gateway

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// exitTracker determines whether a server process has exited after a connection to it broke. A
// reset, a malformed response or a truncated stream does not prove it, because a live server may
// cause them too. Requests that are interrupted at a server at about the same time share a check.
type exitTracker struct {
	mu         sync.Mutex
	exitChecks map[string]*exitCheck
	// pendingRuns are the interrupted runs for which it is not yet known whether the server has
	// exited, keyed by the server's instance ID.
	pendingRuns map[string][]interruptedRun
	// lastProbeRound is the time of the most recent round of probes by probeServers.
	lastProbeRound time.Time
}

// interruptedRun is a run of a request whose connection to the server broke.
type interruptedRun struct {
	id quarantine.ID
	// parts are the parts of the prompt, or nil if the server had already generated events for
	// quarantine.StartPeriod.
	parts []quarantine.Part
	crash quarantine.Crash
}

const (
	// exitReportTimeout is how long the server list may take to report that a server has exited:
	// three missed heartbeats of 1.2 s each, plus a restart that takes a few seconds.
	exitReportTimeout = 10 * time.Second
	// maxPendingRuns limits the pending runs of one server, maxPendingServers the servers with
	// pending runs.
	maxPendingRuns, maxPendingServers = 64, 256
)

// handleInterruptedRun handles a broken connection to a server that was running the request. It checks
// whether the server has exited, records the run accordingly, and returns the result of the check.
func (g *Gateway) handleInterruptedRun(q *request, server registry.Server, crash quarantine.Crash, meter *streamMeter) bool {
	if g.notices.Draining(server.InstanceID()) {
		return false // a planned shutdown
	}
	run := interruptedRun{id: q.quarantineID(), crash: crash}
	if meter.starting() {
		run.parts = q.quarantineParts()
	}
	check := g.checkExit(server, time.Time{})
	<-check.done
	if check.exited {
		g.recordExit(run)
	} else {
		g.exits.addPending(run)
	}
	return check.exited
}

// recordExit records in the quarantine trackers that a server exited while it ran a request. If this
// makes the request or parts of its prompt strong suspects, listed servers are probed in the background.
func (g *Gateway) recordExit(r interruptedRun) {
	servers := g.servers.ReachableCount(g.now())
	g.quarantine.SetServerCount(servers)
	g.parts.SetServerCount(servers)
	suspect, parts := g.recordCrash(r)
	if !suspect && len(parts) == 0 {
		return
	}
	go func() {
		g.probeServers()
		if suspect {
			g.quarantine.Rebroadcast(r.id, g.now())
		}
		for _, id := range parts {
			g.parts.Rebroadcast(id, g.now())
		}
	}()
}

// recordCrash records a crash in the quarantine trackers. It returns whether the request is a strong suspect now, and
// the parts of its prompt that are. The registry calls it with its lock held.
func (g *Gateway) recordCrash(r interruptedRun) (suspect bool, parts []quarantine.ID) {
	return g.quarantine.RecordCrash(r.id, r.crash, g.now()), g.parts.RecordCrash(r.id, r.parts, r.crash, g.now())
}

// recordServerCrash records the crash of a server instance, regardless of the requests it ran.
func (g *Gateway) recordServerCrash(instance string) {
	g.quarantine.RecordServerCrash(instance, g.now())
	g.parts.RecordServerCrash(instance, g.now())
}

const (
	// probeInterval is the minimum time between two rounds of probes, and maxProbes the number
	// of servers in a round. With 12 servers of which two exit every 0.6 s, a round of 16
	// probes finds both.
	probeInterval = time.Second
	maxProbes     = 16
)

// probeServers probes a sample of the listed servers, unless the last round of probes was too recent, and
// records those that have exited. Without the probes, exits during a general outage might be attributed to a
// request, because the server list takes seconds to report that idle servers have exited too.
func (g *Gateway) probeServers() {
	g.exits.mu.Lock()
	due := g.now().Sub(g.exits.lastProbeRound) >= probeInterval
	if due {
		g.exits.lastProbeRound = g.now()
	}
	g.exits.mu.Unlock()
	if !due {
		return
	}
	var probes sync.WaitGroup
	for _, server := range g.servers.Sample(maxProbes, g.random, func(s registry.Server) bool { return !g.quarantine.KnownCrashed(s.InstanceID()) }) {
		probes.Go(func() {
			if g.pool.RefusesConnections(context.Background(), server.Address) {
				g.recordServerCrash(server.InstanceID())
			}
		})
	}
	probes.Wait()
}

// addPending stores a run until it is known whether its server has exited. It also drops expired runs.
func (t *exitTracker) addPending(r interruptedRun) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for instance, runs := range t.pendingRuns {
		if r.crash.At.Sub(runs[len(runs)-1].crash.At) > exitReportTimeout {
			delete(t.pendingRuns, instance)
		}
	}
	runs := t.pendingRuns[r.crash.Server]
	if len(runs) < maxPendingRuns && (runs != nil || len(t.pendingRuns) < maxPendingServers) {
		t.pendingRuns[r.crash.Server] = append(runs, r)
	}
}

// serverExited handles a report that a server instance has exited. The report comes from the server list
// or from another server at the same address. It covers exits that checkExit does not detect, because
// connections are not refused if the host fails along with the server.
func (g *Gateway) serverExited(instance string) {
	if g.notices.Draining(instance) {
		return // a planned shutdown, even if the list does not show it as draining
	}
	now := g.now()
	g.recordServerCrash(instance)
	g.exits.mu.Lock()
	runs := g.exits.pendingRuns[instance]
	delete(g.exits.pendingRuns, instance)
	g.exits.mu.Unlock()
	for _, r := range runs {
		if now.Sub(r.crash.At) <= exitReportTimeout {
			g.recordCrash(r)
		}
	}
}

// exitCheck determines whether a server instance has exited.
type exitCheck struct {
	startedAt time.Time
	done      chan struct{} // closed when exited is set
	exited    bool
}

// exitCheckTTL is the age up to which a check is reused for further broken connections to the
// same server. When a process exits, all its connections break within a few milliseconds.
const exitCheckTTL = 200 * time.Millisecond

// foundExit reports whether the check has been completed and the server has exited.
func (c *exitCheck) foundExit() bool {
	select {
	case <-c.done:
		return c.exited
	default:
		return false
	}
}

// checkExit returns the current check of a server if it was started at notBefore or later or has found that the
// server has exited. Otherwise it starts a new one.
func (g *Gateway) checkExit(server registry.Server, notBefore time.Time) *exitCheck {
	g.exits.mu.Lock()
	defer g.exits.mu.Unlock()
	now, instance := g.now(), server.InstanceID()
	if c := g.exits.exitChecks[instance]; c != nil && now.Sub(c.startedAt) < exitCheckTTL &&
		(!c.startedAt.Before(notBefore) || c.foundExit()) {
		return c
	}
	for other, c := range g.exits.exitChecks {
		if now.Sub(c.startedAt) >= exitCheckTTL {
			delete(g.exits.exitChecks, other)
		}
	}
	c := &exitCheck{startedAt: now, done: make(chan struct{})}
	g.exits.exitChecks[instance] = c
	go g.runExitCheck(server, c)
	return c
}

// exitTime is how long a server that exits may take from the end of a connection until it refuses new ones. On a busy
// host, the process may wait for the processor in between.
const exitTime = 50 * time.Millisecond

// mayBeCut reports whether a response that has just ended with its connection may be cut, because the server has exited.
// It waits for exitTime at the end of a stream, whose events have been relayed already, but not at the end of other
// responses, for which the caller still waits.
//
// A server that is shut down as planned may have completed its last responses. They count as cut only if the request may
// be repeated, which costs less than delivering a part of a response as the whole.
func (g *Gateway) mayBeCut(ctx context.Context, q *request, server registry.Server) bool {
	if !q.route.MayRepeat() && g.isLeaving(server) {
		return false
	}
	if q.route.Kind == routing.Streaming {
		select {
		case <-ctx.Done():
		case <-time.After(exitTime):
		}
	}
	check := g.checkExit(server, g.now())
	<-check.done
	return check.exited
}

// isLeaving reports whether a server is expected to exit: it is draining or no longer listed.
func (g *Gateway) isLeaving(server registry.Server) bool {
	listed, ok := g.servers.FindInstance(server.InstanceID())
	return !ok || listed.Draining || g.notices.Draining(server.InstanceID())
}

// runExitCheck completes a check. A server has exited if its address refuses connections.
func (g *Gateway) runExitCheck(server registry.Server, c *exitCheck) {
	defer close(c.done)
	c.exited = g.pool.RefusesConnections(context.Background(), server.Address)
	if c.exited {
		telemetry.Count("merlinpost_backend_servers_ended_total", "service", server.Service)
		g.logger.Warn("backend server ended", slog.String("server", server.InstanceID()), slog.String("service", server.Service),
			slog.String("address", server.Address), slog.Duration("checked_in", g.now().Sub(c.startedAt)))
	}
}

// connectionBroke reports whether a send failed because its connection broke, and not because ctx ended.
func connectionBroke(ctx context.Context, result sendResult, err error) bool {
	return (result == mayHaveRun || result == truncated) && ctx.Err() == nil &&
		(fault.Is(err, fault.LinkLost) || fault.Is(err, fault.IncompleteResponse))
}
