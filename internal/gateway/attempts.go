package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/exchange"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/peers"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/placement"
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/retrybudget"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// outcome is what became of one send.
type outcome int

const (
	// unsent: the request was not sent, and is not to be.
	unsent outcome = iota
	// delivered: the caller has its whole answer.
	delivered
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

const (
	// maxSends bounds the servers that are asked for one request, whatever they
	// answer: beyond a few, the service as a whole is in trouble.
	maxSends = 4
	// maxUnreached bounds the servers to which no connection opened, which costs a
	// round trip each: where a quarter of them are down, 1 request in 65,000 meets
	// eight of these.
	maxUnreached = 8
	// borrowPause is the time for which other gateways are not asked for repeats to a service after none of them
	// granted one.
	borrowPause = 100 * time.Millisecond
	// maxGrantAge is the age beyond which the grant of a repeat is renewed before the repeat is sent.
	maxGrantAge = 250 * time.Millisecond
)

// run sends the request until it is answered, may not be sent again, or its
// time is over. A nil error means that the caller has its answer.
func (g *Gateway) run(ctx context.Context, q *request, rel *relay) error {
	tried := map[string]bool{}
	ran := 0 // servers that may have run the request
	var last error
	for try := 0; ; try++ {
		if err := g.maySend(ctx, q, rel, try, ran, last); err != nil {
			return err
		}
		result, err := g.sendInTurn(ctx, q, tried, ran > 0, rel)
		if result == unsent {
			return finalOf(last, err)
		}
		switch result {
		case delivered:
			return nil
		case mayHaveRun, brokenOff:
			ran++
		}
		last = err
		if result == notRun && ran > 0 {
			last = fault.New(fault.LinkLost, "an earlier server may have run the request: %w", err).WithOutcome(fault.Unknown)
		}
		if !mayGoOn(q, rel, result) {
			return last
		}
	}
}

// sendInTurn chooses a server and sends the request to it when it has its turn.
func (g *Gateway) sendInTurn(ctx context.Context, q *request, tried map[string]bool, ran bool, rel *relay) (outcome, error) {
	t, err := g.awaitTurn(ctx, q, ran)
	if err != nil {
		return unsent, err
	}
	if t.key != 0 {
		defer func() { g.ledger.Done(q.id(), t.key, g.now()) }()
	}
	choice, leave, err := g.choose(ctx, q, g.apart(q, t, tried), t, rel)
	if err != nil {
		return unsent, err
	}
	if err := g.mayStill(q, t, ran); err != nil {
		leave.End(permit.StreamStats{})
		return unsent, err
	}
	if !g.renewRepeat(q) {
		leave.End(permit.StreamStats{})
		return unsent, nil
	}
	start := choice.Candidate.Server.InstanceID()
	tried[start] = true
	g.ledger.SetServer(q.id(), t.key, start, g.now())
	return g.sendTo(ctx, q, choice, leave, rel)
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
		return firstOf(last, outOfTime(ctx, ran > 0))
	}
	if last == nil {
		return nil // nothing was sent
	}
	if fault.Is(last, fault.BackendServersUnreachable) && try < maxUnreached {
		return nil // nothing reached a server: no repeat
	}
	if ran >= q.route.MaxAttempts || try >= maxSends {
		return last
	}
	if !g.takeRepeat(ctx, q, rel) {
		return last
	}
	return nil
}

// takeRepeat asks the service's retry budget for a repeated send and reports whether it was granted. It may wait
// for the decision, which is recorded in the entry of the failed send and in metrics.
func (g *Gateway) takeRepeat(ctx context.Context, q *request, rel *relay) bool {
	d := g.claimRepeat(ctx, q, rel)
	verdict := "denied"
	if d.Granted {
		verdict = "granted"
	}
	q.repeat, q.repeatAt = d, g.now()
	failed := q.lastSent()
	failed.Repeat = &d
	telemetry.Count("merlinpost_retry_budget_decisions_total", "service", q.service, "cause", failed.Result, "verdict", verdict)
	telemetry.SetGauge("merlinpost_retry_budget_taken", float64(d.Taken), "service", q.service)
	telemetry.SetGauge("merlinpost_retry_budget_allowed", d.Allowed, "service", q.service)
	telemetry.ObserveDuration("merlinpost_retry_budget_wait_seconds", d.Waited, "service", q.service, "verdict", verdict)
	return d.Granted
}

// renewRepeat reports whether the request may be sent now. If it is a repeat whose grant is older than maxGrantAge, the
// retry budget decides again, because repeats count when they reach a server. A denial is recorded in the entry of the
// failed send and in metrics.
func (g *Gateway) renewRepeat(q *request) bool {
	now := g.now()
	if !q.repeat.Granted || now.Sub(q.repeatAt) <= maxGrantAge {
		return true
	}
	d := g.budget(q.service).Renew(q.repeat, now)
	q.repeat, q.repeatAt = d, now
	if !d.Granted {
		q.lastSent().Repeat = &d
		telemetry.Count("merlinpost_retry_budget_decisions_total", "service", q.service, "cause", "waited_for_turn", "verdict", "denied")
	}
	return d.Granted
}

// claimRepeat claims a repeat and waits for the decision until ctx ends. A repeat that this gateway's budget does not
// grant immediately may be borrowed from another gateway, because the failures of one server are distributed unevenly
// over the gateways.
func (g *Gateway) claimRepeat(ctx context.Context, q *request, rel *relay) retrybudget.Decision {
	budget := g.budget(q.service)
	claimedAt := g.now()
	claim := g.claim(q, rel)
	d, pending := budget.Claim(claim, claimedAt)
	if d.Granted {
		return d
	}
	if pending == nil {
		d.Borrowed = g.borrowRepeat(ctx, q)
		d.Granted, d.Waited = d.Borrowed, g.now().Sub(claimedAt)
		return d
	}
	timer := time.NewTimer(retrybudget.GrantInterval)
	defer timer.Stop()
	for {
		select {
		case d := <-pending.Decided():
			return d
		case <-ctx.Done():
			d := pending.Withdraw()
			d.Granted, d.Waited = false, g.now().Sub(claimedAt)
			return d
		case <-timer.C:
			budget.Grant(g.now())
			spread := time.Duration((0.5 + g.draw()) * float64(budget.PollInterval()))
			timer.Reset(max(retrybudget.GrantInterval, min(spread, claim.Expires.Sub(g.now()))))
		}
		if pending.Undecided() && g.borrowRepeat(ctx, q) {
			d := pending.Withdraw()
			d.Granted, d.Borrowed, d.Waited = true, true, g.now().Sub(claimedAt)
			return d
		}
	}
}

// borrowRepeat asks other gateways for a repeat and reports whether one granted it. It does not ask within borrowPause
// of an unsuccessful attempt for the same service.
func (g *Gateway) borrowRepeat(ctx context.Context, q *request) bool {
	if g.peers == nil {
		return false
	}
	g.mu.Lock()
	paused := g.now().Before(g.borrowPausedUntil[q.service])
	g.mu.Unlock()
	if paused {
		return false
	}
	if g.peers.BorrowRepeat(ctx, q.service, q.call.ID) {
		return true
	}
	g.mu.Lock()
	g.borrowPausedUntil[q.service] = g.now().Add(borrowPause)
	g.mu.Unlock()
	return false
}

// claim returns the request's claim on the retry budget. A request whose answer has started can't be retried by its
// caller without losing the stream, so it waits for as long as the stream can still be completed and the caller
// tolerates a pause. Other requests wait until their latency target, for two grant intervals at least, but not past
// their deadline, so that the caller can still retry in time.
func (g *Gateway) claim(q *request, rel *relay) retrybudget.Claim {
	now := g.now()
	c := retrybudget.Claim{Rank: urgency(q.route.Priority, q.priority), Due: q.start.Add(q.route.TargetLatency)}
	if rel.started {
		c.Due = now.Add(q.route.TargetGap)
		c.Expires = now.Add(min(g.ask(q, rel).FirstTokenTimeout, patience(q.route)))
		return c
	}
	c.Expires = now.Add(min(max(c.Due.Sub(now), 2*retrybudget.GrantInterval), q.deadline.Sub(now)))
	return c
}

// finalOf is the answer where the request is not sent again: what became of the last send, if there
// was one, unless the request is quarantined or, having run nowhere, finds all servers at rest or at their
// rates: that tells when to come back.
func finalOf(last, err error) error {
	switch {
	case last == nil, fault.Is(err, fault.Quarantined):
		return err
	case (fault.Is(err, fault.ServersInBackoff) || fault.Is(err, fault.ServerRateLimit)) && fault.From(last).Outcome == fault.NotRun:
		return err
	}
	return last
}

// firstOf returns what became of the last send, if there was one.
func firstOf(err, other error) error {
	if err != nil {
		return err
	}
	return other
}

// outOfTime is the answer to a request whose context has ended.
func outOfTime(ctx context.Context, ran bool) *fault.Error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errEnding) && ran:
		return fault.New(fault.LinkLost, "%w", errEnding).WithOutcome(fault.Unknown)
	case errors.Is(cause, errEnding):
		return fault.New(fault.NotReady, "%w", errEnding).WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
	case errors.Is(cause, context.Canceled):
		return fault.New(fault.Cancelled, "the caller has left")
	case ran:
		return fault.New(fault.DeadlinePassed, "%w", errDeadline).WithOutcome(fault.Unknown)
	}
	return fault.New(fault.StartDeadlinePassed, "the deadline has passed before the request was sent").WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
}

// sendTo sends the request to the chosen server and relays what it answers.
func (g *Gateway) sendTo(ctx context.Context, q *request, choice placement.Choice, leave peers.Permit, rel *relay) (outcome, error) {
	b := choice.Candidate.Backend
	server := choice.Candidate.Server
	sentAt := g.now()
	_, shared := q.call.Prompt.Shared()
	unread := q.call.Prompt.Tokens - shared
	b.BeginRequest(unread)
	read := sync.OnceFunc(func() { b.RecordFirstToken(unread) })
	var seen permit.StreamStats
	defer func() { read(); b.EndRequest(); leave.End(seen) }()
	firstToken := sync.OnceFunc(func() {
		read()
		seen.TimeToFirstEvent = g.now().Sub(sentAt)
		leave.FirstToken(seen.TimeToFirstEvent)
	})

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := g.pool.Do(ctx, server.Address, g.outgoing(q, server, choice.FetchFrom, rel))
	var result outcome
	var said *notice.Statement
	if err != nil {
		result, err = g.failedExchange(ctx, b, err)
	} else {
		defer resp.Close()
		answer := g.dialect.ParseResponse(resp.Status, q.call.ID, resp.Header)
		said = g.heard(server, answer.Notices, sentAt) // with the head: a stream may last for long
		if answer.Load != nil {
			answer.Load.At = g.now()
			b.RecordLoad(*answer.Load)
		}
		result, err = g.take(ctx, q, rel, resp, answer, &watch{now: g.now, first: firstToken, seen: &seen})
		g.judge(ctx, b, resp.Status, result)
	}
	seen.EngineFailed = ctx.Err() == nil && (result != delivered || resp.Status >= http.StatusInternalServerError)
	s := send{Server: server.ID, Reason: choice.Reason, FetchFrom: choice.FetchFrom, Result: outcomeNames[result],
		Running: choice.Candidate.View.InFlight, UnreadTokens: choice.Candidate.View.UnreadTokens,
		ExpectedPrefill: choice.ExpectedPrefill, TimeToFirstEvent: seen.TimeToFirstEvent, LongestGap: seen.LongestGap, SentAfter: sentAt.Sub(q.start), Took: g.now().Sub(sentAt), Notices: said}
	if err != nil {
		s.Cause = err.Error()
	}
	g.ledger.RecordRun(g.now().Sub(sentAt), g.now())
	switch {
	case broke(ctx, result, err):
		s.ServerExited = g.brokeAt(q, server, quarantine.Crash{Server: server.InstanceID(), SentAt: sentAt, At: g.now()})
	case result == delivered && resp.Status < http.StatusInternalServerError && g.ledger.HasEntries():
		g.ledger.RecordResponse(q.id(), g.now())
	}
	q.sends = append(q.sends, s)
	return result, err
}

// failedExchange types an exchange that gave no answer.
func (g *Gateway) failedExchange(ctx context.Context, b *registry.Backend, err error) (outcome, error) {
	if ctx.Err() == nil {
		b.RecordFailure(g.now(), true)
	}
	var e *exchange.Error
	if errors.As(err, &e) && !e.MayHaveRun {
		if ctx.Err() != nil {
			return notRun, outOfTime(ctx, false)
		}
		return notRun, fault.New(fault.BackendServersUnreachable, "the backend server could not be reached: %w", err).
			WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
	}
	if ctx.Err() != nil {
		return mayHaveRun, outOfTime(ctx, true)
	}
	return mayHaveRun, fault.New(fault.LinkLost, "the backend server gave no answer: %w", err).WithOutcome(fault.Unknown)
}

// judge keeps count of what a server's answers are worth.
func (g *Gateway) judge(ctx context.Context, b *registry.Backend, status int, result outcome) {
	switch {
	case status == http.StatusMisdirectedRequest:
		b.RecordReplaced(g.now())
		server := b.Server()
		g.startEnded(server.InstanceID())
	case result == delivered && status < http.StatusInternalServerError:
		b.RecordSuccess(g.now())
	case ctx.Err() != nil:
		// The caller left or its time is over: no word about the server.
	default:
		b.RecordFailure(g.now(), false)
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
		f.Urgency = urgency(q.route.Priority, q.priority)
	}
	g.dialect.Forward(header, f)
	return &exchange.Request{Method: q.method, Target: q.target, Host: q.host, Header: header, Body: q.body, HasBody: q.hasBody,
		EchoHeader: g.dialect.EchoHeader(), EchoID: q.call.ID, MayRepeat: q.route.MayRepeat()}
}

const (
	// leastUrgent is the last rank that engines know.
	leastUrgent = 9
	// teamRanks is the number of ranks that teams get within one priority of a
	// route: three priorities of routes by three of teams fill an engine's ranks.
	teamRanks = 3
)

// urgency maps priorities to an engine's rank, 0 first. The route's goes first:
// an engine puts running requests of a higher rank back for those of a lower, and
// a caller who waits on the line is never put back for a report, whichever team
// asks for it. Among requests of one priority of routes the team's decides.
func urgency(ofRoute, ofTeam int) int {
	rank := max(ofRoute, 0)*teamRanks + min(max(ofTeam, 0), teamRanks-1)
	return min(rank, leastUrgent)
}
