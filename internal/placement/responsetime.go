package placement

import (
	"sync"
	"time"
)

const (
	// initialTokenTime is the time per generated token before the first observation: between the
	// 5 ms of an engine without prefills and the 25 ms or more of one that prefills continuously.
	initialTokenTime = 18 * time.Millisecond
	// observationWeight is the weight of one observation in the moving average.
	observationWeight = 0.1
)

// ResponseTimeEstimator estimates the response time of a route from the response length that its
// callers expect. Expected lengths are often wrong but about right on average, and engines
// generate three times as fast while they have few prefills. It is safe for concurrent use.
type ResponseTimeEstimator struct {
	mu       sync.Mutex
	perToken time.Duration // 0 before the first observation
}

// Observe records the time from the first event of a response to its end.
func (a *ResponseTimeEstimator) Observe(took time.Duration, expectedTokens int) {
	if expectedTokens <= 0 {
		return
	}
	perToken := took / time.Duration(expectedTokens)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.perToken == 0 {
		a.perToken = initialTokenTime
	}
	a.perToken += time.Duration(observationWeight * float64(perToken-a.perToken))
}

// Estimate returns how long a response of the expected length takes.
func (a *ResponseTimeEstimator) Estimate(expectedTokens int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.perToken == 0 {
		return initialTokenTime * time.Duration(expectedTokens)
	}
	return a.perToken * time.Duration(expectedTokens)
}
