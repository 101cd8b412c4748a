package permit

import (
	"cmp"
	"slices"
	"time"
)

// docs/EXPERIMENTS.md compares some of these constants with other values in simulations.
const (
	// concurrentPrefillShare is the maximum total prefill time of prompts that are prefilled
	// together, as a share of the shortest tolerated event gap. They count as one short prefill.
	concurrentPrefillShare = 0.25
	// interferenceWeight is the cost of a prefill for each stream that it delays, relative to
	// the same delay of the request itself.
	interferenceWeight = 0.05
	// preferenceCost is the cost for a short prompt of the last engine in the order of
	// preference. Short prompts fill engines in this order, so that the others remain available
	// for long prompts while there is capacity.
	preferenceCost = 150 * time.Millisecond
	// occupancyThreshold is the share of busy slots above which an engine is no longer filled
	// with short prompts, and occupancyCost scales the cost of the share above it.
	occupancyThreshold, occupancyCost = 0.5, 200 * time.Millisecond
	// recomputeFactor is the cost of prefilling a shared prefix again, in multiples of its
	// prefill time, and fetchFactor the cost of fetching it from another engine. They include
	// the time that both take from other requests.
	recomputeFactor, fetchFactor = 3.0, 0.35
	// minFetchTokens is the minimum length of a prefix for which a fetch is worth its round trip.
	minFetchTokens = 256
	// grantLead is how long before the expected end of a prefill the next prompt may be granted:
	// the time that the prompt takes to reach the engine.
	grantLead = 8 * time.Millisecond
	// crossDomainCost is the cost of an engine outside the requesting gateway's failure
	// domain: the round trip and the traffic between domains.
	crossDomainCost = 4 * time.Millisecond
	// nonDisruptiveWaitShare is the share of its target for which a request waits for an engine
	// where it disrupts no stream. After that it may disrupt baseDisruptions streams of more
	// urgent requests, and up to maxExtraDisruptions further ones as it approaches its timeout:
	// delaying other responses is better than refusing the request. With lower values the
	// longest prompts are served far less often than shorter ones.
	nonDisruptiveWaitShare = 0.6
	baseDisruptions        = 1
	maxExtraDisruptions    = 10.0
	// failureCost is the cost of an engine that fails every request; it is scaled by the failure
	// rate.
	failureCost = 2 * time.Second
	// plainRequestCost is the cost of each request that is running on a plain server.
	plainRequestCost = 3 * time.Millisecond
	// rateProbeInterval is the longest time for which a rate-limited server gets no request
	// because others are cheaper; after that rateProbeBonus makes it the cheapest. A server
	// announces the end of its limit only in its responses, so it needs occasional requests.
	rateProbeInterval, rateProbeBonus = 2 * time.Second, time.Hour
	// defaultToleratedGap is the shortest tolerated event gap that is assumed if no recent request
	// specifies one.
	defaultToleratedGap = 400 * time.Millisecond
)

// candidate is an engine that can take a request, with the cost of placing the request there.
type candidate struct {
	engine        *engine
	fetchFrom     string        // engine from which to fetch the shared prefix
	prefillTokens int           // prompt tokens to prefill
	cachedTokens  int           // prompt tokens before these that are cached
	prefill       time.Duration // expected prefill time
	wait          time.Duration // until the prefill starts
	cost          time.Duration
}

// prefixLocation is where the shared prefix of a prompt is cached.
type prefixLocation struct {
	holds  func(engine string) bool
	source string // an engine that caches it; empty if none is known
	home   string // the engine that is most likely to cache it if source is empty
}

// locatePrefix determines where the shared prefix of a request is cached.
func (q *Queue) locatePrefix(req Ask, now time.Time) prefixLocation {
	if req.PrefixID == "" {
		return prefixLocation{holds: func(string) bool { return true }}
	}
	location := prefixLocation{holds: func(id string) bool { return q.prefixes.holds(req.PrefixID, id, now) }}
	location.source = q.prefixes.source(req.PrefixID, func(id string) bool { return q.engines[id] != nil }, now)
	if location.source == "" {
		location.home = q.homeEngine(req.PrefixID)
	}
	return location
}

// planPrefill sets the number of tokens that a candidate has to prefill, the expected prefill time and
// the engine to fetch the shared prefix from. It returns the extra cost if the candidate does not cache
// the shared prefix.
func (q *Queue) planPrefill(c *candidate, req Ask, location prefixLocation, now time.Time) (extra time.Duration) {
	c.prefillTokens = req.UniqueTokens
	id := c.engine.ID
	if !location.holds(id) {
		recompute := c.engine.model.PrefillTime(req.UniqueTokens+req.PrefixTokens, 0, now) - c.engine.model.PrefillTime(req.UniqueTokens, req.PrefixTokens, now)
		located := location.source != "" && !q.policy.NoFetch
		worthFetching := req.PrefixTokens >= minFetchTokens && !q.policy.NoFetch
		switch {
		case located && worthFetching:
			c.fetchFrom = location.source
			extra = time.Duration(fetchFactor * float64(recompute))
		case id == location.home:
			c.prefillTokens += req.PrefixTokens
		case worthFetching:
			c.fetchFrom = location.home // the prefix may be cached there
			c.prefillTokens += req.PrefixTokens
			extra = time.Duration(fetchFactor * float64(recompute))
		default:
			c.prefillTokens += req.PrefixTokens
			extra = time.Duration(recomputeFactor * float64(recompute))
		}
	}
	c.cachedTokens = req.UniqueTokens + req.PrefixTokens - c.prefillTokens
	c.prefill = c.engine.model.PrefillTime(c.prefillTokens, c.cachedTokens, now)
	return extra
}

// place grants the request on the cheapest engine that can take it, and reports whether there is one.
func (q *Queue) place(e *entry, now time.Time) bool {
	mayDisrupt, allowed := q.disruptionAllowance(e, now)
	for _, c := range q.candidates(e, now) {
		if !q.policy.IgnoreInterference && q.disruptedStreams(c, e.request, mayDisrupt, now) > allowed {
			continue
		}
		if !q.limiter.Allow(c.engine.ID, now) {
			continue
		}
		q.grant(e, c, now)
		return true
	}
	return false
}

// grant assigns the request to a candidate's engine.
func (q *Queue) grant(e *entry, c candidate, now time.Time) {
	e.grantedAt, e.engine, e.prefillTokens, e.cachedTokens, e.expectedPrefill, e.fetchFrom = now, c.engine, c.prefillTokens, c.cachedTokens, c.prefill, c.fetchFrom
	e.prefillDeadline = now.Add(prefillTimeoutFactor*(c.wait+c.prefill) + prefillTimeoutMargin)
	c.engine.lastGrant = now
	if c.engine.awaitsResponse(e.restrictions, now) {
		c.engine.ramp.Add(now)
	}
	if e.request.Plain {
		c.engine.startPlainRequest(e, now)
	} else {
		c.engine.startPrefill(e, q.eventInterval(c.engine), now)
	}
	q.granted[e.request.ID] = e
}

// candidates returns the engines that can take the request now, the cheapest first.
func (q *Queue) candidates(waiting *entry, now time.Time) []candidate {
	req := waiting.request
	location := q.locatePrefix(req, now)
	concurrentLimit := time.Duration(concurrentPrefillShare * float64(q.shortestToleratedGap(now)))
	out := q.candidateBuf[:0]
	for _, e := range q.sortedEngines {
		if !e.usable(now) || !e.hasCapacity(req) || !waiting.mayUse(e, now) {
			continue
		}
		budget := q.limiter.Budget(e.ID, now)
		if budget.Wait > 0 {
			continue
		}
		c := candidate{engine: e, wait: e.prefillWait(now)}
		if budget.Limited && now.Sub(e.lastGrant) > rateProbeInterval {
			c.cost -= rateProbeBonus
		}
		if req.Plain {
			c.cost += plainRequestCost * time.Duration(len(e.requests))
		} else {
			c.cost += q.planPrefill(&c, req, location, now)
		}
		if e.pendingPrefills > 0 && c.wait > grantLead && c.wait+c.prefill > concurrentLimit && !q.policy.ConcurrentPrefills {
			continue
		}
		if req.FailureDomain != "" && req.FailureDomain != e.FailureDomain {
			c.cost += crossDomainCost
		}
		c.cost += c.wait + c.prefill + time.Duration(e.failureRate.Rate(now)*float64(failureCost))
		if !req.Plain {
			c.cost += q.interferenceCost(c, concurrentLimit)
		}
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	q.candidateBuf = out
	return out
}

// interferenceCost returns the cost of running the request beside the engine's other requests. The cost
// of delayed streams has weight 0 for the shortest prompts and 1 for those whose prefill takes
// concurrentLimit or more, which delays streams noticeably. The order of preference has the remaining
// weight.
func (q *Queue) interferenceCost(c candidate, concurrentLimit time.Duration) time.Duration {
	weight := min(float64(c.prefill)/float64(concurrentLimit), 1)
	streams := float64(len(c.engine.requests) - c.engine.pendingPrefills)
	cost := weight * interferenceWeight * streams * float64(c.prefill)
	if !q.policy.NoEnginePreference {
		cost += float64(preferenceCost) * (1 - weight) * c.engine.preference
	}
	if slots := c.engine.Slots; slots > 0 {
		occupancy := float64(len(c.engine.requests)) / float64(slots)
		cost += float64(occupancyCost) * max(occupancy-occupancyThreshold, 0)
	}
	return time.Duration(cost)
}

// disruptionAllowance reports whether the request has waited long enough to be placed where it disrupts
// streams, and if so, how many streams of more urgent requests it may disrupt. That number grows as the
// request approaches its timeout.
func (q *Queue) disruptionAllowance(e *entry, now time.Time) (mayDisrupt bool, allowed int) {
	waited, target := float64(now.Sub(e.arrivedAt)), e.request.FirstTokenTimeout
	if e.request.FirstTokenTarget > 0 {
		target = min(target, e.request.FirstTokenTarget)
	}
	if waited < nonDisruptiveWaitShare*float64(target) {
		return false, 0
	}
	return true, baseDisruptions + int(maxExtraDisruptions*min(waited/float64(max(e.request.FirstTokenTimeout, 1)), 1))
}

// disruptedStreams returns the number of streams on the candidate's engine that would exceed their event
// gap or response timeout if the engine ran the prefill now. If mayDisrupt is set, only streams of more
// urgent requests count.
func (q *Queue) disruptedStreams(c candidate, req Ask, mayDisrupt bool, now time.Time) int {
	burst := c.engine.currentBurst(q.eventInterval(c.engine), now) + c.prefill
	gap := q.model.EventGap(burst, c.engine.TokensPerEvent)
	disrupted := 0
	for _, other := range c.engine.requests {
		if !other.prefillDone || mayDisrupt && other.request.Priority >= req.Priority {
			continue
		}
		gapTooLong := other.request.MaxEventGap > 0 && gap > other.request.MaxEventGap
		slack := c.engine.slack(other, q.model, now)
		if gapTooLong || slack > 0 && slack < c.prefill && !q.policy.IgnoreResponseTimeouts {
			disrupted++
		}
	}
	return disrupted
}

// eventInterval returns the time between two events of a stream of the engine while no prefill is running.
func (q *Queue) eventInterval(e *engine) time.Duration {
	return time.Duration(max(e.TokensPerEvent, 1)) * q.model.TokenTime()
}

// toleratedGapTTL is how long the shortest tolerated event gap applies after the request that set it.
const toleratedGapTTL = 10 * time.Second

// shortestToleratedGap returns the shortest event gap that recent requests tolerate.
func (q *Queue) shortestToleratedGap(now time.Time) time.Duration {
	if q.minToleratedGap == 0 || now.Sub(q.minToleratedGapAt) > toleratedGapTTL {
		return defaultToleratedGap
	}
	return q.minToleratedGap
}

// recordToleratedGap updates the shortest tolerated event gap with a request's MaxEventGap. A gap of 0
// means that the request has no limit and is ignored.
func (q *Queue) recordToleratedGap(gap time.Duration, now time.Time) {
	if gap > 0 && (q.minToleratedGap == 0 || gap <= q.minToleratedGap || now.Sub(q.minToleratedGapAt) > toleratedGapTTL) {
		q.minToleratedGap, q.minToleratedGapAt = gap, now
	}
}
