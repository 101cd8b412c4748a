// Package retrybudget limits the retries to a service: in any window, all gateways together send at most as many
// retries as a ratio of the service's requests plus a slack. The package uses no clock and no network.
//
// A gateway charges each retry to two sources, without knowing those of the other gateways:
//
//   - a token bucket, to which each request adds a fraction of the ratio. In any window it covers at most its
//     depth, its refill and that fraction of the ratio times the requests in the window;
//   - the requests of the previous window, with the remainder of the ratio. In any window they cover at most that
//     remainder times their number.
//
// Both bounds are sums over requests, so they hold for all gateways together when gateways start or stop and
// when callers move between them: every gateway assigns a request to the same window. The depths and refills of
// all buckets together are a fraction of the slack.
package retrybudget

import (
	"math"
	"sync"
	"time"
)

// Settings configures the retry budget of a service, summed over all gateways.
type Settings struct {
	// Ratio is the permitted number of retries per request.
	Ratio float64
	// Window is the length of the sliding window in which requests and retries are counted.
	Window time.Duration
	// Slack is the number of retries permitted per window in addition to the ratio.
	Slack float64
}

const (
	// bucketRatioFraction is the fraction of the ratio that requests add to the token bucket.
	bucketRatioFraction = 0.3
	// depthSlackFraction and refillSlackFraction are the fractions of the slack used for the depths of all
	// buckets together and for their refill per window without requests. The remainder covers retries that
	// arrive later than they were granted and requests that are counted later than they were sent.
	depthSlackFraction, refillSlackFraction = 0.35, 0.4
	// UsedSlackFraction is the fraction of the slack that all gateways together use, provided that none of
	// them underestimates the number of gateways.
	UsedSlackFraction = depthSlackFraction + refillSlackFraction
	// stepsPerWindow is the number of steps of a window. Requests and retries are counted per step.
	stepsPerWindow = 40
	// stepsKept is the number of steps kept: two windows, and the partial steps at their ends.
	stepsKept = 2*stepsPerWindow + 2
	// roundingTolerance absorbs floating-point rounding.
	roundingTolerance = 1e-9
)

// Budget is the retry budget of one service at one gateway. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	settings   Settings
	slackShare float64 // this gateway's fraction of the slack
	start      time.Time

	tokens   float64
	tokensAt time.Time

	step              int64 // number of the newest step
	requests          [stepsKept]int
	granted           [stepsKept]int
	chargedToPrevious [stepsKept]float64 // retries charged to the requests of the previous window
	// ignoreUntil is the time until which requests are not counted.
	ignoreUntil time.Time

	queue claimQueue
}

// Decision is a decision on a retry, with the counts that it is based on.
type Decision struct {
	Granted bool `json:"granted"`
	// Taken is the number of retries that this gateway has granted in the window, excluding this one.
	Taken int `json:"taken"`
	// Allowed is Taken plus the number of retries that the budget still permits.
	Allowed float64 `json:"allowed"`
	// Borrowed reports whether the retry was charged to another gateway's budget.
	Borrowed bool `json:"borrowed,omitempty"`
	// Waited is the time from the claim to the decision.
	Waited time.Duration `json:"waited,omitempty"`

	start             time.Time // of the budget
	step              int64     // step in which the retry was granted
	chargedToPrevious float64   // part charged to the requests of the previous window
}

// New returns an empty budget. slackShare is this gateway's fraction of the slack.
func New(s Settings, slackShare float64, now time.Time) *Budget {
	return &Budget{settings: s, slackShare: slackShare, start: now, tokensAt: now}
}

// SetSettings changes the settings. Counts are kept unless the length of the window changes.
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

// SetSlackShare sets this gateway's fraction of the slack.
func (b *Budget) SetSlackShare(slackShare float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.slackShare = slackShare
	b.tokens = min(b.tokens, b.depth())
}

// RecordStall records that the process was stalled since the given time. Requests counted between since and until
// may have been sent earlier, so they do not add to the budget, and the bucket is emptied.
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

// RecordRequest counts a request to the service.
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

// Take grants a retry and counts it, or denies it if the budget is exhausted or claims are pending.
func (b *Budget) Take(now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if len(b.queue.claims) > 0 {
		return b.decision()
	}
	return b.take()
}

// take grants and counts a retry if the budget permits one, regardless of pending claims.
func (b *Budget) take() Decision {
	d := b.decision()
	chargedToPrevious := max(0, 1-b.tokens)
	if chargedToPrevious > b.previousCredit()+roundingTolerance {
		return d
	}
	b.tokens = max(0, b.tokens-1)
	b.chargedToPrevious[ringIndex(b.step)] += chargedToPrevious
	b.granted[ringIndex(b.step)]++
	d.Granted, d.start, d.step, d.chargedToPrevious = true, b.start, b.step, chargedToPrevious
	return d
}

// Renew decides again, regardless of pending claims, on a retry that was granted earlier and is about to be sent,
// because retries count when they reach a server. It releases the earlier grant even if it denies the retry. A
// borrowed retry was not counted in this budget, so nothing is released for it.
func (b *Budget) Renew(earlier Decision, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if earlier.Granted && !earlier.Borrowed {
		b.release(earlier)
	}
	return b.take()
}

// release removes a grant from the counts. Tokens are not returned, because the bucket may have been refilled since.
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

// available returns the number of retries that the budget permits now.
func (b *Budget) available() float64 { return b.tokens + b.previousCredit() }

// previousCredit returns the number of retries that the requests of the previous window still cover: the
// minimum over all windows that contain the current time. If a step is only partly in a window, its
// retries count but its requests don't.
func (b *Budget) previousCredit() float64 {
	ratio := (1 - bucketRatioFraction) * b.settings.Ratio
	before := 0 // requests of the window before the one that starts in step n
	for n := b.step - stepsPerWindow + 1; n < b.step; n++ {
		before += b.requests[ringIndex(n)]
	}
	charged := 0.0
	credit := ratio * float64(before)
	for n := b.step; n >= b.step-stepsPerWindow; n-- {
		charged += b.chargedToPrevious[ringIndex(n)]
		credit = min(credit, ratio*float64(before)-charged)
		before += b.requests[ringIndex(n-stepsPerWindow)] - b.requests[ringIndex(n-1)]
	}
	return max(0, credit)
}

// depth returns the maximum number of tokens in the bucket.
func (b *Budget) depth() float64 { return depthSlackFraction * b.settings.Slack * b.slackShare }

// refill returns the number of tokens that the bucket gains per second without requests.
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

// ringIndex returns the ring buffer index of a step number, which may be negative.
func ringIndex(step int64) int { return int((step%stepsKept + stepsKept) % stepsKept) }
