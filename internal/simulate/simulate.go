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

// Class is a kind of request.
type Class struct {
	Name               string
	PerSecond          float64
	Rank               int
	SharedPrefixes     int     // different shared parts
	SharedPrefixTokens int     // tokens of a shared part
	UniqueTokens       float64 // mean tokens of a request's own part
	UniqueTokensSigma  float64 // sigma of its logarithm
	OutputTokens       float64 // mean generated tokens
	FirstTokenTarget   time.Duration
	MaxEventGap        time.Duration // longest pause between events that is on time
	Deadline           time.Duration
	// Burst multiplies the rate from BurstAt for BurstFor.
	BurstFactor               float64
	BurstStart, BurstDuration time.Duration
}

// Variant is a policy.
type Variant string

// The variants: the product's policy; the same with one part of it switched off; and a
// baseline that sends each request to the engine with the fewest of its own gateway's
// requests.
const (
	Product       Variant = "product"
	NoPermits     Variant = "no_permits"  // each gateway places by what it knows alone
	NoHarm        Variant = "no_harm"     // prompts go anywhere, whatever runs there
	NoPacing      Variant = "no_pacing"   // streams are not left the time to end
	NoOrder       Variant = "no_order"    // no engine is preferred for a kind of prompt
	Together      Variant = "together"    // engines are given several prompts at once
	NoLearning    Variant = "no_learning" // start values for all engines
	NoFetch       Variant = "no_fetch"    // shared parts are read where they lack
	ByArrival     Variant = "by_arrival"  // late ones are not put behind
	Patient       Variant = "patient"     // nothing is refused before its limit
	NoRanks       Variant = "no_ranks"    // all requests are equally urgent
	LeastRequests Variant = "least_requests"
)

// Variants are all variants.
var Variants = []Variant{Product, NoPermits, NoHarm, NoPacing, NoOrder, Together, NoLearning, NoFetch, ByArrival, Patient, NoRanks, LeastRequests}

// policies are the variants of the decisions themselves.
var policies = map[Variant]permit.Policy{
	NoHarm: {IgnoreInterference: true}, NoPacing: {IgnoreResponseTimeouts: true}, NoOrder: {NoEnginePreference: true}, Together: {ConcurrentPrefills: true},
	NoLearning: {NoLearning: true}, NoFetch: {NoFetch: true}, ByArrival: {IgnoreLateness: true}, Patient: {NoEarlyRefusal: true},
}

// Config is one simulation.
type Config struct {
	Engines, Gateways int
	Engine            EngineModel
	Classes           []Class
	Duration          time.Duration
	Seed              uint64
	Variant           Variant
}

// ClassResult is what the callers of a class got.
type ClassResult struct {
	Name                             string
	Requests, OnTime, Late, Refused  int
	Failed                           int // given up or past the deadline
	PrefixMissTokens                 int
	LongPromptServedShare            float64 // of the tenth with the longest prompts
	FirstTokenP50Ms, FirstTokenP95Ms float64
}

// Served is the share of requests that were answered.
func (r ClassResult) ServedShare() float64 {
	return float64(r.OnTime+r.Late) / float64(max(1, r.Requests))
}

// InTime is the share of requests that were answered within their target.
func (r ClassResult) OnTimeShare() float64 { return float64(r.OnTime) / float64(max(1, r.Requests)) }

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func(now time.Time)
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || (h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// world is one simulation under way.
type world struct {
	Config
	now      time.Time
	seq      int
	agenda   events
	random   *rand.Rand
	engines  map[string]*engine
	registry []*registry.Registry    // of each gateway
	desk     *permit.Scheduler[*ask] // of all groups
	jobs     []*job
}

// ask is a job that waits for a verdict.
type ask struct {
	job     *job
	gateway int
	groups  []int // to be asked in turn
}

func (a *ask) group() permit.Group { return permit.Group{Service: service, Index: a.groups[0]} }

const (
	// service is the only service of a simulation.
	service = "s"
	// maxGroups is how many groups are asked in turn, as gateways do.
	maxGroups = 2
)

// Run plays a simulation. The same Config gives the same result.
func Run(c Config) []ClassResult {
	w := &world{Config: c, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(c.Seed, 7)),
		engines: map[string]*engine{}}
	w.desk = permit.NewScheduler[*ask](w.list, func(string) (enginemodel.Estimates, bool) { return enginemodel.Estimates{}, false },
		ratelimit.New(w.random.Float64), policies[c.Variant])
	var list []registry.Server
	for i := range c.Engines {
		id := fmt.Sprintf("e%03d", i)
		w.engines[id] = newEngine(id, c.Engine)
		list = append(list, registry.Server{ID: id, Service: service, Address: id, FailureDomain: fmt.Sprint("d", i%4), Slots: c.Engine.Slots})
	}
	for range c.Gateways {
		r := registry.New()
		r.Replace(list, w.now, time.Time{})
		w.registry = append(w.registry, r)
	}
	w.schedule()
	for w.agenda.Len() > 0 {
		e := heap.Pop(&w.agenda).(event)
		w.now = e.at
		e.do(e.at)
	}
	return w.results()
}

func (w *world) after(d time.Duration, do func(now time.Time)) { w.at(w.now.Add(d), do) }

func (w *world) at(t time.Time, do func(now time.Time)) {
	w.seq++
	heap.Push(&w.agenda, event{t, w.seq, do})
}

// schedule draws the arrivals.
func (w *world) schedule() {
	start := w.now
	for i := range w.Classes {
		class := &w.Classes[i]
		for t := time.Duration(0); t < w.Duration; {
			rate := class.PerSecond
			if t >= class.BurstStart && t < class.BurstStart+class.BurstDuration {
				rate *= class.BurstFactor
			}
			t += time.Duration(w.random.ExpFloat64() / rate * float64(time.Second))
			j := w.draw(class)
			w.jobs = append(w.jobs, j)
			w.at(start.Add(t), func(now time.Time) { w.arrive(j, now) })
		}
	}
	var tick func(time.Time)
	tick = func(now time.Time) {
		w.tell(w.desk.Poll(now))
		if now.Sub(start) < w.Duration+20*time.Second {
			w.after(20*time.Millisecond, tick)
		}
	}
	w.after(0, tick)
}

// list is the members of a group as the first gateway sees them.
func (w *world) list(group permit.Group) []permit.Engine {
	candidates := w.candidates(0, w.now)
	groups := placement.GroupCount(len(candidates))
	var out []permit.Engine
	for _, c := range candidates {
		if placement.GroupOf(c.Server.ID, groups) == group.Index {
			out = append(out, permit.Engine{ID: c.Server.ID, FailureDomain: c.Server.FailureDomain, Accepting: true, Slots: w.Engine.Slots,
				KVCacheTokens: w.Engine.KVCacheTokens, TokensPerEvent: w.Engine.EventTokens})
		}
	}
	return out
}

func (w *world) draw(class *Class) *job {
	own := int(class.UniqueTokens * math.Exp(class.UniqueTokensSigma*w.random.NormFloat64()-class.UniqueTokensSigma*class.UniqueTokensSigma/2))
	own = max(own, 16)
	id := fmt.Sprint("r", len(w.jobs))
	part := fmt.Sprint(class.Name, w.random.IntN(class.SharedPrefixes))
	return &job{id: id, class: class, output: max(1, int(class.OutputTokens*math.Exp(0.4*w.random.NormFloat64()))),
		prompt: placement.Prompt{Tokens: class.SharedPrefixTokens + own, OutputTokens: int(class.OutputTokens),
			Parts: []placement.Part{{ID: part, Tokens: class.SharedPrefixTokens}, {ID: id, Tokens: own}}}}
}

// arrive places a request at a random gateway.
func (w *world) arrive(j *job, now time.Time) {
	j.arrived = now
	w.at(now.Add(j.class.Deadline), func(time.Time) { j.gone = true })
	g := w.random.IntN(w.Gateways)
	req := placement.Request{Prompt: j.prompt, Key: j.id, Draw: w.random.Float64()}
	candidates := w.candidates(g, now)
	switch w.Variant {
	case LeastRequests:
		w.send(j, g, placement.ChoosePlain(req, candidates), now)
	case NoPermits:
		w.send(j, g, placement.ChooseEngine(req, candidates), now)
	default:
		part, _ := j.prompt.Shared()
		w.ask(&ask{job: j, gateway: g, groups: placement.RankGroups(part, placement.GroupCount(len(candidates)))}, now)
	}
}

func (w *world) candidates(g int, now time.Time) []placement.Candidate {
	backends := w.registry[g].Ready(service)
	out := make([]placement.Candidate, len(backends))
	for i, b := range backends {
		out[i] = placement.Candidate{Backend: b, Server: b.Server(), View: b.View(now)}
	}
	return out
}

// ask asks for leave at the next group of engines.
func (w *world) ask(a *ask, now time.Time) {
	j := a.job
	part, shared := j.prompt.Shared()
	elapsed := now.Sub(j.arrived)
	answer := w.desk.Submit(a.group(), permit.Ask{ID: j.id, Priority: w.rank(j), UniqueTokens: j.prompt.Tokens - shared, PrefixID: part, PrefixTokens: shared,
		OutputTokens: j.prompt.OutputTokens, MaxEventGap: j.class.MaxEventGap, ResponseTimeout: j.class.Deadline - elapsed, FirstTokenTarget: j.class.FirstTokenTarget - elapsed,
		FirstTokenTimeout: max(4*j.class.FirstTokenTarget-elapsed, 500*time.Millisecond)}, a, now)
	w.settle(a, answer, now)
}

func (w *world) settle(a *ask, answer permit.Decision, now time.Time) {
	switch answer.Verdict {
	case permit.Granted:
		a.job.group = a.group()
		w.send(a.job, a.gateway, w.decided(a, answer, now), now)
	case permit.Refused, permit.NoEngine:
		if a.job.refused = len(a.groups) == 1; !a.job.refused {
			a.groups = a.groups[1:min(len(a.groups), maxGroups)]
			w.ask(a, now)
		}
	}
}

// decided is the choice that an answer names.
func (w *world) decided(a *ask, answer permit.Decision, now time.Time) placement.Choice {
	out := placement.Choice{FetchFrom: answer.FetchFrom, Reason: placement.Decided}
	candidates := w.candidates(a.gateway, now)
	for i := range candidates {
		if candidates[i].Server.ID == answer.Engine {
			out.Candidate = &candidates[i]
		}
	}
	return out
}

func (w *world) tell(due []permit.Notification[*ask]) {
	for _, d := range due {
		if !d.To.job.gone {
			w.settle(d.To, d.Decision, w.now)
		}
	}
}

// send gives the request to an engine.
func (w *world) send(j *job, g int, c placement.Choice, now time.Time) {
	e, b := w.engines[c.Candidate.Server.ID], c.Candidate.Backend
	fetched := c.FetchFrom != "" && w.engines[c.FetchFrom].has(firstPart(j), now)
	_, shared := j.prompt.Shared()
	unread := j.prompt.Tokens - shared
	b.BeginRequest(unread)
	e.take(j, w.rank(j), fetched, now)
	first := func(f *job, at time.Time) {
		f.first = at
		w.at(at, func(now time.Time) { w.firstToken(f, now) })
	}
	end := func(f *job, at time.Time) {
		f.done = at
		w.at(at, func(now time.Time) { f.onEnd(now) })
	}
	j.onEnd = func(now time.Time) {
		if j.ended {
			return
		}
		j.ended = true
		b.EndRequest()
		w.desk.Finish(j.group, j.id, j.seen, now)
		w.tell(w.desk.Poll(now))
	}
	w.at(j.arrived.Add(j.class.Deadline), func(now time.Time) { j.onEnd(now) })
	j.sent = now
	j.onFirst = func(now time.Time) {
		b.RecordFirstToken(unread)
	}
	if !e.busy {
		e.busy = true
		w.step(e, first, end)
	}
}

func (w *world) firstToken(j *job, now time.Time) {
	j.onFirst(now)
	w.desk.RecordFirstToken(j.group, j.id, now.Sub(j.sent), now)
	w.tell(w.desk.Poll(now))
}

func (w *world) step(e *engine, first, end func(*job, time.Time)) {
	took := e.step(w.now, first, end)
	if took == 0 {
		e.busy = false
		return
	}
	w.after(took, func(time.Time) { w.step(e, first, end) })
}

// rank is the urgency of a job.
func (w *world) rank(j *job) int {
	if w.Variant == NoRanks {
		return 0
	}
	return j.class.Rank
}

func firstPart(j *job) string {
	id, _ := j.prompt.Shared()
	return id
}
