// Package simulate plays a load of model requests against the real placement and
// permit decisions and a small model of batching engines, in simulated time. A
// change of the policy is tried in seconds with it; it says nothing about
// networks, processes or failures.
package simulate

import (
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/placement"
)

// EngineModel are the figures of one engine.
type EngineModel struct {
	BaseStep           time.Duration // of a batch without prompts to read
	StepPerRequest     time.Duration // more for each running request
	PrefillTokensPerMs float64       // prompt tokens read in a ms
	PrefillChunk       int           // prompt tokens read in a step at most
	// PairsMsPerMillion is what attention adds for each million pairs of a prompt token and
	// a token before it.
	AttentionMsPerMillionPairs float64
	Slots                      int
	KVCacheTokens              int // tokens of running requests and cached parts
	EventTokens                int // generated tokens in an event of a stream
	FirstTokenDelay            time.Duration
}

// run is a request at an engine.
type run struct {
	*job
	rank    int
	unread  int // prompt tokens left to read
	made    int // tokens generated
	started time.Time
}

// engine is one engine during a simulation.
type engine struct {
	model   EngineModel
	id      string
	waiting []*run
	running []*run
	cached  map[string]time.Time // shared parts by last use
	used    int
	busy    bool
	again   int // shared tokens read although another engine had read them lately
}

func newEngine(id string, m EngineModel) *engine {
	return &engine{model: m, id: id, cached: map[string]time.Time{}}
}

// cacheFor is how long a shared part stays cached without use. It stands for the
// memory that finished requests take meanwhile.
const cacheFor = 12 * time.Second

// take admits a request. fetched says that the shared parts were copied from
// another engine that had them.
func (e *engine) take(j *job, rank int, fetched bool, now time.Time) {
	r := &run{job: j, rank: rank, unread: j.prompt.Tokens, started: now}
	shared, tokens := j.prompt.Shared()
	if e.has(shared, now) || fetched {
		r.unread -= tokens
	} else {
		e.again += tokens
	}
	if shared != "" {
		e.cached[shared] = now
	}
	e.waiting = append(e.waiting, r)
}

func (e *engine) has(part string, now time.Time) bool {
	at, ok := e.cached[part]
	return ok && now.Sub(at) <= cacheFor
}

// admit fills free slots, the most urgent first, while memory lasts.
func (e *engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *run) int { return a.rank - b.rank })
	for len(e.waiting) > 0 && len(e.running) < e.model.Slots {
		r := e.waiting[0]
		if e.used > 0 && e.used+r.prompt.Tokens > e.model.KVCacheTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.used += r.prompt.Tokens
		e.running = append(e.running, r)
	}
}

// step does one step at now and returns how long it takes; 0 if there is nothing
// to do. Its effects count from its end on.
func (e *engine) step(now time.Time, first func(*job, time.Time), end func(*job, time.Time)) time.Duration {
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	took := e.model.BaseStep
	chunk := e.model.PrefillChunk
	pairs := 0.0
	var read []*run
	for _, r := range e.byRank() {
		n := min(r.unread, chunk)
		if n > 0 {
			pairs += float64(n) * float64(r.prompt.Tokens-r.unread)
			r.unread -= n
			chunk -= n
			if r.unread == 0 {
				read = append(read, r)
			}
		}
	}
	took += time.Duration(float64(e.model.PrefillChunk-chunk) / e.model.PrefillTokensPerMs * float64(time.Millisecond))
	took += time.Duration(pairs / 1e6 * e.model.AttentionMsPerMillionPairs * float64(time.Millisecond))
	took += time.Duration(len(e.running)) * e.model.StepPerRequest
	at := now.Add(took)
	for _, r := range read {
		first(r.job, at.Add(e.model.FirstTokenDelay))
	}
	e.running = slices.DeleteFunc(e.running, func(r *run) bool {
		if r.gone {
			e.used -= r.prompt.Tokens
			return true
		}
		if r.unread > 0 {
			return false
		}
		r.made++
		if r.made == 1 || r.made%e.model.EventTokens == 0 || r.made == r.output {
			r.event(at)
		}
		if r.made < r.output {
			return false
		}
		e.used -= r.prompt.Tokens
		end(r.job, at)
		return true
	})
	e.waiting = slices.DeleteFunc(e.waiting, func(r *run) bool { return r.gone })
	return took
}

func (e *engine) byRank() []*run {
	out := slices.Clone(e.running)
	slices.SortStableFunc(out, func(a, b *run) int { return a.rank - b.rank })
	return out
}

// job is one request of a caller.
type job struct {
	id          string
	class       *Class
	prompt      placement.Prompt
	output      int
	arrived     time.Time
	sent        time.Time
	first, done time.Time
	refused     bool
	gone        bool // its caller has left
	group       permit.Group
	onFirst     func(now time.Time)
	onEnd       func(now time.Time)
	ended       bool
	seen        permit.StreamStats
	last        time.Time // of its events
}

// event counts an event of the job's stream.
func (j *job) event(at time.Time) {
	if j.seen.Events > 0 {
		j.seen.Duration += at.Sub(j.last)
		j.seen.LongestGap = max(j.seen.LongestGap, at.Sub(j.last))
	}
	j.seen.Events++
	j.last = at
}
