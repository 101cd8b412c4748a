// Package permit decides when a request with a long prompt may be sent to a model
// engine. One gateway, the engine's home, decides for all; it only gives leave,
// and the asker sends the request to the engine itself, so that no answer depends
// on the home. There is no clock and no network here.
//
// It answers a load in which more prompts arrive than the engine reads. Left
// alone the engine takes them all in, its memory fills, cached parts and running
// requests are thrown out and read again, and every answer comes late.
package permit

import (
	"slices"
	"time"
)

// Ask is a request that wants to be sent to the engine.
type Ask struct {
	ID string
	// Rank is the request's urgency at the engine, 0 first.
	Rank int
	// Unread are the prompt tokens that the engine is expected to read.
	Unread int
	// Target is the time left in which a first token is on time.
	Target time.Duration
	// Limit is the time left after which a first token is of no use.
	Limit time.Duration
	// MaxWait refuses the ask at once if the first token is expected later; 0 sets
	// no such bound.
	MaxWait time.Duration
}

// Verdict is what is said to an ask.
type Verdict int

// The verdicts.
const (
	Granted Verdict = iota + 1
	Queued
	Refused
)

// Answer is the verdict on one ask with what the gateway may learn from it.
type Answer struct {
	ID      string
	Verdict Verdict
	// Wait is the expected time until the engine begins to read the prompt, or for
	// an ask that was refused for good the time after which it is worth asking again.
	Wait time.Duration
	// Backlog are the prompt tokens that were granted or queued and not read yet.
	Backlog int
	// TokensPerSecond is the rate at which the engine reads.
	TokensPerSecond int
}

const (
	// maxReading are the prompt tokens that the engine is given to read at once:
	// a long prompt and the next, so that it never runs dry within a round trip.
	maxReading = 9000
	// firstRate is the reading rate in tokens a ms that is assumed before it has
	// been measured: chunks of 1,024 tokens in steps of 25 ms.
	firstRate = 40.0
	// lowestRate and highestRate bound the measured rate.
	lowestRate, highestRate = 8.0, 80.0
	// rateWeight is the weight of one measurement of the rate.
	rateWeight = 0.1
	// targetMargin is kept between the expected begin of the reading and the target:
	// it is what a mean prompt takes to be read.
	targetMargin = 300 * time.Millisecond
	// lateShare is the part of its limit that a request which can't be on time any
	// more may wait. The rest is for its answer.
	lateShare = 0.5
	// lostAfter is how long a granted request may give no word before it counts as
	// read: its gateway is gone, or the notice was lost.
	lostAfter = 3 * time.Second
	// shortestReturn and longestReturn bound what a refused caller is told.
	shortestReturn, longestReturn = 500 * time.Millisecond, 5 * time.Second
)

// entry is an ask that is waiting or granted.
type entry struct {
	ask     Ask
	arrived time.Time
	number  uint64 // in the order of arrival
	granted time.Time
	read    bool
}

// Queue decides for one engine. It is not safe for concurrent use.
type Queue struct {
	waiting  []*entry
	granted  map[string]*entry
	reading  int     // unread tokens of granted requests
	rate     float64 // tokens a ms
	lastRead time.Time
	numbers  uint64 // of asks so far
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{granted: map[string]*entry{}, rate: firstRate} }

// Ask takes in an ask; asking again with the same ID repeats the answer.
func (q *Queue) Ask(a Ask, now time.Time) Answer {
	if _, ok := q.granted[a.ID]; ok {
		return q.answer(a.ID, Granted, 0)
	}
	if i := q.find(a.ID); i >= 0 {
		return q.answer(a.ID, Queued, q.wait(q.waiting[i], now))
	}
	q.numbers++
	e := &entry{ask: a, arrived: now, number: q.numbers}
	// What is ahead counts, not the request's own reading: long prompts are to be
	// refused no sooner than short ones.
	wait := q.wait(e, now)
	if a.MaxWait > 0 && wait > a.MaxWait {
		return q.answer(a.ID, Refused, wait)
	}
	if wait > a.Target-targetMargin && wait > time.Duration(lateShare*float64(a.Limit)) {
		return q.answer(a.ID, Refused, q.comeBack(wait, a))
	}
	if q.fits(e) && !slices.ContainsFunc(q.waiting, func(other *entry) bool { return q.precedes(other, e, now) }) {
		q.grant(e, now)
		return q.answer(a.ID, Granted, wait)
	}
	q.waiting = append(q.waiting, e)
	return q.answer(a.ID, Queued, wait)
}

// comeBack is when a refused caller is to ask again: when the backlog has sunk
// to what its target bears.
func (q *Queue) comeBack(wait time.Duration, a Ask) time.Duration {
	return min(max(wait-a.Target/2, shortestReturn), longestReturn)
}

// FirstToken tells that the engine has read the request's prompt.
func (q *Queue) FirstToken(id string, now time.Time) {
	e := q.granted[id]
	if e == nil || e.read {
		return
	}
	q.measure(e, now)
	q.settle(e)
}

// End tells that the request has ended or is no longer wanted.
func (q *Queue) End(id string) {
	if e := q.granted[id]; e != nil {
		q.settle(e)
		delete(q.granted, id)
	}
	if i := q.find(id); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
}

// Next returns what has become due: grants, and refusals of asks that can't be
// served in time any more.
func (q *Queue) Next(now time.Time) []Answer {
	var out []Answer
	for _, e := range q.granted {
		if !e.read && now.Sub(e.granted) > lostAfter {
			q.settle(e)
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool {
		hopeless := now.Sub(e.arrived) > e.ask.Limit
		if hopeless {
			out = append(out, q.answer(e.ask.ID, Refused, shortestReturn))
		}
		return hopeless
	})
	for len(q.waiting) > 0 {
		first := 0
		for i := range q.waiting {
			if q.precedes(q.waiting[i], q.waiting[first], now) {
				first = i
			}
		}
		e := q.waiting[first]
		if !q.fits(e) {
			break
		}
		q.waiting = slices.Delete(q.waiting, first, first+1)
		q.grant(e, now)
		out = append(out, q.answer(e.ask.ID, Granted, 0))
	}
	return out
}

// Idle reports whether nothing is waiting or being read.
func (q *Queue) Idle() bool { return len(q.waiting) == 0 && len(q.granted) == 0 }

func (q *Queue) find(id string) int {
	return slices.IndexFunc(q.waiting, func(e *entry) bool { return e.ask.ID == id })
}

func (q *Queue) grant(e *entry, now time.Time) {
	e.granted = now
	q.granted[e.ask.ID] = e
	if q.reading == 0 {
		q.lastRead = now
	}
	q.reading += e.ask.Unread
}

// settle ends the reading of a granted request.
func (q *Queue) settle(e *entry) {
	if !e.read {
		e.read = true
		q.reading -= e.ask.Unread
	}
}

// measure learns the engine's rate from a prompt that was read.
func (q *Queue) measure(e *entry, now time.Time) {
	ms := now.Sub(q.lastRead).Seconds() * 1000
	q.lastRead = now
	if ms <= 0 || e.ask.Unread < 1024 {
		return
	}
	rate := min(max(float64(e.ask.Unread)/ms, lowestRate), highestRate)
	q.rate += rateWeight * (rate - q.rate)
}

// fits reports whether the engine can take the request now.
func (q *Queue) fits(e *entry) bool {
	return q.reading == 0 || q.reading+e.ask.Unread <= maxReading
}

// precedes is the order of waiting asks: rank; then those that can still be on
// time; then arrival.
func (q *Queue) precedes(a, b *entry, now time.Time) bool {
	if a.ask.Rank != b.ask.Rank {
		return a.ask.Rank < b.ask.Rank
	}
	if x, y := q.onTime(a, now), q.onTime(b, now); x != y {
		return x
	}
	return a.number < b.number
}

// onTime reports whether the request would be on time if it were granted now.
func (q *Queue) onTime(e *entry, now time.Time) bool {
	return now.Sub(e.arrived)+q.readTime(q.reading+e.ask.Unread/2) <= e.ask.Target-targetMargin
}

func (q *Queue) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / q.rate * float64(time.Millisecond))
}

// wait is the expected time from now on until the engine begins to read the
// request.
func (q *Queue) wait(e *entry, now time.Time) time.Duration {
	ahead := q.reading + e.ask.Unread/2
	for _, other := range q.waiting {
		if other != e && q.precedes(other, e, now) {
			ahead += other.ask.Unread
		}
	}
	return q.readTime(ahead)
}

func (q *Queue) answer(id string, v Verdict, wait time.Duration) Answer {
	backlog := q.reading
	for _, e := range q.waiting {
		backlog += e.ask.Unread
	}
	return Answer{ID: id, Verdict: v, Wait: wait, Backlog: backlog, TokensPerSecond: int(q.rate * 1000)}
}

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Granted:
		return "granted"
	case Queued:
		return "queued"
	case Refused:
		return "refused"
	}
	return "none"
}
