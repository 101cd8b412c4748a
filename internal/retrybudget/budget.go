// Package retrybudget bounds the repeated sends of a service to a share of its
// requests over a sliding window. Each gateway keeps to the share of its own
// requests, so that all gateways together keep to it without talking.
package retrybudget

import (
	"sync"
	"time"
)

// Settings are the bounds of a budget.
type Settings struct {
	// Ratio is the share of repeated sends to requests.
	Ratio float64
	// Window is the span over which both are counted.
	Window time.Duration
	// Spare is what one gateway may repeat in a window whatever its requests.
	Spare float64
}

// buckets is the number of steps of the sliding window. The window that is
// counted is up to one step longer, which errs to the safe side for repeats.
const buckets = 20

// Budget counts one service. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	settings Settings
	start    time.Time
	step     int64 // number of the newest bucket
	requests [buckets + 1]int
	repeats  [buckets + 1]int
}

// New returns a budget that starts at now.
func New(s Settings, now time.Time) *Budget { return &Budget{settings: s, start: now} }

// Request counts a request for the service.
func (b *Budget) Request(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[b.at(now)]++
}

// Decision is the result of Take, with the figures it is based on.
type Decision struct {
	Granted bool `json:"granted"`
	// Taken is the number of repeats granted in the window before this decision.
	Taken int `json:"taken"`
	// Allowed is the limit on repeats in the window; it may be fractional.
	Allowed float64 `json:"allowed"`
}

// Take grants one repeated send and counts it, or denies it if the budget is exhausted.
func (b *Budget) Take(now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.at(now)
	oldest := (i + 1) % len(b.requests)
	requests, repeats := 0, 0
	for j := range b.requests {
		repeats += b.repeats[j]
		if j != oldest { // partly outside the window: counts only against us
			requests += b.requests[j]
		}
	}
	d := Decision{Taken: repeats, Allowed: b.settings.Ratio*float64(requests) + b.settings.Spare}
	if float64(repeats+1) > d.Allowed {
		return d
	}
	b.repeats[i]++
	d.Granted = true
	return d
}

// at moves the window on to now and returns the index of the newest bucket.
func (b *Budget) at(now time.Time) int {
	// The difference of two readings goes by the steady clock.
	step := int64(now.Sub(b.start) / (b.settings.Window / buckets))
	if step-b.step > buckets {
		b.requests, b.repeats = [buckets + 1]int{}, [buckets + 1]int{}
		b.step = step
	}
	for b.step < step {
		b.step++
		i := int(b.step % int64(len(b.requests)))
		b.requests[i], b.repeats[i] = 0, 0
	}
	return int(b.step % int64(len(b.requests)))
}
