package gateway

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/peers"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/placement"
)

const (
	// patience is how many times its target a caller waits for a first word before
	// it gives up.
	patience = 4
	// restShare is the part of the time that the rest of a broken stream is expected to
	// take which must be left when it goes on elsewhere. With less, the engine would
	// read its prompt again for an answer that is cut at the deadline, of which there
	// were 107 in 461 after the crash of 12 of 50 engines.
	restShare = 0.5
	// shortestLimit is the least time in which a first token is asked for.
	shortestLimit = 500 * time.Millisecond
	// maxGroups bounds the groups of engines that are asked for one request: when two
	// groups of some 60 engines have no room, so has the service.
	maxGroups = 2
	// maxDemands bounds the services whose demand is told, the largest first, so that a
	// heartbeat stays a datagram: about 30 bytes each, of 1,200.
	maxDemands = 10
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
	Ask(ctx context.Context, group permit.Group, a permit.Ask) (permit.Answer, peers.Leave)
	// Demands returns what the others have measured of the demand for a service.
	Demands(service string) []placement.Measured
}

// UsePeers has the gateway ask for leave before it sends long prompts, and share its
// measure of the demand. It is called before Serve.
func (g *Gateway) UsePeers(p Peers) { g.peers = p }

// Engines lists the members of a group of engines as this gateway knows them; those
// of the part for interactive requests are spare. That this gateway can't reach one says
// nothing for the others, who tell which engines failed them.
func (g *Gateway) Engines(group permit.Group) []permit.Engine {
	candidates := g.candidates(group.Service, nil)
	batch := placement.Batch(candidates, g.share(group.Service))
	groups := placement.Groups(len(candidates))
	var out []permit.Engine
	for _, c := range candidates {
		if placement.GroupOf(c.Server.ID, groups) == group.Index {
			out = append(out, permit.Engine{ID: c.Server.Start(), Open: true, Spare: !batch[c.Server.ID]})
		}
	}
	return out
}

// Demands returns what this gateway has measured of the demand for the services that
// ask most.
func (g *Gateway) Demands() []peers.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var out []peers.Demand
	for service, d := range g.demands {
		out = append(out, peers.Demand{Service: service, Measured: d.Measured(now)})
	}
	slices.SortFunc(out, func(a, b peers.Demand) int {
		return cmp.Compare(b.InteractiveMs+b.BatchMs, a.InteractiveMs+a.BatchMs)
	})
	return out[:min(len(out), maxDemands)]
}

// share returns the share of a service's engines that interactive requests have.
func (g *Gateway) share(service string) float64 {
	all := []placement.Measured{g.demand(service).Measured(g.now())}
	if g.peers != nil {
		all = append(all, g.peers.Demands(service)...)
	}
	return placement.Share(all)
}

// needsPermit reports whether leave is asked for before the request is sent.
// Requests of which many are read in the time of one long prompt need none.
func (g *Gateway) needsPermit(q *request) bool {
	return g.peers != nil && q.route.PrefixAffinity && !q.interactive()
}

// acquire asks for leave to send the request, at one group of engines after the
// other, and waits for it. An error means that the request was not sent and that the
// service has no room.
func (g *Gateway) acquire(ctx context.Context, q *request, tried map[string]bool, rel *relay) (placement.Choice, peers.Leave, error) {
	candidates := g.candidates(q.service, tried)
	if len(candidates) == 0 {
		return placement.Choice{}, peers.Leave{}, g.noServer(q)
	}
	part, _ := q.call.Prompt.Shared()
	if part == "" {
		part = q.call.ID
	}
	groups := placement.GroupsFor(part, placement.Groups(len(candidates)))
	asked := g.ask(q, rel)
	asked.Avoid = avoided(candidates)
	var refused permit.Answer
	for ask, group := 0, 0; ask < maxAsks && group < min(maxGroups, len(groups)); ask++ {
		asked.ID = fmt.Sprintf("%s/%d", q.call.ID, q.asks)
		q.asks++
		answer, leave := g.peers.Ask(ctx, permit.Group{Service: q.service, Index: groups[group]}, asked)
		if ctx.Err() != nil {
			leave.End(false)
			return placement.Choice{}, peers.Leave{}, outOfTime(ctx, false)
		}
		if answer.Verdict == permit.Refused {
			g.noteRefusal(q, answer)
			if group == 0 || answer.Wait < refused.Wait {
				refused = answer
			}
			group++
			continue
		}
		if answer.Engine == "" {
			return g.undecided(q, candidates)
		}
		candidates = g.candidates(q.service, tried) // it may have waited for seconds
		if choice := decided(answer, candidates); choice.Candidate != nil {
			return choice, leave, nil
		}
		leave.End(false)
		asked.Avoid = append(asked.Avoid, answer.Engine)
	}
	if refused.ID == "" {
		return placement.Choice{}, peers.Leave{}, g.noServer(q)
	}
	return placement.Choice{}, peers.Leave{}, fault.New(fault.WaitTooLong, "the engines have a backlog of %d tokens", refused.Backlog).
		With(fault.NotRun).After(refused.Wait)
}

// undecided chooses the engine where no other gateway decides.
func (g *Gateway) undecided(q *request, candidates []placement.Candidate) (placement.Choice, peers.Leave, error) {
	choice := placement.HomeOf(g.placementRequest(q), candidates, q.share)
	if choice.Candidate == nil {
		return choice, peers.Leave{}, g.noServer(q)
	}
	return choice, peers.Leave{}, nil
}

// avoided are the engines to which the request can't be sent from here.
func avoided(candidates []placement.Candidate) []string {
	var out []string
	for _, c := range candidates {
		if c.Tried || c.View.Avoided {
			out = append(out, c.Server.Start())
		}
	}
	return out[:min(len(out), maxAvoided)]
}

// decided is the choice that an answer names; without a candidate if the engine may
// get no work from here any more.
func decided(answer permit.Answer, candidates []placement.Candidate) placement.Choice {
	choice := placement.Choice{Reason: placement.Decided}
	for i := range candidates {
		c := &candidates[i]
		switch {
		case c.Server.Start() == answer.Engine && !c.Tried && !c.View.Avoided:
			choice.Candidate = c
		case c.Server.Start() == answer.FetchFrom && !c.View.Avoided:
			choice.FetchFrom = c.Server.Address
		}
	}
	return choice
}

// noteRefusal keeps a refusal for the decision line.
func (g *Gateway) noteRefusal(q *request, answer permit.Answer) {
	q.sends = append(q.sends, send{Result: permit.Refused.String(), Wait: answer.Wait, Unread: int64(answer.Backlog), At: g.now().Sub(q.start)})
}

// ask describes the request to who decides. A stream that goes on elsewhere comes
// before all others: its caller has part of the answer.
func (g *Gateway) ask(q *request, rel *relay) permit.Ask {
	prompt := q.call.Prompt
	part, shared := prompt.Shared()
	a := permit.Ask{Own: prompt.Tokens - shared, Part: part, Shared: shared}
	now := g.now()
	left := q.deadline.Sub(now)
	answering := g.answerTime(q.service).Of(prompt.Output)
	elapsed := now.Sub(q.start)
	if rel.started {
		rest := max(0, answering-(elapsed-rel.first))
		a.Limit = max(left-time.Duration(restShare*float64(rest)), shortestLimit)
		a.Target = a.Limit
		return a
	}
	a.Rank = urgency(q.route.Priority, q.priority)
	a.Target = q.route.TargetLatency - elapsed
	a.Limit = max(min(patience*q.route.TargetLatency-elapsed, left-answering), shortestLimit)
	return a
}
