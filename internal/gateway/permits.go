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
	// maxHomes bounds the agents that are asked for one request: when three engines
	// have no room, so has the service, within what chance makes of it.
	maxHomes = 3
	// quickShare is the part of its target that a request waits at one engine
	// before others are asked. The engine reads in the rest.
	quickShare = 0.4
)

// Permits asks the agents beside engines whether a long prompt may be sent.
type Permits interface {
	Ask(ctx context.Context, agent netip.AddrPort, a permit.Ask) (permit.Answer, bool)
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

// needsPermit reports whether agents are asked before the request is sent.
// Requests that are read quickly need no leave.
func (g *Gateway) needsPermit(q *request) bool {
	return g.permits != nil && q.route.PrefixAffinity && !q.interactive()
}

// acquire asks the agents of the request's homes in turn and waits for leave. An
// error means that the request was not sent and that the service has no room.
func (g *Gateway) acquire(ctx context.Context, q *request, homes []placement.Choice, resumed bool) (placement.Choice, *held, error) {
	if len(homes) == 0 {
		return placement.Choice{}, nil, g.noServer(q)
	}
	quick := time.Duration(quickShare * float64(q.route.TargetLatency))
	var (
		best placement.Choice
		wait time.Duration
	)
	for i, choice := range homes[:min(maxHomes, len(homes))] {
		leave, answer, err := g.permit(ctx, q, choice, resumed, quick)
		if err != nil || leave != nil {
			return choice, leave, err
		}
		if i == 0 || answer.Wait < wait {
			best, wait = choice, answer.Wait
		}
	}
	leave, answer, err := g.permit(ctx, q, best, resumed, 0)
	if err == nil && leave == nil {
		err = fault.New(fault.WaitTooLong, "the engine has a backlog of %d tokens", answer.Backlog).
			With(fault.NotRun).After(answer.Wait)
	}
	return best, leave, err
}

// permit waits for leave to send the request to the server. No leave and no error
// is a refusal.
func (g *Gateway) permit(ctx context.Context, q *request, choice placement.Choice, resumed bool, maxWait time.Duration) (*held, permit.Answer, error) {
	server := choice.Candidate.Server
	agent, err := agentOf(server, g.permitPort)
	if err != nil {
		g.logger.Error("server address rejected", "server", server.ID, "error", err)
		return &held{}, permit.Answer{}, nil
	}
	asked := g.ask(q, choice, resumed)
	asked.MaxWait = maxWait
	answer, present := g.permits.Ask(ctx, agent, asked)
	switch {
	case !present:
		telemetry.Count("merlinpost_permit_absent_total")
		return &held{}, answer, nil
	case ctx.Err() != nil:
		return nil, answer, deadlinePassed(ctx, false)
	case answer.Verdict == permit.Refused:
		q.sends = append(q.sends, send{Server: server.ID, Reason: choice.Reason, Result: "refused", Wait: answer.Wait,
			Unread: int64(answer.Backlog), At: g.now().Sub(q.start)})
		return nil, answer, nil
	}
	return &held{g.permits, agent, q.call.ID}, answer, nil
}

// ask describes the request to an agent. A stream that goes on elsewhere comes
// before all others: its caller has part of the answer.
func (g *Gateway) ask(q *request, choice placement.Choice, resumed bool) permit.Ask {
	prompt := q.call.Prompt
	unread := prompt.Tokens
	if _, shared := prompt.Shared(); choice.Reason != placement.Least {
		unread -= shared
	}
	now := g.now()
	if resumed {
		left := q.deadline.Sub(now)
		return permit.Ask{ID: q.call.ID, Unread: unread, Memory: prompt.Tokens + prompt.Output, Target: left, Limit: left}
	}
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
