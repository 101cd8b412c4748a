package permit

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/registry"
)

const (
	// maxReading are the prompt tokens that an engine is given to read at once: a long
	// prompt and the next, so that it never runs dry within a round trip.
	maxReading = 9000
	// spareReading are the prompt tokens that a spare engine is given to read, with
	// nothing else: they hold up the words of others by 75 ms at most, of a target of
	// 300. On the four heaviest days 11.0 in 100 requests were refused with it, 11.5
	// without, and the mean worth was the same within 0.01; with 7,000 tokens advice
	// lost what reports gained.
	spareReading = 3000
	// spareTokens is what using a spare engine counts against reading: it is the last
	// choice.
	spareTokens = 20000
	// firstRate is the reading rate in tokens a ms that is assumed before it has been
	// measured: chunks of 1,024 tokens in steps of 25 ms.
	firstRate = 40.0
	// lowestRate and highestRate bound the measured rate.
	lowestRate, highestRate = 8.0, 80.0
	// rateWeight is the weight of one measurement of the rate.
	rateWeight = 0.1
	// leastMeasured is the prompt length in tokens, one chunk, below which the time
	// until the first token says little about the rate.
	leastMeasured = 1024
	// lostAfter is how long a granted request may give no word before it counts as
	// read: its gateway is gone, or the notice was lost.
	lostAfter = 3 * time.Second
	// forgetGranted is above the longest time that a request runs; what is granted
	// longer has ended without word.
	forgetGranted = 2 * time.Minute
	// firstPause is how long an engine that failed a request gets no other; each
	// further failure in a row doubles it, up to longestPause. Without it an engine
	// that fails at once would always have room and draw in all that waits.
	firstPause, longestPause = 250 * time.Millisecond, 2 * time.Second
	// maxDoublings keeps the shift of a pause inside its type.
	maxDoublings = 8
	// fetchTokens is what a fetch of a shared part counts against reading: more than an
	// engine may be given, so that an engine that holds the part is chosen whenever it
	// has room. It takes 5 ms, and the bytes that are moved are paid for.
	fetchTokens = 9000
	// runningTokens is what a running request counts against reading: it lengthens
	// each step of an engine by 0.1 ms, of 25. It settles ties.
	runningTokens = 30
	// errorTokens is what a share of failed requests of 1 counts against reading: at a
	// share of 0.3 it outweighs all that an engine may be given.
	errorTokens = 30000
)

// engine is what is known of one engine of a group.
type engine struct {
	id       string
	open     bool
	spare    bool
	reading  int     // unread tokens of granted requests
	running  int     // granted requests that have not ended
	rate     float64 // tokens a ms
	lastRead time.Time
	failures int // in a row
	pause    time.Time
	errors   registry.FailureRate
}

func newEngine(id string) *engine { return &engine{id: id, rate: firstRate} }

// usable reports whether the engine may get prompts now.
func (e *engine) usable(now time.Time) bool { return e.open && !now.Before(e.pause) }

// fits reports whether the engine can take a prompt with so many tokens to read.
func (e *engine) fits(unread int) bool {
	if e.spare {
		return e.reading == 0 && unread <= spareReading
	}
	return e.reading == 0 || e.reading+unread <= maxReading
}

// cost orders the engines that can take a prompt, in tokens.
func (e *engine) cost(holds bool, now time.Time) float64 {
	cost := 0.0
	if e.spare {
		cost = spareTokens
	}
	cost += float64(e.reading+runningTokens*e.running) + errorTokens*e.errors.Share(now)
	if !holds {
		cost += fetchTokens
	}
	return cost
}

// begin counts a granted prompt.
func (e *engine) begin(unread int, now time.Time) {
	if e.reading == 0 {
		e.lastRead = now
	}
	e.reading += unread
	e.running++
}

// measure learns the rate from a prompt that was read.
func (e *engine) measure(unread int, now time.Time) {
	ms := now.Sub(e.lastRead).Seconds() * 1000
	e.lastRead = now
	if ms <= 0 || unread < leastMeasured {
		return
	}
	rate := min(max(float64(unread)/ms, lowestRate), highestRate)
	e.rate += rateWeight * (rate - e.rate)
}

// answered and failed count what became of a request.
func (e *engine) answered(now time.Time) {
	e.errors.Add(now, false)
	e.failures = 0
	e.pause = time.Time{}
}

func (e *engine) failed(now time.Time) {
	e.errors.Add(now, true)
	e.pause = now.Add(min(firstPause<<min(e.failures, maxDoublings), longestPause))
	e.failures++
}
