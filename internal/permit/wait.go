package permit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// earlyRefusalShare is the share of a request's first-token timeout above which its expected
	// wait leads to immediate refusal. It is close to 1 because callers prefer a late response to a
	// refusal, and the expected waits are accurate enough.
	earlyRefusalShare = 0.85
	// onTimeWaitShare is the share of its target after which a waiting request counts as late.
	// The rest is for its prefill. The expected prefill time of the request is not considered, so
	// that long prompts are not delayed or refused sooner than short ones.
	onTimeWaitShare = 0.75
	// minLateCapacityShare is the minimum share of the engines' time that is assumed to be left
	// for late requests.
	minLateCapacityShare = 0.1
)

// trueFirst returns the comparison result for two items of which exactly one has a property, so that this
// item sorts first. The argument tells whether it is the first operand.
func trueFirst(a bool) int {
	if a {
		return -1
	}
	return 1
}

// compare orders waiting requests by priority, then resumed requests first, then those first that can
// still be on time, then by arrival.
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

// precedes reports whether request a is placed before request b.
func (q *Queue) precedes(a, b *entry, now time.Time) bool { return q.compare(a, b, now) < 0 }

// onTime reports whether the request's first token can be on time if it is granted now.
func (q *Queue) onTime(e *entry, now time.Time) bool {
	return now.Sub(e.arrivedAt) <= time.Duration(onTimeWaitShare*float64(e.request.FirstTokenTarget))
}

// expectedWait returns the expected time until an engine starts the request, if each request ahead of it
// goes to the engine that is free first, and the total capacity as a number of engines.
func (q *Queue) expectedWait(e *entry, now time.Time) (wait time.Duration, engines float64) {
	var ahead time.Duration
	count := 0
	for _, other := range q.waiting {
		if other != e && q.precedes(other, e, now) {
			ahead += q.engineTime(other.request)
			count++
		}
	}
	capacity := q.capacity(meanOrDefault(ahead, count, q.engineTime(e.request)), e.restrictions, now)
	return capacity.nextFree(ahead), capacity.total()
}

// plainEngineTime is the engine time of a plain request. It is short because servers process many plain
// requests concurrently.
const plainEngineTime = time.Millisecond

// engineTime returns how long the request occupies an engine: the expected time of its prefill.
func (q *Queue) engineTime(req Ask) time.Duration {
	if req.Plain {
		return plainEngineTime
	}
	return q.model.PrefillTime(req.UniqueTokens, req.PrefixTokens)
}

// meanOrDefault returns sum/count, or fallback if count is 0.
func meanOrDefault(sum time.Duration, count int, fallback time.Duration) time.Duration {
	if count == 0 {
		return fallback
	}
	return sum / time.Duration(count)
}

// engineCapacity is the capacity of an engine that accepts requests.
type engineCapacity struct {
	wait           time.Duration // until it can take its next request
	availableShare float64       // share of its time that its rate limit lets it spend on requests
}

// capacity is the capacity of all engines that accept requests, ordered by wait.
type capacity []engineCapacity

// capacity returns the capacity for requests that have the given restrictions and each take the given engine
// time.
func (q *Queue) capacity(perRequest time.Duration, r restrictions, now time.Time) capacity {
	out := make(capacity, 0, len(q.sortedEngines))
	for _, e := range q.sortedEngines {
		excludedFor := r.wait(e.ID, now)
		if !e.Accepting || excludedFor == never {
			continue
		}
		c := engineCapacity{max(e.prefillWait(now), e.backoffUntil.Sub(now), excludedFor), 1}
		if b := q.limiter.Budget(e.ID, now); b.Limited {
			c.wait, c.availableShare = max(c.wait, b.Wait), min(1, b.Rate*perRequest.Seconds())
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b engineCapacity) int { return cmp.Compare(a.wait, b.wait) })
	return out
}

// total returns the capacity as a number of fully available engines.
func (c capacity) total() (engines float64) {
	for _, e := range c {
		engines += e.availableShare
	}
	return engines
}

// nextFree returns the time until an engine can take another request, if a backlog with the given engine
// time goes first and is distributed over the engines as they become free.
func (c capacity) nextFree(backlog time.Duration) time.Duration {
	elapsed, engines := time.Duration(0), 0.0
	for _, e := range c {
		// Until this engine is free, the earlier ones process the backlog.
		processed := time.Duration(engines * float64(e.wait-elapsed))
		if engines > 0 && processed >= backlog {
			break
		}
		backlog -= processed
		elapsed, engines = e.wait, engines+e.availableShare
		if backlog <= 0 {
			return elapsed
		}
	}
	if engines == 0 {
		return elapsed + backlog
	}
	return elapsed + time.Duration(float64(backlog)/engines)
}

// refuseUnservable removes the waiting requests that can no longer be served in time, and returns their
// refusals. The waiting requests must be sorted.
func (q *Queue) refuseUnservable(now time.Time) []Decision {
	var out []Decision
	var backlog time.Duration
	for _, e := range q.waiting {
		backlog += q.engineTime(e.request)
	}
	capacities := map[string]capacity{}
	perRequest, ahead := meanOrDefault(backlog, len(q.waiting), 0), time.Duration(0)
	noneAccepting := !slices.ContainsFunc(q.sortedEngines, func(e *engine) bool { return e.Accepting })
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool {
		key := e.restrictions.key(now)
		capacity, known := capacities[key]
		if !known {
			capacity = q.capacity(perRequest, e.restrictions, now)
			capacities[key] = capacity
		}
		wait := capacity.nextFree(ahead)
		if !noneAccepting && !q.unservable(e, wait, capacity.total(), now) {
			ahead += q.engineTime(e.request)
			return false
		}
		delete(q.waitingByID, e.request.ID)
		out = append(out, q.newDecision(e.request.ID, q.refusal(e, now), q.retryAfter(wait, e.request, capacity.total(), now), now))
		return true
	})
	return out
}

// refusal returns the verdict for a request that can't be served in time. It is NoEngine if no engine takes requests
// of its gateway now: the cause is then not the load.
func (q *Queue) refusal(e *entry, now time.Time) Verdict {
	if slices.ContainsFunc(q.sortedEngines, func(g *engine) bool { return g.usable(now) && e.restrictions.wait(g.ID, now) == 0 }) {
		return Refused
	}
	return NoEngine
}

// unservable reports whether a request can't be served in time, given its expected wait and the capacity
// in engines. Late requests only get the capacity that on-time requests leave over. If there is none, they
// would wait in vain until their timeout.
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

// minCalibrationPrefills is the number of completed prefills after which the estimates are used even if
// the model is not calibrated. The model only observes prompts that are prefilled alone, which is rare
// in services with short prompts.
const minCalibrationPrefills = 100

// uncalibrated reports whether the estimates are mostly initial values. No request is refused early then,
// as a gateway that has just started, or schedules few requests, could overestimate the time for a
// backlog tenfold and refuse interactive requests at once.
func (q *Queue) uncalibrated(now time.Time) bool {
	return q.prefillsDone < minCalibrationPrefills && !q.model.Calibrated() && !q.allRateLimited(now)
}

// allRateLimited reports whether every accepting engine has a rate limit. Waits then depend only on the
// limits.
func (q *Queue) allRateLimited(now time.Time) bool {
	return !slices.ContainsFunc(q.sortedEngines, func(e *engine) bool { return e.Accepting && !q.limiter.Budget(e.ID, now).Limited })
}

// rateExhausted reports whether an engine accepts no request now because of its rate limit.
func (q *Queue) rateExhausted(e *engine, now time.Time) bool {
	return q.limiter.Budget(e.ID, now).Wait > 0
}

// waitWithArrivals extends an expected wait by the time for the requests that are expected to arrive
// meanwhile and go first.
func (q *Queue) waitWithArrivals(wait time.Duration, priority int, engines float64, now time.Time) time.Duration {
	if engines == 0 {
		engines = 1
	}
	availableShare := minLateCapacityShare
	if q.load.enginesNeededUpTo(priority, now) < engines {
		// The engines can process all requests of this and more urgent priorities, so only more
		// urgent ones are counted. Counting equal priorities too refused urgent requests in a burst
		// while less urgent ones were served after it.
		availableShare = 1 - q.load.enginesNeededUpTo(priority-1, now)/engines
	}
	return time.Duration(float64(wait) / max(availableShare, minLateCapacityShare))
}

// retryAfter returns the time after which a refused caller should retry: when the expected wait,
// including new arrivals, has decreased to half of the request's target.
func (q *Queue) retryAfter(wait time.Duration, req Ask, engines float64, now time.Time) time.Duration {
	return min(max(q.waitWithArrivals(wait, req.Priority, engines, now)-req.FirstTokenTarget/2, minRetryAfter), maxRetryAfter)
}
