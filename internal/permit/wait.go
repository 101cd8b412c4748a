package permit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// refusalShare is the share of a request's timeout above which an expected wait leads to
	// immediate refusal. It is close to 1 because a late response is worth more to the caller
	// than a refusal, and expected waits are about right.
	earlyRefusalShare = 0.85
	// onTimeShare is the share of its target after which a waiting request counts as late. The
	// rest is for its prefill. The expected prefill time itself is not considered, so that long
	// prompts are not delayed or refused sooner than short ones.
	onTimeWaitShare = 0.75
	// minCapacityShare is the lower bound of the share of engine time that is assumed to be left
	// for late requests.
	minLateCapacityShare = 0.1
)

// trueFirst returns the comparison result for two items of which only one has a property: the one
// that has it comes first.
func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

// compare orders waiting requests by priority, then those with a partial response, then those that
// can still be on time, then by arrival.
func (q *Queue) compare(a, b *entry, now time.Time) int {
	if c := cmp.Compare(a.request.Priority, b.request.Priority); c != 0 {
		return c
	}
	if a.request.Resumed != b.request.Resumed {
		return trueFirst(a.request.Resumed)
	}
	if x, y := q.onTime(a, now), q.onTime(b, now); x != y && !q.policy.IgnoreLateness {
		return trueFirst(x)
	}
	return cmp.Compare(a.sequence, b.sequence)
}

func (q *Queue) precedes(a, b *entry, now time.Time) bool { return q.compare(a, b, now) < 0 }

// onTime reports whether the request can be on time if granted now.
func (q *Queue) onTime(e *entry, now time.Time) bool {
	return now.Sub(e.arrivedAt) <= time.Duration(onTimeWaitShare*float64(e.request.FirstTokenTarget))
}

// expectedWait returns the expected time until an engine starts the request, assuming that
// requests ahead of it go to whichever engine is free first. It also returns the capacity in
// engines.
func (q *Queue) expectedWait(e *entry, now time.Time) (wait time.Duration, engines float64) {
	var ahead time.Duration
	count := 0
	for _, other := range q.waiting {
		if other != e && q.precedes(other, e, now) {
			ahead += q.engineTime(other.request)
			count++
		}
	}
	c := q.capacity(meanOrDefault(ahead, count, q.engineTime(e.request)), now)
	return c.nextFree(ahead), c.total()
}

// plainWork is the engine time of a plain request; plain servers run many concurrently.
const plainEngineTime = time.Millisecond

// work returns the engine time that a request takes.
func (q *Queue) engineTime(a Ask) time.Duration {
	if a.Plain {
		return plainEngineTime
	}
	return q.model.PrefillTime(a.UniqueTokens, a.PrefixTokens)
}

func meanOrDefault(sum time.Duration, count int, fallback time.Duration) time.Duration {
	if count == 0 {
		return fallback
	}
	return sum / time.Duration(count)
}

// engineCapacity is when a usable engine can take its next request, and the share of its time that
// its stated rate lets it spend on requests.
type engineCapacity struct {
	wait           time.Duration
	availableShare float64
}

// capacity lists the usable engines, ordered by when they can take their next request.
type capacity []engineCapacity

// capacity returns the capacity for requests that each take the given engine time.
func (q *Queue) capacity(perRequest time.Duration, now time.Time) capacity {
	out := q.capacityBuf[:0]
	for _, en := range q.sortedEngines {
		if !en.usable(now) {
			continue
		}
		s := engineCapacity{en.prefillWait(now), 1}
		if b := q.limiter.Budget(en.ID, now); b.Limited {
			s.wait, s.availableShare = max(s.wait, b.Wait), min(1, b.Rate*perRequest.Seconds())
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b engineCapacity) int { return cmp.Compare(a.wait, b.wait) })
	q.capacityBuf = out
	return out
}

// total returns the capacity in engines.
func (c capacity) total() (sum float64) {
	for _, s := range c {
		sum += s.availableShare
	}
	return sum
}

// nextFree returns when an engine can take another request after the given work has been
// distributed over the engines as they become free.
func (c capacity) nextFree(ahead time.Duration) time.Duration {
	at, speed := time.Duration(0), 0.0
	for _, s := range c {
		// Until this engine becomes free, the earlier ones process the work.
		work := time.Duration(speed * float64(s.wait-at))
		if speed > 0 && work >= ahead {
			break
		}
		ahead -= work
		at, speed = s.wait, speed+s.availableShare
		if ahead <= 0 {
			return at
		}
	}
	if speed == 0 {
		return at + ahead
	}
	return at + time.Duration(float64(ahead)/speed)
}

// refuseUnservable refuses waiting requests, which must be sorted, that can no longer be served in
// time.
func (q *Queue) refuseUnservable(now time.Time) []Decision {
	var out []Decision
	var all time.Duration
	for _, e := range q.waiting {
		all += q.engineTime(e.request)
	}
	engines := q.capacity(meanOrDefault(all, len(q.waiting), 0), now)
	verdict, ahead := Refused, time.Duration(0)
	if len(engines) == 0 {
		verdict = NoEngine
	}
	noneAccepting := !slices.ContainsFunc(q.sortedEngines, func(e *engine) bool { return e.Accepting })
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool {
		wait := engines.nextFree(ahead)
		if !noneAccepting && !q.unservable(e, wait, engines.total(), now) {
			ahead += q.engineTime(e.request)
			return false
		}
		delete(q.waitingByID, e.request.ID)
		out = append(out, q.newDecision(e.request.ID, verdict, q.retryAfter(wait, e.request, engines.total(), now), now))
		return true
	})
	return out
}

// unservable reports whether a request can't be served in time given its expected wait. Late
// requests only get the capacity that requests that can still be on time leave over; if there
// is none, waiting would be in vain.
func (q *Queue) unservable(e *entry, wait time.Duration, engines float64, now time.Time) bool {
	age := now.Sub(e.arrivedAt)
	if age > e.request.FirstTokenTimeout || q.policy.NoEarlyRefusal || q.uncalibrated(now) {
		return age > e.request.FirstTokenTimeout
	}
	if age+wait > time.Duration(onTimeWaitShare*float64(e.request.FirstTokenTarget)) {
		wait = q.waitWithArrivals(wait, e.request.Priority, engines, now)
	}
	return age+wait > time.Duration(earlyRefusalShare*float64(e.request.FirstTokenTimeout))
}

// minPrefills is the number of completed prefills after which the estimates are trusted without
// calibration. Short prompts are prefilled together, which yields few observations, so that for
// some services few prompts are ever observed alone.
const minCalibrationPrefills = 100

// uncalibrated reports whether the estimates are mostly initial values, in which case no request is
// refused early. Otherwise a gateway that has just started, or schedules few requests, would
// overestimate the time for a backlog tenfold and refuse interactive requests at once.
func (q *Queue) uncalibrated(now time.Time) bool {
	return q.prefillsDone < minCalibrationPrefills && !q.model.Calibrated() && !q.allRateLimited(now)
}

// allRateLimited reports whether every engine states a rate. Waits then follow from the rates alone.
func (q *Queue) allRateLimited(now time.Time) bool {
	return !slices.ContainsFunc(q.sortedEngines, func(e *engine) bool { return e.Accepting && !q.limiter.Budget(e.ID, now).Limited })
}

// rateExhausted reports whether an engine accepts nothing now because of its stated rate.
func (q *Queue) rateExhausted(e *engine, now time.Time) bool {
	return q.limiter.Budget(e.ID, now).Wait > 0
}

// waitWithArrivals extends an expected wait by the requests that arrive meanwhile and go first.
func (q *Queue) waitWithArrivals(wait time.Duration, priority int, engines float64, now time.Time) time.Duration {
	if engines == 0 {
		engines = 1
	}
	left := minLateCapacityShare
	if q.load.enginesNeededUpTo(priority, now) < engines {
		// Requests of equal priority that arrive meanwhile leave capacity over, so only more urgent
		// ones are counted. Counting equals as well refused urgent requests in a burst while less
		// urgent ones were served after it.
		left = 1 - q.load.enginesNeededUpTo(priority-1, now)/engines
	}
	return time.Duration(float64(wait) / max(left, minLateCapacityShare))
}

// retryAfter returns when a refused caller should retry: when the backlog has shrunk to what the
// request's target tolerates, taking new arrivals into account.
func (q *Queue) retryAfter(wait time.Duration, a Ask, engines float64, now time.Time) time.Duration {
	return min(max(q.waitWithArrivals(wait, a.Priority, engines, now)-a.FirstTokenTarget/2, minRetryAfter), maxRetryAfter)
}
