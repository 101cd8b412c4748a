package gateway

import (
	"context"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/peers"
	"github.com/merlinpost/merlinpost/internal/placement"
)

// noServer is the answer where no backend server may get work.
func (g *Gateway) noServer(q *request) error {
	return fault.New(fault.NoBackendServer, "no backend server of service %q is ready", q.service).
		WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
}

// choose picks the backend server for the next send and gets leave to send it.
func (g *Gateway) choose(ctx context.Context, q *request, tried map[string]bool, t turn, rel *relay) (placement.Choice, peers.Permit, error) {
	if g.needsPermit(q) {
		return g.acquire(ctx, q, tried, t, rel)
	}
	candidates := g.candidates(q.service, tried)
	g.noteStanding(q)
	c, err := g.place(q, candidates)
	return c, peers.Permit{}, err
}

// place chooses a server by what this gateway knows alone, and takes leave of this gateway's share
// where the server states a rate.
func (g *Gateway) place(q *request, listed []placement.Candidate) (placement.Choice, error) {
	for {
		free, exhausted, wait := g.free(listed)
		c := g.pick(q, free)
		switch {
		case c.Candidate == nil && exhausted > 0:
			return c, g.limited(exhausted, wait)
		case c.Candidate == nil:
			return c, g.noneOf(q, listed)
		case g.notices.Limits().Allow(c.Candidate.Server.InstanceID(), g.now()):
			return c, nil
		}
		// Another request has taken the server's last place meanwhile.
	}
}

// free returns the candidates that take a request of this gateway now, how many others take none by the
// rates that they state, and when the first of these does.
func (g *Gateway) free(listed []placement.Candidate) (free []placement.Candidate, exhausted int, wait time.Duration) {
	if g.notices.Empty() {
		return listed, 0, 0
	}
	wait = longestReturn
	for _, c := range listed {
		b := g.notices.Limits().Budget(c.Server.InstanceID(), g.now())
		switch {
		case c.RetryAfter > 0:
		case b.Wait > 0:
			exhausted++
			wait = min(wait, b.Wait)
		default:
			free = append(free, c)
		}
	}
	return free, exhausted, wait
}

// pick chooses among candidates; without one where there are none.
func (g *Gateway) pick(q *request, candidates []placement.Candidate) placement.Choice {
	if q.route.PrefixAffinity {
		return placement.ChooseEngine(g.placementRequest(q), candidates)
	}
	return placement.ChoosePlain(g.placementRequest(q), candidates)
}

// candidates are the servers of a service that may get work now. The list is not all that counts: it
// is as old as the store is silent, while a server says in its answers that it leaves.
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

// groups returns the number of groups of a service's servers: those that are listed, as all gateways
// have one list.
func (g *Gateway) groups(service string) int {
	return placement.GroupCount(len(g.servers.Ready(service)))
}

func (g *Gateway) placementRequest(q *request) placement.Request {
	return placement.Request{Prompt: q.call.Prompt, Key: q.call.ID,
		FailureDomain: g.settings.Load().FailureDomain, Draw: g.draw()}
}
