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

// sendResult is the result of one send.
type sendResult int

const (
	// unsent: the request was not sent and must not be retried.
	unsent sendResult = iota
	// delivered: the complete response was relayed to the caller.
	delivered
	// notRun: the server did not run the request and will not run it.
	notRun
	// mayHaveRun: it is unknown whether the request ran, or it ran and failed.
	mayHaveRun
	// brokenOff: the response failed after part of it was relayed.
	truncated
)

var sendResultNames = map[sendResult]string{
	delivered: "delivered", notRun: "not_run", mayHaveRun: "may_have_run", truncated: "broken_off",
}

const (
	// maxSends limits the sends of one request. If this many fail, the cause is
	// likely the service as a whole rather than single servers.
	maxSends = 4
	// maxConnectFailures limits the failed connection attempts of one request. Each
	// costs a round trip. With a quarter of the servers down, 1 request in 65,000
	// reaches the limit.
	maxConnectFailures = 8
	// borrowPause is the time for which other gateways are not asked for repeats to a service after none of them
	// granted one.
	borrowRetryDelay = 100 * time.Millisecond
	// maxGrantAge is the age beyond which the grant of a repeat is renewed before the repeat is sent.
	maxGrantAge = 250 * time.Millisecond
)

// runAttempts sends the request until the response is delivered, no retry is
// allowed, or the deadline passes. A nil error means that the response was delivered.
func (g *Gateway) runAttempts(ctx context.Context, q *request, rel *relay) error {
	tried := map[string]bool{}
	ran := 0 // number of servers that may have run the request
	var last error
	for try := 0; ; try++ {
		if err := g.checkRetry(ctx, q, rel, try, ran, last); err != nil {
			return err
		}
		result, err := g.sendOnce(ctx, q, tried, ran > 0, rel)
		if result == unsent {
			return finalError(last, err)
		}
		switch result {
		case delivered:
			return nil
		case mayHaveRun, truncated:
			ran++
		}
		last = err
		if result == notRun && ran > 0 {
			last = fault.New(fault.LinkLost, "a previous server may have run the request: %w", err).WithOutcome(fault.Unknown)
		}
		if !mayRetry(q, rel, result) {
			return last
		}
	}
}

// sendInTurn waits until the quarantine tracker allows the request to run, chooses a server and sends
// the request to it.
func (g *Gateway) sendOnce(ctx context.Context, q *request, tried map[string]bool, ran bool, rel *relay) (sendResult, error) {
	t, err := g.beginTrackedRun(ctx, q, ran)
	if err != nil {
		return unsent, err
	}
	if t.key != 0 {
		defer func() { g.quarantine.EndRun(q.quarantineID(), t.key, g.now()) }()
	}
	choice, permitted, err := g.chooseServer(ctx, q, g.excludedServers(q, t, tried), t, rel)
	if err != nil {
		return unsent, err
	}
	if err := g.recheckQuarantine(q, t, ran); err != nil {
		permitted.End(permit.StreamStats{})
		return unsent, err
	}
	if !g.renewRetry(q) {
		permitted.End(permit.StreamStats{})
		return unsent, nil
	}
	instance := choice.Candidate.Server.InstanceID()
	tried[instance] = true
	g.quarantine.SetServer(q.quarantineID(), t.key, instance, g.now())
	return g.sendTo(ctx, q, choice, permitted, rel)
}

// mayRetry reports whether the route allows another send after one with this result.
func mayRetry(q *request, rel *relay, result sendResult) bool {
	switch result {
	case notRun:
		return true
	case mayHaveRun:
		return q.route.MayRepeat()
	case truncated:
		return q.route.Resumable && rel.canResume()
	}
	return false
}

// checkRetry checks the deadline, the limits on sends and the retry budget before
// a send. A non-nil error is the final result of the request.
func (g *Gateway) checkRetry(ctx context.Context, q *request, rel *relay, try, ran int, last error) error {
	if ctx.Err() != nil || !g.now().Before(q.deadline) {
		return firstNonNil(last, contextError(ctx, ran > 0))
	}
	if last == nil {
		return nil // first send
	}
	if fault.Is(last, fault.BackendServersUnreachable) && try < maxConnectFailures {
		return nil // no server received the request, so this does not count as a repeat
	}
	if ran >= q.route.MaxAttempts || try >= maxSends {
		return last
	}
	if !g.requestRetry(ctx, q, rel) {
		return last
	}
	return nil
}

// requestRepeat asks the service's retry budget for a repeated send and reports whether it was granted. It may wait
// for the decision, which is recorded in the entry of the failed send and in metrics.
func (g *Gateway) requestRetry(ctx context.Context, q *request, rel *relay) bool {
	d := g.claimRetry(ctx, q, rel)
	verdict := "denied"
	if d.Granted {
		verdict = "granted"
	}
	q.retryDecision, q.retryDecidedAt = d, g.now()
	failed := q.lastSend()
	failed.RetryDecision = &d
	telemetry.Count("merlinpost_retry_budget_decisions_total", "service", q.service, "cause", failed.Result, "verdict", verdict)
	telemetry.SetGauge("merlinpost_retry_budget_taken", float64(d.Taken), "service", q.service)
	telemetry.SetGauge("merlinpost_retry_budget_allowed", d.Allowed, "service", q.service)
	telemetry.ObserveDuration("merlinpost_retry_budget_wait_seconds", d.Waited, "service", q.service, "verdict", verdict)
	return d.Granted
}

// renewRepeat reports whether the request may be sent now. If it is a repeat whose grant is older than maxGrantAge, the
// retry budget decides again, because repeats count when they reach a server. A denial is recorded in the entry of the
// failed send and in metrics.
func (g *Gateway) renewRetry(q *request) bool {
	now := g.now()
	if !q.retryDecision.Granted || now.Sub(q.retryDecidedAt) <= maxGrantAge {
		return true
	}
	d := g.budget(q.service).Renew(q.retryDecision, now)
	q.retryDecision, q.retryDecidedAt = d, now
	if !d.Granted {
		q.lastSend().RetryDecision = &d
		telemetry.Count("merlinpost_retry_budget_decisions_total", "service", q.service, "cause", "waited_for_turn", "verdict", "denied")
	}
	return d.Granted
}

// claimRepeat claims a repeat and waits for the decision until ctx ends. A repeat that this gateway's budget does not
// grant immediately may be borrowed from another gateway, because the failures of one server are distributed unevenly
// over the gateways.
func (g *Gateway) claimRetry(ctx context.Context, q *request, rel *relay) retrybudget.Decision {
	budget := g.budget(q.service)
	claimedAt := g.now()
	claim := g.retryClaim(q, rel)
	d, pending := budget.Claim(claim, claimedAt)
	if d.Granted {
		return d
	}
	if pending == nil {
		d.Borrowed = g.borrowRetry(ctx, q)
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
			d := pending.Cancel()
			d.Granted, d.Waited = false, g.now().Sub(claimedAt)
			return d
		case <-timer.C:
			budget.Grant(g.now())
			spread := time.Duration((0.5 + g.random()) * float64(budget.PollInterval()))
			timer.Reset(max(retrybudget.GrantInterval, min(spread, claim.Expires.Sub(g.now()))))
		}
		if pending.Undecided() && g.borrowRetry(ctx, q) {
			d := pending.Cancel()
			d.Granted, d.Borrowed, d.Waited = true, true, g.now().Sub(claimedAt)
			return d
		}
	}
}

// borrowRepeat asks other gateways for a repeat and reports whether one granted it. It does not ask within borrowPause
// of an unsuccessful attempt for the same service.
func (g *Gateway) borrowRetry(ctx context.Context, q *request) bool {
	if g.peers == nil {
		return false
	}
	g.mu.Lock()
	paused := g.now().Before(g.borrowPausedUntil[q.service])
	g.mu.Unlock()
	if paused {
		return false
	}
	if g.peers.BorrowRetry(ctx, q.service, q.info.ID) {
		return true
	}
	g.mu.Lock()
	g.borrowPausedUntil[q.service] = g.now().Add(borrowRetryDelay)
	g.mu.Unlock()
	return false
}

// claim returns the request's claim on the retry budget. A request whose response has started can't be retried by its
// caller without losing the stream, so it waits for as long as the stream can still be completed and the caller
// tolerates a pause. Other requests wait until their latency target, for two grant intervals at least, but not past
// their deadline, so that the caller can still retry in time.
func (g *Gateway) retryClaim(q *request, rel *relay) retrybudget.Claim {
	now := g.now()
	c := retrybudget.Claim{Rank: engineRank(q.route.Priority, q.priority), Due: q.start.Add(q.route.TargetLatency)}
	if rel.started {
		c.Due = now.Add(q.route.TargetGap)
		c.Expires = now.Add(min(g.permitRequest(q, rel).FirstTokenTimeout, callerWait(q.route)))
		return c
	}
	c.Expires = now.Add(min(max(c.Due.Sub(now), 2*retrybudget.GrantInterval), q.deadline.Sub(now)))
	return c
}

// finalError returns the error to report when the request is not sent again because of err. It is the
// error of the last send, if there was one, with two exceptions that report err: the request is quarantined,
// or it has not run and all servers are backing off or rate-limited, as err then has a better Retry-After.
func finalError(last, err error) error {
	switch {
	case last == nil, fault.Is(err, fault.Quarantined):
		return err
	case (fault.Is(err, fault.ServersInBackoff) || fault.Is(err, fault.ServerRateLimit)) && fault.From(last).Outcome == fault.NotRun:
		return err
	}
	return last
}

// firstNonNil returns err, or other if err is nil.
func firstNonNil(err, other error) error {
	if err != nil {
		return err
	}
	return other
}

// contextError returns the error for a request whose context has been cancelled or whose deadline has
// passed. ran tells whether a server may have run the request.
func contextError(ctx context.Context, ran bool) *fault.Error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errShuttingDown) && ran:
		return fault.New(fault.LinkLost, "%w", errShuttingDown).WithOutcome(fault.Unknown)
	case errors.Is(cause, errShuttingDown):
		return fault.New(fault.NotReady, "%w", errShuttingDown).WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
	case errors.Is(cause, context.Canceled):
		return fault.New(fault.Cancelled, "the caller has left")
	case ran:
		return fault.New(fault.DeadlinePassed, "%w", errDeadline).WithOutcome(fault.Unknown)
	}
	return fault.New(fault.StartDeadlinePassed, "the deadline has passed before the request was sent").WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
}

// sendTo sends the request to the chosen server, relays its response and records the result.
func (g *Gateway) sendTo(ctx context.Context, q *request, choice placement.Choice, permitted peers.Permit, rel *relay) (sendResult, error) {
	b := choice.Candidate.Backend
	server := choice.Candidate.Server
	sentAt := g.now()
	_, shared := q.info.Prompt.SharedPrefix()
	unread := q.info.Prompt.Tokens - shared
	b.BeginRequest(unread)
	promptRead := sync.OnceFunc(func() { b.RecordFirstToken(unread) })
	var stats permit.StreamStats
	defer func() { promptRead(); b.EndRequest(); permitted.End(stats) }()
	firstToken := sync.OnceFunc(func() {
		promptRead()
		stats.TimeToFirstEvent = g.now().Sub(sentAt)
		permitted.FirstToken(stats.TimeToFirstEvent)
	})

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := g.pool.Do(ctx, server.Address, g.outgoingRequest(q, server, choice.FetchFrom, rel))
	var result sendResult
	var notices *notice.ResponseNotices
	if err != nil {
		result, err = g.exchangeError(ctx, b, err)
	} else {
		defer resp.Close()
		info := g.dialect.ParseResponse(resp.Status, q.info.ID, resp.Header)
		// Notices are applied before the body is read because a stream may last long.
		notices = g.applyNotices(server, info.Notices, sentAt)
		if info.Load != nil {
			info.Load.At = g.now()
			b.RecordLoad(*info.Load)
		}
		result, err = g.relayResponse(ctx, q, rel, resp, info, &streamMeter{now: g.now, onFirstEvent: firstToken, stats: &stats})
		g.recordHealth(ctx, b, resp.Status, result)
	}
	stats.EngineFailed = ctx.Err() == nil && (result != delivered || resp.Status >= http.StatusInternalServerError)
	s := sendRecord{Server: server.ID, Reason: choice.Reason, FetchFrom: choice.FetchFrom, Result: sendResultNames[result],
		Running: choice.Candidate.View.InFlight, PendingPrefillTokens: choice.Candidate.View.UnreadTokens,
		ExpectedPrefill: choice.ExpectedPrefill, TimeToFirstEvent: stats.TimeToFirstEvent, LongestGap: stats.LongestGap, SentAfter: sentAt.Sub(q.start), Took: g.now().Sub(sentAt), Notices: notices}
	if err != nil {
		s.Cause = err.Error()
	}
	g.quarantine.RecordRun(g.now().Sub(sentAt), g.now())
	switch {
	case connectionBroke(ctx, result, err):
		s.ServerExited = g.handleInterruptedRun(q, server, quarantine.Crash{Server: server.InstanceID(), SentAt: sentAt, At: g.now()})
	case result == delivered && resp.Status < http.StatusInternalServerError && g.quarantine.HasEntries():
		g.quarantine.RecordResponse(q.quarantineID(), g.now())
	}
	q.sends = append(q.sends, s)
	return result, err
}

// exchangeError classifies an exchange that failed before the response headers were received.
func (g *Gateway) exchangeError(ctx context.Context, b *registry.Backend, err error) (sendResult, error) {
	if ctx.Err() == nil {
		b.RecordFailure(g.now(), true)
	}
	var e *exchange.Error
	if errors.As(err, &e) && !e.MayHaveRun {
		if ctx.Err() != nil {
			return notRun, contextError(ctx, false)
		}
		return notRun, fault.New(fault.BackendServersUnreachable, "cannot connect to the backend server: %w", err).
			WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
	}
	if ctx.Err() != nil {
		return mayHaveRun, contextError(ctx, true)
	}
	return mayHaveRun, fault.New(fault.LinkLost, "the backend server gave no answer: %w", err).WithOutcome(fault.Unknown)
}

// recordHealth updates the health state of a backend server after a response.
func (g *Gateway) recordHealth(ctx context.Context, b *registry.Backend, status int, result sendResult) {
	switch {
	case status == http.StatusMisdirectedRequest:
		b.RecordReplaced(g.now())
		server := b.Server()
		g.serverExited(server.InstanceID())
	case result == delivered && status < http.StatusInternalServerError:
		b.RecordSuccess(g.now())
	case ctx.Err() != nil:
		// The caller disconnected or the deadline passed, which is not a failure of the server.
	default:
		b.RecordFailure(g.now(), false)
	}
}

// outgoingRequest returns the request to send to the server.
func (g *Gateway) outgoingRequest(q *request, server registry.Server, fetchFrom string, rel *relay) *exchange.Request {
	header := make(http.Header, len(q.header)+8)
	for name, values := range q.header {
		if !isHopByHop(name, q.header) {
			header[name] = values
		}
	}
	f := Forwarding{Deadline: max(q.deadline.Sub(g.now()), time.Millisecond), ServerID: server.ID, Team: q.teamName(),
		Urgency: -1, FetchFrom: fetchFrom, LastEventID: rel.lastEventID()}
	if q.route.PrefixAffinity {
		f.Urgency = engineRank(q.route.Priority, q.priority)
	}
	g.dialect.Forward(header, f)
	return &exchange.Request{Method: q.method, Target: q.target, Host: q.host, Header: header, Body: q.body, HasBody: q.hasBody,
		EchoHeader: g.dialect.EchoHeader(), EchoID: q.info.ID, MayRepeat: q.route.MayRepeat()}
}

const (
	// maxEngineRank is the least urgent rank that engines support.
	maxEngineRank = 9
	// ranksPerRoutePriority is the number of ranks for team priorities within one
	// route priority: three route priorities times three team priorities use
	// ranks 0 to 8.
	ranksPerRoutePriority = 3
)

// engineRank maps priorities to an engine's scheduling rank; 0 is the most urgent.
// The route's priority takes precedence over the team's because an engine preempts
// running requests of a higher rank for those of a lower one, and an interactive
// request must not be preempted for a report of any team.
func engineRank(routePriority, teamPriority int) int {
	rank := max(routePriority, 0)*ranksPerRoutePriority + min(max(teamPriority, 0), ranksPerRoutePriority-1)
	return min(rank, maxEngineRank)
}
