package permit

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/slowstart"
)

const (
	// initialBackoff is how long an engine gets no requests after it failed one; each further
	// consecutive failure doubles it, up to maxBackoff. Without a backoff an engine that fails
	// immediately would always have capacity and attract all waiting requests.
	initialBackoff, maxBackoff = 250 * time.Millisecond, 2 * time.Second
	// maxBackoffDoublings prevents overflow when shifting the backoff.
	maxBackoffDoublings = 8
	// maxReservedShare is the share of an engine's KV cache that may be reserved for the unshared
	// tokens of requests. The rest caches shared prefixes.
	maxReservedShare = 0.75
	// overdueWait is the expected wait for an engine whose prefills are overdue.
	overdueWait = 3 * grantLead
	// recentPrefills is the number of completed prefills kept per engine. They are matched with
	// the event gaps of its streams.
	recentPrefills = 8
	// minEvents is the minimum number of events of a stream that is used to estimate the token
	// time.
	minEvents = 4
	// maxPrefillShare is the largest share of a stream's duration that its engine may have spent
	// on prefills if the stream is used to estimate the token time. Beyond it prefills dominate
	// the duration.
	maxPrefillShare = 0.3
	// minOutputLeftShare is the minimum share of the expected output that a stream is assumed to
	// have left, even if it has already generated more than expected.
	minOutputLeftShare = 0.1
)

// engine is the scheduling state of one engine of a group.
type engine struct {
	Engine
	model                *enginemodel.EngineModel
	preference           float64 // order of preference for short prompts: 0 for the first engine, below 1 for the last
	requests             map[string]*entry
	reservedTokens       int // KV cache tokens reserved for its requests
	pendingPrefills      int // granted requests whose prefill has not completed
	pendingPrefillTokens int // prompt tokens to prefill for these requests
	// expectedPrefillEnd is when all granted prefills are expected to have completed.
	expectedPrefillEnd time.Time
	// prefillTotal is the expected duration of all completed prefills.
	prefillTotal time.Duration
	// prefillBurst is the total duration of the consecutive prefills up to lastPrefillEnd. Prefills
	// are consecutive if the pause between them is too short for each stream to emit an event.
	prefillBurst        time.Duration
	lastPrefillEnd      time.Time
	prefills            [recentPrefills]completedPrefill
	prefillCount        int
	consecutiveFailures int
	backoffUntil        time.Time
	failureRate         registry.FailureRate
	lastGrant           time.Time
	// respondedTo is the time of the newest grant to which the engine has responded. ramp limits the
	// grants to gateways that have not received a response since they backed off from the engine.
	respondedTo time.Time
	ramp        slowstart.Ramp
}

// completedPrefill is one prefill that an engine has completed.
type completedPrefill struct {
	end      time.Time
	expected time.Duration // duration that was expected
}

func newEngine(config Engine, service *enginemodel.ServiceModel) *engine {
	return &engine{Engine: config, model: service.NewEngineModel(), requests: map[string]*entry{}}
}

// usable reports whether the engine accepts requests and is not in backoff.
func (e *engine) usable(now time.Time) bool { return e.Accepting && !now.Before(e.backoffUntil) }

// hasCapacity reports whether the request fits in the engine's batch and KV cache. The scheduler has
// no control over requests that an engine queues internally or preempts for lack of memory. An
// engine without requests takes one of any size.
func (e *engine) hasCapacity(req Ask) bool {
	if e.Slots > 0 && len(e.requests) >= e.Slots {
		return false
	}
	return e.KVCacheTokens == 0 || len(e.requests) == 0 || e.reservedTokens+req.tokenDemand() <= int(maxReservedShare*float64(e.KVCacheTokens))
}

// tokenDemand returns the number of KV cache tokens that the request needs besides its shared prefix.
func (req Ask) tokenDemand() int { return req.UniqueTokens + req.OutputTokens }

// prefillWait returns the expected time until the granted prefills have completed, or overdueWait if
// they are overdue, as there is no better estimate then.
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

// currentBurst returns the duration of the prefill burst that is in progress or has just ended, or 0 if
// there is none. eventInterval is the time between two events of a stream while no prefill is running.
func (e *engine) currentBurst(eventInterval time.Duration, now time.Time) time.Duration {
	if e.pendingPrefills > 0 || now.Sub(e.lastPrefillEnd) < eventInterval {
		return e.prefillBurst
	}
	return 0
}

// startPrefill accounts for a granted request that needs a prefill. eventInterval is the time between two
// events of a stream while no prefill is running.
func (e *engine) startPrefill(granted *entry, eventInterval time.Duration, now time.Time) {
	e.prefillBurst = e.currentBurst(eventInterval, now) + granted.expectedPrefill
	if e.pendingPrefills == 0 || e.expectedPrefillEnd.Before(now) {
		e.expectedPrefillEnd = now
	}
	granted.exclusive = e.pendingPrefills == 0
	e.expectedPrefillEnd = e.expectedPrefillEnd.Add(granted.expectedPrefill)
	e.pendingPrefills++
	e.pendingPrefillTokens += granted.prefillTokens
	e.reservedTokens += granted.request.tokenDemand()
	e.requests[granted.request.ID] = granted
}

// startPlainRequest accounts for a granted request without a prefill.
func (e *engine) startPlainRequest(granted *entry, now time.Time) {
	granted.prefillDone, granted.firstTokenAt = true, now
	e.reservedTokens += granted.request.tokenDemand()
	e.requests[granted.request.ID] = granted
}

// finishPrefill accounts for the completion of the request's prefill, once.
func (e *engine) finishPrefill(granted *entry, now time.Time) {
	if granted.prefillDone {
		return
	}
	granted.prefillDone, granted.firstTokenAt = true, now
	e.pendingPrefills--
	e.pendingPrefillTokens -= granted.prefillTokens
	if e.pendingPrefills == 0 {
		e.expectedPrefillEnd, e.lastPrefillEnd = now, now
	}
	e.prefillTotal += granted.expectedPrefill
	e.prefills[e.prefillCount%recentPrefills] = completedPrefill{now, granted.expectedPrefill}
	e.prefillCount++
	granted.prefillTotalAtFirstToken = e.prefillTotal
}

// release frees the capacity that a granted request holds.
func (e *engine) release(granted *entry, now time.Time) {
	e.finishPrefill(granted, now)
	e.reservedTokens -= granted.request.tokenDemand()
	delete(e.requests, granted.request.ID)
}

// observeStream updates the service's model with the statistics of a response.
func (e *engine) observeStream(service *enginemodel.ServiceModel, granted *entry, stats StreamStats) {
	if stats.Events < minEvents || e.TokensPerEvent == 0 || granted.firstTokenAt.IsZero() {
		return
	}
	if prefill := e.prefillTotal - granted.prefillTotalAtFirstToken; float64(prefill) < maxPrefillShare*float64(stats.Duration) {
		service.ObserveGeneration((stats.Events-1)*e.TokensPerEvent, stats.Duration-prefill)
	}
	longest := time.Duration(0)
	for _, p := range e.prefills {
		if p.end.After(granted.firstTokenAt) {
			longest = max(longest, p.expected)
		}
	}
	service.ObserveGap(stats.LongestGap, longest)
}

// slack returns how much of a stream's time until its response timeout is not needed for its remaining
// output.
func (e *engine) slack(granted *entry, service *enginemodel.ServiceModel, now time.Time) time.Duration {
	if granted.request.ResponseTimeout == 0 {
		return time.Hour
	}
	prefill := e.prefillTotal - granted.prefillTotalAtFirstToken
	generated := service.TokensGenerated(now.Sub(granted.firstTokenAt)-prefill, prefill, e.TokensPerEvent)
	remaining := max(float64(granted.request.OutputTokens)-generated, minOutputLeftShare*float64(granted.request.OutputTokens))
	return granted.request.ResponseTimeout - now.Sub(granted.arrivedAt) - time.Duration(remaining*float64(service.TokenTime()))
}

// recordSuccess records a successful request and ends the backoff.
func (e *engine) recordSuccess(now time.Time) {
	e.failureRate.Add(now, false)
	e.consecutiveFailures = 0
	e.backoffUntil = time.Time{}
}

// recordFailure records a failed request and starts or extends the backoff.
func (e *engine) recordFailure(now time.Time) {
	e.failureRate.Add(now, true)
	e.backoffUntil = now.Add(min(initialBackoff<<min(e.consecutiveFailures, maxBackoffDoublings), maxBackoff))
	e.consecutiveFailures++
}
