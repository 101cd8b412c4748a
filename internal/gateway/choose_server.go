package gateway

import (
	"context"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/peers"
	"github.com/merlinpost/merlinpost/internal/placement"
)

// noServerError returns the error for a request that no backend server can receive.
func (g *Gateway) noServerError(q *request) error {
	return fault.New(fault.NoBackendServer, "no backend server of service %q is ready", q.service).
		WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
}

// chooseServer selects the backend server for the next send and acquires a permit for it where one is required.
func (g *Gateway) chooseServer(ctx context.Context, q *request, tried map[string]bool, t trackedRun, rel *relay) (placement.Choice, peers.Permit, error) {
	if g.needsPermit(q) {
		return g.acquirePermit(ctx, q, tried, t, rel)
	}
	candidates := g.candidates(q.service, tried)
	g.recordNotices(q)
	c, err := g.chooseLocally(q, candidates)
	return c, peers.Permit{}, err
}

// chooseLocally selects a server without asking other gateways. If the server states a rate limit, the
// request is charged to this gateway's share of it.
func (g *Gateway) chooseLocally(q *request, listed []placement.Candidate) (placement.Choice, error) {
	for {
		available, exhausted, wait := g.filterAvailable(listed)
		c := g.selectServer(q, available)
		switch {
		case c.Candidate == nil && exhausted > 0:
			return c, g.rateLimitedError(exhausted, wait)
		case c.Candidate == nil:
			return c, g.unavailableError(q, listed)
		case g.notices.Limits().Allow(c.Candidate.Server.InstanceID(), g.now()):
			return c, nil
		}
		// A concurrent request used up the server's rate limit. Select again.
	}
}

// available returns the candidates that accept a request from this gateway now, the number of candidates
// whose rate limit is exhausted, and the time until the first of those accepts a request again.
func (g *Gateway) filterAvailable(listed []placement.Candidate) (available []placement.Candidate, exhausted int, wait time.Duration) {
	if g.notices.Empty() {
		return listed, 0, 0
	}
	wait = maxRetryAfter
	for _, c := range listed {
		b := g.notices.Limits().Budget(c.Server.InstanceID(), g.now())
		switch {
		case c.RetryAfter > 0:
		case b.Wait > 0:
			exhausted++
			wait = min(wait, b.Wait)
		default:
			available = append(available, c)
		}
	}
	return available, exhausted, wait
}

// selectServer applies the route's placement strategy. The choice has no candidate if candidates is empty.
func (g *Gateway) selectServer(q *request, candidates []placement.Candidate) placement.Choice {
	if q.route.PrefixAffinity {
		return placement.ChooseEngine(g.placementRequest(q), candidates)
	}
	return placement.ChoosePlain(g.placementRequest(q), candidates)
}

// candidates returns the servers of a service that may receive requests. Servers that announced in a
// response that they are draining are left out even if they are listed as ready, because the server list
// is stale while the store is unavailable.
func (g *Gateway) candidates(service string, tried map[string]bool) []placement.Candidate {
	now := g.now()
	backends := g.servers.Ready(service)
	out := make([]placement.Candidate, 0, len(backends))
	for _, b := range backends {
		s := b.Server()
		if !g.notices.Draining(s.InstanceID()) {
			out = append(out, placement.Candidate{Backend: b, Server: s, View: b.View(now), Tried: tried[s.InstanceID()],
				RetryAfter: g.notices.BackoffRemaining(s.InstanceID(), now)})
		}
	}
	return out
}

// groupCount returns the number of groups of a service's servers. It counts the servers
// that are listed as ready, whatever this gateway knows of them from responses, because all gateways share
// the list and so get the same number.
func (g *Gateway) groupCount(service string) int {
	return placement.GroupCount(len(g.servers.Ready(service)))
}

func (g *Gateway) placementRequest(q *request) placement.Request {
	return placement.Request{Prompt: q.info.Prompt, Key: q.info.ID,
		FailureDomain: g.settings.Load().FailureDomain, Draw: g.random()}
}
