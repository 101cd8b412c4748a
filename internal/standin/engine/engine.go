package engine

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin"
)

// Config is the size and speed of an engine.
type Config struct {
	Name string
	// Step is the time of one decoding step, in which every running
	// sequence gains a token.
	Step time.Duration
	// StepPerSeq is what each running sequence adds to a step.
	StepPerSeq time.Duration
	// PrefillPerBlock is what each prompt block that is not cached adds to
	// the step in which its request starts.
	PrefillPerBlock time.Duration
	MaxBatch        int
	CacheBlocks     int
	// Fencing refuses orders with an old number.
	Fencing bool
	// ReportLag is the age of load reports and cache events.
	ReportLag time.Duration
	// EventLoss is the share of cache events that are lost.
	EventLossRate  float64
	WeightsAddress string // address of the weight store; empty: loads take no time
	LoadedModels   []string
	Seed           uint64
}

// Faults are the failures that the stand-in acts out.
type Faults struct {
	// Slow multiplies the step time; 0 and 1 mean no change.
	StepTimeFactor float64 `json:"slow"`
	// Frozen stops all steps.
	Frozen bool `json:"frozen"`
	// NoReports refuses load reports and cache events.
	NoReports bool `json:"no_reports"`
	// FailAfter ends each stream with an error after so many tokens.
	FailAfterTokens int `json:"fail_after"`
}

// sequence is one request in the engine.
type sequence struct {
	id       string
	model    string
	seed     uint64
	priority int
	arrival  uint64
	next     int // next token to make
	total    int
	blocks   []uint64
	prompt   int // prompt length in words
	cached   int // blocks found in the cache
	out      chan string
	done     chan struct{} // closed by the reader: it went away
	failed   error
}

// Execution is a line of the engine's own record of what it ran.
type Execution struct {
	RequestID string `json:"request_id"`
	Starts    int    `json:"starts"`
	Tokens    int    `json:"tokens"`
	Finished  int    `json:"finished"`
}

// Engine is the stand-in. Call New, then Run.
type Engine struct {
	cfg Config

	mu      sync.Mutex
	faults  Faults
	waiting []*sequence
	running []*sequence
	arrived uint64
	cache   *prefixCache
	record  map[string]*Execution
	loaded  map[string]bool
	role    string
	fence   uint64
	orders  []Order
	events  []CacheEvent
	reports []Report
	tokens  uint64
	wake    chan struct{}
	rand    *rand.Rand
	exports map[string][]uint64
}

// Report is a load report.
type Report struct {
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	StepMS  float64   `json:"step_ms"`
	Tokens  uint64    `json:"tokens_total"`
	Cached  int       `json:"cached_blocks"`
}

// CacheEvent says that prefix blocks were stored or evicted.
type CacheEvent struct {
	Seq     uint64    `json:"seq"`
	At      time.Time `json:"at"`
	Stored  []uint64  `json:"stored,omitempty"`
	Evicted []uint64  `json:"evicted,omitempty"`
}

// New returns an engine that has loaded cfg.Loaded.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg, cache: newPrefixCache(cfg.CacheBlocks), record: map[string]*Execution{},
		loaded: map[string]bool{}, role: "mixed", wake: make(chan struct{}, 1),
		rand: rand.New(rand.NewPCG(cfg.Seed, 1)), exports: map[string][]uint64{}}
	for _, m := range cfg.LoadedModels {
		e.loaded[m] = true
	}
	return e
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	e.faults = f
	e.mu.Unlock()
	e.poke()
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// submit puts a sequence into the waiting queue.
func (e *Engine) submit(s *sequence) {
	e.mu.Lock()
	e.arrived++
	s.arrival = e.arrived
	e.waiting = append(e.waiting, s)
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].priority < e.waiting[j].priority })
	e.mu.Unlock()
	e.poke()
}

// Run makes steps until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	next := time.Now()
	for ctx.Err() == nil {
		d, busy := e.beginStep()
		if !busy {
			select {
			case <-e.wake:
			case <-ctx.Done():
			case <-time.After(reportEvery):
			}
			e.report(0)
			next = time.Now()
			continue
		}
		next = next.Add(d)
		if lag := time.Since(next); lag > d {
			next = time.Now() // the machine was late: do not catch up in a rush
		}
		if !standin.SleepContext(ctx, time.Until(next)) {
			return
		}
		e.endStep()
		e.report(d)
	}
}

// reportEvery is the time between load reports.
const reportEvery = 50 * time.Millisecond

func (e *Engine) report(step time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if n := len(e.reports); n > 0 && now.Sub(e.reports[n-1].At) < reportEvery {
		return
	}
	e.reports = append(e.reports, Report{now, len(e.running), len(e.waiting),
		float64(step) / float64(time.Millisecond), e.tokens, e.cache.order.Len()})
	if len(e.reports) > 1000 {
		e.reports = append([]Report(nil), e.reports[500:]...)
	}
}

// beginStep fills the batch and returns how long the step takes.
func (e *Engine) beginStep() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Frozen {
		return 0, false
	}
	e.dropGone()
	prefill := 0
	for len(e.running) < e.cfg.MaxBatch && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		prefill += e.start(s)
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

// start moves a sequence into the batch and returns the blocks to prefill.
func (e *Engine) start(s *sequence) int {
	hit, added, evicted := e.cache.use(s.blocks)
	s.cached = hit
	if len(added)+len(evicted) > 0 {
		e.emit(CacheEvent{At: time.Now(), Stored: added, Evicted: evicted})
	}
	x := e.record[s.id]
	if x == nil {
		x = &Execution{RequestID: s.id}
		e.record[s.id] = x
	}
	x.Starts++
	e.running = append(e.running, s)
	return len(s.blocks) - hit
}

const keptEvents = 4096

func (e *Engine) emit(ev CacheEvent) {
	ev.Seq = 1
	if n := len(e.events); n > 0 {
		ev.Seq = e.events[n-1].Seq + 1
	}
	e.events = append(e.events, ev)
	if len(e.events) > keptEvents {
		e.events = append([]CacheEvent(nil), e.events[keptEvents/2:]...)
	}
}

// dropGone removes the sequences whose reader went away.
func (e *Engine) dropGone() {
	keep := func(list []*sequence) []*sequence {
		out := list[:0]
		for _, s := range list {
			select {
			case <-s.done:
			default:
				out = append(out, s)
			}
		}
		return out
	}
	e.waiting, e.running = keep(e.waiting), keep(e.running)
}

// endStep gives each running sequence its token.
func (e *Engine) endStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropGone()
	still := e.running[:0]
	for _, s := range e.running {
		x := e.record[s.id]
		if e.faults.FailAfterTokens > 0 && x.Tokens >= e.faults.FailAfterTokens {
			s.failed = errInjected
			close(s.out)
			continue
		}
		if s.next < s.total {
			s.out <- token(s.seed, s.next) // has room for the whole answer
			s.next++
			x.Tokens++
			e.tokens++
		}
		if s.next >= s.total {
			x.Finished++
			close(s.out)
			continue
		}
		still = append(still, s)
	}
	e.running = still
}
