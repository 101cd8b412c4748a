package engine

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin"
)

// Config holds the capacity and speed of an engine.
type Config struct {
	Name string
	// Step is the duration of one decoding step, in which every running
	// sequence generates one token.
	Step time.Duration
	// StepPerSeq is the time that each running sequence adds to a step.
	StepPerSeq time.Duration
	// PrefillPerBlock is the time that each prompt block that is not cached
	// adds to the step in which its request starts.
	PrefillPerBlock time.Duration
	MaxBatch        int
	CacheBlocks     int
	// Fencing rejects orders with an outdated fencing token.
	Fencing bool
	// ReportLag is the age of load reports and cache events.
	ReportLag time.Duration
	// EventLossRate is the probability that a cache event is dropped.
	EventLossRate  float64
	WeightsAddress string // address of the weight store; if empty, loading takes no time
	LoadedModels   []string
	Seed           uint64
}

// Faults are the failures that the stand-in simulates.
type Faults struct {
	// StepTimeFactor multiplies the step time; values up to 1 have no effect.
	StepTimeFactor float64 `json:"slow"`
	// Frozen suspends all steps.
	Frozen bool `json:"frozen"`
	// NoReports rejects requests for load reports and cache events with 503.
	NoReports bool `json:"no_reports"`
	// FailAfterTokens is the number of tokens generated for a request, over all
	// its executions, after which its answer fails; 0 means never.
	FailAfterTokens int `json:"fail_after"`
}

// sequence is one request in the engine.
type sequence struct {
	id            string
	model         string
	seed          uint64
	priority      int
	arrivalNumber uint64
	generated     int // tokens generated so far, including resumed ones
	totalTokens   int
	blocks        []uint64
	promptWords   int // length of the prompt
	cachedBlocks  int // leading blocks found in the cache
	tokens        chan string
	handlerDone   chan struct{} // closed when the HTTP handler returns
	err           error
}

// Execution records how often and how far the engine executed a request.
type Execution struct {
	RequestID string `json:"request_id"`
	Starts    int    `json:"starts"`
	Tokens    int    `json:"tokens"`
	Finished  int    `json:"finished"`
}

// Engine is the stand-in. It must be created with New and processes requests
// while Run is running.
type Engine struct {
	cfg Config

	mu            sync.Mutex
	faults        Faults
	waiting       []*sequence
	running       []*sequence
	arrivalCount  uint64
	cache         *prefixCache
	executions    map[string]*Execution
	loaded        map[string]bool
	role          string
	fencingToken  uint64
	orders        []Order
	cacheEvents   []CacheEvent
	loadReports   []LoadReport
	tokensTotal   uint64
	workAvailable chan struct{}
	rng           *rand.Rand
	exports       map[string][]uint64
}

// Report is a load report.
type LoadReport struct {
	At           time.Time `json:"at"`
	Running      int       `json:"running"`
	Waiting      int       `json:"waiting"`
	StepMS       float64   `json:"step_ms"`
	TokensTotal  uint64    `json:"tokens_total"`
	CachedBlocks int       `json:"cached_blocks"`
}

// CacheEvent reports prefix blocks that were stored or evicted.
type CacheEvent struct {
	Seq     uint64    `json:"seq"`
	At      time.Time `json:"at"`
	Stored  []uint64  `json:"stored,omitempty"`
	Evicted []uint64  `json:"evicted,omitempty"`
}

// New returns an engine in which cfg.LoadedModels are loaded.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg, cache: newPrefixCache(cfg.CacheBlocks), executions: map[string]*Execution{},
		loaded: map[string]bool{}, role: "mixed", workAvailable: make(chan struct{}, 1),
		rng: rand.New(rand.NewPCG(cfg.Seed, 1)), exports: map[string][]uint64{}}
	for _, m := range cfg.LoadedModels {
		e.loaded[m] = true
	}
	return e
}

// SetFaults replaces the simulated faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	e.signalWork()
}

// wakeUp signals Run that there may be work.
func (e *Engine) signalWork() {
	select {
	case e.workAvailable <- struct{}{}:
	default:
	}
}

// enqueue adds a sequence to the waiting queue, which is ordered by priority and
// then by arrival.
func (e *Engine) enqueue(s *sequence) {
	e.mu.Lock()
	e.arrivalCount++
	s.arrivalNumber = e.arrivalCount
	e.waiting = append(e.waiting, s)
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].priority < e.waiting[j].priority })
	e.mu.Unlock()
	e.signalWork()
}

// Run executes steps until ctx is done.
func (e *Engine) Run(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		d, busy := e.beginStep()
		if !busy {
			select {
			case <-e.workAvailable:
			case <-ctx.Done():
			case <-time.After(loadReportInterval):
			}
			e.recordLoadReport(0)
			next = time.Now()
			continue
		}
		next = next.Add(d)
		if lag := time.Since(next); lag > d {
			next = time.Now() // after a scheduling delay, do not catch up with a burst of steps
		}
		if !standin.SleepContext(ctx, time.Until(next)) {
			return
		}
		e.endStep()
		e.recordLoadReport(d)
	}
}

// reportEvery is the time between load reports.
const loadReportInterval = 50 * time.Millisecond

// recordReport appends a load report unless the last one is more recent than
// reportInterval.
func (e *Engine) recordLoadReport(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if n := len(e.loadReports); n > 0 && now.Sub(e.loadReports[n-1].At) < loadReportInterval {
		return
	}
	e.loadReports = append(e.loadReports, LoadReport{now, len(e.running), len(e.waiting),
		float64(step) / float64(time.Millisecond), e.tokensTotal, e.cache.lru.Len()})
	if len(e.loadReports) > 1000 {
		e.loadReports = append([]LoadReport(nil), e.loadReports[500:]...)
	}
}

// beginStep fills the batch and returns the duration of the step. It returns
// false if there is nothing to execute.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Frozen {
		return 0, false
	}
	e.removeCancelled()
	prefill := 0
	for len(e.running) < e.cfg.MaxBatch && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		prefill += e.startSequence(s)
	}
	if len(e.running) == 0 {
		return 0, false
	}
	d := e.cfg.Step + time.Duration(len(e.running))*e.cfg.StepPerSeq + time.Duration(prefill)*e.cfg.PrefillPerBlock
	if e.faults.StepTimeFactor > 1 {
		d = time.Duration(float64(d) * e.faults.StepTimeFactor)
	}
	return d, true
}

// startSequence adds a sequence to the batch and returns the number of blocks to
// prefill.
func (e *Engine) startSequence(s *sequence) int {
	hit, added, evicted := e.cache.insert(s.blocks)
	s.cachedBlocks = hit
	if len(added)+len(evicted) > 0 {
		e.recordCacheEvent(CacheEvent{At: time.Now(), Stored: added, Evicted: evicted})
	}
	x := e.executions[s.id]
	if x == nil {
		x = &Execution{RequestID: s.id}
		e.executions[s.id] = x
	}
	x.Starts++
	e.running = append(e.running, s)
	return len(s.blocks) - hit
}

// maxEvents is the maximum number of retained cache events.
const maxCacheEvents = 4096

// recordCacheEvent assigns the next sequence number to an event and retains it.
func (e *Engine) recordCacheEvent(ev CacheEvent) {
	ev.Seq = 1
	if n := len(e.cacheEvents); n > 0 {
		ev.Seq = e.cacheEvents[n-1].Seq + 1
	}
	e.cacheEvents = append(e.cacheEvents, ev)
	if len(e.cacheEvents) > maxCacheEvents {
		e.cacheEvents = append([]CacheEvent(nil), e.cacheEvents[maxCacheEvents/2:]...)
	}
}

// removeCancelled removes the sequences whose HTTP handler has returned.
func (e *Engine) removeCancelled() {
	active := func(list []*sequence) []*sequence {
		out := list[:0]
		for _, s := range list {
			select {
			case <-s.handlerDone:
			default:
				out = append(out, s)
			}
		}
		return out
	}
	e.waiting, e.running = active(e.waiting), active(e.running)
}

// endStep generates one token for each running sequence.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeCancelled()
	remaining := e.running[:0]
	for _, s := range e.running {
		x := e.executions[s.id]
		if e.faults.FailAfterTokens > 0 && x.Tokens >= e.faults.FailAfterTokens {
			s.err = errSimulatedFailure
			close(s.tokens)
			continue
		}
		if s.generated < s.totalTokens {
			s.tokens <- token(s.seed, s.generated) // never blocks: buffered for the whole answer
			s.generated++
			x.Tokens++
			e.tokensTotal++
		}
		if s.generated >= s.totalTokens {
			x.Finished++
			close(s.tokens)
			continue
		}
		remaining = append(remaining, s)
	}
	e.running = remaining
}
