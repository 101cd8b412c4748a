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
	// A caller waits for the first or the next event for the longest of minCallerWait,
	// callerWaitTargets times the route's target latency, and callerWaitGaps times its
	// target gap between events.
	minCallerWait                                = 2 * time.Second
	callerWaitLatencyFactor, callerWaitGapFactor = 4, 8
	// minRemainingShare is the fraction of a broken stream's expected remaining duration
	// that must be left before the deadline when another engine resumes it. With less, the
	// engine would process the prompt again for a response that is cut off at the deadline.
	minRemainingFraction = 0.5
	// minPermitWait is the shortest limit on the time to the first token in a permit request.
	minPermitWait = 500 * time.Millisecond
	// maxGroups limits the groups of engines that are tried for one send: if two groups of
	// some 60 engines have no capacity, the whole service most likely has none.
	maxGroupsPerSend = 2
	// maxExcludedEngines limits the unusable engines listed in the first permit request, so
	// that it fits in a datagram.
	maxExcludedEngines = 16
	// maxPermitRequests limits the permit requests for one send. Another one is needed if
	// a group has refused, or if the granted engine has become unavailable to this gateway.
	maxPermitRequests = 4
)

// Peers communicates with the other gateways.
type Peers interface {
	// RequestPermit requests a permit from the gateway that schedules a group of engines
	// and waits for the decision. The verdict is Granted without an engine if no gateway
	// is available to decide.
	RequestPermit(ctx context.Context, group permit.Group, a permit.Ask) (permit.Decision, peers.Permit)
	// BorrowRepeat asks other gateways to grant a repeated send to a service from their retry budgets and reports
	// whether one did. The key determines which gateways are asked.
	BorrowRetry(ctx context.Context, service, key string) bool
}

// UsePeers sets the peers from which the gateway requests permits. It must be called before
// Serve.
func (g *Gateway) UsePeers(p Peers) {
	g.peers = p
	g.SetGateways(0) // no share of the retry budgets' slack until the other gateways know this one
}

// Notices returns the notices of backend servers that the gateway knows.
func (g *Gateway) Notices() *notice.Registry { return g.notices }

// Engines returns the members of a group of engines. It includes engines that this gateway can't
// reach, because other gateways may reach them and list the engines that they can't in their permit
// requests.
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

// needsPermit reports whether the request needs a permit before it is sent. Prompts do, and so does every
// request to a service of which a server states a rate limit, because all gateways share that limit.
func (g *Gateway) needsPermit(q *request) bool {
	return g.peers != nil && (q.route.PrefixAffinity || g.anyRateLimited(q.service))
}

// acquirePermit requests a permit to send the request, from one group of engines after
// the other, and waits for it. An error means that the request was not sent because no
// engine is available, the service has no capacity, or ctx has ended.
func (g *Gateway) acquirePermit(ctx context.Context, q *request, tried map[string]bool, t trackedRun, rel *relay) (placement.Choice, peers.Permit, error) {
	candidates := g.candidates(q.service, tried)
	if !slices.ContainsFunc(candidates, usable) {
		return placement.Choice{}, peers.Permit{}, g.unavailableError(q, candidates)
	}
	part, _ := q.info.Prompt.SharedPrefix()
	if part == "" {
		part = q.info.ID
	}
	groups := placement.RankGroups(part, g.groupCount(q.service))
	ask := g.permitRequest(q, rel)
	// A strong suspect does not get the precedence of broken streams. Otherwise a resumable stream
	// that crashes its server would crash one server after the other ahead of all other requests.
	ask.Resumed = ask.Resumed && !t.isolated
	ask.ExcludedEngines = unusableEngines(candidates)
	g.recordNotices(q)
	var refused permit.Decision
	for n, group := 0, 0; n < maxPermitRequests && group < min(maxGroupsPerSend, len(groups)); n++ {
		ask.ID = fmt.Sprintf("%s/%d", q.info.ID, q.permitRequestCount)
		q.permitRequestCount++
		decision, permitted := g.peers.RequestPermit(ctx, permit.Group{Service: q.service, Index: groups[group]}, ask)
		if ctx.Err() != nil {
			permitted.End(permit.StreamStats{})
			return placement.Choice{}, peers.Permit{}, contextError(ctx, false)
		}
		switch decision.Verdict {
		case permit.NoEngine:
			g.recordRefusal(q, decision)
			group++
			continue
		case permit.Refused:
			g.recordRefusal(q, decision)
			if refused.ID == "" || decision.Wait < refused.Wait {
				refused = decision
			}
			group++
			continue
		}
		if decision.Engine == "" {
			choice, err := g.chooseWithoutPermit(q, candidates)
			return choice, peers.Permit{}, err
		}
		candidates = g.candidates(q.service, tried) // the wait may have taken seconds
		if choice := grantedChoice(decision, candidates); choice.Candidate != nil {
			return choice, permitted, nil
		}
		permitted.End(permit.StreamStats{})
		ask.ExcludedEngines = append(ask.ExcludedEngines, decision.Engine)
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

// chooseUncoordinated selects a server when no gateway is available to grant a permit.
func (g *Gateway) chooseWithoutPermit(q *request, candidates []placement.Candidate) (placement.Choice, error) {
	choice, err := g.chooseLocally(q, candidates)
	if err == nil && !usable(*choice.Candidate) {
		return placement.Choice{}, g.noServerError(q)
	}
	return choice, err
}

// usable reports whether this gateway may send the request to a server.
func usable(c placement.Candidate) bool { return !c.Tried && !c.View.Avoided && c.RetryAfter == 0 }

// unusableEngines returns up to maxExcludedEngines engines to which this gateway can't send the request.
func unusableEngines(candidates []placement.Candidate) []string {
	var out []string
	for _, c := range candidates {
		if !usable(c) {
			out = append(out, c.Server.InstanceID())
		}
	}
	return out[:min(len(out), maxExcludedEngines)]
}

// grantedChoice returns the choice for the engine that was granted. It has no candidate if this
// gateway can no longer use that engine.
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

// recordRefusal adds a refused permit request to the sends in the request's log line.
func (g *Gateway) recordRefusal(q *request, decision permit.Decision) {
	q.sends = append(q.sends, sendRecord{Result: decision.Verdict.String(), Wait: decision.Wait, PendingPrefillTokens: int64(decision.BacklogTokens), RateLimitedServers: decision.RateLimitedEngines,
		SentAfter: g.now().Sub(q.start)})
}

// callerWait returns how long a caller of the route is expected to wait for an event.
func callerWait(r *routing.Route) time.Duration {
	return max(minCallerWait, callerWaitLatencyFactor*r.TargetLatency, callerWaitGapFactor*r.TargetGap)
}

// permitRequest returns a permit request, without ID and unusable engines.
func (g *Gateway) permitRequest(q *request, rel *relay) permit.Ask {
	prompt := q.info.Prompt
	part, shared := prompt.SharedPrefix()
	a := permit.Ask{Plain: !q.route.PrefixAffinity, UniqueTokens: prompt.Tokens - shared, PrefixID: part, PrefixTokens: shared, OutputTokens: prompt.OutputTokens, MaxEventGap: q.route.TargetGap,
		FailureDomain: g.settings.Load().FailureDomain}
	now := g.now()
	left := q.deadline.Sub(now)
	responseTime := g.responseTime(q.route.Name).Estimate(prompt.OutputTokens)
	elapsed := now.Sub(q.start)
	a.ResponseTimeout = left
	a.Priority = engineRank(q.route.Priority, q.priority)
	if rel.started {
		a.Resumed = true
		remaining := max(0, responseTime-(elapsed-rel.timeToFirstEvent))
		a.FirstTokenTimeout = max(left-time.Duration(minRemainingFraction*float64(remaining)), minPermitWait)
		a.FirstTokenTarget = a.FirstTokenTimeout
		return a
	}
	a.FirstTokenTarget = q.route.TargetLatency - elapsed
	a.FirstTokenTimeout = max(min(callerWait(q.route)-elapsed, left-responseTime), minPermitWait)
	return a
}
