package gateway

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/peers"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/placement"
	"github.com/merlinpost/merlinpost/internal/routing"
)

const (
	// A caller is expected to wait for the first or the next event for minCallerWait,
	// callerWaitLatencyFactor times the route's target latency, or callerWaitGapFactor
	// times its target gap between events, whichever is longest.
	minCallerWait                                = 2 * time.Second
	callerWaitLatencyFactor, callerWaitGapFactor = 4, 8
	// minRemainingFraction is the fraction of a broken stream's expected remaining duration
	// that must be left before the deadline when another engine resumes it. With less time,
	// the engine would process the prompt again for a response that is cut off at the
	// deadline.
	minRemainingFraction = 0.5
	// minPermitWait is the lower bound of FirstTokenTimeout in a permit request.
	minPermitWait = 500 * time.Millisecond
	// maxGroupsPerSend limits the groups of engines that are asked for one send. If two groups
	// of about 60 engines each have no capacity, the whole service most likely has none.
	maxGroupsPerSend = 2
	// maxExcludedEngines limits the unusable and recovering engines listed in the first permit
	// request for a send, so that the request fits in a datagram.
	maxExcludedEngines = 16
	// maxPermitRequests limits the permit requests for one send. A further one is needed if
	// a group has refused, or if this gateway can no longer use the granted engine.
	maxPermitRequests = 4
)

// Peers communicates with the other gateways.
type Peers interface {
	// RequestPermit requests a permit from the gateway that schedules a group of engines
	// and waits for the decision. If no gateway is available to decide, the verdict is
	// Granted and no engine is named.
	RequestPermit(ctx context.Context, group permit.Group, req permit.Ask) (permit.Decision, peers.Permit)
	// BorrowRetry asks other gateways to grant a retry to a service from their retry budgets and reports whether
	// one of them did. The key determines which gateways are asked.
	BorrowRetry(ctx context.Context, service, key string) bool
}

// UsePeers sets the interface to the other gateways. It must be called before Serve.
func (g *Gateway) UsePeers(p Peers) {
	g.peers = p
	g.SetGateways(0) // no share of the retry budgets' slack until the other gateways know of this one
}

// Notices returns the registry of the notices that backend servers have stated.
func (g *Gateway) Notices() *notice.Registry { return g.notices }

// Engines returns the members of a group of engines. It includes engines that this gateway can't reach,
// because other gateways may be able to reach them. Each gateway excludes the engines that it can't use in
// its permit requests.
func (g *Gateway) Engines(group permit.Group) []permit.Engine {
	var spec routing.EngineSettings
	if t := g.table.Load(); t != nil {
		spec = t.EngineSettings(group.Service)
	}
	groups := g.groupCount(group.Service)
	var out []permit.Engine
	for _, b := range g.servers.Ready(group.Service) {
		if s := b.Server(); placement.GroupOf(s.ID, groups) == group.Index {
			out = append(out, permit.Engine{ID: s.InstanceID(), FailureDomain: s.FailureDomain, Accepting: !g.notices.Draining(s.InstanceID()),
				Slots: s.Slots, KVCacheTokens: spec.Memory, TokensPerEvent: spec.EventTokens})
		}
	}
	return out
}

// needsPermit reports whether the request needs a permit before it is sent. Prompts need one, and so do all
// requests to a service with a server that states a rate limit, because all gateways share that limit.
func (g *Gateway) needsPermit(q *request) bool {
	return g.peers != nil && (q.route.PrefixAffinity || g.anyRateLimited(q.service))
}

// acquirePermit requests a permit to send the request from one group of engines after
// another, and waits for it. An error means that the request was not sent because no
// engine is available, the service has no capacity, or ctx has ended.
func (g *Gateway) acquirePermit(ctx context.Context, q *request, tried map[string]bool, run trackedRun, rel *relay) (placement.Choice, peers.Permit, error) {
	candidates := g.candidates(q.service, tried)
	if !slices.ContainsFunc(candidates, usable) {
		return placement.Choice{}, peers.Permit{}, g.unavailableError(q, candidates)
	}
	key := q.sharedPrefix()
	if key == "" {
		key = q.info.ID
	}
	groups := placement.RankGroups(key, g.groupCount(q.service))
	g.recordNotices(q)
	var refused permit.Decision
	var unlisted []string // engines that were granted but are not among the candidates
	for n, group := 0, 0; n < maxPermitRequests && group < min(maxGroupsPerSend, len(groups)); n++ {
		if n > 0 {
			candidates = g.candidates(q.service, tried) // they may have changed: the wait may take seconds
		}
		req := g.nextPermitRequest(q, run, rel, candidates, unlisted)
		requestedAt := g.now()
		decision, heldPermit := g.peers.RequestPermit(ctx, permit.Group{Service: q.service, Index: groups[group]}, req)
		if ctx.Err() != nil {
			heldPermit.End(permit.NotSent)
			return placement.Choice{}, peers.Permit{}, contextError(ctx, false)
		}
		switch decision.Verdict {
		case permit.NoEngine:
			g.recordRefusal(q, decision, requestedAt)
			group++
			continue
		case permit.Refused:
			g.recordRefusal(q, decision, requestedAt)
			if refused.ID == "" || decision.Wait < refused.Wait {
				refused = decision
			}
			group++
			continue
		}
		if decision.Engine == "" {
			choice, err := g.chooseWithoutPermit(ctx, q, tried)
			return choice, peers.Permit{}, err
		}
		candidates = g.candidates(q.service, tried)
		choice := grantedChoice(decision, candidates)
		if choice.Candidate != nil && g.beginGrantedSend(ctx, decision.Engine) {
			return choice, heldPermit, nil
		}
		heldPermit.End(permit.NotSent)
		if ctx.Err() != nil {
			return placement.Choice{}, peers.Permit{}, contextError(ctx, false)
		}
		if !slices.ContainsFunc(candidates, func(c placement.Candidate) bool { return c.Server.InstanceID() == decision.Engine }) {
			unlisted = append(unlisted, decision.Engine)
		}
	}
	if refused.ID == "" {
		return placement.Choice{}, peers.Permit{}, g.noServerError(q)
	}
	if refused.RateLimitedEngines > 0 {
		return placement.Choice{}, peers.Permit{}, g.rateLimitedError(refused.RateLimitedEngines, refused.Wait)
	}
	return placement.Choice{}, peers.Permit{}, fault.New(fault.WaitTooLong, "the engines have a backlog of %d tokens", refused.BacklogTokens).
		WithOutcome(fault.NotRun).WithRetryAfter(refused.Wait)
}

// nextPermitRequest returns the permit request for the current candidates. The request can't use the unlisted engines.
func (g *Gateway) nextPermitRequest(q *request, run trackedRun, rel *relay, candidates []placement.Candidate, unlisted []string) permit.Ask {
	req := g.permitRequest(q, rel)
	// A request that must run isolated does not get the precedence of resumed streams. Otherwise a resumable
	// stream that crashes servers would crash one after another, ahead of all other requests.
	req.Resumed = req.Resumed && !run.isolated
	req.ExcludedEngines, req.ExcludedFor = excludedEngines(candidates, unlisted)
	req.RecoveringEngines = recoveringEngines(candidates, maxExcludedEngines-len(req.ExcludedEngines))
	req.ID = fmt.Sprintf("%s/%d", q.info.ID, q.permitRequestCount)
	q.permitRequestCount++
	return req
}

// chooseWithoutPermit selects a server when no gateway is available to decide on a permit.
func (g *Gateway) chooseWithoutPermit(ctx context.Context, q *request, tried map[string]bool) (placement.Choice, error) {
	choice, err := g.chooseLocally(ctx, q, tried)
	if err == nil && !usable(*choice.Candidate) {
		g.notices.EndSend(choice.Candidate.Server.InstanceID(), g.now())
		return placement.Choice{}, g.noServerError(q)
	}
	return choice, err
}

// usable reports whether this gateway may send the request to a server.
func usable(c placement.Candidate) bool { return !c.Tried && !c.View.Avoided && c.RetryAfter == 0 }

// excludedEngines returns up to maxExcludedEngines engines to which this gateway can't send the request: those that
// are unlisted and those of the candidates that can't be used now. It also returns the time after which each can be
// used, 0 if the request can't use it at all.
func excludedEngines(candidates []placement.Candidate, unlisted []string) (engines []string, waits []time.Duration) {
	engines, waits = slices.Clone(unlisted), make([]time.Duration, len(unlisted))
	for _, c := range candidates {
		if usable(c) || len(engines) >= maxExcludedEngines {
			continue
		}
		wait := max(c.RetryAfter, c.View.AvoidedFor)
		if c.Tried {
			wait = 0
		}
		engines, waits = append(engines, c.Server.InstanceID()), append(waits, wait)
	}
	return engines, waits
}

// recoveringEngines returns up to limit engines to which this gateway can send the request, but which have not
// responded to it since a backoff.
func recoveringEngines(candidates []placement.Candidate, limit int) []string {
	var out []string
	for _, c := range candidates {
		if usable(c) && c.Recovering && len(out) < limit {
			out = append(out, c.Server.InstanceID())
		}
	}
	return out
}

// grantedChoice returns the choice of the granted engine. It has no candidate if this gateway can no longer
// use that engine.
func grantedChoice(decision permit.Decision, candidates []placement.Candidate) placement.Choice {
	choice := placement.Choice{Reason: placement.Decided, ExpectedPrefill: decision.ExpectedPrefill}
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Server.InstanceID() == decision.Engine && usable(*c):
			choice.Candidate = c
		case c.Server.InstanceID() == decision.FetchFrom && !c.View.Avoided:
			choice.FetchFrom = c.Server.Address
		}
	}
	return choice
}

// recordRefusal adds a refused permit request to the request's send records.
func (g *Gateway) recordRefusal(q *request, decision permit.Decision, requestedAt time.Time) {
	now := g.now()
	q.sends = append(q.sends, sendRecord{Result: decision.Verdict.String(), Wait: decision.Wait, PendingPrefillTokens: int64(decision.BacklogTokens), RateLimitedServers: decision.RateLimitedEngines,
		ServersInBackoff: decision.EnginesInBackoff, PrefillingServers: decision.PrefillingEngines, SentAfter: now.Sub(q.start), Took: now.Sub(requestedAt)})
}

// callerWait returns how long a caller of the route is expected to wait for the first or the next event.
func callerWait(r *routing.Route) time.Duration {
	return max(minCallerWait, callerWaitLatencyFactor*r.TargetLatency, callerWaitGapFactor*r.TargetGap)
}

// permitRequest returns a permit request whose ID and lists of engines are not set.
func (g *Gateway) permitRequest(q *request, rel *relay) permit.Ask {
	prompt := q.info.Prompt
	prefixID, prefixTokens := prompt.SharedPrefix()
	req := permit.Ask{Plain: !q.route.PrefixAffinity, UniqueTokens: prompt.Tokens - prefixTokens, PrefixID: prefixID, PrefixTokens: prefixTokens, OutputTokens: prompt.OutputTokens, MaxEventGap: q.route.TargetGap,
		FailureDomain: g.settings.Load().FailureDomain}
	now := g.now()
	left := q.deadline.Sub(now)
	streamTime := g.expectedStreamTime(q, rel)
	elapsed := now.Sub(q.start)
	req.ResponseTimeout = left
	req.Priority = engineRank(q.route.Priority, q.priority)
	if rel.started {
		req.Resumed = true
		req.FirstTokenTimeout = max(left-time.Duration(minRemainingFraction*float64(streamTime)), minPermitWait)
		req.FirstTokenTarget = req.FirstTokenTimeout
		return req
	}
	req.FirstTokenTarget = q.route.TargetLatency - elapsed
	req.FirstTokenTimeout = max(min(callerWait(q.route)-elapsed, left-streamTime), minPermitWait)
	return req
}
