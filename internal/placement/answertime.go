package placement

import (
	"sync"
	"time"
)

const (
	// firstTokenTime is the time for a generated token that is assumed before it has
	// been measured: between the 5 ms of an engine that reads nothing and the 25 ms and
	// more of one that reads without pause.
	firstTokenTime = 18 * time.Millisecond
	// answerWeight is the weight of one answer in the measure.
	answerWeight = 0.1
)

// AnswerTime measures how long answers of a route take against what their callers
// expect of their length. Expected lengths are often far off, but about right in the
// mean, and engines are three times as fast while they read little. It is safe for
// concurrent use.
type ResponseTimeEstimator struct {
	mu       sync.Mutex
	perToken time.Duration // 0: nothing was measured
}

// Add counts an answer that took so long from its first event to its end.
func (a *ResponseTimeEstimator) Observe(took time.Duration, expectedTokens int) {
	if expectedTokens <= 0 {
		return
	}
	perToken := took / time.Duration(expectedTokens)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.perToken == 0 {
		a.perToken = firstTokenTime
	}
	a.perToken += time.Duration(answerWeight * float64(perToken-a.perToken))
}

// Of returns how long an answer of the expected length takes.
func (a *ResponseTimeEstimator) Estimate(expectedTokens int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.perToken == 0 {
		return firstTokenTime * time.Duration(expectedTokens)
	}
	return a.perToken * time.Duration(expectedTokens)
}
