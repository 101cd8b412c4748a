// Package retrybudget limits the repeated sends to a service: in any window, all gateways together send at most a
// ratio of the service's requests plus a slack. The package uses no clock and no network.
//
// A gateway pays for each repeat from two sources, without knowing those of the other gateways:
//
//   - a token bucket, to which each request adds one part of the ratio. In any window it pays for at most its
//     depth, its refill and that part of the ratio times the requests in the window;
//   - the requests of the previous window, with the rest of the ratio. In any window it pays for at most that
//     rest times the requests of the previous window.
//
// Both bounds are sums over requests, so they hold for all gateways together when gateways start or stop and
// when callers move between them: every gateway assigns a request to the same window. The depths and refills of
// all buckets together are a part of the slack.
package retrybudget

import (
	"math"
	"sync"
	"time"
)

// Settings configures the retry budget of a service, summed over all gateways.
type Settings struct {
	// Ratio is the permitted number of repeats per request.
	Ratio float64
	// Window is the period over which requests and repeats are counted.
	Window time.Duration
	// Slack is the number of repeats permitted per window in addition to the ratio.
	Slack float64
}

const (
	// bucketRatio is the part of the ratio that requests add to the token bucket.
	bucketRatioFraction = 0.3
	// depthSlack and refillSlack are the parts of the slack used for the depths of all buckets together and
	// for their refill per window without requests. The rest covers sends that arrive later than they were
	// granted and requests that are counted later than they were sent.
	depthSlackFraction, refillSlackFraction = 0.35, 0.4
	// SlackInUse is the part of the slack that all gateways together use, provided that none of them
	// underestimates the number of gateways.
	UsedSlackFraction = depthSlackFraction + refillSlackFraction
	// stepsPerWindow is the resolution at which requests and repeats are counted.
	stepsPerWindow = 40
	// steps is the number of steps kept: two windows, and the partial steps at their ends.
	stepsKept = 2*stepsPerWindow + 2
	// tolerance absorbs floating-point rounding.
	roundingTolerance = 1e-9
)

// Budget is the budget of one service at one gateway. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	settings   Settings
	slackShare float64 // fraction of the slack
	start      time.Time

	tokens   float64
	tokensAt time.Time

	step              int64 // number of the newest step
	requests          [stepsKept]int
	granted           [stepsKept]int
	chargedToPrevious [stepsKept]float64 // repeats paid for by the requests of the previous window
	// ignoreUntil is the time until which requests are not counted.
	ignoreUntil time.Time

	queue claimQueue
}

// Decision is the result of Take, Claim or Renew, with the counts that it is based on.
type Decision struct {
	Granted bool `json:"granted"`
	// Taken is the number of repeats that this gateway has granted in the window, excluding this one.
	Taken int `json:"taken"`
	// Allowed is Taken plus the number of repeats that the budget still permits.
	Allowed float64 `json:"allowed"`
	// Borrowed reports whether another gateway's budget paid for the repeat.
	Borrowed bool `json:"borrowed,omitempty"`
	// Waited is the time from the claim to the decision.
	Waited time.Duration `json:"waited,omitempty"`

	start             time.Time // of the budget
	step              int64     // step in which the repeat was granted
	chargedToPrevious float64   // part paid for by the requests of the previous window
}

// New returns an empty budget that starts at now. Share is this gateway's fraction of the slack.
func New(s Settings, share float64, now time.Time) *Budget {
	return &Budget{settings: s, slackShare: share, start: now, tokensAt: now}
}

// SetSettings changes the bounds. Counts are kept unless the length of the window changes.
func (b *Budget) SetSettings(s Settings, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if s.Window != b.settings.Window {
		b.reset(now)
	}
	b.settings = s
	b.tokens = min(b.tokens, b.depth())
}

// SetShare sets this gateway's fraction of the slack.
func (b *Budget) SetSlackShare(share float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.slackShare = share
	b.tokens = min(b.tokens, b.depth())
}

// Stalled reports that the process was stalled since the given time. Requests counted between since and until
// may be old: they do not add to the budget, and the bucket is emptied.
func (b *Budget) RecordStall(since, until, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.tokens = 0
	b.ignoreUntil = until
	for n := max(b.stepOf(since), b.step-stepsKept+1); n <= b.step; n++ {
		b.requests[ringIndex(n)] = 0
	}
}

// Request counts a request for the service.
func (b *Budget) RecordRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if now.Before(b.ignoreUntil) {
		return
	}
	b.requests[ringIndex(b.step)]++
	b.tokens = min(b.tokens+bucketRatioFraction*b.settings.Ratio, b.depth())
}

// Take grants one repeated send and counts it, or denies it if the budget is exhausted or claims are pending.
func (b *Budget) Take(now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if len(b.queue.claims) > 0 {
		return b.decision()
	}
	return b.take()
}

// take grants one repeated send and counts it if the budget permits it, regardless of pending claims.
func (b *Budget) take() Decision {
	d := b.decision()
	fromPrevious := max(0, 1-b.tokens)
	if fromPrevious > b.previousCredit()+roundingTolerance {
		return d
	}
	b.tokens = max(0, b.tokens-1)
	b.chargedToPrevious[ringIndex(b.step)] += fromPrevious
	b.granted[ringIndex(b.step)]++
	d.Granted, d.start, d.step, d.chargedToPrevious = true, b.start, b.step, fromPrevious
	return d
}

// Renew decides again, regardless of pending claims, on a repeat that was granted earlier and is about to be sent,
// because repeats count when they reach a server. It releases the earlier grant even if it denies the repeat. A
// borrowed repeat was not counted in this budget, so nothing is released for it.
func (b *Budget) Renew(earlier Decision, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if earlier.Granted && !earlier.Borrowed {
		b.release(earlier)
	}
	return b.take()
}

// release no longer counts a grant. Tokens are not returned, because the bucket may have been refilled since.
func (b *Budget) release(d Decision) {
	if d.start.Equal(b.start) && b.step-d.step < stepsKept {
		b.granted[ringIndex(d.step)]--
		b.chargedToPrevious[ringIndex(d.step)] -= d.chargedToPrevious
	}
}

// decision returns the current counts with Granted unset.
func (b *Budget) decision() Decision {
	taken := 0
	for n := b.step - stepsPerWindow; n <= b.step; n++ {
		taken += b.granted[ringIndex(n)]
	}
	return Decision{Taken: taken, Allowed: math.Round(100*(float64(taken)+b.available())) / 100}
}

// available returns the number of repeats that the budget permits now.
func (b *Budget) available() float64 { return b.tokens + b.previousCredit() }

// previousCredit returns the number of repeats that the requests of the previous window can still pay for: the
// minimum over all windows that contain the current time. A step that is only partly in a window counts for its
// repeats but not for its requests.
func (b *Budget) previousCredit() float64 {
	ratio := (1 - bucketRatioFraction) * b.settings.Ratio
	before := 0 // requests of the window before the one that starts in step n
	for n := b.step - stepsPerWindow + 1; n < b.step; n++ {
		before += b.requests[ringIndex(n)]
	}
	spent := 0.0
	least := ratio * float64(before)
	for n := b.step; n >= b.step-stepsPerWindow; n-- {
		spent += b.chargedToPrevious[ringIndex(n)]
		least = min(least, ratio*float64(before)-spent)
		before += b.requests[ringIndex(n-stepsPerWindow)] - b.requests[ringIndex(n-1)]
	}
	return max(0, least)
}

// depth returns the capacity of the bucket.
func (b *Budget) depth() float64 { return depthSlackFraction * b.settings.Slack * b.slackShare }

// refill returns the tokens that the bucket gains per second without requests.
func (b *Budget) refill() float64 {
	return refillSlackFraction * b.settings.Slack * b.slackShare / b.settings.Window.Seconds()
}

// advance refills the bucket and clears the steps that have expired by now.
func (b *Budget) advance(now time.Time) {
	if elapsed := now.Sub(b.tokensAt); elapsed > 0 {
		b.tokens = min(b.tokens+b.refill()*elapsed.Seconds(), b.depth())
		b.tokensAt = now
	}
	step := b.stepOf(now)
	if step-b.step >= stepsKept {
		b.step = step - stepsKept // all steps have expired
	}
	for b.step < step {
		b.step++
		i := ringIndex(b.step)
		b.requests[i], b.granted[i], b.chargedToPrevious[i] = 0, 0, 0
	}
}

// reset empties the budget.
func (b *Budget) reset(now time.Time) {
	b.start, b.step, b.tokens = now, 0, 0
	b.requests, b.granted, b.chargedToPrevious = [stepsKept]int{}, [stepsKept]int{}, [stepsKept]float64{}
}

// stepOf returns the number of the step that contains t. The difference uses the monotonic clock.
func (b *Budget) stepOf(t time.Time) int64 {
	return int64(t.Sub(b.start) / (b.settings.Window / stepsPerWindow))
}

// index returns the ring buffer index of a step, which may be negative.
func ringIndex(step int64) int { return int((step%stepsKept + stepsKept) % stepsKept) }
