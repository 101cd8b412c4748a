package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/placement"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

const (
	// patience is how many times its target a caller waits for a first word before
	// it gives up.
	patience = 4
	// outputTime is the time an engine takes for a generated token while it reads
	// long prompts: a step of 25 ms in two of three, of 7 ms in the third.
	outputTime = 18 * time.Millisecond
	// shortestLimit is the least time in which a first token is asked for.
	shortestLimit = 500 * time.Millisecond
	// maxRefusals bounds the agents that are asked for one request: when three
	// engines have no room, so has the service.
	maxRefusals = 3
)

// Permits asks the agents beside engines whether a long prompt may be sent.
type Permits interface {
	Ask(ctx context.Context, agent netip.AddrPort, a permit.Ask, told func(permit.Answer)) (permit.Answer, bool)
	FirstToken(agent netip.AddrPort, id string)
	End(agent netip.AddrPort, id string)
}

// UsePermits has the gateway ask the agents on a port of the engines' hosts. It
// is called before Serve.
func (g *Gateway) UsePermits(p Permits, port uint16) { g.permits, g.permitPort = p, port }

// held is a permit that was granted, or none where no agent was asked.
type held struct {
	permits Permits
	agent   netip.AddrPort
	id      string
}

// firstToken and end tell the agent how far the request is.
func (h *held) firstToken() {
	if h.permits != nil {
		h.permits.FirstToken(h.agent, h.id)
	}
}

func (h *held) end() {
	if h.permits != nil {
		h.permits.End(h.agent, h.id)
	}
}

// permit waits for leave to send the request to the server. Requests that are
// read quickly and servers without an agent need none. An error means that the
// request was not sent and is not to be sent to this server.
func (g *Gateway) permit(ctx context.Context, q *request, choice placement.Choice) (*held, error) {
	if g.permits == nil || !q.route.PrefixAffinity || q.interactive() {
		return &held{}, nil
	}
	agent, err := agentOf(choice.Candidate.Server, g.permitPort)
	if err != nil {
		g.logger.Error("server address rejected", "server", choice.Candidate.Server.ID, "error", err)
		return &held{}, nil
	}
	b := choice.Candidate.Backend
	answer, present := g.permits.Ask(ctx, agent, g.ask(q, choice), func(a permit.Answer) {
		b.Queue(registry.Queue{Backlog: a.Backlog, TokensPerSecond: a.TokensPerSecond, At: g.now()})
	})
	switch {
	case !present:
		telemetry.Count("merlinpost_permit_absent_total")
		return &held{}, nil
	case ctx.Err() != nil:
		return nil, deadlinePassed(ctx, false)
	case answer.Verdict == permit.Refused:
		return nil, fault.New(fault.WaitTooLong, "the engine has a backlog of %d tokens", answer.Backlog).
			With(fault.NotRun).After(answer.Wait)
	}
	return &held{g.permits, agent, q.call.ID}, nil
}

// ask describes the request to an agent.
func (g *Gateway) ask(q *request, choice placement.Choice) permit.Ask {
	prompt := q.call.Prompt
	unread := prompt.Tokens
	if _, shared := prompt.Shared(); choice.Reason != placement.Least {
		unread -= shared
	}
	now := g.now()
	elapsed := now.Sub(q.start)
	answering := time.Duration(prompt.Output) * outputTime
	limit := min(patience*q.route.TargetLatency-elapsed, q.deadline.Sub(now)-answering)
	return permit.Ask{ID: q.call.ID, Rank: urgency(q.priority, q.route.Priority), Unread: unread,
		Memory: prompt.Tokens + prompt.Output, Target: q.route.TargetLatency - elapsed, Limit: max(limit, shortestLimit)}
}

func agentOf(s registry.Server, port uint16) (netip.AddrPort, error) {
	at, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return netip.AddrPortFrom(at.Addr(), port), nil
}
