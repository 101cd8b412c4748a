package retrybudget

import (
	"slices"
	"time"
)

const (
	// queueBelow is the fraction of a full budget below which claims are queued for GrantInterval, so that claims made
	// at about the same time are granted by priority rather than in order of arrival.
	queueThreshold = 0.5
	// GrantInterval is the interval at which pending claims are decided.
	GrantInterval = 10 * time.Millisecond
	// maxPollInterval bounds the time between two calls of Grant on behalf of the same pending claim.
	maxPollInterval = 200 * time.Millisecond
	// minWait is the time that a claim waits before it may be denied because of the claims ahead of it: some of
	// these may be granted by other gateways in the meantime.
	minWaitBeforeDenial = 5 * GrantInterval
	// lendAbove is the fraction of a full budget above which repeats are lent to other gateways.
	lendThreshold = 0.1
	// byExpiryEvery makes every nth grant go to the claim that expires first, so that claims of a higher rank don't
	// starve short-lived ones.
	grantsPerExpiryGrant = 4
)

// Claim is a request for a repeated send that may wait for budget.
type Claim struct {
	// Rank is the priority of the claim, 0 first.
	Rank int
	// Due is the time by which the repeat should be sent; claims past their due time have the lowest priority.
	Due time.Time
	// Expires is the time after which the repeat is useless; the claim is denied by then.
	Expires time.Time
}

// PendingClaim is a queued claim without a decision so far.
type PendingClaim struct {
	claim    Claim
	since    time.Time
	budget   *Budget
	decision chan Decision
}

// claimQueue holds the pending claims in order of arrival.
type claimQueue struct {
	claims     []*PendingClaim
	grantCount int       // number of grants so far
	decidedAt  time.Time // time of the last decision about the pending claims
}

// Claim requests a repeated send. If enough of the budget is left or the claim has expired, the decision is immediate
// and the PendingClaim is nil.
func (b *Budget) Claim(c Claim, now time.Time) (Decision, *PendingClaim) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.grantsImmediately() {
		return b.take(), nil
	}
	p := &PendingClaim{claim: c, since: now, budget: b, decision: make(chan Decision, 1)}
	if !now.Before(c.Expires) {
		return b.decision(), nil
	}
	b.queue.claims = append(b.queue.claims, p)
	return Decision{}, p
}

// Lend grants another gateway a repeated send and counts it, unless claims are pending or the remaining budget is
// reserved for this gateway's own repeats.
func (b *Budget) Lend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if len(b.queue.claims) > 0 || b.available() < max(2, lendThreshold*b.capacity()) {
		return false
	}
	return b.take().Granted
}

// grantsImmediately reports whether enough of the budget is left to grant a claim without queueing it.
func (b *Budget) grantsImmediately() bool {
	return len(b.queue.claims) == 0 && b.available() >= max(1, queueThreshold*b.capacity())
}

// Grant grants pending claims as far as the budget permits, and denies those that have expired or are not expected to
// be granted before they expire. It does nothing within GrantInterval of the last decision.
func (b *Budget) Grant(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.queue.decidedAt) < GrantInterval {
		return
	}
	b.queue.decidedAt = now
	b.advance(now)
	for len(b.queue.claims) > 0 && b.available() >= 1-roundingTolerance {
		p := b.nextToGrant(now)
		if now.Sub(p.since) < GrantInterval && !b.batchDue(now) {
			break
		}
		b.queue.grantCount++
		b.resolve(p, b.take(), now)
	}
	pending := slices.SortedFunc(slices.Values(b.queue.claims), byPriority(now))
	available, perSecond := b.available(), b.replenishRate()
	ahead := 0
	for _, p := range pending {
		left := p.claim.Expires.Sub(now)
		inTime := float64(ahead+1) <= available+perSecond*left.Seconds()
		if left <= 0 || (now.Sub(p.since) >= minWaitBeforeDenial && !inTime) {
			b.resolve(p, b.decision(), now)
			continue
		}
		ahead++
	}
}

// PollInterval returns the time after which the owner of a pending claim calls Grant again. It grows with the number of
// pending claims, up to maxPollInterval, so that the calls for all of them average one per GrantInterval below that bound.
func (b *Budget) PollInterval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return min(GrantInterval*time.Duration(max(1, len(b.queue.claims))), maxPollInterval)
}

// batchDue reports whether any claim has been queued for GrantInterval.
func (b *Budget) batchDue(now time.Time) bool {
	return slices.ContainsFunc(b.queue.claims, func(p *PendingClaim) bool { return now.Sub(p.since) >= GrantInterval })
}

// resolve removes a claim from the queue and sends it its decision.
func (b *Budget) resolve(p *PendingClaim, d Decision, now time.Time) {
	b.queue.claims = slices.DeleteFunc(b.queue.claims, func(other *PendingClaim) bool { return other == p })
	d.Waited = now.Sub(p.since)
	p.decision <- d
}

// next returns the claim to grant next.
func (b *Budget) nextToGrant(now time.Time) *PendingClaim {
	order := byPriority(now)
	if b.queue.grantCount%grantsPerExpiryGrant == grantsPerExpiryGrant-1 {
		order = byExpiry
	}
	return slices.MinFunc(b.queue.claims, order)
}

// byExpiry orders claims by the time at which they expire.
func byExpiry(a, b *PendingClaim) int { return a.claim.Expires.Compare(b.claim.Expires) }

// byPriority orders claims: those that are not past their due time first, then by rank, then by expiry.
func byPriority(now time.Time) func(a, b *PendingClaim) int {
	late := func(p *PendingClaim) int {
		if now.After(p.claim.Due) {
			return 1
		}
		return 0
	}
	return func(a, b *PendingClaim) int {
		if d := late(a) - late(b); d != 0 {
			return d
		}
		if d := a.claim.Rank - b.claim.Rank; d != 0 {
			return d
		}
		return byExpiry(a, b)
	}
}

// replenishRate returns the estimated number of repeats that become available per second, from the requests of the last
// window.
func (b *Budget) replenishRate() float64 {
	return b.settings.Ratio*float64(b.recentRequests())/b.settings.Window.Seconds() + b.refill()
}

// capacity returns the number of repeats that the budget permits if none have been granted.
func (b *Budget) capacity() float64 {
	return b.depth() + (1-bucketRatioFraction)*b.settings.Ratio*float64(b.recentRequests())
}

// recentRequests returns the number of requests in the last window.
func (b *Budget) recentRequests() int {
	n := 0
	for step := b.step - stepsPerWindow + 1; step <= b.step; step++ {
		n += b.requests[ringIndex(step)]
	}
	return n
}

// Decided returns the channel on which the decision is sent.
func (p *PendingClaim) Decided() <-chan Decision { return p.decision }

// Undecided reports whether no decision has been made yet.
func (p *PendingClaim) Undecided() bool { return len(p.decision) == 0 }

// Withdraw removes the claim from the queue and returns the decision, which denies the repeat unless it was granted
// in the meantime. A granted repeat stays counted.
func (p *PendingClaim) Cancel() Decision {
	p.budget.mu.Lock()
	defer p.budget.mu.Unlock()
	if len(p.decision) > 0 {
		return <-p.decision
	}
	p.budget.queue.claims = slices.DeleteFunc(p.budget.queue.claims, func(other *PendingClaim) bool { return other == p })
	return p.budget.decision()
}
