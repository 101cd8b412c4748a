package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/quarantine"
)

// trialRetryAfter is the minimum Retry-After value for a quarantined request. Within this time, a
// trial that is in progress has either crashed its server or received a response.
const trialRetryAfter = 5 * time.Second

// Trials coordinates trials of quarantined requests among gateways.
type Trials interface {
	// Claim claims the next trial of a request for this gateway. The verdict is nil if the quarantine
	// has been lifted in the meantime. An error means that the trial was not granted.
	Claim(ctx context.Context, id quarantine.ID) (*quarantine.Verdict, error)
	// Loaded reports whether the existing verdicts have been read from the store.
	Loaded() bool
}

// UseTrials sets the interface for coordinating trials with other gateways. It must be called before Serve.
func (g *Gateway) UseTrials(t Trials) { g.trials = t }

// Quarantine returns the tracker of requests that are suspected of crashing servers.
func (g *Gateway) Quarantine() *quarantine.Tracker { return g.quarantine }

// trackedRun identifies one run of a request at the quarantine tracker. It is the zero value if the
// tracker had no entries when the run began.
type trackedRun struct {
	key      uint64
	isolated bool // the request must not share a server with another suspect
}

// beginTrackedRun waits until the quarantine tracker permits the request to be sent. An error is the final result
// of the request. ran reports whether a server may already have run the request.
//
// Without this check, each retry by a caller would be sent to another server, through any gateway, and a single
// request could crash all servers of a service.
func (g *Gateway) beginTrackedRun(ctx context.Context, q *request, ran bool) (trackedRun, error) {
	if !g.quarantine.HasEntries() {
		return trackedRun{}, nil
	}
	run := trackedRun{key: max(rand.Uint64(), 1)}
	for {
		decision := g.quarantine.BeginRun(q.quarantineID(), run.key, g.now())
		if decision.ConfirmAfter > 0 {
			if err := g.waitForChange(ctx, q, ran, nil, decision.ConfirmAfter); err != nil {
				g.quarantine.EndRun(q.quarantineID(), run.key, g.now())
				return run, err
			}
			decision = g.quarantine.ConfirmRun(q.quarantineID(), run.key, g.now())
		}
		run.isolated = decision.Isolate
		switch {
		case decision.TrialDue:
			run.isolated = true
			return run, g.claimTrial(ctx, q, run, ran)
		case decision.Verdict != nil:
			return run, g.quarantinedError(q, decision.Verdict, ran)
		case decision.Changed == nil:
			return run, nil
		}
		if err := g.waitForChange(ctx, q, ran, decision.Changed, decision.Wait); err != nil {
			return run, err
		}
	}
}

// waitForChange waits until changed is closed or timeout has passed. It returns an error if the request's
// context has ended or its deadline has passed.
func (g *Gateway) waitForChange(ctx context.Context, q *request, ran bool, changed <-chan struct{}, timeout time.Duration) error {
	timer := time.NewTimer(min(timeout, q.deadline.Sub(g.now())))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
	if ctx.Err() != nil || !g.now().Before(q.deadline) {
		return contextError(ctx, ran)
	}
	return nil
}

// claimTrial claims a trial of a request whose quarantine period has ended, and begins it.
func (g *Gateway) claimTrial(ctx context.Context, q *request, run trackedRun, ran bool) error {
	if g.trials == nil {
		if v := g.quarantine.Verdict(q.quarantineID()); v != nil {
			g.quarantine.BeginTrial(q.quarantineID(), run.key, v.WithTrial(g.now()), g.now())
		}
		return nil
	}
	v, err := g.trials.Claim(ctx, q.quarantineID())
	if err != nil {
		return withOutcome(fault.New(fault.Quarantined, "servers have ended that ran this request: %w", err).WithRetryAfter(trialRetryAfter), ran)
	}
	if v != nil {
		g.quarantine.BeginTrial(q.quarantineID(), run.key, *v, g.now())
	}
	return nil
}

// quarantinedError returns the error for a request that is quarantined because it crashes servers. If the request
// has not run, the response is 503 with Retry-After, so that callers retry later. Other statuses are unsuitable: a
// 4xx would indicate a client error, although the request may be valid; 429 would indicate load; and 502 does not say
// that the request has not run, so callers would retry idempotent requests at once.
func (g *Gateway) quarantinedError(q *request, v *quarantine.Verdict, ran bool) error {
	retryAfter := max(v.Until.Sub(g.now()), trialRetryAfter)
	return withOutcome(fault.New(fault.Quarantined, "%d servers have ended that ran this request", len(v.Servers)).WithRetryAfter(retryAfter), ran)
}

// withOutcome sets the error's outcome, depending on whether a server may have run the request.
func withOutcome(e *fault.Error, ran bool) error {
	if ran {
		return e.WithOutcome(fault.Unknown)
	}
	return e.WithOutcome(fault.NotRun)
}

// recheckQuarantine returns an error if the request has been quarantined since beginTrackedRun. It is called
// after a server has been chosen, because waiting for a permit may take seconds.
func (g *Gateway) recheckQuarantine(q *request, run trackedRun, ran bool) error {
	if !g.quarantine.HasEntries() {
		return nil
	}
	if decision := g.quarantine.RecheckVerdict(q.quarantineID(), run.key); decision.Verdict != nil {
		return g.quarantinedError(q, decision.Verdict, ran)
	}
	return nil
}

// excludedServers returns the servers to which the request must not be sent: those that were tried and, if the
// run must be isolated, those that run another suspect, so that a crash identifies the request that caused it.
// If that leaves no usable server, only those that were tried are excluded.
func (g *Gateway) excludedServers(q *request, run trackedRun, tried map[string]bool) map[string]bool {
	if !run.isolated {
		return tried
	}
	out := g.quarantine.OccupiedServers(run.key, g.now())
	for instance := range tried {
		out[instance] = true
	}
	for _, c := range g.candidates(q.service, out) {
		if usable(c) {
			return out
		}
	}
	return tried
}
