package gateway

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/quarantine"
)

// trialRetryAfter is the minimum Retry-After value for a quarantined request. Within this time, a
// trial that is in progress has either crashed its server or received a response.
const trialRetryAfter = 5 * time.Second

// Trials coordinates trials of quarantined requests or prompt parts among gateways.
type Trials interface {
	// Claim claims the next trial of a request or prompt part for this gateway. The verdict is nil if the quarantine
	// has been lifted in the meantime. An error means that the trial was not granted.
	Claim(ctx context.Context, id quarantine.ID) (*quarantine.Verdict, error)
	// Loaded reports whether the existing verdicts have been read from the store.
	Loaded() bool
}

// UseTrials sets the interfaces for coordinating trials of requests and of prompt parts with other gateways. It must be
// called before Serve.
func (g *Gateway) UseTrials(requests, parts Trials) { g.trials, g.partTrials = requests, parts }

// Quarantine returns the tracker of requests that are suspected of crashing servers.
func (g *Gateway) Quarantine() *quarantine.Tracker { return g.quarantine }

// PromptParts returns the tracker of prompt parts that are suspected of crashing servers.
func (g *Gateway) PromptParts() *quarantine.PartTracker { return g.parts }

// trackedRun identifies one run of a request at the quarantine trackers. It is the zero value if the
// trackers had no entries when the run began.
type trackedRun struct {
	key      uint64
	part     quarantine.ID // the part of the prompt with which the run is registered, if any
	isolated bool          // the request must not share a server with another suspect
}

// suspicion is how one of the trackers decides on a request.
type suspicion struct {
	tracker *quarantine.Tracker
	trials  Trials
	// begin asks for permission for a run. It returns the entry on which the decision is based.
	begin func() (quarantine.ID, quarantine.Decision)
}

// beginTrackedRun waits until the quarantine trackers permit the request to be sent. An error is the final result
// of the request. ran reports whether a server may already have run the request.
//
// Without this check, each retry by a caller would be sent to another server, through any gateway, and a single
// request could crash all servers of a service, as could requests that share a part of their prompts.
func (g *Gateway) beginTrackedRun(ctx context.Context, q *request, ran bool) (trackedRun, error) {
	if !g.hasSuspects() {
		return trackedRun{}, nil
	}
	run := trackedRun{key: max(rand.Uint64(), 1)}
	if g.quarantine.HasEntries() {
		_, err := g.awaitPermission(ctx, q, &run, ran, suspicion{g.quarantine, g.trials, func() (quarantine.ID, quarantine.Decision) {
			return q.quarantineID(), g.quarantine.BeginRun(q.quarantineID(), run.key, g.now())
		}})
		if err != nil {
			return run, err
		}
	}
	if g.parts.HasEntries() {
		id, err := g.awaitPermission(ctx, q, &run, ran, suspicion{g.parts.Tracker, g.partTrials, func() (quarantine.ID, quarantine.Decision) {
			return g.parts.BeginRun(q.quarantineParts(), run.key, g.now())
		}})
		if err != nil {
			g.endTrackedRun(q, run)
			return run, err
		}
		run.part = id
	}
	return run, nil
}

// endTrackedRun ends a run that beginTrackedRun has begun.
func (g *Gateway) endTrackedRun(q *request, run trackedRun) {
	if run.key == 0 {
		return
	}
	g.quarantine.EndRun(q.quarantineID(), run.key, g.now())
	g.parts.EndRun(run.part, run.key, g.now())
}

// hasSuspects reports whether any request or prompt part is tracked.
func (g *Gateway) hasSuspects() bool { return g.quarantine.HasEntries() || g.parts.HasEntries() }

// awaitPermission waits until a tracker permits the request to be sent. It returns the entry with which the run is
// registered.
func (g *Gateway) awaitPermission(ctx context.Context, q *request, run *trackedRun, ran bool, s suspicion) (quarantine.ID, error) {
	for {
		id, decision := s.begin()
		if decision.ConfirmAfter > 0 {
			if err := g.waitForChange(ctx, q, ran, nil, decision.ConfirmAfter); err != nil {
				s.tracker.EndRun(id, run.key, g.now())
				return id, err
			}
			decision = s.tracker.ConfirmRun(id, run.key, g.now())
		}
		run.isolated = run.isolated || decision.Isolate || decision.TrialDue
		switch {
		case decision.TrialDue:
			return id, g.claimTrial(ctx, q, id, *run, ran, s)
		case decision.Verdict != nil:
			return id, g.quarantinedError(q, id, decision.Verdict, ran)
		case decision.Changed == nil:
			return id, nil
		}
		if err := g.waitForChange(ctx, q, ran, decision.Changed, decision.Wait); err != nil {
			return id, err
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

// claimTrial claims a trial of the request or of a part of its prompt, whose quarantine period has ended, and begins it.
func (g *Gateway) claimTrial(ctx context.Context, q *request, id quarantine.ID, run trackedRun, ran bool, s suspicion) error {
	if s.trials == nil {
		if v := s.tracker.Verdict(id); v != nil {
			s.tracker.BeginTrial(id, run.key, v.WithTrial(g.now()), g.now())
		}
		return nil
	}
	v, err := s.trials.Claim(ctx, id)
	if err != nil {
		return withOutcome(fault.New(fault.Quarantined, "servers have ended that ran this request or others with a part of its prompt: %w", err).WithRetryAfter(trialRetryAfter), ran)
	}
	if v != nil {
		s.tracker.BeginTrial(id, run.key, *v, g.now())
	}
	return nil
}

// quarantinedError returns the error for a request that is quarantined because it crashes servers. If the request
// has not run, the response is 503 with Retry-After, so that callers retry later. Other statuses are unsuitable: a
// 4xx would indicate a client error, although the request may be valid; 429 would indicate load; and 502 does not say
// that the request has not run, so callers would retry idempotent requests at once.
func (g *Gateway) quarantinedError(q *request, id quarantine.ID, v *quarantine.Verdict, ran bool) error {
	retryAfter := max(v.Until.Sub(g.now()), trialRetryAfter)
	if v.Part == nil {
		return withOutcome(fault.New(fault.Quarantined, "%d servers have ended that ran this request", len(v.Servers)).WithRetryAfter(retryAfter), ran)
	}
	q.quarantinedPart = &quarantinedPart{id, *v.Part}
	return withOutcome(fault.New(fault.Quarantined, "%d servers have ended that ran requests with the part %q of this prompt", len(v.Servers), v.Part.Part).WithRetryAfter(retryAfter), ran)
}

// quarantinedPart is the part of a prompt because of which a request is refused, as it appears in the log.
type quarantinedPart struct {
	ID quarantine.ID `json:"id"`
	quarantine.PartName
}

// recordStart records that a server generated a response to the request without crashing. The response is complete or
// has been streamed for quarantine.StartPeriod; it began at the given time.
func (g *Gateway) recordStart(q *request, began time.Time) {
	if g.parts.HasEntries() {
		g.parts.RecordStart(q.quarantineParts(), began, g.now())
	}
}

// recordExposure records how long the request took to start on a server, or until it failed.
func (g *Gateway) recordExposure(q *request, d time.Duration) {
	if g.parts.HasEntries() {
		g.parts.RecordExposure(q.quarantineParts(), d)
	}
}

// withOutcome sets the error's outcome, depending on whether a server may have run the request.
func withOutcome(e *fault.Error, ran bool) error {
	if ran {
		return e.WithOutcome(fault.Unknown)
	}
	return e.WithOutcome(fault.NotRun)
}

// errSuspectedMeanwhile means that a part of the prompt has become a suspect since beginTrackedRun, which must be called
// again.
var errSuspectedMeanwhile = errors.New("a part of the prompt has become a suspect")

// recheckQuarantine returns an error if the request or a part of its prompt has been quarantined since
// beginTrackedRun. It is called after a server has been chosen, because waiting for a permit may take seconds.
func (g *Gateway) recheckQuarantine(q *request, run trackedRun, ran bool) error {
	if g.quarantine.HasEntries() {
		if decision := g.quarantine.RecheckVerdict(q.quarantineID(), run.key); decision.Verdict != nil {
			return g.quarantinedError(q, q.quarantineID(), decision.Verdict, ran)
		}
	}
	if g.parts.HasEntries() {
		id, decision := g.parts.RecheckVerdict(q.quarantineParts(), run.part, run.key, g.now())
		switch {
		case decision.Verdict != nil:
			return g.quarantinedError(q, id, decision.Verdict, ran)
		case decision.Changed != nil:
			return errSuspectedMeanwhile
		}
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
	maps.Copy(out, g.parts.OccupiedServers(run.key, g.now()))
	maps.Copy(out, tried)
	for _, c := range g.candidates(q.service, out) {
		if usable(c) {
			return out
		}
	}
	return tried
}
