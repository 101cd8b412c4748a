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
	l, e := c.chooseOrPark()
	if e != nil {
		return e
	}
	c.link, c.attempt, c.offered = l, attemptID{c.req.ID, attempt}, time.Now()
	class := c.req.Class
	incarnation, e := l.register(c, &wire.Offer{ID: c.req.ID, Attempt: attempt, Kind: c.req.Kind, Endpoint: c.req.Endpoint,
		Team: c.req.Team, Class: c.req.ClassName, Tier: uint8(class.Tier), Floor: class.Floor, Target: c.req.Target,
		FirstTokenTargetMS: int64(class.FirstTokenMS), StartTimeoutMS: int64(class.MaxWaitMS), RunTimeoutMS: int64(class.MaxRunMS),
		Retryable: c.req.MayRepeat, Preemptible: class.Preemptible, IdempotencyKey: c.req.IdempotencyKey, BodyDigest: xxhash.Sum64(c.req.Body),
		KeyRetentionMS: c.req.IdempotencyWindow.Milliseconds(), Body: c.req.Body, MaxTokens: c.req.MaxTokens,
		ChunksDelivered: done, DeliveredText: doneText, SendWindow: relay.WindowChunks, ContentType: c.req.ContentType})
	c.incarnation = incarnation
	if e != nil {
		c.skip[l.server.Name] = true
		return e
	}
	c.tried[l.server.Name] = true
	return nil
}

// chooseOrPark chooses a link, or notes that the call waits for one. The second
// look finds a link that came up just before the note.
func (c *call) chooseOrPark() (*agentLink, *fault.Error) {
	l, e := c.choose()
	if e == nil || e.Code != fault.BackendServersUnreachable {
		return l, e
	}
	c.router.links.park(c)
	clear(c.skip)
	if l, e = c.choose(); e == nil {
		c.router.links.unpark(c)
	}
	return l, e
}

// choose returns the link to offer on.
func (c *call) choose() (*agentLink, *fault.Error) {
	if c.req.IdempotencyKey != "" {
		return c.home()
	}
	links := c.router.links.pool(c.req.Pool)
	candidates := make([]dispatch.Candidate, len(links))
	names := make([]string, len(links))
	for i, l := range links {
		candidates[i] = l.candidate(c)
		names[i] = l.server.Name
	}
	if c.req.Prefix != "" && len(names) > 0 {
		c.markPrefix(candidates, names)
	}
	if i, ok := c.pick(candidates); ok {
		return links[i], nil
	}
	for i := range candidates { // no other is left than the one to be avoided
		if candidates[i].Name == c.avoid {
			candidates[i].Excluded = c.tried[c.avoid] || c.skip[c.avoid]
		}
	}
	if i, ok := c.pick(candidates); ok {
		return links[i], nil
	}
	return nil, c.noneFault(candidates)
}

func (c *call) pick(candidates []dispatch.Candidate) (int, bool) {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	return c.router.picker.Pick(dispatch.Request{FailureDomain: c.router.set.FailureDomain}, candidates, c.router.rnd)
}

// noneFault says why no candidate can take the request: some can't be reached
// now, or none is left.
func (c *call) noneFault(candidates []dispatch.Candidate) *fault.Error {
	for i := range candidates {
		if !c.tried[candidates[i].Name] && !candidates[i].Draining {
			return fault.New(fault.BackendServersUnreachable, "no backend server for %q can be reached", c.req.Target).
				WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
		}
	}
	return fault.New(fault.NoBackendServer, "no backend server for %q is left", c.req.Target).WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
}

// home returns the link to the home agent of the request's idempotency key.
// Only the home may run it, so it is not asked again after a refusal.
func (c *call) home() (*agentLink, *fault.Error) {
	pool := c.router.Config.View().Pools[c.req.Pool]
	if pool == nil {
		return nil, fault.New(fault.NoBackendServer, "there is no pool %q", c.req.Pool).WithOutcome(fault.NotRun)
	}
	names := make([]string, len(pool.Servers))
	for i, s := range pool.Servers {
		names[i] = s.Name
	}
	l := c.router.links.server(pool.Server(rendezvous.First(c.req.IdempotencyKey, names)))
	if _, up := l.state(); !up {
		return nil, fault.New(fault.BackendServersUnreachable, "the server that keeps this key can't be reached").WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
	}
	if c.tried[l.server.Name] {
		return nil, fault.New(fault.NoBackendServer, "the server that keeps this key did not take the call").WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
	}
	return l, nil
}

// markPrefix marks the servers that keep the prompt's prefix: the first by
// rendezvous of the prefix, so that all routers agree without talking.
func (c *call) markPrefix(candidates []dispatch.Candidate, names []string) {
	ranked := rendezvous.Rank(c.req.Prefix, names)
	for _, holder := range ranked[:min(prefixServers, len(ranked))] {
		for i := range candidates {
			if candidates[i].Name == holder {
				candidates[i].CachedPrefixShare = 1
			}
		}
	}
}

func (l *agentLink) candidate(c *call) dispatch.Candidate {
	leaving := l.router.members.Leaving(l.server.Name)
	l.mu.Lock()
	defer l.mu.Unlock()
	// Lower tiers do not stand in the way of a higher one: what waits is
	// passed, what runs gives way.
	upTo := c.req.Class.Tier + 1
	return dispatch.Candidate{Name: l.server.Name, FailureDomain: l.server.FailureDomain, Connected: l.conn != nil,
		Draining: leaving || l.load.Draining, TargetLoaded: l.serving[c.req.Target], Queued: sum(firstN(l.load.Queued, upTo)), Running: sum(firstN(l.load.Running, upTo)),
		Slots: l.load.Slots, SentSinceReport: l.sent, ServiceMS: float64(l.load.ServiceMS), FirstTokenMS: l.firstMS,
		Excluded: c.tried[l.server.Name] || c.skip[l.server.Name] || c.avoid == l.server.Name}
}

func firstN(counts []int, n int) []int { return counts[:min(n, len(counts))] }
