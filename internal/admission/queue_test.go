package admission

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/fault"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fullConfig(slots int) Config {
	return Config{Slots: slots, QueueLimit: 20, MaxPreemptions: 2, FloorWindow: time.Second,
		Preemption: true, Floors: true, Fairness: true, EarlyRefusal: true}
}

// harness drives a Queue in the same way as an agent does. Each running job generates
// one token per tick.
type harness struct {
	g          Gomega
	q          *Queue
	now        time.Time
	tokensLeft map[*Job]int // tokens still to generate
	started    map[*Job]bool
	completed  map[*Job]bool
	shed       map[*Job]bool
}

func newHarness(g Gomega, cfg Config) *harness {
	return &harness{g: g, q: New(cfg), now: epoch, tokensLeft: map[*Job]int{}, started: map[*Job]bool{},
		completed: map[*Job]bool{}, shed: map[*Job]bool{}}
}

const tick = 10 * time.Millisecond

// runningBelow returns the number of preemptible running jobs in tiers below t.
func (h *harness) runningBelow(t int) int {
	n := 0
	for j := range h.q.running {
		if j.Tier > t && j.Preemptible {
			n++
		}
	}
	return n
}

func (h *harness) offer(j *Job, tokens int) *fault.Error {
	below := h.runningBelow(j.Tier)
	err := h.q.Enqueue(h.now, j)
	if err != nil {
		h.g.Expect(below).To(BeZero(), "tier %d refused (%v) while a lower tier is running", j.Tier, err)
		h.g.Expect(err.Outcome).To(Equal(fault.NotRun))
		h.g.Expect(err.RetryAfter).To(BeNumerically(">=", minRetryAfter))
		return err
	}
	h.tokensLeft[j] = tokens
	h.schedule()
	return nil
}

func (h *harness) schedule() {
	for {
		if j, ok := h.q.Next(h.now); ok {
			h.started[j] = true
			continue
		}
		if h.q.Preempt(h.now) == nil {
			break
		}
	}
	h.g.Expect(h.q.Running()).To(BeNumerically("<=", h.q.cfg.Slots))
}

func (h *harness) tick() {
	h.now = h.now.Add(tick)
	for j := range h.q.running {
		h.q.AddTokens(h.now, j, 1)
		if h.tokensLeft[j]--; h.tokensLeft[j] <= 0 {
			h.q.Remove(h.now, j)
			h.completed[j] = true
		}
	}
	h.schedule()
	for _, j := range h.q.Expire(h.now) {
		h.g.Expect(h.started[j]).To(BeFalse(), "a job expired after it had started")
		h.g.Expect(h.runningBelow(j.Tier)).To(BeZero(), "tier %d expired while a lower tier is running", j.Tier)
		h.shed[j] = true
	}
	h.schedule()
}

func newHelplineCall(id int, now time.Time) *Job {
	return &Job{ID: fmt.Sprint("h", id), Tier: 0, Flow: "board", Cost: 10, FirstTokenTarget: 200 * time.Millisecond,
		StartDeadline: now.Add(2 * time.Second)}
}

func newReport(id int) *Job {
	return &Job{ID: fmt.Sprint("r", id), Tier: 3, Flow: "field", Cost: 200, Floor: 0.1, Preemptible: true,
		StartDeadline: epoch.Add(time.Hour)}
}

// Checks the invariants of the package over random arrivals: no job is refused or
// expires while a preemptible job of a lower tier is running; no slot is free while a
// job is waiting; every accepted job either completes or expires.
func TestNoTierIsShedWhileALowerOneRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		cfg := fullConfig(rapid.IntRange(1, 4).Draw(t, "slots"))
		cfg.QueueLimit = rapid.IntRange(1, 10).Draw(t, "limit")
		cfg.Fairness = rapid.Bool().Draw(t, "fairness")
		h := newHarness(g, cfg)
		var accepted []*Job
		for i := range rapid.IntRange(1, 120).Draw(t, "arrivals") {
			tier := rapid.IntRange(0, Tiers-1).Draw(t, "tier")
			j := &Job{ID: fmt.Sprint(i), Tier: tier, Flow: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "flow"),
				Cost: 5, Preemptible: tier > 0, Floor: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "floor"),
				FirstTokenTarget: rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond}).Draw(t, "target"),
				StartDeadline:    h.now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "start by")) * time.Millisecond)}
			if h.offer(j, rapid.IntRange(1, 40).Draw(t, "tokens")) == nil {
				accepted = append(accepted, j)
			}
			for range rapid.IntRange(0, 8).Draw(t, "ticks") {
				h.tick()
				if h.q.Running() < cfg.Slots {
					for _, n := range h.q.Waiting() {
						g.Expect(n).To(BeZero(), "a slot is free while a job is waiting")
					}
				}
			}
		}
		for range 20000 {
			if h.q.Running() == 0 {
				break
			}
			h.tick()
		}
		for _, j := range accepted {
			g.Expect(h.completed[j] != h.shed[j]).To(BeTrue(), "job %s: completed %v, shed %v", j.ID, h.completed[j], h.shed[j])
		}
	})
}

// A surge of helpline calls lasts ten times as long as the longest report and uses nine
// tenths of the capacity. Every report completes during the surge, and no helpline call
// is shed.
func TestReportsCompleteDuringALongSurge(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(g, fullConfig(4))
	const reportTokens, callTokens = 100, 10
	var reports []*Job
	for i := range 4 {
		r := newReport(i)
		g.Expect(h.offer(r, reportTokens)).To(BeNil())
		reports = append(reports, r)
	}
	calls := 0
	for i := range 10 * reportTokens {
		if i%3 == 0 { // 4 slots serve 0.4 calls per tick
			g.Expect(h.offer(newHelplineCall(calls, h.now), callTokens)).To(BeNil())
			calls++
		}
		h.tick()
	}
	g.Expect(h.shed).To(BeEmpty())
	for _, r := range reports {
		g.Expect(h.completed[r]).To(BeTrue(), r.ID)
		g.Expect(r.preemptions).To(BeNumerically("<=", 2))
	}
}

// At three times the capacity, helpline calls are shed, but never while a report is
// running. The reports wait and complete after the overload.
func TestReportsSurviveAnOverload(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(g, fullConfig(4))
	var reports []*Job
	for i := range 4 {
		r := newReport(i)
		g.Expect(h.offer(r, 100)).To(BeNil())
		reports = append(reports, r)
	}
	refused := 0
	for i := range 1000 {
		if h.offer(newHelplineCall(i, h.now), 10) != nil {
			refused++
		}
		h.tick()
	}
	g.Expect(refused).To(BeNumerically(">", 0))
	for range 1000 {
		h.tick()
	}
	for _, r := range reports {
		g.Expect(h.completed[r]).To(BeTrue(), r.ID)
	}
}

func TestFairnessAmongTeams(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(g, fullConfig(1))
	h.q.cfg.QueueLimit = 1000
	newJob := func(flow string, i int) *Job {
		return &Job{ID: fmt.Sprint(flow, i), Tier: 1, Flow: flow, Cost: 10, StartDeadline: epoch.Add(time.Hour)}
	}
	for i := range 100 {
		g.Expect(h.offer(newJob("large", i), 10)).To(BeNil())
	}
	var small []*Job
	for i := range 5 {
		j := newJob("small", i)
		small = append(small, j)
		g.Expect(h.offer(j, 10)).To(BeNil())
	}
	for range 10 * 12 { // time for twelve jobs, of which five are the small team's
		h.tick()
	}
	for _, j := range small {
		g.Expect(h.completed[j]).To(BeTrue(), j.ID)
	}
}

func TestEarlyRefusalCarriesRetryAfter(t *testing.T) {
	g := NewWithT(t)
	h := newHarness(g, fullConfig(1))
	g.Expect(h.offer(newHelplineCall(0, h.now), 100)).To(BeNil())
	for range 100 {
		h.tick()
	}
	for i := range 3 { // each takes 1 s, so the fourth cannot start within its 2 s
		g.Expect(h.offer(newHelplineCall(i+1, h.now), 100)).To(BeNil())
	}
	err := h.offer(newHelplineCall(9, h.now), 100)
	g.Expect(err).NotTo(BeNil())
	g.Expect(err.Code).To(Equal(fault.WaitTooLong))
	g.Expect(err.RetryAfter).To(BeNumerically("~", 2500*time.Millisecond, 200*time.Millisecond))
}

func TestFIFOBaselineKeepsArrivalOrder(t *testing.T) {
	g := NewWithT(t)
	cfg := fullConfig(1)
	cfg.FIFO = true
	q := New(cfg)
	for i := range 5 {
		g.Expect(q.Enqueue(epoch, &Job{ID: fmt.Sprint(i), Tier: 4 - i, StartDeadline: epoch.Add(time.Hour)})).To(BeNil())
	}
	for i := range 5 {
		j, ok := q.Next(epoch)
		g.Expect(ok).To(BeTrue())
		g.Expect(j.ID).To(Equal(fmt.Sprint(i)))
		q.Remove(epoch, j)
	}
}

func BenchmarkEnqueueNextRemoveWith10000Queued(b *testing.B) {
	cfg := fullConfig(64)
	cfg.QueueLimit = 100000
	q := New(cfg)
	for i := range 10000 {
		q.Enqueue(epoch, &Job{Tier: i % Tiers, Flow: fmt.Sprint("team", i%2500), Cost: 50, StartDeadline: epoch.Add(time.Hour)})
	}
	now := epoch
	reusable := &Job{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		*reusable = Job{Tier: i % Tiers, Flow: "team7", Cost: 50, StartDeadline: epoch.Add(24 * time.Hour)}
		now = now.Add(time.Microsecond)
		if err := q.Enqueue(now, reusable); err != nil {
			b.Fatal(err)
		}
		next, _ := q.Next(now)
		q.Remove(now, next)
		reusable = next
	}
}
