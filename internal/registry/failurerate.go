package registry

import (
	"math"
	"time"
)

const (
	// failureRateTimeConstant is the time constant of the exponential decay. At tens of requests
	// per second to a backend server, it covers enough requests to distinguish a rate of 0.3 from
	// chance.
	failureRateTimeConstant = 3 * time.Second
	// priorSuccesses is the number of successes added to the total as a prior, so that a single
	// failure of a server with little traffic does not result in a rate of 1.
	priorSuccesses = 4
)

// FailureRate is an exponentially weighted failure rate of recent requests. The zero value is ready
// to use. It is not safe for concurrent use.
type FailureRate struct {
	failed, total float64 // decayed counts
	updatedAt     time.Time
}

// Add records the result of a request.
func (r *FailureRate) Add(now time.Time, failed bool) {
	r.decay(now)
	r.total++
	if failed {
		r.failed++
	}
}

// decay applies the decay since the last update.
func (r *FailureRate) decay(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(failureRateTimeConstant))
		r.failed *= factor
		r.total *= factor
		r.updatedAt = now
	}
}

// Rate returns the fraction of recent requests that failed, 0 to 1.
func (r *FailureRate) Rate(now time.Time) float64 {
	r.decay(now)
	return r.failed / (r.total + priorSuccesses)
}
