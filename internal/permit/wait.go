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
	if c := cmp.Compare(a.ask.Priority, b.ask.Priority); c != 0 {
		return c
	}
	if a.ask.Resumed != b.ask.Resumed {
		return first(a.ask.Resumed)
	}
	if x, y := q.onTime(a, now), q.onTime(b, now); x != y && !q.policy.IgnoreLateness {
		return first(x)
	}
	return cmp.Compare(a.number, b.number)
}

func (q *Queue) precedes(a, b *entry, now time.Time) bool { return q.order(a, b, now) < 0 }

// onTime reports whether the request can be on time if it is granted now.
func (q *Queue) onTime(e *entry, now time.Time) bool {
	return now.Sub(e.arrived) <= time.Duration(onTimePart*float64(e.ask.FirstTokenTarget))
}

// wait is the expected time from now on until an engine begins to read the request: what
// is ahead of it goes to whichever engine is free first.
// Engines is how many engines' time there is for requests.
func (q *Queue) wait(e *entry, now time.Time) (wait time.Duration, engines float64) {
	var ahead time.Duration
	count := 0
	for _, other := range q.waiting {
		if other != e && q.precedes(other, e, now) {
			ahead += q.work(other.ask)
			count++
		}
	}
	c := q.capacity(mean(ahead, count, q.work(e.ask)), now)
	return c.free(ahead), c.engines()
}

// plainWork is what a plain request counts in an engine's time: its servers run many side by side.
const plainWork = time.Millisecond

// work is the time of an engine that a request takes.
func (q *Queue) work(a Ask) time.Duration {
	if a.Plain {
		return plainWork
	}
	return q.model.PrefillTime(a.UniqueTokens, a.PrefixTokens)
}

func mean(sum time.Duration, count int, otherwise time.Duration) time.Duration {
	if count == 0 {
		return otherwise
	}
	return sum / time.Duration(count)
}

// server is an engine that may be used: when it will have read what was granted and may take the
// next request, and the part of its time that its stated rate leaves it for requests.
type server struct {
	wait  time.Duration
	speed float64
}

// capacity are the engines that may be used, those that are free first before the others.
type capacity []server

// capacity works out when engines are free for requests that take so much of an engine's time.
func (q *Queue) capacity(each time.Duration, now time.Time) capacity {
	out := q.servers[:0]
	for _, en := range q.ordered {
		if !en.usable(now) {
			continue
		}
		s := server{en.wait(now), 1}
		if b := q.limits.Budget(en.ID, now); b.Limited {
			s.wait, s.speed = max(s.wait, b.Wait), min(1, b.Rate*each.Seconds())
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b server) int { return cmp.Compare(a.wait, b.wait) })
	q.servers = out
	return out
}

// engines returns how many engines' time there is.
func (c capacity) engines() (sum float64) {
	for _, s := range c {
		sum += s.speed
	}
	return sum
}

// free returns when an engine is free for the next request once the work ahead of it is
// taken by those that are free first.
func (c capacity) free(ahead time.Duration) time.Duration {
	at, speed := time.Duration(0), 0.0
	for _, s := range c {
		// Those before work on what is ahead until this one joins them.
		work := time.Duration(speed * float64(s.wait-at))
		if speed > 0 && work >= ahead {
			break
		}
		ahead -= work
		at, speed = s.wait, speed+s.speed
		if ahead <= 0 {
			return at
		}
	}
	if speed == 0 {
		return at + ahead
	}
	return at + time.Duration(float64(ahead)/speed)
}

// refuseHopeless refuses waiting asks, which are in order, that can't be served in time
// any more.
func (q *Queue) refuseHopeless(now time.Time) []Decision {
	var out []Decision
	var all time.Duration
	for _, e := range q.waiting {
		all += q.work(e.ask)
	}
	engines := q.capacity(mean(all, len(q.waiting), 0), now)
	verdict, ahead := Refused, time.Duration(0)
	if len(engines) == 0 {
		verdict = NoEngine
	}
	allLeave := !slices.ContainsFunc(q.ordered, func(e *engine) bool { return e.Accepting })
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool {
		wait := engines.free(ahead)
		if !allLeave && !q.hopeless(e, wait, engines.engines(), now) {
			ahead += q.work(e.ask)
			return false
		}
		delete(q.asked, e.ask.ID)
		out = append(out, q.answer(e.ask.ID, verdict, q.comeBack(wait, e.ask, engines.engines(), now), now))
		return true
	})
	return out
}

// hopeless reports whether a request can't be served in time if so much is ahead of it.
// Those that will be late are served only with what those that can still be on time
// leave over: where that is nothing, they would wait in vain.
func (q *Queue) hopeless(e *entry, wait time.Duration, engines float64, now time.Time) bool {
	age := now.Sub(e.arrived)
	if age > e.ask.FirstTokenTimeout || q.policy.NoEarlyRefusal || q.uninformed(now) {
		return age > e.ask.FirstTokenTimeout
	}
	if age+wait > time.Duration(onTimePart*float64(e.ask.FirstTokenTarget)) {
		wait = q.drained(wait, e.ask.Priority, engines, now)
	}
	return age+wait > time.Duration(lateShare*float64(e.ask.FirstTokenTimeout))
}

// manyRead is how many prompts engines have read when the figures count as they are. Short prompts are
// read together, which teaches little, so that some services never observe many that are read alone.
const manyRead = 100

// uninformed reports whether the queue knows little but start values. By these nobody is refused: a
// gateway that had just started, or decided for few, took a backlog for ten times as long as its
// engines needed, and refused interactive requests at once.
func (q *Queue) uninformed(now time.Time) bool {
	return q.read < manyRead && !q.model.Calibrated() && !q.allLimited(now)
}

// allLimited reports whether each engine states a rate. Waits rest on these then and on nothing learnt.
func (q *Queue) allLimited(now time.Time) bool {
	return !slices.ContainsFunc(q.ordered, func(e *engine) bool { return e.Accepting && !q.limits.Budget(e.ID, now).Limited })
}

// exhausted reports whether an engine takes nothing now by the rate that it states.
func (q *Queue) exhausted(e *engine, now time.Time) bool { return q.limits.Budget(e.ID, now).Wait > 0 }

// drained is how long the wait of a request with a rank becomes where what comes meanwhile goes first.
func (q *Queue) drained(wait time.Duration, rank int, engines float64, now time.Time) time.Duration {
	if engines == 0 {
		engines = 1
	}
	left := leastLeft
	if q.load.upTo(rank, now) < engines {
		// Equals that come meanwhile leave some over, so that only what is more urgent takes its time. Were
		// they counted, urgent requests would be refused in a burst, and less urgent ones served after it.
		left = 1 - q.load.upTo(rank-1, now)/engines
	}
	return time.Duration(float64(wait) / max(left, leastLeft))
}

// comeBack is when a refused caller is to ask again: when the backlog has sunk to what its
// target bears, with what comes meanwhile.
func (q *Queue) comeBack(wait time.Duration, a Ask, engines float64, now time.Time) time.Duration {
	return min(max(q.drained(wait, a.Priority, engines, now)-a.FirstTokenTarget/2, shortestReturn), longestReturn)
}
