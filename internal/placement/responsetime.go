package placement

import (
	"sync"
	"time"
)

const (
	// initialTokenTime is the assumed time per generated token before the first observation. It is
	// between the 5 ms of an engine without prefills and the 25 ms or more of one that prefills
	// continuously.
	initialTokenTime = 18 * time.Millisecond
	// observationWeight is the weight of a new observation in the exponential moving average.
	observationWeight = 0.1
)

// ResponseTimeEstimator estimates the response times of a route from the response lengths that its callers
// expect. It learns the time per expected token, as expected lengths are often wrong but about right on
// average, and engines generate three times as fast while they have few prefills. It is safe for
// concurrent use.
type ResponseTimeEstimator struct {
	mu       sync.Mutex
	perToken time.Duration // 0 before the first observation
}

// Observe records the time from the first event of a response to its end. Responses without an expected
// length are ignored.
func (e *ResponseTimeEstimator) Observe(took time.Duration, expectedTokens int) {
	if expectedTokens <= 0 {
		return
	}
	perToken := took / time.Duration(expectedTokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.perToken == 0 {
		e.perToken = initialTokenTime
	}
	e.perToken += time.Duration(observationWeight * float64(perToken-e.perToken))
}

// Estimate returns the expected time from the first event of a response to its end.
func (e *ResponseTimeEstimator) Estimate(expectedTokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.perToken == 0 {
		return initialTokenTime * time.Duration(expectedTokens)
	}
	return e.perToken * time.Duration(expectedTokens)
}
