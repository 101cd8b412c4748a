package permit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
	"github.com/merlinpost/merlinpost/internal/ratelimit"
)

func backgroundRequest(id string, own int) Ask {
	return Ask{ID: id, Priority: 6, UniqueTokens: own, FirstTokenTarget: 2500 * time.Millisecond, FirstTokenTimeout: 10 * time.Second}
}

// sharedPrefixRequest returns a request with a shared prefix of 5,000 tokens.
func sharedPrefixRequest(id, part string, own int) Ask {
	a := backgroundRequest(id, own)
	a.PrefixID, a.PrefixTokens = part, 5000
	return a
}

// acceptingEngines returns n engines that accept requests.
func acceptingEngines(n int) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{ID: fmt.Sprint("e", i), Accepting: true, TokensPerEvent: 4}
	}
	return out
}

func newQueue(engines int) (*Queue, time.Time) {
	f := enginemodel.NewServiceModel().Estimates()
	f.Observations = 100 // another gateway has confirmed the initial estimates
	q := NewQueue(enginemodel.NewServiceModelFrom(f), ratelimit.New(rand.Float64), Policy{})
	q.SetEngines(acceptingEngines(engines))
	return q, time.Unix(100, 0)
}

// Guards against refusals based on initial estimates: a gateway that had started 0.1 s before, without
// peers and observations, overestimated the time for 85,000 tokens tenfold and answered an
// interactive request with 429, as for overload, 0.2 ms after its arrival.
func TestInitialEstimatesDoNotCauseRefusals(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(enginemodel.NewServiceModel(), ratelimit.New(rand.Float64), Policy{})
	q.SetEngines(acceptingEngines(1))
	now := time.Unix(100, 0)
	refused := func(name string, asks int) (n int) {
		for i := range asks {
			if q.Submit(backgroundRequest(fmt.Sprint(name, i), 10000), now).Verdict == Refused {
				n++
			}
		}
		return n
	}
	g.Expect(refused("early-", 100)).To(BeZero())

	now = now.Add(10 * time.Second) // nor later, while few prefills are completed
	q = NewQueue(enginemodel.NewServiceModel(), ratelimit.New(rand.Float64), Policy{NoLearning: true})
	q.SetEngines(acceptingEngines(1))
	for i := range minCalibrationPrefills {
		g.Expect(refused(fmt.Sprint("few-", i, "-"), 1)).To(BeZero())
		for id := range q.granted {
			q.RecordFirstToken(id, time.Millisecond, now)
			q.Finish(id, StreamStats{}, now)
		}
		q.Poll(now)
	}
	g.Expect(refused("late-", 100)).To(BeNumerically(">", 0), "from then on the estimates are used")
}

// longPromptTokens takes 225 ms to prefill by the initial estimates.
const longPromptTokens = 9000

func TestLongPrefillsRunOneAtATime(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	first := q.Submit(backgroundRequest("a", 6000), now)
	g.Expect(first.Verdict).To(Equal(Granted))
	g.Expect(first.Engine).To(Equal("e0"))
	g.Expect(first.ExpectedPrefill).To(BeNumerically("~", 165*time.Millisecond, time.Millisecond))
	g.Expect(q.Submit(backgroundRequest("b", 6000), now).Verdict).To(Equal(Queued))
	g.Expect(q.Submit(backgroundRequest("b", 6000), now).Verdict).To(Equal(Queued)) // submitted again
	g.Expect(q.Poll(now)).To(BeEmpty())
	now = now.Add(150 * time.Millisecond)
	q.RecordFirstToken("a", 150*time.Millisecond, now)
	due := q.Poll(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].ID).To(Equal("b"))
	g.Expect(due[0].Verdict).To(Equal(Granted))
	g.Expect(q.Submit(backgroundRequest("b", 6000), now).Verdict).To(Equal(Granted)) // the grant was lost
	q.Finish("a", StreamStats{}, now)
	q.Finish("b", StreamStats{}, now)
	g.Expect(q.Idle()).To(BeTrue())
}

// Short prompts are prefilled together with a prefill that is almost complete: they cause no
// noticeable delay.
func TestShortPrefillsRunTogether(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for i := range 4 {
		g.Expect(q.Submit(backgroundRequest(fmt.Sprint(i), 200), now).Verdict).To(Equal(Granted)) // 20 ms each
	}
	g.Expect(q.Submit(backgroundRequest("more", 2000), now).Verdict).To(Equal(Queued))
}

func TestExcessLoadIsRefusedImmediately(t *testing.T) {
	g := NewWithT(t)
	for _, engines := range []int{1, 4} {
		q, now := newQueue(engines)
		refused := 0
		for i := range 100 * engines {
			a := q.Submit(backgroundRequest(fmt.Sprint(i), 10000), now)
			if a.Verdict == Refused {
				refused++
				g.Expect(a.Wait).To(BeNumerically(">=", minRetryAfter))
				g.Expect(a.Wait).To(BeNumerically("<=", maxRetryAfter))
			}
		}
		// 10,000 tokens take 265 ms. During overload only requests that can be on time wait: nine per
		// engine start within the target of 2.5 s.
		g.Expect(100*engines - refused).To(BeNumerically("~", 9*engines, 2*engines))
	}
}

func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(backgroundRequest("running", longPromptTokens), now)
	q.Submit(backgroundRequest("early", 1000), now)
	urgent := backgroundRequest("urgent", 1000)
	urgent.Priority = 0
	q.Submit(urgent, now.Add(time.Millisecond))
	q.RecordFirstToken("running", 100*time.Millisecond, now.Add(100*time.Millisecond))
	due := q.Poll(now.Add(100 * time.Millisecond))
	g.Expect(due[0].ID).To(Equal("urgent"))
}

func TestOnTimeRequestsPrecedeLateOnes(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(backgroundRequest("running", longPromptTokens), now)
	q.Submit(backgroundRequest("late", 3000), now)
	now = now.Add(2300 * time.Millisecond)
	q.granted["running"].prefillDeadline = now.Add(time.Second)
	q.Submit(backgroundRequest("timely", 3000), now)
	q.RecordFirstToken("running", 100*time.Millisecond, now)
	due := q.Poll(now)
	g.Expect(due[0].ID).To(Equal("timely"))
}

// A lost report or gateway blocks an engine for three times the expected prefill plus a margin, not
// for seconds. Before this limit, the loss of 3 of 21 gateways blocked a seventh of the engines
// for 3 s.
func TestLostReportDoesNotBlockEngine(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(backgroundRequest("lost", 3000), now) // 90 ms
	q.Submit(backgroundRequest("next", 3000), now)
	g.Expect(q.Poll(now.Add(300 * time.Millisecond))).To(BeEmpty())
	g.Expect(q.Poll(now.Add(430 * time.Millisecond))).To(BeEmpty()) // assumed complete, but the engine may not be responding
	due := q.Poll(now.Add(430*time.Millisecond + initialBackoff + sweepInterval))
	g.Expect(due).To(HaveLen(1))
	q.Finish("next", StreamStats{}, now)
	g.Expect(q.Idle()).To(BeFalse())
	q.Poll(now.Add(grantTTL + time.Millisecond)) // the end of "lost" was never reported
	g.Expect(q.Idle()).To(BeTrue())
	g.Expect(q.sortedEngines[0].requests).To(BeEmpty())
}

// A request that is not repeated no longer has a gateway.
func TestRequestNotResubmittedIsDropped(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(backgroundRequest("running", longPromptTokens), now)
	q.Submit(backgroundRequest("gone", longPromptTokens), now)
	q.Submit(backgroundRequest("kept", longPromptTokens), now)
	q.granted["running"].prefillDeadline = now.Add(time.Minute)
	for range 4 {
		now = now.Add(time.Second)
		g.Expect(q.Submit(backgroundRequest("kept", longPromptTokens), now).Verdict).To(Equal(Queued))
		q.Poll(now)
	}
	g.Expect(q.waitingByID).To(HaveKey("kept"))
	g.Expect(q.waitingByID).NotTo(HaveKey("gone"))
}

// Prefill rates are learned from observations, so that expected waits follow the engines' actual speed.
func TestPrefillRateIsLearned(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for i := range 400 {
		id := fmt.Sprint(i)
		own := 2000 + 100*(i%60)
		g.Expect(q.Submit(backgroundRequest(id, own), now).Verdict).To(Equal(Granted))
		took := time.Duration(own) * 50 * time.Microsecond // 20 tokens a ms
		now = now.Add(took)
		q.RecordFirstToken(id, took, now)
		q.Finish(id, StreamStats{}, now)
	}
	g.Expect(q.model.PrefillTime(5000, 0)).To(BeNumerically("~", 250*time.Millisecond, 10*time.Millisecond))
}

// No engine of a group is idle while a prompt waits for another engine.
func TestNoEngineIsIdleWhilePromptsWait(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(3)
	used := map[string]int{}
	for i := range 6 {
		if a := q.Submit(sharedPrefixRequest(fmt.Sprint(i), "same", 6000), now); a.Verdict == Granted {
			used[a.Engine]++
		}
	}
	g.Expect(used).To(Equal(map[string]int{"e0": 1, "e1": 1, "e2": 1}))
	g.Expect(q.waiting).To(HaveLen(3))
}

func TestRequestPrefersEngineWithSharedPrefix(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(3)
	first := q.Submit(sharedPrefixRequest("first", "x", 2000), now)
	g.Expect(first.FetchFrom).To(BeEmpty())
	g.Expect(q.granted["first"].prefillTokens).To(Equal(7000)) // the prefix is not cached anywhere
	now = now.Add(200 * time.Millisecond)
	q.RecordFirstToken("first", 100*time.Millisecond, now)
	second := q.Submit(sharedPrefixRequest("second", "x", 2000), now)
	g.Expect(second.Engine).To(Equal(first.Engine))
	g.Expect(second.FetchFrom).To(BeEmpty())
	g.Expect(q.granted["second"].prefillTokens).To(Equal(2000))
	// While the engine that caches the prefix is busy, another one fetches it from there.
	q.Submit(sharedPrefixRequest("third", "x", 6000), now)
	fourth := q.Submit(sharedPrefixRequest("fourth", "x", 6000), now)
	g.Expect(fourth.Verdict).To(Equal(Granted))
	g.Expect(fourth.Engine).NotTo(Equal(first.Engine))
	g.Expect(fourth.FetchFrom).To(Equal(first.Engine))
	q.Finish("second", StreamStats{}, now)
	q.Finish("third", StreamStats{}, now)
	now = now.Add(100 * time.Millisecond)
	q.RecordFirstToken("fourth", 100*time.Millisecond, now)
	// A prefix can be fetched from an engine that no longer accepts prompts, but not from one
	// that has been removed.
	now = now.Add(time.Second)
	list := acceptingEngines(3)
	for i := range list {
		list[i].Accepting = list[i].ID != first.Engine && list[i].ID != fourth.Engine
	}
	q.SetEngines(list)
	fifth := q.Submit(sharedPrefixRequest("fifth", "x", 2000), now)
	g.Expect(fifth.FetchFrom).To(Equal(fourth.Engine)) // the most recent user
	q.Finish("fifth", StreamStats{}, now)
	for i := range list {
		list[i].Accepting = true
		if list[i].ID == fifth.Engine {
			q.SetEngines(list[i : i+1])
		}
	}
	g.Expect(q.Submit(sharedPrefixRequest("sixth", "x", 2000), now).FetchFrom).To(BeEmpty())
}

// A gateway that takes over the scheduling does not know where prefixes are cached. Every gateway
// chooses the same engine for a prefix, so that prefixes prefilled earlier are found again.
func TestPrefixNotKnownToBeCachedGoesToItsHomeEngine(t *testing.T) {
	g := NewWithT(t)
	before, now := newQueue(5)
	homes := map[string]bool{}
	for i := range 40 {
		after, _ := newQueue(5)
		part := fmt.Sprint("part", i)
		first := before.Submit(sharedPrefixRequest(part, part, 1000), now)
		before.Finish(part, StreamStats{}, now)
		second := after.Submit(sharedPrefixRequest("x", part, 1000), now)
		g.Expect(second.Engine).To(Equal(first.Engine))
		g.Expect(second.FetchFrom).To(BeEmpty())
		homes[second.Engine] = true
		// While the home engine is busy, the prefix is still fetched from there.
		after.Submit(backgroundRequest("y", longPromptTokens), now)
		busy, _ := newQueue(5)
		for _, e := range busy.sortedEngines {
			if e.ID == first.Engine {
				busy.grant(&entry{request: backgroundRequest("busy", longPromptTokens)}, candidate{engine: e, prefillTokens: longPromptTokens, prefill: time.Second}, now)
			}
		}
		g.Expect(busy.Submit(sharedPrefixRequest("z", part, 1000), now).FetchFrom).To(Equal(first.Engine))
	}
	g.Expect(len(homes)).To(BeNumerically(">", 2))
}

func TestRequestThatCannotStartInTimeIsRefused(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(backgroundRequest("running", 5*longPromptTokens), now) // 1.1 s
	tight := backgroundRequest("tight", 1000)
	tight.FirstTokenTimeout = 500 * time.Millisecond
	g.Expect(q.Submit(tight, now).Verdict).To(Equal(Refused))
	g.Expect(q.Submit(backgroundRequest("other", 1000), now).Verdict).To(Equal(Queued))
}

func TestPrefixesExpire(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(sharedPrefixRequest("a", "x", 2000), now)
	q.RecordFirstToken("a", 100*time.Millisecond, now)
	q.Finish("a", StreamStats{}, now)
	q.Poll(now.Add(prefixTTL + pruneInterval + time.Millisecond))
	g.Expect(q.prefixes.lastUse).To(BeEmpty())
}

// An engine that fails requests immediately always has capacity; it must not attract all waiting
// requests.
func TestFailingEngineDoesNotAttractRequests(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(4)
	at := map[string]int{}
	for i := range 400 {
		id := fmt.Sprint(i)
		a := q.Submit(backgroundRequest(id, 5000), now)
		if a.Verdict == Granted {
			at[a.Engine]++
			if a.Engine == "e0" {
				q.Finish(id, StreamStats{EngineFailed: true}, now)
			}
		}
		now = now.Add(20 * time.Millisecond)
		for granted, e := range q.granted {
			if now.Sub(e.grantedAt) >= 125*time.Millisecond {
				q.RecordFirstToken(granted, 100*time.Millisecond, now)
				q.Finish(granted, StreamStats{}, now)
			}
		}
		for _, due := range q.Poll(now) {
			if due.Verdict == Granted && due.Engine == "e0" {
				at["e0"]++
				q.Finish(due.ID, StreamStats{EngineFailed: true}, now)
			}
		}
	}
	g.Expect(at["e0"]).To(BeNumerically(">", 0))
	g.Expect(at["e0"]).To(BeNumerically("<", 12)) // 8 s with backoffs of up to 2 s
}

func TestExcludedEnginesAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(2)
	a := backgroundRequest("a", 2000)
	a.ExcludedEngines = []string{"e0"}
	g.Expect(q.Submit(a, now).Engine).To(Equal("e1"))
	b := backgroundRequest("b", 2000)
	b.ExcludedEngines = []string{"e0", "e1"}
	g.Expect(q.Submit(b, now).Verdict).To(Equal(NoEngine)) // regardless of the load
}

// A gateway that has not read the list of engines yet, for example one that started while the store
// was unavailable, must not refuse requests that others could serve.
func TestRequestIsGrantedWithoutEngineIfGroupIsUnknown(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(0)
	a := q.Submit(backgroundRequest("a", 2000), now)
	g.Expect(a.Verdict).To(Equal(Granted))
	g.Expect(a.Engine).To(BeEmpty())
	g.Expect(q.Idle()).To(BeTrue())
}

// For any sequence of calls each request gets exactly one final decision, each engine's accounting
// matches the requests granted to it, and no state remains after all requests have ended.
func TestEachRequestGetsOneDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := newQueue(rapid.IntRange(1, 4).Draw(t, "engines"))
		open, granted := map[string]bool{}, map[string]int{}
		settle := func(a Decision) {
			switch a.Verdict {
			case Queued:
				open[a.ID] = true
				return
			case Granted:
				if (a.Engine == "") != (len(q.sortedEngines) == 0) || a.Engine != "" && a.Engine == a.FetchFrom {
					t.Fatalf("granted %q of %d engines with the prefix from %q", a.Engine, len(q.sortedEngines), a.FetchFrom)
				}
				granted[a.ID] = 1
			}
			delete(open, a.ID)
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			for _, a := range q.Poll(now) {
				if !open[a.ID] {
					t.Fatalf("a second decision for %s", a.ID)
				}
				settle(a)
			}
			id := fmt.Sprint("r", rapid.IntRange(0, i).Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				if a := fmt.Sprint("r", i); !open[a] {
					settle(q.Submit(Ask{ID: a, Priority: rapid.IntRange(0, 8).Draw(t, "rank"), UniqueTokens: rapid.IntRange(1, 30000).Draw(t, "own"),
						PrefixID: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "part"), PrefixTokens: rapid.IntRange(0, 6000).Draw(t, "shared"),
						FirstTokenTarget:  time.Duration(rapid.IntRange(1, 3000).Draw(t, "target")) * time.Millisecond,
						FirstTokenTimeout: time.Duration(rapid.IntRange(1, 10000).Draw(t, "limit")) * time.Millisecond}, now))
				}
			case 2:
				q.RecordFirstToken(id, 100*time.Millisecond, now)
			case 3:
				q.SetEngines(acceptingEngines(rapid.IntRange(0, 4).Draw(t, "engines")))
			default:
				q.Finish(id, StreamStats{EngineFailed: rapid.Bool().Draw(t, "failed"), Events: rapid.IntRange(0, 90).Draw(t, "events"),
					Duration: time.Duration(rapid.IntRange(0, 9000).Draw(t, "took")) * time.Millisecond, LongestGap: time.Duration(rapid.IntRange(0, 900).Draw(t, "longest")) * time.Millisecond}, now)
				delete(open, id)
				delete(granted, id)
			}
			checkAccounting(t, q)
		}
		for id := range open {
			q.Finish(id, StreamStats{}, now)
		}
		for id := range granted {
			q.Finish(id, StreamStats{}, now)
		}
		for _, e := range q.sortedEngines {
			if e.pendingPrefillTokens != 0 || e.pendingPrefills != 0 || len(e.requests) != 0 || e.reservedTokens != 0 {
				t.Fatalf("state remains at %s: %d tokens, %d requests", e.ID, e.pendingPrefillTokens, len(e.requests))
			}
		}
		if len(q.waiting) != 0 || len(q.waitingByID) != 0 || len(q.granted) != 0 {
			t.Fatalf("state remains: %d waiting, %d granted", len(q.waiting), len(q.granted))
		}
	})
}

// checkAccounting compares each engine's accounting with the requests granted to it.
func checkAccounting(t *rapid.T, q *Queue) {
	reading, prompts := map[*engine]int{}, map[*engine]int{}
	for _, e := range q.granted {
		if !e.prefillDone {
			reading[e.engine] += e.prefillTokens
			prompts[e.engine]++
		}
	}
	for _, e := range q.sortedEngines {
		if reading[e] != e.pendingPrefillTokens || prompts[e] != e.pendingPrefills {
			t.Fatalf("%s has %d pending tokens of %d prompts, accounted %d of %d", e.ID, reading[e], prompts[e], e.pendingPrefillTokens, e.pendingPrefills)
		}
	}
	if len(q.waitingByID) != len(q.waiting) {
		t.Fatalf("%d waiting, %d by ID", len(q.waiting), len(q.waitingByID))
	}
}

func TestSchedulerSeparatesGroups(t *testing.T) {
	g := NewWithT(t)
	lists := 0
	told := func(string) (enginemodel.Estimates, bool) { return enginemodel.Estimates{}, false }
	d := NewScheduler[string](func(Group) []Engine { lists++; return acceptingEngines(1) }, told, ratelimit.New(rand.Float64), Policy{})
	now := time.Unix(100, 0)
	one, two := Group{Service: "s"}, Group{Service: "s", Index: 1}
	g.Expect(d.Submit(one, backgroundRequest("a", longPromptTokens), "gw1", now).Verdict).To(Equal(Granted))
	g.Expect(d.Submit(one, backgroundRequest("b", longPromptTokens), "gw2", now).Verdict).To(Equal(Queued))
	g.Expect(d.Submit(two, backgroundRequest("c", longPromptTokens), "gw2", now).Verdict).To(Equal(Granted))
	g.Expect(lists).To(Equal(2))
	g.Expect(d.QueuedCount()).To(Equal(1))
	d.RecordFirstToken(one, "a", 100*time.Millisecond, now)
	due := d.Poll(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].To).To(Equal("gw2"))
	d.Finish(one, "a", StreamStats{}, now)
	d.Finish(one, "b", StreamStats{}, now)
	d.Finish(two, "c", StreamStats{}, now)
	d.Poll(now.Add(idleQueueTTL + time.Second))
	g.Expect(d.queues).To(BeEmpty())
}

// BenchmarkAsk measures one submission, first token and end in a queue of 400 requests for 64 engines
// with 30 streams each. A short prompt on engines without a backlog takes a third of that time.
func BenchmarkSubmit(b *testing.B) {
	q, now := newQueue(64)
	for i := range 64 * 30 {
		id := fmt.Sprint("stream", i)
		q.Submit(backgroundRequest(id, 100), now)
		q.RecordFirstToken(id, time.Millisecond, now)
	}
	for i := range 64 {
		q.Submit(backgroundRequest(fmt.Sprint("running", i), longPromptTokens), now)
	}
	for i := range 400 {
		q.Submit(backgroundRequest(fmt.Sprint("w", i), 100), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		a := backgroundRequest("x", 100)
		q.Submit(a, now)
		q.Poll(now)
		q.Finish("x", StreamStats{}, now)
	}
}

// Guards against refusing bursts of interactive requests while reports are still granted, which
// happened because reports expected to arrive meanwhile were counted as if they went first.
func TestUrgentBurstIsNotRefusedInFavorOfBackgroundRequests(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	sent, refused := map[int]int{}, map[int]int{}
	rank, ends := map[string]int{}, map[string]time.Time{}
	take := func(a Decision) {
		switch a.Verdict {
		case Granted:
			sent[rank[a.ID]]++
			ends[a.ID] = now.Add(a.ExpectedPrefill)
		case Refused:
			refused[rank[a.ID]]++
		}
	}
	ask := func(a Ask) {
		rank[a.ID] = a.Priority
		take(q.Submit(a, now))
	}
	for i := range 1000 { // 20 s
		if i%10 == 0 {
			ask(backgroundRequest(fmt.Sprint("report-", i), 8000))
		}
		if i%100 < 8 { // a burst every 2 s, together half of the engine's time
			urgent := Ask{ID: fmt.Sprint("question-", i), UniqueTokens: 3500, FirstTokenTarget: 300 * time.Millisecond, FirstTokenTimeout: 2 * time.Second}
			ask(urgent)
		}
		now = now.Add(20 * time.Millisecond)
		for id, end := range ends {
			if !now.Before(end) {
				q.RecordFirstToken(id, 0, now)
				q.Finish(id, StreamStats{}, now)
				delete(ends, id)
			}
		}
		for _, a := range q.Poll(now) {
			take(a)
		}
	}
	t.Logf("sent %v, refused %v", sent, refused)
	g.Expect(refused[0]).To(BeZero())
	g.Expect(sent[6]).To(BeNumerically(">", 10))
}
