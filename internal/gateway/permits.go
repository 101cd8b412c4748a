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
	// A caller waits for a first event, or for the next one, for the longest of these:
	// two seconds, four times its target, eight times the pause that it bears.
	leastPatience                   = 2 * time.Second
	targetsOfPatience, gapsPatience = 4, 8
	// restShare is the part of the time that the rest of a broken stream is expected to
	// take which must be left when it goes on elsewhere. With less, the engine would
	// read its prompt again for an answer that is cut at the deadline.
	restShare = 0.5
	// shortestLimit is the least time in which a first token is asked for.
	shortestLimit = 500 * time.Millisecond
	// maxGroups bounds the groups of engines that are asked for one request: when two
	// groups of some 60 engines have no room, so has the service.
	maxGroups = 2
	// maxAvoided bounds the engines that an ask names as not usable, so that it stays a
	// datagram.
	maxAvoided = 16
	// maxAsks bounds the asks for one send. Each after the first means that the engine
	// that was granted has left meanwhile, or can't be reached from here.
	maxAsks = 4
)

// Peers are the other gateways.
type Peers interface {
	// Ask asks the gateway that decides for a group of engines and waits for the
	// verdict. It is Granted without an engine where nobody is there to decide.
	RequestPermit(ctx context.Context, group permit.Group, a permit.Ask) (permit.Decision, peers.Permit)
	// BorrowRepeat asks other gateways to grant a repeated send to a service from their retry budgets and reports
	// whether one did. The key determines which gateways are asked.
	BorrowRepeat(ctx context.Context, service, key string) bool
}

// UsePeers has the gateway ask for leave before it sends prompts. It is called before
// Serve.
func (g *Gateway) UsePeers(p Peers) {
	g.peers = p
	g.SetGateways(0) // no share of the slack until the other gateways know of this one
}

// Notices returns what the gateway knows that servers say of themselves.
func (g *Gateway) Notices() *notice.Registry { return g.notices }

// Engines lists the members of a group of engines as this gateway knows them. That this
// gateway can't reach one says nothing for the others, who tell which engines failed them.
func (g *Gateway) Engines(group permit.Group) []permit.Engine {
	var facts routing.Engine
	if t := g.table.Load(); t != nil {
		facts = t.Engine(group.Service)
	}
	groups := g.groups(group.Service)
	var out []permit.Engine
	for _, b := range g.servers.Ready(group.Service) {
		if s := b.Server(); placement.GroupOf(s.ID, groups) == group.Index {
			out = append(out, permit.Engine{ID: s.InstanceID(), FailureDomain: s.FailureDomain, Accepting: !g.notices.Draining(s.InstanceID()),
				Slots: s.Slots, KVCacheTokens: facts.Memory, TokensPerEvent: facts.EventTokens})
		}
	}
	return out
}

// needsPermit reports whether leave is asked for before the request is sent: for prompts, and where a
// server of the service states a rate that all gateways share.
func (g *Gateway) needsPermit(q *request) bool {
	return g.peers != nil && (q.route.PrefixAffinity || g.anyLimited(q.service))
}

// acquire asks for leave to send the request, at one group of engines after the
// other, and waits for it. An error means that the request was not sent and that the
// service has no room.
func (g *Gateway) acquire(ctx context.Context, q *request, tried map[string]bool, t turn, rel *relay) (placement.Choice, peers.Permit, error) {
	candidates := g.candidates(q.service, tried)
	if !slices.ContainsFunc(candidates, reachable) {
		return placement.Choice{}, peers.Permit{}, g.noneOf(q, candidates)
	}
	part, _ := q.call.Prompt.Shared()
	if part == "" {
		part = q.call.ID
	}
	groups := placement.RankGroups(part, g.groups(q.service))
	asked := g.ask(q, rel)
	// A strong suspect loses the precedence of broken streams, with which one that may be resumed
	// ended a server after the other ahead of everybody's questions.
	asked.Resumed = asked.Resumed && !t.apart
	asked.ExcludedEngines = avoided(candidates)
	g.noteStanding(q)
	var refused permit.Decision
	for ask, group := 0, 0; ask < maxAsks && group < min(maxGroups, len(groups)); ask++ {
		asked.ID = fmt.Sprintf("%s/%d", q.call.ID, q.asks)
		q.asks++
		answer, leave := g.peers.RequestPermit(ctx, permit.Group{Service: q.service, Index: groups[group]}, asked)
		if ctx.Err() != nil {
			leave.End(permit.StreamStats{})
			return placement.Choice{}, peers.Permit{}, outOfTime(ctx, false)
		}
		switch answer.Verdict {
		case permit.NoEngine:
			g.noteRefusal(q, answer)
			group++
			continue
		case permit.Refused:
			g.noteRefusal(q, answer)
			if refused.ID == "" || answer.Wait < refused.Wait {
				refused = answer
			}
			group++
			continue
		}
		if answer.Engine == "" {
			choice, err := g.undecided(q, candidates)
			return choice, peers.Permit{}, err
		}
		candidates = g.candidates(q.service, tried) // it may have waited for seconds
		if choice := decided(answer, candidates); choice.Candidate != nil {
			return choice, leave, nil
		}
		leave.End(permit.StreamStats{})
		asked.ExcludedEngines = append(asked.ExcludedEngines, answer.Engine)
	}
	if refused.ID == "" {
		return placement.Choice{}, peers.Permit{}, g.noServer(q)
	}
	if refused.RateLimitedEngines > 0 {
		return placement.Choice{}, peers.Permit{}, g.limited(refused.RateLimitedEngines, refused.Wait)
	}
	return placement.Choice{}, peers.Permit{}, fault.New(fault.WaitTooLong, "the engines have a backlog of %d tokens", refused.BacklogTokens).
		WithOutcome(fault.NotRun).WithRetryAfter(refused.Wait)
}

// undecided chooses the server where no other gateway decides.
func (g *Gateway) undecided(q *request, candidates []placement.Candidate) (placement.Choice, error) {
	choice, err := g.place(q, candidates)
	if err == nil && !reachable(*choice.Candidate) {
		return placement.Choice{}, g.noServer(q)
	}
	return choice, err
}

// reachable reports whether the request may be sent to an engine from here.
func reachable(c placement.Candidate) bool { return !c.Tried && !c.View.Avoided && c.RetryAfter == 0 }

// avoided are the engines to which the request can't be sent from here.
func avoided(candidates []placement.Candidate) []string {
	var out []string
	for _, c := range candidates {
		if !reachable(c) {
			out = append(out, c.Server.InstanceID())
		}
	}
	return out[:min(len(out), maxAvoided)]
}

// decided is the choice that an answer names; without a candidate if the engine may
// get no work from here any more.
func decided(answer permit.Decision, candidates []placement.Candidate) placement.Choice {
	choice := placement.Choice{Reason: placement.Decided, ExpectedPrefill: answer.ExpectedPrefill}
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Server.InstanceID() == answer.Engine && reachable(*c):
			choice.Candidate = c
		case c.Server.InstanceID() == answer.FetchFrom && !c.View.Avoided:
			choice.FetchFrom = c.Server.Address
		}
	}
	return choice
}

// noteRefusal keeps a refusal for the decision line.
func (g *Gateway) noteRefusal(q *request, answer permit.Decision) {
	q.sends = append(q.sends, send{Result: answer.Verdict.String(), Wait: answer.Wait, UnreadTokens: int64(answer.BacklogTokens), RateLimited: answer.RateLimitedEngines,
		SentAfter: g.now().Sub(q.start)})
}

// patience is how long a caller of the route waits for a first event.
func patience(r *routing.Route) time.Duration {
	return max(leastPatience, targetsOfPatience*r.TargetLatency, gapsPatience*r.TargetGap)
}

// ask describes the request to who decides.
func (g *Gateway) ask(q *request, rel *relay) permit.Ask {
	prompt := q.call.Prompt
	part, shared := prompt.Shared()
	a := permit.Ask{Plain: !q.route.PrefixAffinity, UniqueTokens: prompt.Tokens - shared, PrefixID: part, PrefixTokens: shared, OutputTokens: prompt.OutputTokens, MaxEventGap: q.route.TargetGap,
		FailureDomain: g.settings.Load().FailureDomain}
	now := g.now()
	left := q.deadline.Sub(now)
	answering := g.answerTime(q.route.Name).Estimate(prompt.OutputTokens)
	elapsed := now.Sub(q.start)
	a.ResponseTimeout = left
	a.Priority = urgency(q.route.Priority, q.priority)
	if rel.started {
		a.Resumed = true
		rest := max(0, answering-(elapsed-rel.first))
		a.FirstTokenTimeout = max(left-time.Duration(restShare*float64(rest)), shortestLimit)
		a.FirstTokenTarget = a.FirstTokenTimeout
		return a
	}
	a.FirstTokenTarget = q.route.TargetLatency - elapsed
	a.FirstTokenTimeout = max(min(patience(q.route)-elapsed, left-answering), shortestLimit)
	return a
}
