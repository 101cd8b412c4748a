package router

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/dispatch"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/relay"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// Offer implements relay.Effects.
func (c *call) Offer(attempt uint32, done uint32, doneText string) *fault.Error {
	if c.link != nil {
		c.link.unregister(c.attempt)
	}
	l, e := c.selectLinkOrWait()
	if e != nil {
		return e
	}
	c.link, c.attempt, c.offerTime = l, attemptKey{c.req.ID, attempt}, time.Now()
	class := c.req.Class
	incarnation, e := l.register(c, &wire.Offer{ID: c.req.ID, Attempt: attempt, Kind: c.req.Kind, Endpoint: c.req.Endpoint,
		Team: c.req.Team, Class: c.req.ClassName, Tier: uint8(class.Tier), Floor: class.Floor, Target: c.req.Target,
		FirstTokenTargetMS: int64(class.FirstTokenMS), StartTimeoutMS: int64(class.MaxWaitMS), RunTimeoutMS: int64(class.MaxRunMS),
		Retryable: c.req.MayRepeat, Preemptible: class.Preemptible, IdempotencyKey: c.req.IdempotencyKey, BodyDigest: xxhash.Sum64(c.req.Body),
		KeyRetentionMS: c.req.IdempotencyWindow.Milliseconds(), Body: c.req.Body, MaxTokens: c.req.MaxTokens,
		ChunksDelivered: done, DeliveredText: doneText, SendWindow: relay.WindowChunks, ContentType: c.req.ContentType})
	c.incarnation = incarnation
	if e != nil {
		c.linkFailed[l.server.Name] = true
		return e
	}
	c.tried[l.server.Name] = true
	return nil
}

// chooseOrWait chooses a link or registers the call as a waiter for one. It
// chooses again after registering because a link may have come up in between.
func (c *call) selectLinkOrWait() (*agentLink, *fault.Error) {
	l, e := c.selectLink()
	if e == nil || e.Code != fault.BackendServersUnreachable {
		return l, e
	}
	c.router.links.addWaiter(c)
	clear(c.linkFailed)
	if l, e = c.selectLink(); e == nil {
		c.router.links.removeWaiter(c)
	}
	return l, e
}

// choose returns the link to send the next offer on.
func (c *call) selectLink() (*agentLink, *fault.Error) {
	if c.req.IdempotencyKey != "" {
		return c.homeAgentLink()
	}
	links := c.router.links.subsetLinks(c.req.Pool)
	candidates := make([]dispatch.Candidate, len(links))
	names := make([]string, len(links))
	for i, l := range links {
		candidates[i] = l.candidate(c)
		names[i] = l.server.Name
	}
	if c.req.Prefix != "" && len(names) > 0 {
		c.markPrefixCached(candidates, names)
	}
	if i, ok := c.pickCandidate(candidates); ok {
		return links[i], nil
	}
	for i := range candidates { // only the server that failed last is left
		if candidates[i].Name == c.lastFailed {
			candidates[i].Excluded = c.tried[c.lastFailed] || c.linkFailed[c.lastFailed]
		}
	}
	if i, ok := c.pickCandidate(candidates); ok {
		return links[i], nil
	}
	return nil, c.noCandidateFault(candidates)
}

func (c *call) pickCandidate(candidates []dispatch.Candidate) (int, bool) {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	return c.router.picker.Pick(dispatch.Request{FailureDomain: c.router.settings.FailureDomain}, candidates, c.router.rng)
}

// noCandidateFault returns BackendServersUnreachable if a candidate is only
// unreachable at present, and NoBackendServer if none is left to try.
func (c *call) noCandidateFault(candidates []dispatch.Candidate) *fault.Error {
	for i := range candidates {
		if !c.tried[candidates[i].Name] && !candidates[i].Draining {
			return fault.New(fault.BackendServersUnreachable, "no reachable backend server for %q", c.req.Target).
				WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
		}
	}
	return fault.New(fault.NoBackendServer, "no backend server left to try for %q", c.req.Target).WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
}

// homeLink returns the link to the home agent of the request's idempotency key.
// No other agent may run the request, so a refusal is not retried elsewhere.
func (c *call) homeAgentLink() (*agentLink, *fault.Error) {
	pool := c.router.Config.View().Pools[c.req.Pool]
	if pool == nil {
		return nil, fault.New(fault.NoBackendServer, "unknown pool %q", c.req.Pool).WithOutcome(fault.NotRun)
	}
	names := make([]string, len(pool.Servers))
	for i, s := range pool.Servers {
		names[i] = s.Name
	}
	l := c.router.links.getOrOpen(pool.Server(rendezvous.First(c.req.IdempotencyKey, names)))
	if _, up := l.connectionState(); !up {
		return nil, fault.New(fault.BackendServersUnreachable, "home server of the idempotency key is unreachable").WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
	}
	if c.tried[l.server.Name] {
		return nil, fault.New(fault.NoBackendServer, "home server of the idempotency key did not accept the request").WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
	}
	return l, nil
}

// markPrefixServers marks the servers expected to have the prompt's prefix in
// their cache. Rendezvous hashing of the prefix makes all routers select the
// same ones without coordination.
func (c *call) markPrefixCached(candidates []dispatch.Candidate, names []string) {
	ranked := rendezvous.Rank(c.req.Prefix, names)
	for _, server := range ranked[:min(prefixCacheReplicas, len(ranked))] {
		for i := range candidates {
			if candidates[i].Name == server {
				candidates[i].CachedPrefixShare = 1
			}
		}
	}
}

func (l *agentLink) candidate(c *call) dispatch.Candidate {
	leaving := l.router.members.Leaving(l.server.Name)
	l.mu.Lock()
	defer l.mu.Unlock()
	// Only load of the request's own and higher tiers counts: the agent puts
	// the request ahead of queued lower tiers and preempts running ones.
	tiers := c.req.Class.Tier + 1
	return dispatch.Candidate{Name: l.server.Name, FailureDomain: l.server.FailureDomain, Connected: l.conn != nil,
		Draining: leaving || l.load.Draining, TargetLoaded: l.serving[c.req.Target], Queued: sum(firstN(l.load.Queued, tiers)), Running: sum(firstN(l.load.Running, tiers)),
		Slots: l.load.Slots, SentSinceReport: l.offersSinceReport, ServiceMS: float64(l.load.ServiceMS), FirstTokenMS: l.ewmaFirstTokenMS,
		Excluded: c.tried[l.server.Name] || c.linkFailed[l.server.Name] || c.lastFailed == l.server.Name}
}

func firstN(counts []int, n int) []int { return counts[:min(n, len(counts))] }
