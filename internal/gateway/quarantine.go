package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/quarantine"
)

// trialRetryAfter is told while another has the trial of a quarantined request: by then it has
// ended its server or been answered.
const trialRetryAfter = 5 * time.Second

// Trials gives out the trials of quarantined requests.
type Trials interface {
	// Claim claims a trial. The verdict is nil where the quarantine was lifted meanwhile; an
	// error means that there is no trial for this gateway.
	Claim(ctx context.Context, id quarantine.ID) (*quarantine.Verdict, error)
	// Loaded reports whether the verdicts of an earlier start have been asked for.
	Loaded() bool
}

// UseTrials has the gateway send quarantined requests on trial. It is called before Serve.
func (g *Gateway) UseTrials(t Trials) { g.trials = t }

// Quarantine returns what the gateway knows of requests that may end servers.
func (g *Gateway) Quarantine() *quarantine.Tracker { return g.ledger }

// turn is the place of a send among the runs of the same request. The zero turn is of a request
// of which nothing is known.
type turn struct {
	key   uint64
	apart bool // from other suspects
}

// awaitTurn waits until the request may be sent as far as its standing goes. An error is the final
// answer. Each attempt of a caller would otherwise begin anew at the next server, at whichever
// gateway it comes, and one request would end every server of a service.
func (g *Gateway) awaitTurn(ctx context.Context, q *request, ran bool) (turn, error) {
	if !g.ledger.HasEntries() {
		return turn{}, nil
	}
	t := turn{key: max(rand.Uint64(), 1)}
	for {
		word := g.ledger.Begin(q.id(), t.key, g.now())
		if word.ConfirmAfter > 0 {
			if err := g.pause(ctx, q, ran, nil, word.ConfirmAfter); err != nil {
				g.ledger.Done(q.id(), t.key, g.now())
				return t, err
			}
			word = g.ledger.Confirm(q.id(), t.key, g.now())
		}
		t.apart = word.Isolate
		switch {
		case word.TrialDue:
			t.apart = true
			return t, g.tryAgain(ctx, q, t, ran)
		case word.Verdict != nil:
			return t, g.quarantined(q, word.Verdict, ran)
		case word.Changed == nil:
			return t, nil
		}
		if err := g.pause(ctx, q, ran, word.Changed, word.Wait); err != nil {
			return t, err
		}
	}
}

// pause waits until something has changed, or for a while; the error is that of a request whose
// time is over.
func (g *Gateway) pause(ctx context.Context, q *request, ran bool, changed <-chan struct{}, d time.Duration) error {
	timer := time.NewTimer(min(d, q.deadline.Sub(g.now())))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
	if ctx.Err() != nil || !g.now().Before(q.deadline) {
		return outOfTime(ctx, ran)
	}
	return nil
}

// tryAgain claims the trial of a request whose rest is over.
func (g *Gateway) tryAgain(ctx context.Context, q *request, t turn, ran bool) error {
	if g.trials == nil {
		if v := g.ledger.Verdict(q.id()); v != nil {
			g.ledger.BeginTrial(q.id(), t.key, v.WithTrial(g.now()), g.now())
		}
		return nil
	}
	v, err := g.trials.Claim(ctx, q.id())
	if err != nil {
		return told(fault.New(fault.Quarantined, "servers have ended that ran this request: %w", err).WithRetryAfter(trialRetryAfter), ran)
	}
	if v != nil {
		g.ledger.BeginTrial(q.id(), t.key, *v, g.now())
	}
	return nil
}

// quarantined is the answer to a request that ends servers. It is 503, which callers take as "not
// now", with when to come back: a 4xx would blame a caller who may have done nothing wrong, 429
// the load, and 502 promises nothing, so that callers repeat at once what may be repeated.
func (g *Gateway) quarantined(q *request, v *quarantine.Verdict, ran bool) error {
	after := max(v.Until.Sub(g.now()), trialRetryAfter)
	return told(fault.New(fault.Quarantined, "%d servers have ended that ran this request", len(v.Servers)).WithRetryAfter(after), ran)
}

// told sets what is said of this attempt.
func told(e *fault.Error, ran bool) error {
	if ran {
		return e.WithOutcome(fault.Unknown)
	}
	return e.WithOutcome(fault.NotRun)
}

// mayStill checks the request's standing again when a server has been chosen: the wait for leave
// takes up to seconds.
func (g *Gateway) mayStill(q *request, t turn, ran bool) error {
	if !g.ledger.HasEntries() {
		return nil
	}
	if word := g.ledger.Check(q.id(), t.key); word.Verdict != nil {
		return g.quarantined(q, word.Verdict, ran)
	}
	return nil
}

// apart returns the servers that the request is not sent to: those that were tried and, for a strong
// suspect, those that run another suspect, so that the next end points to one of them. Where these
// are all, only the first count.
func (g *Gateway) apart(q *request, t turn, tried map[string]bool) map[string]bool {
	if !t.apart {
		return tried
	}
	out := g.ledger.OccupiedServers(t.key, g.now())
	for start := range tried {
		out[start] = true
	}
	for _, c := range g.candidates(q.service, out) {
		if reachable(c) {
			return out
		}
	}
	return tried
}
