package registry

import (
	"math"
	"time"
)

const (
	// errorMemory is the time constant of the share of failed requests. At the
	// tens of requests a second that a backend server gets it covers enough of
	// them to tell a share of 0.3 from chance.
	errorMemory = 3 * time.Second
	// priorAnswers stands for answers not seen yet, so that one failure of a quiet
	// server does not count as a share of 1.
	priorAnswers = 4
)

// FailureRate is a share of failures with exponential forgetting. The zero value
// has seen none. It is not safe for concurrent use.
type FailureRate struct {
	failed, all float64
	at          time.Time
}

// Add counts an answer.
func (r *FailureRate) Add(now time.Time, failed bool) {
	r.forget(now)
	r.all++
	if failed {
		r.failed++
	}
}

func (r *FailureRate) forget(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(errorMemory))
		r.failed *= keep
		r.all *= keep
		r.at = now
	}
}

// Share returns the share of recent answers that were failures, 0 to 1.
func (r *FailureRate) Rate(now time.Time) float64 {
	r.forget(now)
	return r.failed / (r.all + priorAnswers)
}
