// Package simulate is a discrete-event simulation of model requests. It runs the production
// placement and permit code against a simplified model of batching engines, so that a policy
// change can be evaluated in seconds. Networks, processes and failures are not modelled.
package simulate

import (
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/placement"
)

// EngineModel holds the performance parameters of an engine.
type EngineModel struct {
	BaseStep           time.Duration // duration of a step without prefill
	StepPerRequest     time.Duration // added for each running request
	PrefillTokensPerMs float64       // prefill throughput
	PrefillChunk       int           // maximum prompt tokens processed in a step
	// AttentionMsPerMillionPairs is the attention cost of prefill, for each million pairs of a
	// prompt token and a preceding token.
	AttentionMsPerMillionPairs float64
	Slots                      int
	KVCacheTokens              int // KV cache capacity; step counts only the prompts of running requests
	EventTokens                int // generated tokens for each stream event
	FirstTokenDelay            time.Duration
}

// activeRequest is a request that is waiting or running at an engine.
type activeRequest struct {
	*job
	rank             int
	prefillRemaining int // prompt tokens not yet processed
	generated        int // tokens generated so far
	enqueuedAt       time.Time
}

// engine is the state of a simulated engine.
type engine struct {
	model            EngineModel
	id               string
	waiting          []*activeRequest
	running          []*activeRequest
	prefixLastUsed   map[string]time.Time // by the ID of the shared prefix
	kvTokensUsed     int
	busy             bool
	prefixMissTokens int // shared prompt tokens that were neither cached nor fetched
}

func newEngine(id string, m EngineModel) *engine {
	return &engine{model: m, id: id, prefixLastUsed: map[string]time.Time{}}
}

// prefixCacheTTL is how long an unused shared prefix stays cached. It approximates eviction by
// finished requests, whose memory use is not modelled.
const prefixCacheTTL = 12 * time.Second

// enqueue adds a request to the waiting queue. fetched means that the shared prefix was copied
// from another engine, so that it needs no prefill.
func (e *engine) enqueue(j *job, rank int, fetched bool, now time.Time) {
	r := &activeRequest{job: j, rank: rank, prefillRemaining: j.prompt.Tokens, enqueuedAt: now}
	shared, tokens := j.prompt.SharedPrefix()
	if e.hasPrefix(shared, now) || fetched {
		r.prefillRemaining -= tokens
	} else {
		e.prefixMissTokens += tokens
	}
	if shared != "" {
		e.prefixLastUsed[shared] = now
	}
	e.waiting = append(e.waiting, r)
}

func (e *engine) hasPrefix(id string, now time.Time) bool {
	at, ok := e.prefixLastUsed[id]
	return ok && now.Sub(at) <= prefixCacheTTL
}

// admit moves waiting requests into free slots in rank order, until the next one does not fit
// into the KV cache. A prompt larger than the cache runs alone.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *activeRequest) int { return a.rank - b.rank })
	for len(e.waiting) > 0 && len(e.running) < e.model.Slots {
		r := e.waiting[0]
		if e.kvTokensUsed > 0 && e.kvTokensUsed+r.prompt.Tokens > e.model.KVCacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.kvTokensUsed += r.prompt.Tokens
		e.running = append(e.running, r)
	}
}

// step runs one batch step that starts at now and returns its duration, or 0 if the engine is
// idle. first and end are called with the times of first tokens and of completed responses,
// which lie at or after the end of the step.
func (e *engine) step(now time.Time, first func(*job, time.Time), end func(*job, time.Time)) time.Duration {
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	duration := e.model.BaseStep
	budget := e.model.PrefillChunk
	pairs := 0.0
	var prefilled []*activeRequest
	for _, r := range e.runningByRank() {
		n := min(r.prefillRemaining, budget)
		if n > 0 {
			pairs += float64(n) * float64(r.prompt.Tokens-r.prefillRemaining)
			r.prefillRemaining -= n
			budget -= n
			if r.prefillRemaining == 0 {
				prefilled = append(prefilled, r)
			}
		}
	}
	duration += time.Duration(float64(e.model.PrefillChunk-budget) / e.model.PrefillTokensPerMs * float64(time.Millisecond))
	duration += time.Duration(pairs / 1e6 * e.model.AttentionMsPerMillionPairs * float64(time.Millisecond))
	duration += time.Duration(len(e.running)) * e.model.StepPerRequest
	stepEnd := now.Add(duration)
	for _, r := range prefilled {
		first(r.job, stepEnd.Add(e.model.FirstTokenDelay))
	}
	e.running = slices.DeleteFunc(e.running, func(r *activeRequest) bool {
		if r.expired {
			e.kvTokensUsed -= r.prompt.Tokens
			return true
		}
		if r.prefillRemaining > 0 {
			return false
		}
		r.generated++
		if r.generated == 1 || r.generated%e.model.EventTokens == 0 || r.generated == r.outputTokens {
			r.recordEvent(stepEnd)
		}
		if r.generated < r.outputTokens {
			return false
		}
		e.kvTokensUsed -= r.prompt.Tokens
		end(r.job, stepEnd)
		return true
	})
	e.waiting = slices.DeleteFunc(e.waiting, func(r *activeRequest) bool { return r.expired })
	return duration
}

func (e *engine) runningByRank() []*activeRequest {
	out := slices.Clone(e.running)
	slices.SortStableFunc(out, func(a, b *activeRequest) int { return a.rank - b.rank })
	return out
}

// job is a client request and its outcome.
type job struct {
	id                        string
	class                     *Class
	prompt                    placement.Prompt
	outputTokens              int
	arrivedAt                 time.Time
	dispatchedAt              time.Time
	firstTokenAt, completedAt time.Time
	refused                   bool
	expired                   bool // the deadline has passed and the client has disconnected
	group                     permit.Group
	onFirst                   func(now time.Time)
	onEnd                     func(now time.Time)
	ended                     bool
	streamStats               permit.StreamStats
	lastEventAt               time.Time // time of the last stream event
}

// recordEvent adds an event of the response stream to the job's statistics.
func (j *job) recordEvent(at time.Time) {
	if j.streamStats.Events > 0 {
		j.streamStats.Duration += at.Sub(j.lastEventAt)
		j.streamStats.LongestGap = max(j.streamStats.LongestGap, at.Sub(j.lastEventAt))
	}
	j.streamStats.Events++
	j.lastEventAt = at
}
