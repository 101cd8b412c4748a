// Package permit schedules requests to model engines: it decides when a request may be sent,
// and to which engine. One gateway schedules a group of engines. It only grants permits; the
// requesting gateway sends the request to the engine itself, so that responses in progress do not
// depend on the scheduling gateway. The package uses no clock and no network.
//
// It is designed for prompts of widely differing lengths on shared engines that interleave
// prefills with the generation of other responses, and for more prompts than the engines can
// process. Without scheduling engines accept all prompts: a long prompt delays the first and following tokens
// of all other requests on the engine, memory fills up, and every response is late. A single
// queue for a group of engines keeps none idle while prompts wait for another, tracks the
// prefills and streams of each engine, and knows where a shared prefix is cached. The effect of a
// prompt on other requests is computed from learned estimates (package enginemodel), so that
// kinds of requests do not have to be declared in advance.
package permit

import (
	"cmp"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
	"github.com/merlinpost/merlinpost/internal/ratelimit"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry time given to refused callers.
	minRetryAfter, maxRetryAfter = 500 * time.Millisecond, 5 * time.Second
	// A granted request without a report is treated as prefilled after prefillTimeoutFactor
	// times its expected time plus prefillTimeoutMargin: its gateway is gone, the report was
	// lost, or the engine is not responding and gets nothing for a while.
	prefillTimeoutFactor, prefillTimeoutMargin = 3, 150 * time.Millisecond
	// repeatTimeout is how long a request waits without being repeated; its gateway is then gone.
	resubmitTimeout = 3500 * time.Millisecond
	// sweepInterval is the time between two sweeps of all waiting and granted requests for
	// those that are lost or can't be served in time.
	sweepInterval = 50 * time.Millisecond
	// grantTTL exceeds the longest duration of a request. The end of a request that was granted
	// longer ago was not reported.
	grantTTL = 2 * time.Minute
	// responseTimeoutGrace is the time after a request's timeout for the report of its end to arrive.
	responseTimeoutGrace = 2 * time.Second
	// maxPlacementAttempts bounds how many waiting requests are tried when earlier ones can't
	// be placed, such as a very long prompt among streams that tolerate no such gap.
	maxPlacementAttempts = 16
)

// entry is a waiting or granted request.
type entry struct {
	request         Ask
	arrivedAt       time.Time
	lastSubmittedAt time.Time // time of the last repeat
	sequence        uint64    // in the order of arrival
	prefillDeadline time.Time // when the prefill is assumed complete without a report
	grantedAt       time.Time
	engine          *engine // of a granted request
	fetchFrom       string  // engine from which to fetch the shared prefix
	prefillTokens   int     // tokens that the engine was expected to prefill
	cachedTokens    int     // tokens before these that were cached
	expectedPrefill time.Duration
	exclusive       bool // no other prefill was running when it was granted
	prefillDone     bool
	firstTokenAt    time.Time
	// prefillTotalAtFirstToken is its engine's prefillTotal at its first token.
	prefillTotalAtFirstToken time.Duration
}

// Queue schedules requests for one group of engines. It is not safe for concurrent use.
type Queue struct {
	policy            Policy
	model             *enginemodel.ServiceModel
	limiter           *ratelimit.Limiter
	engines           map[string]*engine
	sortedEngines     []*engine // by ID
	prefixes          prefixIndex
	waiting           []*entry
	waitingByID       map[string]*entry
	granted           map[string]*entry
	lastSequence      uint64        // of the last request
	prefillsDone      int           // prefills completed so far
	minToleratedGap   time.Duration // the shortest event gap that a request tolerates, recorded at minGapAt
	minToleratedGapAt time.Time
	load              loadByPriority
	lastSweep         time.Time // when waiting and granted requests were last swept
	candidateBuf      []candidate
	capacityBuf       capacity // reused buffer
}

// NewQueue returns an empty queue without engines.
func NewQueue(model *enginemodel.ServiceModel, limiter *ratelimit.Limiter, policy Policy) *Queue {
	return &Queue{policy: policy, model: model, limiter: limiter, engines: map[string]*engine{}, prefixes: newPrefixIndex(), waitingByID: map[string]*entry{}, granted: map[string]*entry{}}
}

// SetEngines updates the engines of the group.
func (q *Queue) SetEngines(list []Engine) {
	changed := len(list) != len(q.sortedEngines)
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
		e := q.engines[l.ID]
		if e == nil {
			e = newEngine(l, q.model)
			q.engines[l.ID] = e
			q.sortedEngines = append(q.sortedEngines, e)
			changed = true
		}
		e.Engine = l
	}
	if !changed {
		return
	}
	q.sortedEngines = slices.DeleteFunc(q.sortedEngines, func(e *engine) bool {
		if !listed[e.ID] {
			e.Accepting = false
			delete(q.engines, e.ID)
		}
		return !listed[e.ID]
	})
	slices.SortFunc(q.sortedEngines, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	q.setPreferences()
}

// setPositions sets the order of preference for short prompts. The order alternates between
// failure domains and is the same on every gateway.
func (q *Queue) setPreferences() {
	ids := make([]string, len(q.sortedEngines))
	for i, e := range q.sortedEngines {
		ids[i] = e.ID
	}
	domain := func(id string) string { return q.engines[id].FailureDomain }
	for i, id := range rendezvous.Spread("positions", ids, domain, len(ids)) {
		q.engines[id].preference = float64(i) / float64(len(ids))
	}
}

// Submit schedules a request. Submitting a waiting or granted request again repeats the decision.
func (q *Queue) Submit(a Ask, now time.Time) Decision {
	if e := q.granted[a.ID]; e != nil {
		return q.grantDecision(e, now)
	}
	if e := q.waitingByID[a.ID]; e != nil {
		e.lastSubmittedAt = now
		return Decision{ID: a.ID, Verdict: Queued}
	}
	q.lastSequence++
	e := &entry{request: a, arrivedAt: now, lastSubmittedAt: now, sequence: q.lastSequence}
	if len(q.sortedEngines) == 0 {
		// This gateway has not read the list of engines yet, or has an older one. The requesting
		// gateway chooses from its own list.
		return Decision{ID: a.ID, Verdict: Granted}
	}
	q.recordToleratedGap(a.MaxEventGap, now)
	q.load.add(a.Priority, q.engineTime(a), now)
	if !q.anyEligible(a, now) {
		return q.newDecision(a.ID, NoEngine, minRetryAfter, now)
	}
	first := !slices.ContainsFunc(q.waiting, func(other *entry) bool { return q.precedes(other, e, now) })
	if first && q.place(e, now) {
		return q.grantDecision(e, now)
	}
	wait, engines := q.expectedWait(e, now)
	if q.unservable(e, wait, engines, now) {
		return q.newDecision(a.ID, Refused, q.retryAfter(wait, a, engines, now), now)
	}
	q.waiting = append(q.waiting, e)
	q.waitingByID[a.ID] = e
	return q.newDecision(a.ID, Queued, wait, now)
}

// RecordFirstToken records that the engine has completed the request's prefill, and how long it
// took as measured by the requesting gateway.
func (q *Queue) RecordFirstToken(id string, took time.Duration, now time.Time) {
	e := q.granted[id]
	if e == nil || e.prefillDone {
		return
	}
	if e.exclusive && !q.policy.NoLearning {
		e.engine.model.ObservePrefill(e.prefillTokens, e.cachedTokens, took, now)
	}
	q.prefillsDone++
	e.engine.recordSuccess(now)
	q.prefixes.recordUse(e.request.PrefixID, e.engine.ID, now)
	e.engine.finishPrefill(e, now)
}

// Finish records that the request has ended or was cancelled, and what its gateway observed.
func (q *Queue) Finish(id string, s StreamStats, now time.Time) {
	if e := q.granted[id]; e != nil {
		if e.prefillDone && !q.policy.NoLearning {
			e.engine.observeStream(q.model, e, s)
		}
		e.engine.release(e, now)
		switch {
		case e.request.Plain: // the requesting gateway lists unreachable servers itself
			e.engine.failureRate.Add(now, s.EngineFailed)
		case s.EngineFailed:
			e.engine.recordFailure(now)
		}
		delete(q.granted, id)
	}
	if e := q.waitingByID[id]; e != nil {
		q.removeWaiting(slices.Index(q.waiting, e))
	}
}

// removeWaiting removes the waiting request with the given index.
func (q *Queue) removeWaiting(i int) {
	delete(q.waitingByID, q.waiting[i].request.ID)
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

// Poll returns the decisions that have become due: grants, and refusals of requests that can no
// longer be served in time.
func (q *Queue) Poll(now time.Time) []Decision {
	sweep := now.Sub(q.lastSweep) >= sweepInterval
	if sweep {
		q.lastSweep = now
		q.expire(now)
		q.prefixes.prune(now)
	}
	hasCapacity := q.anyCapacity(now)
	if len(q.waiting) == 0 || !sweep && !hasCapacity {
		return nil
	}
	slices.SortFunc(q.waiting, func(a, b *entry) int { return q.compare(a, b, now) })
	var out []Decision
	if sweep {
		out = q.refuseUnservable(now)
	}
	if !hasCapacity {
		return out
	}
	tried := 0
	for i := 0; i < len(q.waiting) && tried < maxPlacementAttempts && q.anyCapacity(now); {
		e := q.waiting[i]
		if !q.place(e, now) {
			i++
			tried++
			continue
		}
		q.removeWaiting(i)
		out = append(out, q.grantDecision(e, now))
	}
	return out
}

// Idle reports whether the queue has no waiting or granted requests.
func (q *Queue) Idle() bool { return len(q.waiting) == 0 && len(q.granted) == 0 }

// expire handles granted requests whose reports are missing, and drops waiting requests that are
// no longer repeated.
func (q *Queue) expire(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool {
		silent := now.Sub(e.lastSubmittedAt) > resubmitTimeout
		if silent {
			delete(q.waitingByID, e.request.ID)
		}
		return silent
	})
	for id, e := range q.granted {
		if !e.prefillDone && now.After(e.prefillDeadline) {
			e.engine.finishPrefill(e, now)
			e.engine.recordFailure(now)
		}
		if now.Sub(e.grantedAt) > grantTTL || e.request.ResponseTimeout > 0 && now.Sub(e.arrivedAt) > e.request.ResponseTimeout+responseTimeoutGrace {
			e.engine.release(e, now)
			delete(q.granted, id)
		}
	}
}

// homeEngine returns the engine for a prefix of unknown location. It is the same on every gateway,
// so that the prefix is likely to be cached there after another gateway takes over the scheduling.
func (q *Queue) homeEngine(prefixID string) string {
	if prefixID == "" {
		return ""
	}
	ids := make([]string, 0, len(q.sortedEngines))
	for _, en := range q.sortedEngines {
		ids = append(ids, en.ID)
	}
	return rendezvous.First(prefixID, ids)
}

// anyCapacity reports whether an idle engine can take a prompt, or one that is running a prefill
// could take a short one.
func (q *Queue) anyCapacity(now time.Time) bool {
	concurrentLimit := time.Duration(concurrentPrefillShare * float64(q.shortestToleratedGap(now)))
	return slices.ContainsFunc(q.sortedEngines, func(e *engine) bool {
		return e.usable(now) && e.prefillWait(now) < concurrentLimit && !q.rateExhausted(e, now)
	})
}

// anyEligible reports whether any engine may take the request, now or after its backoff.
func (q *Queue) anyEligible(a Ask, now time.Time) bool {
	return slices.ContainsFunc(q.sortedEngines, func(e *engine) bool {
		return e.Accepting && e.backoffUntil.Sub(now) <= a.FirstTokenTimeout && !slices.Contains(a.ExcludedEngines, e.ID)
	})
}

func (q *Queue) grantDecision(e *entry, now time.Time) Decision {
	a := q.newDecision(e.request.ID, Granted, 0, now)
	a.Engine, a.FetchFrom, a.ExpectedPrefill = e.engine.ID, e.fetchFrom, e.expectedPrefill
	return a
}

func (q *Queue) newDecision(id string, verdict Verdict, wait time.Duration, now time.Time) Decision {
	backlog, limited, all := 0, 0, q.allRateLimited(now)
	for _, en := range q.sortedEngines {
		backlog += en.pendingPrefillTokens
		if b := q.limiter.Budget(en.ID, now); b.Wait > 0 || all && b.Limited {
			limited++
		}
	}
	for _, e := range q.waiting {
		backlog += e.request.UniqueTokens
	}
	return Decision{ID: id, Verdict: verdict, Wait: wait, BacklogTokens: backlog, RateLimitedEngines: limited}
}
