package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/peers"
	"github.com/merlinpost/merlinpost/internal/placement"
)

// noServerError returns the error for a request that can't be sent because no backend server is ready.
func (g *Gateway) noServerError(q *request) error {
	return fault.New(fault.NoBackendServer, "no backend server of service %q is ready", q.service).
		WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
}

// chooseServer selects the backend server for the next send, and acquires a permit for it if the request needs one.
// If the request is not sent to the server, Notices().EndSend must be called.
func (g *Gateway) chooseServer(ctx context.Context, q *request, tried map[string]bool, run trackedRun, rel *relay) (placement.Choice, peers.Permit, error) {
	if g.needsPermit(q) {
		return g.acquirePermit(ctx, q, tried, run, rel)
	}
	g.recordNotices(q)
	choice, err := g.chooseLocally(ctx, q, tried)
	return choice, peers.Permit{}, err
}

// chooseLocally selects a server without asking other gateways. If the server states a rate limit, the
// request is charged to this gateway's share of it. If only servers that recover from a backoff are left, it waits
// until one of them takes another request.
func (g *Gateway) chooseLocally(ctx context.Context, q *request, tried map[string]bool) (placement.Choice, error) {
	for {
		candidates := g.candidates(q.service, tried)
		available, exhausted, wait := g.filterAvailable(candidates)
		choice, held := g.beginLocalSend(q, available)
		switch {
		case choice.Candidate == nil && held != nil:
			if err := awaitSend(ctx, *held); err != nil {
				return choice, err
			}
		case choice.Candidate == nil && exhausted > 0:
			return choice, g.rateLimitedError(exhausted, wait)
		case choice.Candidate == nil:
			return choice, g.unavailableError(q, candidates)
		case g.notices.Limits().Allow(choice.Candidate.Server.InstanceID(), g.now()):
			return choice, nil
		default: // a concurrent request has exhausted the server's rate limit in the meantime
			g.notices.EndSend(choice.Candidate.Server.InstanceID(), g.now())
		}
	}
}

// beginLocalSend selects a server that takes another request now. If there is none, or only one that is likely to
// fail, and other servers are held back because they recover from a backoff, it returns no candidate and the wait for
// the first of those.
func (g *Gateway) beginLocalSend(q *request, candidates []placement.Candidate) (placement.Choice, *notice.SendWait) {
	var held *notice.SendWait
	for {
		choice := g.selectServer(q, candidates)
		if choice.Candidate == nil || held != nil && !usable(*choice.Candidate) {
			return placement.Choice{}, held
		}
		instance := choice.Candidate.Server.InstanceID()
		ok, wait := g.notices.BeginSend(instance, g.now())
		if ok {
			return choice, nil
		}
		if wait != nil && (held == nil || wait.Max < held.Max) {
			held = wait
		}
		candidates = withoutInstance(candidates, instance)
	}
}

// withoutInstance returns the candidates other than one instance.
func withoutInstance(candidates []placement.Candidate, instance string) []placement.Candidate {
	return slices.DeleteFunc(slices.Clone(candidates), func(c placement.Candidate) bool { return c.Server.InstanceID() == instance })
}

// awaitSend waits until it is worth asking again whether a request may be sent. It returns an error if ctx ends first.
func awaitSend(ctx context.Context, wait notice.SendWait) error {
	timer := time.NewTimer(wait.Max)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return contextError(ctx, false)
	case <-timer.C:
	case <-wait.Changed:
	}
	return nil
}

// beginGrantedSend waits until a request may be sent to a server for which it has a permit, and reports whether it may.
// It returns false if the server asks to back off again or limits its rate meanwhile: the permit does not take
// account of that.
func (g *Gateway) beginGrantedSend(ctx context.Context, instance string) bool {
	limited := g.notices.Limits().Limited(instance)
	for {
		ok, wait := g.notices.BeginSend(instance, g.now())
		switch {
		case ok && !limited && g.notices.Limits().Limited(instance):
			g.notices.EndSend(instance, g.now())
			return false
		case ok:
			return true
		case wait == nil || awaitSend(ctx, *wait) != nil:
			return false
		}
	}
}

// filterAvailable returns the candidates that this gateway may send a request to now, the number of candidates
// whose rate limit is exhausted, and the time until the first of those accepts a request again.
func (g *Gateway) filterAvailable(candidates []placement.Candidate) (available []placement.Candidate, exhausted int, wait time.Duration) {
	if g.notices.Empty() {
		return candidates, 0, 0
	}
	wait = maxRetryAfter
	for _, c := range candidates {
		budget := g.notices.Limits().Budget(c.Server.InstanceID(), g.now())
		switch {
		case c.RetryAfter > 0: // backing off
		case budget.Wait > 0:
			exhausted++
			wait = min(wait, budget.Wait)
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

// candidates returns the servers of a service that may receive requests. It leaves out servers that have announced
// in a response that they are draining, even if they are listed as ready, because the server list is outdated
// while the store is unavailable.
func (g *Gateway) candidates(service string, tried map[string]bool) []placement.Candidate {
	now := g.now()
	backends := g.servers.Ready(service)
	out := make([]placement.Candidate, 0, len(backends))
	for _, b := range backends {
		s := b.Server()
		if !g.notices.Draining(s.InstanceID()) {
			out = append(out, placement.Candidate{Backend: b, Server: s, View: b.View(now), Tried: tried[s.InstanceID()],
				RetryAfter: g.notices.BackoffRemaining(s.InstanceID(), now), Recovering: g.notices.Recovering(s.InstanceID(), now)})
		}
	}
	return out
}

// groupCount returns the number of groups into which a service's servers are divided. It depends only on the
// server list, which all gateways share, and not on what this gateway knows from responses, so that all gateways
// get the same number.
func (g *Gateway) groupCount(service string) int {
	return placement.GroupCount(len(g.servers.Ready(service)))
}

func (g *Gateway) placementRequest(q *request) placement.Request {
	return placement.Request{Prompt: q.info.Prompt, Key: q.info.ID,
		FailureDomain: g.settings.Load().FailureDomain, Draw: g.random()}
}
