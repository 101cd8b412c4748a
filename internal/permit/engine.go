package permit

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
	"github.com/merlinpost/merlinpost/internal/registry"
)

const (
	// initialBackoff is how long an engine gets no requests after it failed one; each further
	// consecutive failure doubles it, up to maxBackoff. Without a backoff an engine that fails
	// immediately would always have capacity and attract all waiting requests.
	initialBackoff, maxBackoff = 250 * time.Millisecond, 2 * time.Second
	// maxBackoffDoublings prevents overflow when shifting the backoff.
	maxBackoffDoublings = 8
	// maxReservedShare is the share of an engine's KV cache that may be reserved for tokens that
	// requests do not share. The rest is for shared prefixes.
	maxReservedShare = 0.75
	// overdueWait is the wait reported for an engine whose prefills are overdue.
	overdueWait = 3 * grantLead
	// recentPrefills is the number of completed prefills kept per engine, to be compared with
	// the gaps of its streams.
	recentPrefills = 8
	// minEvents is the number of events from which a stream is used to estimate the token time.
	minEvents = 4
	// maxPrefillShare is the share of a stream's duration that its engine may spend on prefills
	// for the stream to be used in the token time estimate; beyond it prefills dominate.
	maxPrefillShare = 0.3
	// minOutputLeftShare is the share of the expected output that a stream is assumed to have
	// left even if it has generated more than expected.
	minOutputLeftShare = 0.1
)

// engine is the scheduling state of one engine of a group.
type engine struct {
	Engine
	model                *enginemodel.EngineModel
	preference           float64 // in the order of preference for short prompts, 0 to 1
	requests             map[string]*entry
	reservedTokens       int // KV cache tokens reserved for its requests
	pendingPrefills      int // granted requests whose prefill is not complete
	pendingPrefillTokens int // prompt tokens of these requests
	// prefillUntil is when all granted prefills are expected to be complete.
	expectedPrefillEnd time.Time
	// prefillTotal is the expected duration of all completed prefills.
	prefillTotal time.Duration
	// prefillBurst is the duration of consecutive prefills, up to prefillEnd, without enough
	// time in between for an event of each stream.
	prefillBurst        time.Duration
	lastPrefillEnd      time.Time
	prefills            [recentPrefills]completedPrefill
	prefillCount        int
	consecutiveFailures int
	backoffUntil        time.Time
	failureRate         registry.FailureRate
	lastGrant           time.Time
}

// completedPrefill is one prefill that an engine has completed.
type completedPrefill struct {
	end      time.Time
	expected time.Duration // expected duration
}

func newEngine(e Engine, service *enginemodel.ServiceModel) *engine {
	return &engine{Engine: e, model: service.NewEngineModel(), requests: map[string]*entry{}}
}

// usable reports whether the engine may be sent prompts now.
func (e *engine) usable(now time.Time) bool { return e.Accepting && !now.Before(e.backoffUntil) }

// hasCapacity reports whether the request fits in the engine's batch and KV cache. Requests that
// an engine queues internally or preempts for lack of memory are outside the scheduler's control.
func (e *engine) hasCapacity(a Ask) bool {
	if e.Slots > 0 && len(e.requests) >= e.Slots {
		return false
	}
	return e.KVCacheTokens == 0 || len(e.requests) == 0 || e.reservedTokens+a.tokenDemand() <= int(maxReservedShare*float64(e.KVCacheTokens))
}

// tokenDemand returns the KV cache tokens that a request needs besides its shared prefix.
func (a Ask) tokenDemand() int { return a.UniqueTokens + a.OutputTokens }

// prefillWait returns the expected time until the granted prefills are complete. For an engine
// that is overdue it returns overdueWait, as there is no better estimate.
func (e *engine) prefillWait(now time.Time) time.Duration {
	left := e.expectedPrefillEnd.Sub(now)
	switch {
	case e.pendingPrefills == 0:
		return 0
	case left < -grantLead:
		return overdueWait
	}
	return max(left, 0)
}

// currentBurst returns the duration of the prefill burst that is in progress or has just ended.
// eventInterval is the time in which each stream yields an event while no prefill is running.
func (e *engine) currentBurst(eventInterval time.Duration, now time.Time) time.Duration {
	if e.pendingPrefills > 0 || now.Sub(e.lastPrefillEnd) < eventInterval {
		return e.prefillBurst
	}
	return 0
}

// startPrefill accounts for a granted request. eventInterval is the time in which each stream
// yields an event while no prefill is running.
func (e *engine) startPrefill(en *entry, eventInterval time.Duration, now time.Time) {
	e.prefillBurst = e.currentBurst(eventInterval, now) + en.expectedPrefill
	if e.pendingPrefills == 0 || e.expectedPrefillEnd.Before(now) {
		e.expectedPrefillEnd = now
	}
	en.exclusive = e.pendingPrefills == 0
	e.expectedPrefillEnd = e.expectedPrefillEnd.Add(en.expectedPrefill)
	e.pendingPrefills++
	e.pendingPrefillTokens += en.prefillTokens
	e.reservedTokens += en.request.tokenDemand()
	e.requests[en.request.ID] = en
}

// startPlain accounts for a granted request without a prefill.
func (e *engine) startPlainRequest(en *entry, now time.Time) {
	en.prefillDone, en.firstTokenAt = true, now
	e.reservedTokens += en.request.tokenDemand()
	e.requests[en.request.ID] = en
}

// finishPrefill accounts for a completed prefill.
func (e *engine) finishPrefill(en *entry, now time.Time) {
	if en.prefillDone {
		return
	}
	en.prefillDone, en.firstTokenAt = true, now
	e.pendingPrefills--
	e.pendingPrefillTokens -= en.prefillTokens
	if e.pendingPrefills == 0 {
		e.expectedPrefillEnd, e.lastPrefillEnd = now, now
	}
	e.prefillTotal += en.expectedPrefill
	e.prefills[e.prefillCount%recentPrefills] = completedPrefill{now, en.expectedPrefill}
	e.prefillCount++
	en.prefillTotalAtFirstToken = e.prefillTotal
}

// remove removes a granted request.
func (e *engine) release(en *entry, now time.Time) {
	e.finishPrefill(en, now)
	e.reservedTokens -= en.request.tokenDemand()
	delete(e.requests, en.request.ID)
}

// observeStream updates the service's model with the observed response.
func (e *engine) observeStream(service *enginemodel.ServiceModel, en *entry, s StreamStats) {
	if s.Events < minEvents || e.TokensPerEvent == 0 || en.firstTokenAt.IsZero() {
		return
	}
	if prefill := e.prefillTotal - en.prefillTotalAtFirstToken; float64(prefill) < maxPrefillShare*float64(s.Duration) {
		service.ObserveGeneration((s.Events-1)*e.TokensPerEvent, s.Duration-prefill)
	}
	longest := time.Duration(0)
	for _, r := range e.prefills {
		if r.end.After(en.firstTokenAt) {
			longest = max(longest, r.expected)
		}
	}
	service.ObserveGap(s.LongestGap, longest)
}

// slack returns how much of a stream's remaining time it does not need for its remaining output.
func (e *engine) slack(en *entry, service *enginemodel.ServiceModel, now time.Time) time.Duration {
	if en.request.ResponseTimeout == 0 {
		return time.Hour
	}
	prefill := e.prefillTotal - en.prefillTotalAtFirstToken
	generated := service.TokensGenerated(now.Sub(en.firstTokenAt)-prefill, prefill, e.TokensPerEvent)
	rest := max(float64(en.request.OutputTokens)-generated, minOutputLeftShare*float64(en.request.OutputTokens))
	return en.request.ResponseTimeout - now.Sub(en.arrivedAt) - time.Duration(rest*float64(service.TokenTime()))
}

// succeeded records a successful request and ends the backoff.
func (e *engine) recordSuccess(now time.Time) {
	e.failureRate.Add(now, false)
	e.consecutiveFailures = 0
	e.backoffUntil = time.Time{}
}

func (e *engine) recordFailure(now time.Time) {
	e.failureRate.Add(now, true)
	e.backoffUntil = now.Add(min(initialBackoff<<min(e.consecutiveFailures, maxBackoffDoublings), maxBackoff))
	e.consecutiveFailures++
}
