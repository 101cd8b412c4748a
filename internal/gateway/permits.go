package gateway

import (
	"context"
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
	// outputTime is the time an engine takes for a generated token while it reads
	// long prompts: a step of 25 ms in two of three, of 7 ms in the third.
	outputTime = 18 * time.Millisecond
	// longestAnswer is the part of the time left, one in so many, that a request may
	// wait whatever its answer is expected to take: expected lengths are often far
	// off, and long answers are not to be refused for them.
	// shortestLimit is the least time in which a first token is asked for.
	shortestLimit = 500 * time.Millisecond
	// maxHomes bounds the engines that are asked for for one request: when three engines
	// have no room, so has the service, within what chance makes of it.
	maxHomes = 3
	// quickShare is the part of its target that a request waits at one engine
	// before others are asked. The engine reads in the rest.
	quickShare = 0.4
)

// Permits decide whether a long prompt may be sent to an engine.
type Permits interface {
	// Ask waits for the verdict. It is Granted where nobody is there to decide.
	Ask(ctx context.Context, engine string, a permit.Ask) (permit.Answer, peers.Leave)
}

// UsePermits has the gateway ask for leave before it sends long prompts. It is
// called before Serve.
func (g *Gateway) UsePermits(p Permits) { g.permits = p }

// needsPermit reports whether leave is asked for before the request is sent.
// Requests of which many are read in the time of one long prompt need none.
func (g *Gateway) needsPermit(q *request) bool {
	return g.permits != nil && q.route.PrefixAffinity && !q.interactive()
}

// acquire asks for leave at the request's homes in turn and waits for it. An
// error means that the request was not sent and that the service has no room.
func (g *Gateway) acquire(ctx context.Context, q *request, tried map[string]bool, resumed bool) (placement.Choice, peers.Leave, error) {
	quick := time.Duration(quickShare * float64(q.route.TargetLatency))
	var (
		best placement.Choice
		wait time.Duration
	)
	for asked := 0; asked < maxHomes; asked++ {
		homes := placement.Homes(g.placementRequest(q), g.candidates(q, tried), q.share)
		if asked >= len(homes) {
			break
		}
		choice := homes[asked]
		answer, leave := g.permit(ctx, q, choice, resumed, quick)
		switch {
		case ctx.Err() != nil:
			return choice, leave, outOfTime(ctx, false)
		case answer.Verdict == permit.Granted:
			return choice, leave, nil
		case best.Candidate == nil || answer.Wait < wait:
			best, wait = choice, answer.Wait
		}
	}
	if best.Candidate == nil {
		return best, peers.Leave{}, g.noServer(q)
	}
	answer, leave := g.permit(ctx, q, best, resumed, 0)
	switch {
	case ctx.Err() != nil:
		return best, leave, outOfTime(ctx, false)
	case answer.Verdict == permit.Granted:
		return best, leave, nil
	case best.Candidate.Backend.Serving().Err() != nil:
		return best, leave, fault.New(fault.Draining, "the engine that the request waited for is leaving").
			With(fault.NotRun).After(noServerRetryAfter)
	}
	return best, leave, fault.New(fault.WaitTooLong, "the engine has a backlog of %d tokens", answer.Backlog).
		With(fault.NotRun).After(answer.Wait)
}

// permit asks for leave to send the request to one engine. An engine that leaves
// while the request waits for it counts as a refusal.
func (g *Gateway) permit(ctx context.Context, q *request, choice placement.Choice, resumed bool, maxWait time.Duration) (permit.Answer, peers.Leave) {
	server := choice.Candidate.Server.ID
	asked := g.ask(q, choice, resumed)
	asked.MaxWait = maxWait
	backend := choice.Candidate.Backend
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(backend.Serving(), cancel) // the wait is in vain
	defer stop()
	answer, leave := g.permits.Ask(ctx, server, asked)
	if answer.Verdict == permit.Granted && backend.Serving().Err() != nil {
		leave.End()
		answer.Verdict = permit.Refused
	}
	if answer.Verdict == permit.Refused {
		q.sends = append(q.sends, send{Server: server, Reason: choice.Reason, Result: "refused", Wait: answer.Wait,
			Unread: int64(answer.Backlog), At: g.now().Sub(q.start)})
	}
	return answer, leave
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
		return permit.Ask{ID: q.call.ID, Unread: unread, Target: left, Limit: left}
	}
	elapsed := now.Sub(q.start)
	answering := time.Duration(prompt.Output) * outputTime
	left := q.deadline.Sub(now)
	limit := min(patience*q.route.TargetLatency-elapsed, left-answering)
	return permit.Ask{ID: q.call.ID, Rank: urgency(q.route.Priority, q.priority), Unread: unread,
		Target: q.route.TargetLatency - elapsed, Limit: max(limit, shortestLimit)}
}
