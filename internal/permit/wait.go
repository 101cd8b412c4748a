package permit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lateShare is the part of its limit beyond which an expected wait is refused at once:
	// a late answer is worth more to its caller than a refusal, and expected waits are
	// about right.
	lateShare = 0.85
	// onTimePart is the part of its target after which a request that waits counts as late.
	// The rest is for its reading. How long that is does not count, so that long prompts are
	// put behind and refused no sooner than short ones.
	onTimePart = 0.75
	// leastLeft bounds from below the part of the engines' time that is taken to be left
	// for late requests.
	leastLeft = 0.1
)

// first is the comparison of two asks of which one goes first.
func first(a bool) int {
	if a {
		return -1
	}
	return 1
}

// order is the order of waiting asks: rank; then those whose callers have a part of the
// answer; then those that can still be on time; then arrival.
func (q *Queue) order(a, b *entry, now time.Time) int {
	if c := cmp.Compare(a.ask.Rank, b.ask.Rank); c != 0 {
		return c
	}
	if a.ask.Begun != b.ask.Begun {
		return first(a.ask.Begun)
	}
	if x, y := q.onTime(a, now), q.onTime(b, now); x != y && !q.policy.ByArrival {
		return first(x)
	}
	return cmp.Compare(a.number, b.number)
}

func (q *Queue) precedes(a, b *entry, now time.Time) bool { return q.order(a, b, now) < 0 }

// onTime reports whether the request can be on time if it is granted now.
func (q *Queue) onTime(e *entry, now time.Time) bool {
	return now.Sub(e.arrived) <= time.Duration(onTimePart*float64(e.ask.Target))
}

// wait is the expected time from now on until an engine begins to read the request: what
// is ahead of it goes to whichever engine is free first.
func (q *Queue) wait(e *entry, now time.Time) time.Duration {
	var ahead time.Duration
	for _, other := range q.waiting {
		if other != e && q.precedes(other, e, now) {
			ahead += q.model.ReadTime(other.ask.Own, other.ask.Shared)
		}
	}
	return q.capacity(now).free(ahead)
}

// capacity is when each engine that may be used will have read what was granted, in
// order.
type capacity []time.Duration

func (q *Queue) capacity(now time.Time) capacity {
	out := q.waits[:0]
	for _, en := range q.ordered {
		if en.usable(now) {
			out = append(out, en.wait(now))
		}
	}
	slices.Sort(out)
	q.waits = out
	return out
}

// free returns when an engine is free for the next prompt once the work ahead of it is
// taken by those that are free first.
func (c capacity) free(ahead time.Duration) time.Duration {
	at := time.Duration(0)
	for i, wait := range c {
		// i engines work on what is ahead until this one joins them.
		work := time.Duration(i) * (wait - at)
		if i > 0 && work >= ahead {
			return at + ahead/time.Duration(i)
		}
		ahead -= work
		at = wait
		if ahead <= 0 {
			return at
		}
	}
	return at + ahead/time.Duration(max(len(c), 1))
}

// refuseHopeless refuses waiting asks, which are in order, that can't be served in time
// any more.
func (q *Queue) refuseHopeless(now time.Time) []Answer {
	var out []Answer
	engines := q.capacity(now)
	verdict, ahead := Refused, time.Duration(0)
	if len(engines) == 0 {
		verdict = NoEngine
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool {
		wait := engines.free(ahead)
		if !q.hopeless(e, wait, len(engines), now) {
			ahead += q.model.ReadTime(e.ask.Own, e.ask.Shared)
			return false
		}
		delete(q.asked, e.ask.ID)
		out = append(out, q.answer(e.ask.ID, verdict, q.comeBack(wait, e.ask, len(engines), now)))
		return true
	})
	return out
}

// hopeless reports whether a request can't be served in time if so much is ahead of it.
// Those that will be late are served only with what those that can still be on time
// leave over: where that is nothing, they would wait in vain.
func (q *Queue) hopeless(e *entry, wait time.Duration, engines int, now time.Time) bool {
	age := now.Sub(e.arrived)
	if age > e.ask.Limit || q.policy.Patient || q.uninformed(now) {
		return age > e.ask.Limit
	}
	if age+wait > time.Duration(onTimePart*float64(e.ask.Target)) {
		wait = q.drained(wait, e.ask.Rank, engines, now)
	}
	return age+wait > time.Duration(lateShare*float64(e.ask.Limit))
}

// startingFor is how long a queue may go without having observed its engines: about two heartbeats, in
// which others tell what they have learnt. Short prompts are read together, which teaches little.
const startingFor = 2 * time.Second

// uninformed reports whether the queue has just begun and knows start values alone. By these nobody is
// refused: a gateway that had just started took a backlog for ten times as long as its engines needed,
// and refused interactive requests in the first second (4 of 5 runs of a soak's two seeds, 0 of 6 since).
func (q *Queue) uninformed(now time.Time) bool {
	return now.Sub(q.begun) < startingFor && !q.model.Informed()
}

// drained is how long the wait of a request with a rank becomes where what comes meanwhile goes first.
func (q *Queue) drained(wait time.Duration, rank int, engines int, now time.Time) time.Duration {
	all, left := float64(max(engines, 1)), leastLeft
	if q.load.upTo(rank, now) < all {
		// Equals that come meanwhile leave some over, so that only what is more urgent takes its time. Were
		// they counted, urgent requests would be refused in a burst, and less urgent ones served after it.
		left = 1 - q.load.upTo(rank-1, now)/all
	}
	return time.Duration(float64(wait) / max(left, leastLeft))
}

// comeBack is when a refused caller is to ask again: when the backlog has sunk to what its
// target bears, with what comes meanwhile.
func (q *Queue) comeBack(wait time.Duration, a Ask, engines int, now time.Time) time.Duration {
	return min(max(q.drained(wait, a.Rank, engines, now)-a.Target/2, shortestReturn), longestReturn)
}
