package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/quarantine"
)

// trialRetryAfter is the shortest Retry-After value of a quarantined request. After this time, a
// trial that is in progress has either crashed its server or been answered.
const trialRetryAfter = 5 * time.Second

// Trials coordinates trials of quarantined requests among gateways.
type Trials interface {
	// Claim claims a trial for this gateway. The verdict is nil if the quarantine has been lifted
	// in the meantime. An error means that the trial was not granted.
	Claim(ctx context.Context, id quarantine.ID) (*quarantine.Verdict, error)
	// Loaded reports whether the store has been queried for existing verdicts.
	Loaded() bool
}

// UseTrials sets the coordinator of trials. It must be called before Serve.
func (g *Gateway) UseTrials(t Trials) { g.trials = t }

// Quarantine returns the tracker of requests that are suspected of crashing servers.
func (g *Gateway) Quarantine() *quarantine.Tracker { return g.quarantine }

// turn is the quarantine tracker's permission for one run of a request. The zero turn is used while
// the tracker has no entries.
type trackedRun struct {
	key      uint64
	isolated bool // the request must not share a server with another suspect
}

// awaitTurn waits until the quarantine tracker allows the request to be sent. An error is the final result of
// the request. Without this check, each retry of a caller would be sent to another server, through
// any gateway, and a single request could crash all servers of a service.
func (g *Gateway) beginTrackedRun(ctx context.Context, q *request, ran bool) (trackedRun, error) {
	if !g.quarantine.HasEntries() {
		return trackedRun{}, nil
	}
	t := trackedRun{key: max(rand.Uint64(), 1)}
	for {
		decision := g.quarantine.BeginRun(q.quarantineID(), t.key, g.now())
		if decision.ConfirmAfter > 0 {
			if err := g.waitForChange(ctx, q, ran, nil, decision.ConfirmAfter); err != nil {
				g.quarantine.EndRun(q.quarantineID(), t.key, g.now())
				return t, err
			}
			decision = g.quarantine.ConfirmRun(q.quarantineID(), t.key, g.now())
		}
		t.isolated = decision.Isolate
		switch {
		case decision.TrialDue:
			t.isolated = true
			return t, g.claimTrial(ctx, q, t, ran)
		case decision.Verdict != nil:
			return t, g.quarantinedError(q, decision.Verdict, ran)
		case decision.Changed == nil:
			return t, nil
		}
		if err := g.waitForChange(ctx, q, ran, decision.Changed, decision.Wait); err != nil {
			return t, err
		}
	}
}

// waitForChange waits until changed is closed or d has passed. It returns an error if the request's
// context has ended or its deadline has passed.
func (g *Gateway) waitForChange(ctx context.Context, q *request, ran bool, changed <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(min(d, q.deadline.Sub(g.now())))
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

// claimTrial claims the trial of a request whose quarantine period has ended.
func (g *Gateway) claimTrial(ctx context.Context, q *request, t trackedRun, ran bool) error {
	if g.trials == nil {
		if v := g.quarantine.Verdict(q.quarantineID()); v != nil {
			g.quarantine.BeginTrial(q.quarantineID(), t.key, v.WithTrial(g.now()), g.now())
		}
		return nil
	}
	v, err := g.trials.Claim(ctx, q.quarantineID())
	if err != nil {
		return withOutcome(fault.New(fault.Quarantined, "servers have ended that ran this request: %w", err).WithRetryAfter(trialRetryAfter), ran)
	}
	if v != nil {
		g.quarantine.BeginTrial(q.quarantineID(), t.key, *v, g.now())
	}
	return nil
}

// quarantinedError returns the error for a request that crashes servers. If the request has not run, it is sent
// as 503 with Retry-After, so that callers retry later. Other statuses do not fit: 4xx would blame the caller,
// who may have done nothing wrong; 429 would indicate load; and after 502, which does not tell that the request
// has not run, callers at once retry what may be repeated.
func (g *Gateway) quarantinedError(q *request, v *quarantine.Verdict, ran bool) error {
	after := max(v.Until.Sub(g.now()), trialRetryAfter)
	return withOutcome(fault.New(fault.Quarantined, "%d servers have ended that ran this request", len(v.Servers)).WithRetryAfter(after), ran)
}

// withOutcome sets the error's outcome, depending on whether a server may have run the request.
func withOutcome(e *fault.Error, ran bool) error {
	if ran {
		return e.WithOutcome(fault.Unknown)
	}
	return e.WithOutcome(fault.NotRun)
}

// checkQuarantine checks again, after a server has been chosen, that the request is not quarantined,
// because waiting for a permit may take seconds.
func (g *Gateway) recheckQuarantine(q *request, t trackedRun, ran bool) error {
	if !g.quarantine.HasEntries() {
		return nil
	}
	if decision := g.quarantine.RecheckVerdict(q.quarantineID(), t.key); decision.Verdict != nil {
		return g.quarantinedError(q, decision.Verdict, ran)
	}
	return nil
}

// excludedServers returns the servers that the request is not sent to: those that were tried and, for
// a strong suspect, those that run another suspect, so that the next crash identifies its cause. If
// that leaves no usable server, only those that were tried are excluded.
func (g *Gateway) excludedServers(q *request, t trackedRun, tried map[string]bool) map[string]bool {
	if !t.isolated {
		return tried
	}
	out := g.quarantine.OccupiedServers(t.key, g.now())
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
