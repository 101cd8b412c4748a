package simulate

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/placement"
	"github.com/merlinpost/merlinpost/internal/ratelimit"
	"github.com/merlinpost/merlinpost/internal/registry"
)

// Class is a class of requests with its arrival process, prompt lengths and latency targets.
type Class struct {
	Name               string
	PerSecond          float64
	Rank               int
	SharedPrefixes     int     // number of distinct shared prompt prefixes
	SharedPrefixTokens int     // length of a shared prefix
	UniqueTokens       float64 // mean prompt tokens that are unique to a request
	UniqueTokensSigma  float64 // log-normal sigma of UniqueTokens
	OutputTokens       float64 // scale of the log-normal number of generated tokens
	FirstTokenTarget   time.Duration
	MaxEventGap        time.Duration // longest pause between stream events that is on time; 0 means no limit
	Deadline           time.Duration
	// BurstFactor multiplies the rate from BurstStart for BurstDuration.
	BurstFactor               float64
	BurstStart, BurstDuration time.Duration
}

// Variant names a placement policy to simulate.
type Variant string

// The variants are the production policy, the production policy with one mechanism disabled,
// and a baseline that sends each request to the engine with the fewest requests in flight from
// the same gateway.
const (
	Production             Variant = "product"
	NoPermits              Variant = "no_permits"  // gateways place requests without permits, by their own view
	IgnoreInterference     Variant = "no_harm"     // the effect of a prefill on running streams is ignored
	IgnoreResponseTimeouts Variant = "no_pacing"   // the time that running streams need to finish is ignored
	NoEnginePreference     Variant = "no_order"    // no engine is preferred for short or long prompts
	ConcurrentPrefills     Variant = "together"    // an engine may get further prompts during a prefill
	NoLearning             Variant = "no_learning" // engine performance estimates keep their initial values
	NoFetch                Variant = "no_fetch"    // missing prefixes are recomputed rather than fetched
	IgnoreLateness         Variant = "by_arrival"  // requests that can no longer be on time keep their place
	NoEarlyRefusal         Variant = "patient"     // requests are not refused before their wait limit
	NoRanks                Variant = "no_ranks"    // all requests have the same rank
	LeastRequests          Variant = "least_requests"
)

// Variants lists all variants.
var Variants = []Variant{Production, NoPermits, IgnoreInterference, IgnoreResponseTimeouts, NoEnginePreference, ConcurrentPrefills, NoLearning, NoFetch, IgnoreLateness, NoEarlyRefusal, NoRanks, LeastRequests}

// permitPolicies holds the variants that change permit decisions.
var permitPolicies = map[Variant]permit.Policy{
	IgnoreInterference: {IgnoreInterference: true}, IgnoreResponseTimeouts: {IgnoreResponseTimeouts: true}, NoEnginePreference: {NoEnginePreference: true}, ConcurrentPrefills: {ConcurrentPrefills: true},
	NoLearning: {NoLearning: true}, NoFetch: {NoFetch: true}, IgnoreLateness: {IgnoreLateness: true}, NoEarlyRefusal: {NoEarlyRefusal: true},
}

// Config describes one simulation.
type Config struct {
	Engines, Gateways int
	Engine            EngineModel
	Classes           []Class
	Duration          time.Duration // simulated time during which requests arrive
	Seed              uint64
	Variant           Variant
}

// ClassResult is the outcome of the requests of one class.
type ClassResult struct {
	Name                             string
	Requests, OnTime, Late, Refused  int
	Failed                           int     // neither refused nor answered by the deadline
	PrefixMissTokens                 int     // of all classes together
	LongPromptServedShare            float64 // of the tenth of the requests with the longest prompts
	FirstTokenP50Ms, FirstTokenP95Ms float64
}

// ServedShare returns the share of requests that were answered by their deadline.
func (r ClassResult) ServedShare() float64 {
	return float64(r.OnTime+r.Late) / float64(max(1, r.Requests))
}

// OnTimeShare returns the share of requests that were answered within their latency targets.
func (r ClassResult) OnTimeShare() float64 { return float64(r.OnTime) / float64(max(1, r.Requests)) }

// event is a callback that is due at a simulated time.
type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulation is the state of a running simulation.
type simulation struct {
	Config
	now        time.Time
	seq        int
	eventQueue eventHeap
	rng        *rand.Rand
	engines    map[string]*engine
	registries []*registry.Registry              // by gateway
	permits    *permit.Scheduler[*permitRequest] // serves all groups
	jobs       []*job
}

// permitRequest is a job that waits for a permit decision.
type permitRequest struct {
	job     *job
	gateway int
	groups  []int // groups still to try, the current one first
}

func (p *permitRequest) group() permit.Group {
	return permit.Group{Service: serviceName, Index: p.groups[0]}
}

const (
	// serviceName is the only service of a simulation.
	serviceName = "s"
	// maxGroups is the number of groups that are tried for a request, as gateways do.
	maxGroups = 2
)

// Run runs a simulation. It is deterministic: the same Config gives the same result.
func Run(c Config) []ClassResult {
	s := &simulation{Config: c, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(c.Seed, 7)),
		engines: map[string]*engine{}}
	s.permits = permit.NewScheduler[*permitRequest](s.enginesOfGroup, func(string) (enginemodel.Estimates, bool) { return enginemodel.Estimates{}, false },
		ratelimit.New(s.rng.Float64), permitPolicies[c.Variant])
	var servers []registry.Server
	for i := range c.Engines {
		id := fmt.Sprintf("e%03d", i)
		s.engines[id] = newEngine(id, c.Engine)
		servers = append(servers, registry.Server{ID: id, Service: serviceName, Address: id, FailureDomain: fmt.Sprint("d", i%4), Slots: c.Engine.Slots})
	}
	for range c.Gateways {
		r := registry.New()
		r.Replace(servers, s.now, time.Time{})
		s.registries = append(s.registries, r)
	}
	s.scheduleArrivals()
	for s.eventQueue.Len() > 0 {
		e := heap.Pop(&s.eventQueue).(event)
		s.now = e.at
		e.run(e.at)
	}
	return s.results()
}

func (s *simulation) scheduleAfter(d time.Duration, callback func(now time.Time)) {
	s.scheduleAt(s.now.Add(d), callback)
}

func (s *simulation) scheduleAt(t time.Time, callback func(now time.Time)) {
	s.seq++
	heap.Push(&s.eventQueue, event{t, s.seq, callback})
}

// scheduleArrivals schedules all arrivals and the periodic processing of the permit queue.
func (s *simulation) scheduleArrivals() {
	start := s.now
	for i := range s.Classes {
		class := &s.Classes[i]
		for t := time.Duration(0); t < s.Duration; {
			rate := class.PerSecond
			if t >= class.BurstStart && t < class.BurstStart+class.BurstDuration {
				rate *= class.BurstFactor
			}
			t += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
			j := s.newJob(class)
			s.jobs = append(s.jobs, j)
			s.scheduleAt(start.Add(t), func(now time.Time) { s.handleArrival(j, now) })
		}
	}
	var tick func(time.Time)
	tick = func(now time.Time) {
		s.handleNotifications(s.permits.Poll(now))
		if now.Sub(start) < s.Duration+20*time.Second {
			s.scheduleAfter(20*time.Millisecond, tick)
		}
	}
	s.scheduleAfter(0, tick)
}

// groupEngines returns the engines of a group as seen by the first gateway.
func (s *simulation) enginesOfGroup(group permit.Group) []permit.Engine {
	candidates := s.candidates(0, s.now)
	groups := placement.GroupCount(len(candidates))
	var out []permit.Engine
	for _, c := range candidates {
		if placement.GroupOf(c.Server.ID, groups) == group.Index {
			out = append(out, permit.Engine{ID: c.Server.ID, FailureDomain: c.Server.FailureDomain, Accepting: true, Slots: s.Engine.Slots,
				KVCacheTokens: s.Engine.KVCacheTokens, TokensPerEvent: s.Engine.EventTokens})
		}
	}
	return out
}

func (s *simulation) newJob(class *Class) *job {
	uniqueTokens := int(class.UniqueTokens * math.Exp(class.UniqueTokensSigma*s.rng.NormFloat64()-class.UniqueTokensSigma*class.UniqueTokensSigma/2))
	uniqueTokens = max(uniqueTokens, 16)
	id := fmt.Sprint("r", len(s.jobs))
	prefix := fmt.Sprint(class.Name, s.rng.IntN(class.SharedPrefixes))
	return &job{id: id, class: class, outputTokens: max(1, int(class.OutputTokens*math.Exp(0.4*s.rng.NormFloat64()))),
		prompt: placement.Prompt{Tokens: class.SharedPrefixTokens + uniqueTokens, OutputTokens: int(class.OutputTokens),
			Parts: []placement.Part{{ID: prefix, Tokens: class.SharedPrefixTokens}, {ID: id, Tokens: uniqueTokens}}}}
}

// arrive handles the arrival of a request at a random gateway.
func (s *simulation) handleArrival(j *job, now time.Time) {
	j.arrivedAt = now
	s.scheduleAt(now.Add(j.class.Deadline), func(time.Time) { j.expired = true })
	gateway := s.rng.IntN(s.Gateways)
	req := placement.Request{Prompt: j.prompt, Key: j.id, Draw: s.rng.Float64()}
	candidates := s.candidates(gateway, now)
	switch s.Variant {
	case LeastRequests:
		s.dispatch(j, gateway, placement.ChoosePlain(req, candidates), now)
	case NoPermits:
		s.dispatch(j, gateway, placement.ChooseEngine(req, candidates), now)
	default:
		prefix, _ := j.prompt.SharedPrefix()
		s.requestPermit(&permitRequest{job: j, gateway: gateway, groups: placement.RankGroups(prefix, placement.GroupCount(len(candidates)))}, now)
	}
}

func (s *simulation) candidates(gateway int, now time.Time) []placement.Candidate {
	backends := s.registries[gateway].Ready(serviceName)
	out := make([]placement.Candidate, len(backends))
	for i, b := range backends {
		out[i] = placement.Candidate{Backend: b, Server: b.Server(), View: b.View(now)}
	}
	return out
}

// requestPermit requests a permit from the current group of engines.
func (s *simulation) requestPermit(p *permitRequest, now time.Time) {
	j := p.job
	prefix, shared := j.prompt.SharedPrefix()
	elapsed := now.Sub(j.arrivedAt)
	answer := s.permits.Submit(p.group(), permit.Ask{ID: j.id, Priority: s.rank(j), UniqueTokens: j.prompt.Tokens - shared, PrefixID: prefix, PrefixTokens: shared,
		OutputTokens: j.prompt.OutputTokens, MaxEventGap: j.class.MaxEventGap, ResponseTimeout: j.class.Deadline - elapsed, FirstTokenTarget: j.class.FirstTokenTarget - elapsed,
		FirstTokenTimeout: max(4*j.class.FirstTokenTarget-elapsed, 500*time.Millisecond)}, p, now)
	s.handleDecision(p, answer, now)
}

func (s *simulation) handleDecision(p *permitRequest, answer permit.Decision, now time.Time) {
	switch answer.Verdict {
	case permit.Granted:
		p.job.group = p.group()
		s.dispatch(p.job, p.gateway, s.grantedPlacement(p, answer, now), now)
	case permit.Refused, permit.NoEngine:
		if p.job.refused = len(p.groups) == 1; !p.job.refused {
			p.groups = p.groups[1:min(len(p.groups), maxGroups)]
			s.requestPermit(p, now)
		}
	}
}

// grantedChoice returns the placement named by a granted permit.
func (s *simulation) grantedPlacement(p *permitRequest, answer permit.Decision, now time.Time) placement.Choice {
	out := placement.Choice{FetchFrom: answer.FetchFrom, Reason: placement.Decided}
	candidates := s.candidates(p.gateway, now)
	for i := range candidates {
		if candidates[i].Server.ID == answer.Engine {
			out.Candidate = &candidates[i]
		}
	}
	return out
}

// handleDue handles the decisions on queued permit requests, except those whose deadline has
// passed.
func (s *simulation) handleNotifications(due []permit.Notification[*permitRequest]) {
	for _, d := range due {
		if !d.To.job.expired {
			s.handleDecision(d.To, d.Decision, s.now)
		}
	}
}

// dispatch sends the request to the chosen engine.
func (s *simulation) dispatch(j *job, gateway int, c placement.Choice, now time.Time) {
	e, b := s.engines[c.Candidate.Server.ID], c.Candidate.Backend
	fetched := c.FetchFrom != "" && s.engines[c.FetchFrom].hasPrefix(sharedPrefixID(j), now)
	_, shared := j.prompt.SharedPrefix()
	prefillTokens := j.prompt.Tokens - shared
	b.BeginRequest(prefillTokens)
	e.enqueue(j, s.rank(j), fetched, now)
	first := func(f *job, at time.Time) {
		f.firstTokenAt = at
		s.scheduleAt(at, func(now time.Time) { s.handleFirstToken(f, now) })
	}
	end := func(f *job, at time.Time) {
		f.completedAt = at
		s.scheduleAt(at, func(now time.Time) { f.onEnd(now) })
	}
	j.onEnd = func(now time.Time) {
		if j.ended {
			return
		}
		j.ended = true
		b.EndRequest()
		s.permits.Finish(j.group, j.id, j.streamStats, now)
		s.handleNotifications(s.permits.Poll(now))
	}
	s.scheduleAt(j.arrivedAt.Add(j.class.Deadline), func(now time.Time) { j.onEnd(now) })
	j.dispatchedAt = now
	j.onFirst = func(now time.Time) {
		b.RecordFirstToken(prefillTokens)
	}
	if !e.busy {
		e.busy = true
		s.runStep(e, first, end)
	}
}

func (s *simulation) handleFirstToken(j *job, now time.Time) {
	j.onFirst(now)
	s.permits.RecordFirstToken(j.group, j.id, now.Sub(j.dispatchedAt), now)
	s.handleNotifications(s.permits.Poll(now))
}

func (s *simulation) runStep(e *engine, first, end func(*job, time.Time)) {
	duration := e.step(s.now, first, end)
	if duration == 0 {
		e.busy = false
		return
	}
	s.scheduleAfter(duration, func(time.Time) { s.runStep(e, first, end) })
}

// rank returns the job's scheduling rank at the engine; 0 is the most urgent.
func (s *simulation) rank(j *job) int {
	if s.Variant == NoRanks {
		return 0
	}
	return j.class.Rank
}

func sharedPrefixID(j *job) string {
	id, _ := j.prompt.SharedPrefix()
	return id
}
