// Package permit schedules requests to model engines: it decides when a request may be sent,
// and to which engine. One gateway schedules a group of engines. It only grants permits; the
// requesting gateway sends the request to the engine itself, so that responses in progress do not
// depend on the scheduling gateway. The package accesses neither the clock nor the network.
//
// It is designed for prompts of widely differing lengths on shared engines that interleave prefills
// with the generation of other responses, and for overload. Engines accept every prompt that they are
// sent. Without scheduling, a long prompt delays the first and the following tokens of all other requests
// on the engine, and under overload memory fills up and every response is late. All engines of a group
// share one queue, so that no engine is idle while prompts wait for another. The queue tracks the
// prefills and streams of each engine and the engines that cache each shared prefix. It predicts the
// effect of a prompt on other requests from learned estimates (package enginemodel), so that request
// types do not have to be configured.
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
	// A granted request whose first token is not reported within prefillTimeoutFactor times its
	// expected time plus prefillTimeoutMargin counts as prefilled, and as a failure of the engine:
	// its gateway has failed, the report was lost, or the engine does not respond.
	prefillTimeoutFactor, prefillTimeoutMargin = 3, 150 * time.Millisecond
	// resubmitTimeout is how long a request is kept waiting since its gateway last submitted it.
	// A gateway that stops submitting is assumed to have failed.
	resubmitTimeout = 3500 * time.Millisecond
	// sweepInterval is the time between two checks of all waiting and granted requests for those
	// that have expired or can't be served in time.
	sweepInterval = 50 * time.Millisecond
	// grantTTL is how long a granted request is kept if its end is not reported. It exceeds the
	// longest duration of a request.
	grantTTL = 2 * time.Minute
	// responseTimeoutGrace is the time after a request's response timeout in which the report of its
	// end may still arrive.
	responseTimeoutGrace = 2 * time.Second
	// maxPlacementAttempts limits how many waiting requests that can't be placed are skipped in
	// one poll, for example very long prompts while all streams tolerate only shorter gaps.
	maxPlacementAttempts = 16
)

// entry is a waiting or granted request.
type entry struct {
	request         Ask
	restrictions    restrictions
	arrivedAt       time.Time
	lastSubmittedAt time.Time // by its gateway
	sequence        uint64    // increases in the order of arrival
	prefillDeadline time.Time // when the prefill is assumed to have completed without a report
	grantedAt       time.Time
	engine          *engine // of a granted request
	fetchFrom       string  // engine from which to fetch the shared prefix
	prefillTokens   int     // tokens that the engine was expected to prefill
	cachedTokens    int     // prompt tokens before these that were expected to be cached
	expectedPrefill time.Duration
	exclusive       bool // no other prefill was pending on the engine when it was granted
	prefillDone     bool
	firstTokenAt    time.Time
	// prefillTotalAtFirstToken is the prefillTotal of the engine at the request's first token.
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
	prefillsDone      int           // number of completed prefills
	minToleratedGap   time.Duration // the shortest event gap that a request tolerates, recorded at minToleratedGapAt
	minToleratedGapAt time.Time
	load              loadByPriority
	lastSweep         time.Time   // when waiting and granted requests were last checked for expiry
	candidateBuf      []candidate // reused by candidates
	engineBuf         []*engine   // reused by enginesWithCapacity
}

// NewQueue returns an empty queue without engines.
func NewQueue(model *enginemodel.ServiceModel, limiter *ratelimit.Limiter, policy Policy) *Queue {
	return &Queue{policy: policy, model: model, limiter: limiter, engines: map[string]*engine{}, prefixes: newPrefixIndex(), waitingByID: map[string]*entry{}, granted: map[string]*entry{}}
}

// SetEngines replaces the list of engines of the group and keeps the state of those that remain.
func (q *Queue) SetEngines(configs []Engine) {
	changed := len(configs) != len(q.sortedEngines)
	listed := make(map[string]bool, len(configs))
	for _, config := range configs {
		listed[config.ID] = true
		e := q.engines[config.ID]
		if e == nil {
			e = newEngine(config, q.model)
			q.engines[config.ID] = e
			q.sortedEngines = append(q.sortedEngines, e)
			changed = true
		}
		e.Engine = config
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

// setPreferences sets the order of preference for short prompts. The order alternates between failure
// domains and is the same on every gateway.
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

// Submit schedules a request. Submitting a waiting or granted request again returns the same verdict and
// tells the queue that the requesting gateway still waits.
func (q *Queue) Submit(req Ask, now time.Time) Decision {
	if e := q.granted[req.ID]; e != nil {
		return q.grantDecision(e, now)
	}
	if e := q.waitingByID[req.ID]; e != nil {
		e.lastSubmittedAt = now
		return Decision{ID: req.ID, Verdict: Queued}
	}
	q.lastSequence++
	e := &entry{request: req, restrictions: newRestrictions(req, now), arrivedAt: now, lastSubmittedAt: now, sequence: q.lastSequence}
	if len(q.sortedEngines) == 0 {
		// This gateway has not read the list of engines yet, or has an outdated one. The requesting
		// gateway chooses an engine from its own list.
		return Decision{ID: req.ID, Verdict: Granted}
	}
	q.recordToleratedGap(req.MaxEventGap, now)
	q.load.add(req.Priority, q.engineTime(req), now)
	if !q.anyEligible(e, now) {
		return q.newDecision(req.ID, NoEngine, minRetryAfter, now)
	}
	first := !slices.ContainsFunc(q.waiting, func(other *entry) bool { return q.precedes(other, e, now) })
	if first && q.place(e, now) {
		return q.grantDecision(e, now)
	}
	wait, engines := q.expectedWait(e, now)
	if q.unservable(e, wait, engines, now) {
		return q.newDecision(req.ID, q.refusal(e, now), q.retryAfter(wait, req, engines, now), now)
	}
	q.waiting = append(q.waiting, e)
	q.waitingByID[req.ID] = e
	return q.newDecision(req.ID, Queued, wait, now)
}

// RecordFirstToken records that the engine has completed the request's prefill, and how long this took
// according to the requesting gateway.
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
	e.engine.recordResponse(e)
	q.prefixes.recordUse(e.request.PrefixID, e.engine.ID, now)
	e.engine.finishPrefill(e, now)
}

// Finish records that the request has ended or was cancelled, with the statistics of its response.
func (q *Queue) Finish(id string, stats StreamStats, now time.Time) {
	if e := q.granted[id]; e != nil {
		if e.prefillDone && !q.policy.NoLearning {
			e.engine.observeStream(q.model, e, stats)
		}
		e.engine.release(e, now)
		q.recordEnd(e, stats)
		switch {
		case e.request.Plain: // no backoff: the requesting gateway itself excludes servers that it can't reach
			e.engine.failureRate.Add(now, stats.EngineFailed)
		case stats.EngineFailed:
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

// Poll returns new decisions on waiting requests: grants, and refusals of requests that can no longer be
// served in time.
func (q *Queue) Poll(now time.Time) []Decision {
	sweep := now.Sub(q.lastSweep) >= sweepInterval
	if sweep {
		q.lastSweep = now
		q.expire(now)
		q.prefixes.prune(now)
	}
	free := q.enginesWithCapacity(now)
	if len(q.waiting) == 0 || !sweep && len(free) == 0 {
		return nil
	}
	slices.SortFunc(q.waiting, func(a, b *entry) int { return q.compare(a, b, now) })
	var out []Decision
	if sweep {
		out = q.refuseUnservable(now)
	}
	tried := 0
	for i := 0; i < len(q.waiting) && tried < maxPlacementAttempts && len(free) > 0; {
		e := q.waiting[i]
		if !e.mayUseAny(free, now) {
			i++
			continue
		}
		if !q.place(e, now) {
			i++
			tried++
			continue
		}
		q.removeWaiting(i)
		out = append(out, q.grantDecision(e, now))
		free = q.enginesWithCapacity(now)
	}
	return out
}

// Idle reports whether the queue has no waiting or granted requests.
func (q *Queue) Idle() bool { return len(q.waiting) == 0 && len(q.granted) == 0 }

// expire ends granted requests whose reports are missing, and drops waiting requests that their gateways
// no longer submit.
func (q *Queue) expire(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool {
		expired := now.Sub(e.lastSubmittedAt) > resubmitTimeout
		if expired {
			delete(q.waitingByID, e.request.ID)
		}
		return expired
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

// homeEngine returns the engine on which to prefill a prefix that is not known to be cached. It is the
// same on every gateway, so that the prefix is likely to be cached there when another gateway takes over
// the scheduling.
func (q *Queue) homeEngine(prefixID string) string {
	if prefixID == "" {
		return ""
	}
	ids := make([]string, 0, len(q.sortedEngines))
	for _, e := range q.sortedEngines {
		ids = append(ids, e.ID)
	}
	return rendezvous.First(prefixID, ids)
}

// enginesWithCapacity returns the engines that can take a prompt: either they run no prefill, or their prefill
// is so close to completion that they can take a short prompt. The result is valid until the next call.
func (q *Queue) enginesWithCapacity(now time.Time) []*engine {
	concurrentLimit := time.Duration(concurrentPrefillShare * float64(q.shortestToleratedGap(now)))
	out := q.engineBuf[:0]
	for _, e := range q.sortedEngines {
		if e.usable(now) && e.prefillWait(now) < concurrentLimit && !q.rateExhausted(e, now) {
			out = append(out, e)
		}
	}
	q.engineBuf = out
	return out
}

// anyEligible reports whether any engine may take the request now, or after a backoff that ends within
// the request's first-token timeout.
func (q *Queue) anyEligible(e *entry, now time.Time) bool {
	return slices.ContainsFunc(q.sortedEngines, func(g *engine) bool {
		wait := max(g.backoffUntil.Sub(now), e.restrictions.wait(g.ID, now))
		return g.Accepting && wait <= e.request.FirstTokenTimeout
	})
}

// recordEnd records whether the engine has responded to a granted request that has ended. The response to a prompt
// is recorded with its first token.
func (q *Queue) recordEnd(e *entry, stats StreamStats) {
	switch {
	case stats.EngineFailed || stats.NoResponse:
		e.engine.ramp.End(e.grantedAt)
	case e.request.Plain:
		e.engine.recordResponse(e)
	}
}

func (q *Queue) grantDecision(e *entry, now time.Time) Decision {
	d := q.newDecision(e.request.ID, Granted, 0, now)
	d.Engine, d.FetchFrom, d.ExpectedPrefill = e.engine.ID, e.fetchFrom, e.expectedPrefill
	return d
}

// newDecision returns a decision that includes the state of the group.
func (q *Queue) newDecision(id string, verdict Verdict, wait time.Duration, now time.Time) Decision {
	d := Decision{ID: id, Verdict: verdict, Wait: wait}
	allLimited := q.allRateLimited(now)
	for _, e := range q.sortedEngines {
		d.BacklogTokens += e.pendingPrefillTokens
		if e.Accepting && now.Before(e.backoffUntil) {
			d.EnginesInBackoff++
		}
		if e.pendingPrefills > 0 {
			d.PrefillingEngines++
		}
		if b := q.limiter.Budget(e.ID, now); b.Wait > 0 || allLimited && b.Limited {
			d.RateLimitedEngines++
		}
	}
	for _, waiting := range q.waiting {
		d.BacklogTokens += waiting.request.UniqueTokens
	}
	return d
}
