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

// harness drives a Queue as an agent does. Each running job generates one token per tick.
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

// runningBelow counts the preemptible running jobs in tiers below t.
func (b *harness) runningBelow(t int) int {
	n := 0
	for j := range b.q.running {
		if j.Tier > t && j.Preemptible {
			n++
		}
	}
	return n
}

func (b *harness) offer(j *Job, tokens int) *fault.Error {
	below := b.runningBelow(j.Tier)
	err := b.q.Enqueue(b.now, j)
	if err != nil {
		b.g.Expect(below).To(BeZero(), "tier %d refused (%v) while a lower tier is running", j.Tier, err)
		b.g.Expect(err.Outcome).To(Equal(fault.NotRun))
		b.g.Expect(err.RetryAfter).To(BeNumerically(">=", minRetryAfter))
		return err
	}
	b.tokensLeft[j] = tokens
	b.schedule()
	return nil
}

func (b *harness) schedule() {
	for {
		if j, ok := b.q.Next(b.now); ok {
			b.started[j] = true
			continue
		}
		if b.q.Preempt(b.now) == nil {
			break
		}
	}
	b.g.Expect(b.q.Running()).To(BeNumerically("<=", b.q.cfg.Slots))
}

func (b *harness) tick() {
	b.now = b.now.Add(tick)
	for j := range b.q.running {
		b.q.AddTokens(b.now, j, 1)
		if b.tokensLeft[j]--; b.tokensLeft[j] <= 0 {
			b.q.Remove(b.now, j)
			b.completed[j] = true
		}
	}
	b.schedule()
	for _, j := range b.q.Expire(b.now) {
		b.g.Expect(b.started[j]).To(BeFalse(), "a job expired after it had started")
		b.g.Expect(b.runningBelow(j.Tier)).To(BeZero(), "tier %d expired while a lower tier is running", j.Tier)
		b.shed[j] = true
	}
	b.schedule()
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
// job is waiting; every accepted job either finishes or expires.
func TestNoTierIsShedWhileALowerOneRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		cfg := fullConfig(rapid.IntRange(1, 4).Draw(t, "slots"))
		cfg.QueueLimit = rapid.IntRange(1, 10).Draw(t, "limit")
		cfg.Fairness = rapid.Bool().Draw(t, "fairness")
		b := newHarness(g, cfg)
		var accepted []*Job
		for i := range rapid.IntRange(1, 120).Draw(t, "arrivals") {
			tier := rapid.IntRange(0, Tiers-1).Draw(t, "tier")
			j := &Job{ID: fmt.Sprint(i), Tier: tier, Flow: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "flow"),
				Cost: 5, Preemptible: tier > 0, Floor: rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "floor"),
				FirstTokenTarget: rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond}).Draw(t, "target"),
				StartDeadline:    b.now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "start by")) * time.Millisecond)}
			if b.offer(j, rapid.IntRange(1, 40).Draw(t, "tokens")) == nil {
				accepted = append(accepted, j)
			}
			for range rapid.IntRange(0, 8).Draw(t, "ticks") {
				b.tick()
				if b.q.Running() < cfg.Slots {
					for _, n := range b.q.Waiting() {
						g.Expect(n).To(BeZero(), "a slot is free while a job is waiting")
					}
				}
			}
		}
		for range 20000 {
			if b.q.Running() == 0 {
				break
			}
			b.tick()
		}
		for _, j := range accepted {
			g.Expect(b.completed[j] != b.shed[j]).To(BeTrue(), "job %s: finished %v, shed %v", j.ID, b.completed[j], b.shed[j])
		}
	})
}

// A helpline surge lasts ten times as long as the longest report and uses nine tenths
// of the capacity. Every report completes during the surge and no helpline call is shed.
func TestReportsCompleteDuringALongSurge(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(g, fullConfig(4))
	const reportTokens, callTokens = 100, 10
	var reports []*Job
	for i := range 4 {
		r := newReport(i)
		g.Expect(b.offer(r, reportTokens)).To(BeNil())
		reports = append(reports, r)
	}
	calls := 0
	for i := range 10 * reportTokens {
		if i%3 == 0 { // 4 slots serve 0.4 calls per tick
			g.Expect(b.offer(newHelplineCall(calls, b.now), callTokens)).To(BeNil())
			calls++
		}
		b.tick()
	}
	g.Expect(b.shed).To(BeEmpty())
	for _, r := range reports {
		g.Expect(b.completed[r]).To(BeTrue(), r.ID)
		g.Expect(r.preemptions).To(BeNumerically("<=", 2))
	}
}

// At three times the capacity helpline calls are shed, but never while a report is
// running. The reports wait and complete after the surge.
func TestReportsSurviveAnOverload(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(g, fullConfig(4))
	var reports []*Job
	for i := range 4 {
		r := newReport(i)
		g.Expect(b.offer(r, 100)).To(BeNil())
		reports = append(reports, r)
	}
	refused := 0
	for i := range 1000 {
		if b.offer(newHelplineCall(i, b.now), 10) != nil {
			refused++
		}
		b.tick()
	}
	g.Expect(refused).To(BeNumerically(">", 0))
	for range 1000 {
		b.tick()
	}
	for _, r := range reports {
		g.Expect(b.completed[r]).To(BeTrue(), r.ID)
	}
}

func TestFairnessAmongTeams(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(g, fullConfig(1))
	b.q.cfg.QueueLimit = 1000
	newJob := func(flow string, i int) *Job {
		return &Job{ID: fmt.Sprint(flow, i), Tier: 1, Flow: flow, Cost: 10, StartDeadline: epoch.Add(time.Hour)}
	}
	for i := range 100 {
		g.Expect(b.offer(newJob("large", i), 10)).To(BeNil())
	}
	var small []*Job
	for i := range 5 {
		j := newJob("small", i)
		small = append(small, j)
		g.Expect(b.offer(j, 10)).To(BeNil())
	}
	for range 10 * 12 { // time for twelve jobs, of which five are the small team's
		b.tick()
	}
	for _, j := range small {
		g.Expect(b.completed[j]).To(BeTrue(), j.ID)
	}
}

func TestEarlyRefusalCarriesRetryAfter(t *testing.T) {
	g := NewWithT(t)
	b := newHarness(g, fullConfig(1))
	g.Expect(b.offer(newHelplineCall(0, b.now), 100)).To(BeNil())
	for range 100 {
		b.tick()
	}
	for i := range 3 { // each takes 1 s, so the fourth cannot start within its 2 s
		g.Expect(b.offer(newHelplineCall(i+1, b.now), 100)).To(BeNil())
	}
	err := b.offer(newHelplineCall(9, b.now), 100)
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

func BenchmarkOfferNextDoneWith10000Queued(b *testing.B) {
	cfg := fullConfig(64)
	cfg.QueueLimit = 100000
	q := New(cfg)
	for i := range 10000 {
		q.Enqueue(epoch, &Job{Tier: i % Tiers, Flow: fmt.Sprint("team", i%2500), Cost: 50, StartDeadline: epoch.Add(time.Hour)})
	}
	now := epoch
	spare := &Job{}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		*spare = Job{Tier: i % Tiers, Flow: "team7", Cost: 50, StartDeadline: epoch.Add(24 * time.Hour)}
		now = now.Add(time.Microsecond)
		if err := q.Enqueue(now, spare); err != nil {
			b.Fatal(err)
		}
		next, _ := q.Next(now)
		q.Remove(now, next)
		spare = next
	}
}
