package permit

import (
	"cmp"
	"slices"
	"time"
)

// docs/EXPERIMENTS.md has simulation results for other values of some of these constants.
const (
	// concurrentPrefillShare is the share of the shortest tolerated gap that prompts prefilled
	// together may take: they count as one short prefill.
	concurrentPrefillShare = 0.25
	// interferenceWeight is the cost of a prefill for each stream that it delays, relative to
	// the wait of the request itself.
	interferenceWeight = 0.05
	// preferenceCost is the cost of the last engine in the order of preference for short
	// prompts. They fill engines from the start of the order, so that the others remain
	// available for long prompts while there is capacity.
	preferenceCost = 150 * time.Millisecond
	// packedShare is the share of its slots above which an engine is no longer filled with
	// short prompts, and packedCost scales the cost of the share above it.
	occupancyThreshold, occupancyCost = 0.5, 200 * time.Millisecond
	// recomputeFactor is the cost of a shared prefix that has to be prefilled again, in
	// multiples of its prefill time, and fetchFactor the cost of fetching it. Both also take time
	// from other requests.
	recomputeFactor, fetchFactor = 3.0, 0.35
	// minFetchTokens is the prefix length from which a fetch is worth its round trip.
	minFetchTokens = 256
	// grantLead is how long before the expected end of a prefill the next prompt may be
	// granted; it takes that long to reach the engine.
	grantLead = 8 * time.Millisecond
	// crossDomainCost is the cost of an engine outside the requesting gateway's failure
	// domain: the round trip and the traffic between domains.
	crossDomainCost = 4 * time.Millisecond
	// dueShare is the share of its target that a request waits for an engine where it
	// disrupts no stream. After that it may disrupt baseDisruptions more urgent streams, and up
	// to maxExtraDisruptions more as it approaches its timeout: late responses of others are
	// preferred to its refusal. With lower values the longest prompts are served far less often
	// than the others.
	nonDisruptiveWaitShare = 0.6
	baseDisruptions        = 1
	maxExtraDisruptions    = 10.0
	// failureCost is the cost of an engine that fails every request.
	failureCost = 2 * time.Second
	// plainRequestCost is the cost of each running request on a plain server.
	plainRequestCost = 3 * time.Millisecond
	// rateProbeInterval is the longest time for which a rate-limited server gets no request
	// because others are cheaper; after that rateProbeBonus makes it the cheapest. Only responses
	// of the server show when its limit ends.
	rateProbeInterval, rateProbeBonus = 2 * time.Second, time.Hour
	// defaultShortestGap is the shortest tolerated gap that is assumed while none is known.
	defaultToleratedGap = 400 * time.Millisecond
)

// candidate is an engine that can take a request, with the cost of placing it there.
type candidate struct {
	engine        *engine
	fetchFrom     string        // engine from which to fetch the shared prefix
	prefillTokens int           // prompt tokens to prefill
	cachedTokens  int           // tokens before these that are cached
	prefill       time.Duration // expected duration
	wait          time.Duration // until the prefill starts
	cost          time.Duration
}

// prefixLocation is where the shared prefix of a prompt is cached.
type prefixLocation struct {
	holds  func(engine string) bool
	source string // an engine that holds it; empty for none
	home   string // the engine where a prefix of unknown location is expected
}

// locatePrefix finds the shared prefix of a request.
func (q *Queue) locatePrefix(a Ask, now time.Time) prefixLocation {
	if a.PrefixID == "" {
		return prefixLocation{holds: func(string) bool { return true }}
	}
	at := prefixLocation{holds: func(id string) bool { return q.prefixes.holds(a.PrefixID, id, now) }}
	at.source = q.prefixes.source(a.PrefixID, func(id string) bool { return q.engines[id] != nil }, now)
	if at.source == "" {
		at.home = q.homeEngine(a.PrefixID)
	}
	return at
}

// planPrefill sets the tokens and the time that a candidate needs for the prefill, and returns
// the extra cost if the shared prefix is not cached there.
func (q *Queue) planPrefill(s *candidate, a Ask, at prefixLocation, now time.Time) (extra time.Duration) {
	s.prefillTokens = a.UniqueTokens
	id := s.engine.ID
	if !at.holds(id) {
		recompute := s.engine.model.PrefillTime(a.UniqueTokens+a.PrefixTokens, 0, now) - s.engine.model.PrefillTime(a.UniqueTokens, a.PrefixTokens, now)
		located := at.source != "" && !q.policy.NoFetch
		worthFetching := a.PrefixTokens >= minFetchTokens && !q.policy.NoFetch
		switch {
		case located && worthFetching:
			s.fetchFrom = at.source
			extra = time.Duration(fetchFactor * float64(recompute))
		case id == at.home:
			s.prefillTokens += a.PrefixTokens
		case worthFetching:
			s.fetchFrom = at.home // it may be cached there
			s.prefillTokens += a.PrefixTokens
			extra = time.Duration(fetchFactor * float64(recompute))
		default:
			s.prefillTokens += a.PrefixTokens
			extra = time.Duration(recomputeFactor * float64(recompute))
		}
	}
	s.cachedTokens = a.UniqueTokens + a.PrefixTokens - s.prefillTokens
	s.prefill = s.engine.model.PrefillTime(s.prefillTokens, s.cachedTokens, now)
	return extra
}

// place grants the request on the cheapest engine that can take it, if any.
func (q *Queue) place(e *entry, now time.Time) bool {
	due, allowed := q.disruptionAllowance(e, now)
	for _, s := range q.candidates(e.request, now) {
		if !q.policy.IgnoreInterference && q.disruptedStreams(s, e.request, due, now) > allowed {
			continue
		}
		if !q.limiter.Allow(s.engine.ID, now) {
			continue
		}
		q.grant(e, s, now)
		return true
	}
	return false
}

func (q *Queue) grant(e *entry, s candidate, now time.Time) {
	e.grantedAt, e.engine, e.prefillTokens, e.cachedTokens, e.expectedPrefill, e.fetchFrom = now, s.engine, s.prefillTokens, s.cachedTokens, s.prefill, s.fetchFrom
	e.prefillDeadline = now.Add(prefillTimeoutFactor*(s.wait+s.prefill) + prefillTimeoutMargin)
	s.engine.lastGrant = now
	if e.request.Plain {
		s.engine.startPlainRequest(e, now)
	} else {
		s.engine.startPrefill(e, q.eventInterval(s.engine), now)
	}
	q.granted[e.request.ID] = e
}

// candidates returns the engines that can take the request now, the cheapest first.
func (q *Queue) candidates(a Ask, now time.Time) []candidate {
	at := q.locatePrefix(a, now)
	concurrentLimit := time.Duration(concurrentPrefillShare * float64(q.shortestToleratedGap(now)))
	out := q.candidateBuf[:0]
	for _, en := range q.sortedEngines {
		if !en.usable(now) || !en.hasCapacity(a) || slices.Contains(a.ExcludedEngines, en.ID) {
			continue
		}
		budget := q.limiter.Budget(en.ID, now)
		if budget.Wait > 0 {
			continue
		}
		s := candidate{engine: en, wait: en.prefillWait(now)}
		if budget.Limited && now.Sub(en.lastGrant) > rateProbeInterval {
			s.cost -= rateProbeBonus
		}
		if a.Plain {
			s.cost += plainRequestCost * time.Duration(len(en.requests))
		} else {
			s.cost += q.planPrefill(&s, a, at, now)
		}
		if en.pendingPrefills > 0 && s.wait > grantLead && s.wait+s.prefill > concurrentLimit && !q.policy.ConcurrentPrefills {
			continue
		}
		if a.FailureDomain != "" && a.FailureDomain != en.FailureDomain {
			s.cost += crossDomainCost
		}
		s.cost += s.wait + s.prefill + time.Duration(en.failureRate.Rate(now)*float64(failureCost))
		if !a.Plain {
			s.cost += q.interferenceCost(s, concurrentLimit)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	q.candidateBuf = out
	return out
}

// interferenceCost returns the cost of sharing the engine with its other requests. weight is 0
// for the shortest prompts and 1 for those whose prefill delays streams noticeably.
func (q *Queue) interferenceCost(s candidate, concurrentLimit time.Duration) time.Duration {
	weight := min(float64(s.prefill)/float64(concurrentLimit), 1)
	streams := float64(len(s.engine.requests) - s.engine.pendingPrefills)
	out := weight * interferenceWeight * streams * float64(s.prefill)
	if !q.policy.NoEnginePreference {
		out += float64(preferenceCost) * (1 - weight) * s.engine.preference
	}
	if slots := s.engine.Slots; slots > 0 {
		full := float64(len(s.engine.requests)) / float64(slots)
		out += float64(occupancyCost) * max(full-occupancyThreshold, 0)
	}
	return time.Duration(out)
}

// disruptionAllowance reports whether the request has waited long enough for an engine where it
// disrupts no stream, and how many more urgent streams it may then disrupt. The number grows
// as the request approaches its timeout.
func (q *Queue) disruptionAllowance(e *entry, now time.Time) (due bool, allowed int) {
	waited, bound := float64(now.Sub(e.arrivedAt)), e.request.FirstTokenTimeout
	if e.request.FirstTokenTarget > 0 {
		bound = min(bound, e.request.FirstTokenTarget)
	}
	if waited < nonDisruptiveWaitShare*float64(bound) {
		return false, 0
	}
	return true, baseDisruptions + int(maxExtraDisruptions*min(waited/float64(max(e.request.FirstTokenTimeout, 1)), 1))
}

// disruptedStreams counts the streams of an engine that would exceed their event gap or response
// timeout if the engine ran the prefill now. Once the request is due, only more urgent streams
// count.
func (q *Queue) disruptedStreams(s candidate, a Ask, due bool, now time.Time) int {
	burst := s.engine.currentBurst(q.eventInterval(s.engine), now) + s.prefill
	gap := q.model.EventGap(burst, s.engine.TokensPerEvent)
	n := 0
	for _, other := range s.engine.requests {
		if !other.prefillDone || due && other.request.Priority >= a.Priority {
			continue
		}
		tooLong := other.request.MaxEventGap > 0 && gap > other.request.MaxEventGap
		slack := s.engine.slack(other, q.model, now)
		if tooLong || slack > 0 && slack < s.prefill && !q.policy.IgnoreResponseTimeouts {
			n++
		}
	}
	return n
}

// eventInterval returns the time in which each stream of the engine yields an event while no
// prefill is running.
func (q *Queue) eventInterval(e *engine) time.Duration {
	return time.Duration(max(e.TokensPerEvent, 1)) * q.model.TokenTime()
}

const toleratedGapTTL = 10 * time.Second

// shortestGap returns the shortest event gap that recent requests tolerate.
func (q *Queue) shortestToleratedGap(now time.Time) time.Duration {
	if q.minToleratedGap == 0 || now.Sub(q.minToleratedGapAt) > toleratedGapTTL {
		return defaultToleratedGap
	}
	return q.minToleratedGap
}

// recordGap updates the shortest tolerated event gap.
func (q *Queue) recordToleratedGap(gap time.Duration, now time.Time) {
	if gap > 0 && (q.minToleratedGap == 0 || gap <= q.minToleratedGap || now.Sub(q.minToleratedGapAt) > toleratedGapTTL) {
		q.minToleratedGap, q.minToleratedGapAt = gap, now
	}
}
