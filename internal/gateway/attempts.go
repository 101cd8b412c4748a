package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/exchange"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/placement"
	"github.com/merlinpost/merlinpost/internal/registry"
)

// outcome is what became of one send.
type outcome int

const (
	// delivered: the caller has its whole answer.
	delivered outcome = iota
	// notRun: the server did not run the request and never will.
	notRun
	// mayHaveRun: nobody can tell, or it ran and failed.
	mayHaveRun
	// brokenOff: part of the answer has been relayed.
	brokenOff
)

var outcomeNames = map[outcome]string{
	delivered: "delivered", notRun: "not_run", mayHaveRun: "may_have_run", brokenOff: "broken_off",
}

// maxSends bounds the servers that are asked for one request, whatever they
// answer: beyond a few, the service as a whole is in trouble.
const maxSends = 4

// run sends the request until it is answered, may not be sent again, or its
// time is over. A nil error means that the caller has its answer.
func (g *Gateway) run(ctx context.Context, q *request, rel *relay) error {
	tried := map[string]bool{}
	ran := 0      // servers that may have run the request
	refusals := 0 // agents that gave no leave to send it
	var last error
	for try := 0; ; try++ {
		if err := g.maySend(ctx, q, rel, try, ran, last); err != nil {
			return err
		}
		choice := g.choose(q, tried)
		if choice.Candidate == nil {
			return firstOf(last, fault.New(fault.NoServer, "no backend server of service %q is ready", q.service).
				With(fault.NotRun).After(noServerRetryAfter))
		}
		tried[choice.Candidate.Server.ID] = true
		leave, err := g.permit(ctx, q, choice)
		if err != nil {
			last = soonest(last, err)
			g.logRefusal(q, choice, err)
			if refusals++; refusals >= maxRefusals {
				return last
			}
			continue
		}
		result, err := g.sendTo(ctx, q, choice, leave, rel)
		switch result {
		case delivered:
			return nil
		case mayHaveRun, brokenOff:
			ran++
		}
		last = err
		if !mayGoOn(q, rel, result) {
			return err
		}
	}
}

// mayGoOn reports whether a send with this result allows another.
func mayGoOn(q *request, rel *relay, result outcome) bool {
	switch result {
	case notRun:
		return true
	case mayHaveRun:
		return q.route.MayRepeat()
	case brokenOff:
		return q.route.Resumable && rel.canResume()
	}
	return false
}

// maySend checks what bounds the sends of a request; the error is the final
// answer.
func (g *Gateway) maySend(ctx context.Context, q *request, rel *relay, try, ran int, last error) error {
	if ctx.Err() != nil || !g.now().Before(q.deadline) {
		return firstOf(last, deadlinePassed(ctx, ran > 0))
	}
	if try == 0 {
		return nil
	}
	if ran >= q.route.MaxAttempts || try >= maxSends {
		return last
	}
	if fault.Is(last, fault.NoLink) || fault.Is(last, fault.WaitTooLong) {
		return nil // nothing reached a server: no repeat
	}
	if !g.budget(q.service).Take(g.now()) {
		return last
	}
	return nil
}

// soonest returns the refusal after which it is worth coming back first.
func soonest(a, b error) error {
	if !fault.Is(a, fault.WaitTooLong) || fault.From(b).RetryAfter < fault.From(a).RetryAfter {
		return b
	}
	return a
}

func firstOf(err error, other *fault.Error) error {
	if err != nil {
		return err
	}
	return other
}

// deadlinePassed is the answer to a request whose time is over.
func deadlinePassed(ctx context.Context, ran bool) *fault.Error {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return fault.New(fault.Cancelled, "the caller has left")
	}
	if ran {
		return fault.New(fault.Deadline, "the deadline has passed").With(fault.Unknown)
	}
	return fault.New(fault.Expired, "the deadline has passed before the request was sent").With(fault.NotRun).After(noServerRetryAfter)
}

// choose picks the backend server for the next send.
func (g *Gateway) choose(q *request, tried map[string]bool) placement.Choice {
	now := g.now()
	backends := g.servers.Ready(q.service)
	candidates := make([]placement.Candidate, len(backends))
	for i, b := range backends {
		s := b.Server()
		candidates[i] = placement.Candidate{Backend: b, Server: s, View: b.View(now), Tried: tried[s.ID]}
	}
	req := placement.Request{Prompt: q.call.Prompt, Interactive: q.interactive(),
		FailureDomain: g.settings.Load().FailureDomain, Draw: g.draw()}
	if q.route.PrefixAffinity {
		q.share = g.demand(q.service).Share(now)
		return placement.Engine(req, candidates, q.share)
	}
	return placement.Plain(req, candidates)
}

// sendTo sends the request to the chosen server and relays what it answers.
func (g *Gateway) sendTo(ctx context.Context, q *request, choice placement.Choice, leave *held, rel *relay) (outcome, error) {
	b := choice.Candidate.Backend
	server := choice.Candidate.Server
	sentAt := g.now()
	_, shared := q.call.Prompt.Shared()
	unread := q.call.Prompt.Tokens - shared
	b.Begin(unread)
	firstToken := sync.OnceFunc(func() { b.FirstToken(unread); leave.firstToken() })
	defer func() { firstToken(); b.End(); leave.end() }()

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := g.pool.Do(ctx, server.Address, g.outgoing(q, server, choice.FetchFrom, rel))
	var result outcome
	if err != nil {
		result, err = g.failedExchange(ctx, b, err)
	} else {
		defer resp.Close()
		answer := g.dialect.Answer(resp.Header)
		if answer.Load != nil {
			answer.Load.At = g.now()
			b.Report(*answer.Load)
		}
		result, err = g.take(ctx, q, rel, resp, answer, firstToken)
		g.judge(ctx, b, resp.Status, result)
	}
	s := send{Server: server.ID, Reason: choice.Reason, Fetch: choice.FetchFrom, Result: outcomeNames[result],
		Running: choice.Candidate.View.Running, Unread: choice.Candidate.View.Unread,
		At: sentAt.Sub(q.start), Took: g.now().Sub(sentAt)}
	if err != nil {
		s.Cause = err.Error()
	}
	q.sends = append(q.sends, s)
	return result, err
}

// logRefusal keeps an agent's refusal with the request's sends.
func (g *Gateway) logRefusal(q *request, choice placement.Choice, err error) {
	q.sends = append(q.sends, send{Server: choice.Candidate.Server.ID, Reason: choice.Reason, Result: "refused",
		Cause: err.Error(), At: g.now().Sub(q.start)})
}

// failedExchange types an exchange that gave no answer.
func (g *Gateway) failedExchange(ctx context.Context, b *registry.Backend, err error) (outcome, error) {
	if ctx.Err() == nil {
		b.Failed(g.now(), true)
	}
	var e *exchange.Error
	if errors.As(err, &e) && !e.MayHaveRun {
		if ctx.Err() != nil {
			return notRun, deadlinePassed(ctx, false)
		}
		return notRun, fault.New(fault.NoLink, "the backend server could not be reached: %w", err).
			With(fault.NotRun).After(noServerRetryAfter)
	}
	if ctx.Err() != nil {
		return mayHaveRun, deadlinePassed(ctx, true)
	}
	return mayHaveRun, fault.New(fault.LinkLost, "the backend server gave no answer: %w", err).With(fault.Unknown)
}

// judge keeps count of what a server's answers are worth.
func (g *Gateway) judge(ctx context.Context, b *registry.Backend, status int, result outcome) {
	switch {
	case result == delivered && status < http.StatusInternalServerError:
		b.Answered(g.now())
	case ctx.Err() != nil:
		// The caller left or its time is over: no word about the server.
	default:
		b.Failed(g.now(), false)
	}
}

// outgoing is the request as the server gets it.
func (g *Gateway) outgoing(q *request, server registry.Server, fetchFrom string, rel *relay) *exchange.Request {
	header := make(http.Header, len(q.header)+8)
	for name, values := range q.header {
		if !connectionHeader(name, q.header) {
			header[name] = values
		}
	}
	f := Forwarding{Deadline: max(q.deadline.Sub(g.now()), time.Millisecond), ServerID: server.ID, Team: q.teamName(),
		Urgency: -1, FetchFrom: fetchFrom, LastEventID: rel.lastEventID()}
	if q.route.PrefixAffinity {
		f.Urgency = urgency(q.priority, q.route.Priority)
	}
	g.dialect.Forward(header, f)
	return &exchange.Request{Method: q.method, Target: q.target, Host: q.host, Header: header, Body: q.body, HasBody: q.hasBody,
		EchoHeader: g.dialect.EchoHeader(), EchoID: q.call.ID, MayRepeat: q.route.MayRepeat()}
}

const (
	// leastUrgent is the last rank that engines know.
	leastUrgent = 9
	// routeRanks is the number of ranks that routes get within one priority of a
	// team: three priorities of teams by three of routes fill an engine's ranks.
	routeRanks = 3
)

// urgency maps priorities to an engine's rank, 0 first. The priority of a team,
// where it has one, goes before the route's; among equals the route's decides,
// so that a team's reports do not displace its own interactive requests.
func urgency(priority, ofRoute int) int {
	rank := max(priority, 0)*routeRanks + min(max(ofRoute, 0), routeRanks-1)
	return min(rank, leastUrgent)
}
