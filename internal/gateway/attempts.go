package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
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

// sendResult classifies one send of a request to a backend server.
type sendResult int

const (
	// unsent means that the request was not sent and must not be retried.
	unsent sendResult = iota
	// delivered means that the complete response was relayed to the caller.
	delivered
	// notRun means that the server did not run the request and will not run it.
	notRun
	// mayHaveRun means that the request ran and failed, or that it is unknown whether it ran.
	mayHaveRun
	// truncated means that the response failed after part of it had been relayed to the caller.
	truncated
)

var sendResultNames = map[sendResult]string{
	delivered: "delivered", notRun: "not_run", mayHaveRun: "may_have_run", truncated: "broken_off",
}

const (
	// maxSends limits the sends of one request. If this many fail, the service as a
	// whole is likely to be failing rather than single servers.
	maxSends = 4
	// maxConnectFailures limits the failed connection attempts of one request. Each
	// costs a round trip. With a quarter of the servers down, 1 request in 65,000
	// reaches the limit.
	maxConnectFailures = 8
	// borrowRetryDelay is how long other gateways are not asked for further retries to a service after none of them
	// has granted one.
	borrowRetryDelay = 100 * time.Millisecond
	// maxGrantAge is the age above which a granted retry must be granted again before it is sent.
	maxGrantAge = 250 * time.Millisecond
)

// runAttempts sends the request until the response has been delivered, no further retry
// is allowed, or the deadline has passed. A nil error means that the response was delivered.
func (g *Gateway) runAttempts(ctx context.Context, q *request, rel *relay) error {
	tried := map[string]bool{}
	ran := 0 // number of servers that may have run the request
	var last error
	for attempt := 0; ; attempt++ {
		if err := g.checkRetry(ctx, q, rel, attempt, ran, last); err != nil {
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
		if !g.mayRetry(q, rel, result) {
			return last
		}
	}
}

// sendOnce waits until the quarantine trackers permit the request to run, chooses a server and sends
// the request to it. ran reports whether a server may already have run the request.
func (g *Gateway) sendOnce(ctx context.Context, q *request, tried map[string]bool, ran bool, rel *relay) (sendResult, error) {
	for {
		result, err := g.trySend(ctx, q, tried, ran, rel)
		if !errors.Is(err, errSuspectedMeanwhile) {
			return result, err
		}
	}
}

// trySend is like sendOnce, but returns errSuspectedMeanwhile if it must be called again.
func (g *Gateway) trySend(ctx context.Context, q *request, tried map[string]bool, ran bool, rel *relay) (sendResult, error) {
	waitCtx, release := g.untilLatestStart(ctx, q, g.expectedTime(q, rel, 0))
	defer release()
	run, err := g.beginTrackedRun(waitCtx, q, ran)
	if err != nil {
		return unsent, err
	}
	defer func() { g.endTrackedRun(q, run) }()
	choice, heldPermit, err := g.chooseServer(waitCtx, q, g.excludedServers(q, run, tried), run, rel)
	if err != nil {
		return unsent, err
	}
	instance := choice.Candidate.Server.InstanceID()
	if err = g.checkShutdown(q, g.expectedTime(q, rel, choice.ExpectedPrefill)); err == nil {
		err = g.recheckQuarantine(q, run, ran)
	}
	if err == nil && ran && !g.mayRepeat(q) {
		err = errRunsOnce // the configuration has changed since the last send
	}
	if err != nil || !g.renewRetry(q) {
		g.notices.EndSend(instance, g.now())
		heldPermit.End(permit.NotSent)
		return unsent, err
	}
	tried[instance] = true
	if run.key != 0 {
		g.quarantine.SetServer(q.quarantineID(), run.key, instance, g.now())
		g.parts.SetServer(run.part, run.key, instance, g.now())
	}
	return g.sendTo(ctx, q, choice, heldPermit, rel)
}

// mayRetry reports whether the route permits a retry after a send with this result.
func (g *Gateway) mayRetry(q *request, rel *relay, result sendResult) bool {
	switch result {
	case notRun:
		return true
	case mayHaveRun:
		return g.mayRepeat(q)
	case truncated:
		return q.route.Resumable && rel.canResume() && g.mayRepeat(q)
	}
	return false
}

// errRunsOnce is the reason for not sending a request again that may have run.
var errRunsOnce = errors.New("the request may have run and must not run again")

// mayRepeat reports whether the request may run more than once, both by the configuration with which it was admitted and
// by the active one. A route that the active configuration does not have is unchanged in this respect.
func (g *Gateway) mayRepeat(q *request) bool {
	path, _, _ := strings.Cut(q.target, "?")
	active := g.table.Load().Route(q.host, path)
	return q.route.MayRepeat() && (active == nil || active.MayRepeat())
}

// checkRetry checks the deadline and, before a retry, the limits on sends and the retry
// budget. attempt is the number of previous attempts, ran is the number of servers that may
// have run the request, and last is the error of the previous send. A non-nil error is the
// final result of the request.
func (g *Gateway) checkRetry(ctx context.Context, q *request, rel *relay, attempt, ran int, last error) error {
	if ctx.Err() != nil || !g.now().Before(q.deadline) {
		return firstNonNil(last, contextError(ctx, ran > 0))
	}
	if last == nil {
		return nil // first send
	}
	if fault.Is(last, fault.BackendServersUnreachable) && attempt < maxConnectFailures {
		return nil // no server has received the request, so the retry is not charged to the budget
	}
	if ran >= q.route.MaxAttempts || attempt >= maxSends {
		return last
	}
	if !g.requestRetry(ctx, q, rel) {
		return last
	}
	return nil
}

// requestRetry asks the service's retry budget for a retry and reports whether it was granted. It may wait for the
// decision, which it stores in the record of the failed send and in metrics.
func (g *Gateway) requestRetry(ctx context.Context, q *request, rel *relay) bool {
	ctx, release := g.untilLatestStart(ctx, q, g.expectedTime(q, rel, 0))
	defer release()
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

// renewRetry reports whether the request may be sent now. If it is a retry whose grant is older than maxGrantAge, the
// retry budget decides again, because retries count towards the budget when they reach a server. A denial is stored in
// the record of the failed send and counted in metrics.
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

// claimRetry claims a retry from the retry budget and waits for the decision until ctx ends. A retry that this gateway's
// budget does not grant immediately may be borrowed from another gateway, because the failures of one server are
// distributed unevenly over the gateways.
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
			jittered := time.Duration((0.5 + g.random()) * float64(budget.PollInterval()))
			timer.Reset(max(retrybudget.GrantInterval, min(jittered, claim.Expires.Sub(g.now()))))
		}
		if pending.Undecided() && g.borrowRetry(ctx, q) {
			d := pending.Cancel()
			d.Granted, d.Borrowed, d.Waited = true, true, g.now().Sub(claimedAt)
			return d
		}
	}
}

// borrowRetry asks other gateways for a retry and reports whether one of them granted it. It does not ask within
// borrowRetryDelay of an unsuccessful request for the same service.
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

// retryClaim returns the request's claim on the retry budget. A request whose response has started can't be retried by
// its caller without losing the stream, so its claim expires only when the stream can no longer be completed in time or
// the caller is expected to give up. Other claims expire at the route's target latency, so that the caller can still
// retry in time, but after at least two grant intervals and not past the request's deadline.
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

// finalError returns the error to report when err prevents another send. It is the error of the last send,
// if there was one, with two exceptions in which err is reported: the request is quarantined, or it has not
// run and all servers are backing off or rate-limited, because err then has a more accurate Retry-After.
func finalError(last, err error) error {
	switch {
	case last == nil, fault.Is(err, fault.Quarantined):
		return err
	case (fault.Is(err, fault.ServersInBackoff) || fault.Is(err, fault.ServerRateLimit)) && fault.From(last).Outcome == fault.NotRun:
		return err
	}
	return last
}

func firstNonNil(err, other error) error {
	if err != nil {
		return err
	}
	return other
}

// contextError returns the error for a request whose context has ended or whose deadline has passed. ran
// tells whether a server may have run the request.
func contextError(ctx context.Context, ran bool) *fault.Error {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errShuttingDown) && ran:
		return fault.New(fault.LinkLost, "%w", errShuttingDown).WithOutcome(fault.Unknown)
	case errors.Is(cause, errShuttingDown):
		return shuttingDownError()
	case errors.Is(cause, context.Canceled):
		return fault.New(fault.Cancelled, "the caller has left")
	case ran:
		return fault.New(fault.DeadlinePassed, "%w", errDeadline).WithOutcome(fault.Unknown)
	}
	return fault.New(fault.StartDeadlinePassed, "the deadline passed before the request was sent").WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
}

// sendTo sends the request to the chosen server, relays its response and records the result.
func (g *Gateway) sendTo(ctx context.Context, q *request, choice placement.Choice, heldPermit peers.Permit, rel *relay) (sendResult, error) {
	b := choice.Candidate.Backend
	server := choice.Candidate.Server
	sentAt := g.now()
	_, shared := q.info.Prompt.SharedPrefix()
	uniqueTokens := q.info.Prompt.Tokens - shared
	b.BeginRequest(uniqueTokens)
	recordFirstToken := sync.OnceFunc(func() { b.RecordFirstToken(uniqueTokens) })
	var stats permit.StreamStats
	defer func() { recordFirstToken(); b.EndRequest(); heldPermit.End(stats) }()
	onFirstEvent := sync.OnceFunc(func() {
		recordFirstToken()
		stats.TimeToFirstEvent = g.now().Sub(sentAt)
		heldPermit.FirstToken(stats.TimeToFirstEvent)
	})

	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	resp, err := g.pool.Do(ctx, server.Address, g.outgoingRequest(q, server, choice.FetchFrom, rel))
	var result sendResult
	var proof exchange.Proof
	var notices *notice.ResponseNotices
	meter := &streamMeter{now: g.now, onFirstEvent: onFirstEvent, stats: &stats}
	meter.onStarted = func() {
		g.recordStart(q, meter.firstAt)
		g.recordExposure(q, g.now().Sub(sentAt))
	}
	if err != nil {
		stats.NoResponse = true
		g.notices.EndSend(server.InstanceID(), sentAt)
		result, proof, err = g.exchangeError(ctx, b, err)
	} else {
		defer resp.Close()
		info := g.dialect.ParseResponse(resp.Status, q.info.ID, resp.Header)
		// Notices are applied before the body is read because a stream may take long to complete.
		notices = g.applyNotices(server, info.Notices, sentAt)
		if info.Load != nil {
			info.Load.At = g.now()
			b.RecordLoad(*info.Load)
		}
		proof = resp.Proof(info.NotRun)
		if proof == "" && !q.route.MayRepeat() && resp.RequestWritten() {
			g.dropBody(q)
		}
		result, err = g.relayResponse(ctx, q, server, rel, resp, info, meter)
		g.recordHealth(ctx, b, resp.Status, result)
	}
	stats.EngineFailed = ctx.Err() == nil && (result != delivered || resp.Status >= http.StatusInternalServerError)
	record := sendRecord{Server: server.ID, Reason: choice.Reason, FetchFrom: choice.FetchFrom, Result: sendResultNames[result], Send: *q.attempt.Last(), Proof: proof,
		Running: choice.Candidate.View.InFlight, PendingPrefillTokens: choice.Candidate.View.UnreadTokens,
		ExpectedPrefill: choice.ExpectedPrefill, TimeToFirstEvent: stats.TimeToFirstEvent, LongestGap: stats.LongestGap, SentAfter: sentAt.Sub(q.start), Took: g.now().Sub(sentAt), Notices: notices,
		StreamEnd: meter.end, IncompleteBytes: meter.incomplete}
	if resp != nil {
		record.Framing = resp.Framing
	}
	if err != nil {
		record.Cause = err.Error()
		g.logExceededLimit(server, err)
	}
	if meter.end != "" && ctx.Err() == nil {
		telemetry.Count("merlinpost_gateway_stream_ends_total", "service", q.service, "framing", string(record.Framing), "end", string(meter.end))
	}
	g.quarantine.RecordRun(g.now().Sub(sentAt), g.now())
	g.parts.RecordRun(g.now().Sub(sentAt), g.now())
	if !meter.started {
		g.recordExposure(q, g.now().Sub(sentAt))
	}
	switch {
	case connectionBroke(ctx, result, err):
		record.ServerExited = g.handleInterruptedRun(q, server, quarantine.Crash{Server: server.InstanceID(), SentAt: sentAt, At: g.now()}, meter)
	case result == delivered && resp.Status < http.StatusInternalServerError && g.hasSuspects():
		g.quarantine.RecordResponse(q.quarantineID(), g.now())
		if resp.Status/100 == 2 {
			g.recordStart(q, meter.startedAt(sentAt))
		}
	}
	q.sends = append(q.sends, record)
	countSend(q.service, record)
	return result, err
}

// countSend updates the metrics of a send.
func countSend(service string, record sendRecord) {
	if record.Proof != "" {
		telemetry.Count("merlinpost_gateway_not_run_total", "service", service, "proof", string(record.Proof))
	}
	if record.Dropped.Count > 0 {
		telemetry.Count("merlinpost_gateway_dropped_responses_total", "service", service, "reason", string(record.Dropped.First.Reason))
	}
}

// exchangeError classifies a send that failed before the response headers were received.
func (g *Gateway) exchangeError(ctx context.Context, b *registry.Backend, err error) (sendResult, exchange.Proof, error) {
	if ctx.Err() == nil {
		b.RecordFailure(g.now(), true)
	}
	var e *exchange.Error
	if errors.As(err, &e) && e.Proof() != "" {
		if ctx.Err() != nil {
			return notRun, e.Proof(), contextError(ctx, false)
		}
		return notRun, e.Proof(), fault.New(fault.BackendServersUnreachable, "cannot connect to the backend server: %w", err).
			WithOutcome(fault.NotRun).WithRetryAfter(noServerRetryAfter)
	}
	if ctx.Err() != nil {
		return mayHaveRun, "", contextError(ctx, true)
	}
	return mayHaveRun, "", fault.New(fault.LinkLost, "the backend server gave no answer: %w", err).WithOutcome(fault.Unknown)
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
		EchoHeader: g.dialect.EchoHeader(), EchoID: q.info.ID, MayRepeat: q.route.MayRepeat(), Attempt: &q.attempt}
}

const (
	// maxEngineRank is the least urgent rank that engines support.
	maxEngineRank = 9
	// ranksPerRoutePriority is the number of ranks for each route priority, one per
	// team priority: three route priorities times three team priorities use ranks 0
	// to 8.
	ranksPerRoutePriority = 3
)

// engineRank maps priorities to an engine's scheduling rank, where 0 is the most urgent.
// The route's priority takes precedence over the team's because an engine preempts
// running requests for those with a lower rank, and an interactive request must not be
// preempted for a report of any team.
func engineRank(routePriority, teamPriority int) int {
	rank := max(routePriority, 0)*ranksPerRoutePriority + min(max(teamPriority, 0), ranksPerRoutePriority-1)
	return min(rank, maxEngineRank)
}
