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

// backgroundRequest returns a request with low priority, long timeouts and no limit on event gaps.
func backgroundRequest(id string, uniqueTokens int) Ask {
	return Ask{ID: id, Priority: 6, UniqueTokens: uniqueTokens, FirstTokenTarget: 2500 * time.Millisecond, FirstTokenTimeout: 10 * time.Second}
}

// sharedPrefixRequest returns a request with a shared prefix of 5,000 tokens.
func sharedPrefixRequest(id, prefixID string, uniqueTokens int) Ask {
	a := backgroundRequest(id, uniqueTokens)
	a.PrefixID, a.PrefixTokens = prefixID, 5000
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

// newQueue returns a queue with the given number of engines and calibrated estimates, and a time for it.
func newQueue(engines int) (*Queue, time.Time) {
	estimates := enginemodel.NewServiceModel().Estimates()
	estimates.Observations = 100 // calibrated by another gateway, which confirmed the initial estimates
	q := NewQueue(enginemodel.NewServiceModelFrom(estimates), ratelimit.New(rand.Float64), Policy{})
	q.SetEngines(acceptingEngines(engines))
	return q, time.Unix(100, 0)
}

// Guards against refusals based on initial estimates: 0.1 s after its start, without peers or observations,
// a gateway overestimated the time for 85,000 tokens tenfold. It refused an interactive request with status
// 429 (overload) within 0.2 ms.
func TestInitialEstimatesDoNotCauseRefusals(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(enginemodel.NewServiceModel(), ratelimit.New(rand.Float64), Policy{})
	q.SetEngines(acceptingEngines(1))
	now := time.Unix(100, 0)
	countRefused := func(name string, requests int) (n int) {
		for i := range requests {
			if q.Submit(backgroundRequest(fmt.Sprint(name, i), 10000), now).Verdict == Refused {
				n++
			}
		}
		return n
	}
	g.Expect(countRefused("early-", 100)).To(BeZero())

	now = now.Add(10 * time.Second) // no refusals later either, while few prefills have completed
	q = NewQueue(enginemodel.NewServiceModel(), ratelimit.New(rand.Float64), Policy{NoLearning: true})
	q.SetEngines(acceptingEngines(1))
	for i := range minCalibrationPrefills {
		g.Expect(countRefused(fmt.Sprint("few-", i, "-"), 1)).To(BeZero())
		for id := range q.granted {
			q.RecordFirstToken(id, time.Millisecond, now)
			q.Finish(id, StreamStats{}, now)
		}
		q.Poll(now)
	}
	g.Expect(countRefused("late-", 100)).To(BeNumerically(">", 0), "the estimates are used after enough prefills")
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
	decisions := q.Poll(now)
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].ID).To(Equal("b"))
	g.Expect(decisions[0].Verdict).To(Equal(Granted))
	g.Expect(q.Submit(backgroundRequest("b", 6000), now).Verdict).To(Equal(Granted)) // the grant was lost
	q.Finish("a", StreamStats{}, now)
	q.Finish("b", StreamStats{}, now)
	g.Expect(q.Idle()).To(BeTrue())
}

// Short prompts are prefilled together with a prefill that is almost complete, as this causes no
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
			decision := q.Submit(backgroundRequest(fmt.Sprint(i), 10000), now)
			if decision.Verdict == Refused {
				refused++
				g.Expect(decision.Wait).To(BeNumerically(">=", minRetryAfter))
				g.Expect(decision.Wait).To(BeNumerically("<=", maxRetryAfter))
			}
		}
		// 10,000 tokens take 265 ms. During overload only requests that can be on time are queued:
		// nine per engine can start within the target of 2.5 s.
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
	decisions := q.Poll(now.Add(100 * time.Millisecond))
	g.Expect(decisions[0].ID).To(Equal("urgent"))
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
	decisions := q.Poll(now)
	g.Expect(decisions[0].ID).To(Equal("timely"))
}

// If a report is lost or a gateway fails, the engine is blocked for three times the expected prefill time
// plus a margin, not for seconds. Without this limit, the loss of 3 of 21 gateways blocked a seventh of the
// engines for 3 s.
func TestLostReportDoesNotBlockEngine(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(backgroundRequest("lost", 3000), now) // 90 ms
	q.Submit(backgroundRequest("next", 3000), now)
	g.Expect(q.Poll(now.Add(300 * time.Millisecond))).To(BeEmpty())
	g.Expect(q.Poll(now.Add(430 * time.Millisecond))).To(BeEmpty()) // counts as prefilled, but the engine is in backoff as it may not respond
	decisions := q.Poll(now.Add(430*time.Millisecond + initialBackoff + sweepInterval))
	g.Expect(decisions).To(HaveLen(1))
	q.Finish("next", StreamStats{}, now)
	g.Expect(q.Idle()).To(BeFalse())
	q.Poll(now.Add(grantTTL + time.Millisecond)) // the end of "lost" was never reported
	g.Expect(q.Idle()).To(BeTrue())
	g.Expect(q.sortedEngines[0].requests).To(BeEmpty())
}

// A waiting request that its gateway no longer submits is dropped, as the gateway is assumed to have failed.
func TestRequestNotResubmittedIsDropped(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(backgroundRequest("running", longPromptTokens), now)
	q.Submit(backgroundRequest("abandoned", longPromptTokens), now)
	q.Submit(backgroundRequest("kept", longPromptTokens), now)
	q.granted["running"].prefillDeadline = now.Add(time.Minute)
	for range 4 {
		now = now.Add(time.Second)
		g.Expect(q.Submit(backgroundRequest("kept", longPromptTokens), now).Verdict).To(Equal(Queued))
		q.Poll(now)
	}
	g.Expect(q.waitingByID).To(HaveKey("kept"))
	g.Expect(q.waitingByID).NotTo(HaveKey("abandoned"))
}

// Prefill times are learned from observations, so that expected waits follow the engines' actual speed.
func TestPrefillRateIsLearned(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for i := range 400 {
		id := fmt.Sprint(i)
		uniqueTokens := 2000 + 100*(i%60)
		g.Expect(q.Submit(backgroundRequest(id, uniqueTokens), now).Verdict).To(Equal(Granted))
		took := time.Duration(uniqueTokens) * 50 * time.Microsecond // 20 tokens per ms
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
	granted := map[string]int{}
	for i := range 6 {
		if d := q.Submit(sharedPrefixRequest(fmt.Sprint(i), "same", 6000), now); d.Verdict == Granted {
			granted[d.Engine]++
		}
	}
	g.Expect(granted).To(Equal(map[string]int{"e0": 1, "e1": 1, "e2": 1}))
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

// A gateway that takes over the scheduling does not know where prefixes are cached. Every gateway chooses
// the same home engine for a prefix, so that it is likely to be cached there already.
func TestPrefixNotKnownToBeCachedGoesToItsHomeEngine(t *testing.T) {
	g := NewWithT(t)
	before, now := newQueue(5)
	homes := map[string]bool{}
	for i := range 40 {
		after, _ := newQueue(5)
		prefix := fmt.Sprint("prefix", i)
		first := before.Submit(sharedPrefixRequest(prefix, prefix, 1000), now)
		before.Finish(prefix, StreamStats{}, now)
		second := after.Submit(sharedPrefixRequest("x", prefix, 1000), now)
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
		g.Expect(busy.Submit(sharedPrefixRequest("z", prefix, 1000), now).FetchFrom).To(Equal(first.Engine))
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

// An engine that fails requests immediately always has capacity, but must not attract all waiting
// requests.
func TestFailingEngineDoesNotAttractRequests(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(4)
	granted := map[string]int{}
	for i := range 400 {
		id := fmt.Sprint(i)
		decision := q.Submit(backgroundRequest(id, 5000), now)
		if decision.Verdict == Granted {
			granted[decision.Engine]++
			if decision.Engine == "e0" {
				q.Finish(id, StreamStats{EngineFailed: true}, now)
			}
		}
		now = now.Add(20 * time.Millisecond)
		for id, e := range q.granted {
			if now.Sub(e.grantedAt) >= 125*time.Millisecond {
				q.RecordFirstToken(id, 100*time.Millisecond, now)
				q.Finish(id, StreamStats{}, now)
			}
		}
		for _, d := range q.Poll(now) {
			if d.Verdict == Granted && d.Engine == "e0" {
				granted["e0"]++
				q.Finish(d.ID, StreamStats{EngineFailed: true}, now)
			}
		}
	}
	g.Expect(granted["e0"]).To(BeNumerically(">", 0))
	g.Expect(granted["e0"]).To(BeNumerically("<", 12)) // 8 s with backoffs of up to 2 s
}

func TestExcludedEnginesAreNotUsed(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(2)
	a := backgroundRequest("a", 2000)
	a.ExcludedEngines = []string{"e0"}
	g.Expect(q.Submit(a, now).Engine).To(Equal("e1"))
	b := backgroundRequest("b", 2000)
	b.ExcludedEngines = []string{"e0", "e1"}
	g.Expect(q.Submit(b, now).Verdict).To(Equal(NoEngine)) // not Refused, as the engines are not overloaded
}

// A gateway that has not read the list of engines yet, for example one that started while the store was
// unavailable, must not refuse requests that other gateways could serve.
func TestRequestIsGrantedWithoutEngineIfGroupIsUnknown(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(0)
	decision := q.Submit(backgroundRequest("a", 2000), now)
	g.Expect(decision.Verdict).To(Equal(Granted))
	g.Expect(decision.Engine).To(BeEmpty())
	g.Expect(q.Idle()).To(BeTrue())
}

// For any sequence of calls each request gets exactly one final decision, each engine's accounting
// matches the requests granted to it, and no state remains after all requests have ended.
func TestEachRequestGetsOneDecision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := newQueue(rapid.IntRange(1, 4).Draw(t, "engines"))
		queued, granted := map[string]bool{}, map[string]int{}
		record := func(d Decision) {
			switch d.Verdict {
			case Queued:
				queued[d.ID] = true
				return
			case Granted:
				if (d.Engine == "") != (len(q.sortedEngines) == 0) || d.Engine != "" && d.Engine == d.FetchFrom {
					t.Fatalf("granted engine %q of %d, prefix fetched from %q", d.Engine, len(q.sortedEngines), d.FetchFrom)
				}
				granted[d.ID] = 1
			}
			delete(queued, d.ID)
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			for _, d := range q.Poll(now) {
				if !queued[d.ID] {
					t.Fatalf("request %s: second final decision", d.ID)
				}
				record(d)
			}
			id := fmt.Sprint("r", rapid.IntRange(0, i).Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				if newID := fmt.Sprint("r", i); !queued[newID] {
					record(q.Submit(Ask{ID: newID, Priority: rapid.IntRange(0, 8).Draw(t, "priority"), UniqueTokens: rapid.IntRange(1, 30000).Draw(t, "unique tokens"),
						PrefixID: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "prefix"), PrefixTokens: rapid.IntRange(0, 6000).Draw(t, "prefix tokens"),
						FirstTokenTarget:  time.Duration(rapid.IntRange(1, 3000).Draw(t, "target")) * time.Millisecond,
						FirstTokenTimeout: time.Duration(rapid.IntRange(1, 10000).Draw(t, "timeout")) * time.Millisecond}, now))
				}
			case 2:
				q.RecordFirstToken(id, 100*time.Millisecond, now)
			case 3:
				q.SetEngines(acceptingEngines(rapid.IntRange(0, 4).Draw(t, "engines")))
			default:
				q.Finish(id, StreamStats{EngineFailed: rapid.Bool().Draw(t, "failed"), Events: rapid.IntRange(0, 90).Draw(t, "events"),
					Duration: time.Duration(rapid.IntRange(0, 9000).Draw(t, "duration")) * time.Millisecond, LongestGap: time.Duration(rapid.IntRange(0, 900).Draw(t, "longest gap")) * time.Millisecond}, now)
				delete(queued, id)
				delete(granted, id)
			}
			checkAccounting(t, q)
		}
		for id := range queued {
			q.Finish(id, StreamStats{}, now)
		}
		for id := range granted {
			q.Finish(id, StreamStats{}, now)
		}
		for _, e := range q.sortedEngines {
			if e.pendingPrefillTokens != 0 || e.pendingPrefills != 0 || len(e.requests) != 0 || e.reservedTokens != 0 {
				t.Fatalf("engine %s is not empty: %d pending tokens, %d requests", e.ID, e.pendingPrefillTokens, len(e.requests))
			}
		}
		if len(q.waiting) != 0 || len(q.waitingByID) != 0 || len(q.granted) != 0 {
			t.Fatalf("queue is not empty: %d waiting, %d granted", len(q.waiting), len(q.granted))
		}
	})
}

// checkAccounting compares each engine's accounting with the requests granted to it.
func checkAccounting(t *rapid.T, q *Queue) {
	tokens, prefills := map[*engine]int{}, map[*engine]int{}
	for _, e := range q.granted {
		if !e.prefillDone {
			tokens[e.engine] += e.prefillTokens
			prefills[e.engine]++
		}
	}
	for _, e := range q.sortedEngines {
		if tokens[e] != e.pendingPrefillTokens || prefills[e] != e.pendingPrefills {
			t.Fatalf("engine %s: %d pending tokens of %d prefills, accounted for %d of %d", e.ID, tokens[e], prefills[e], e.pendingPrefillTokens, e.pendingPrefills)
		}
	}
	if len(q.waitingByID) != len(q.waiting) {
		t.Fatalf("%d waiting requests, %d by ID", len(q.waiting), len(q.waitingByID))
	}
}

func TestSchedulerSeparatesGroups(t *testing.T) {
	g := NewWithT(t)
	listCalls := 0
	noEstimates := func(string) (enginemodel.Estimates, bool) { return enginemodel.Estimates{}, false }
	scheduler := NewScheduler[string](func(Group) []Engine { listCalls++; return acceptingEngines(1) }, noEstimates, ratelimit.New(rand.Float64), Policy{})
	now := time.Unix(100, 0)
	one, two := Group{Service: "s"}, Group{Service: "s", Index: 1}
	g.Expect(scheduler.Submit(one, backgroundRequest("a", longPromptTokens), "gw1", now).Verdict).To(Equal(Granted))
	g.Expect(scheduler.Submit(one, backgroundRequest("b", longPromptTokens), "gw2", now).Verdict).To(Equal(Queued))
	g.Expect(scheduler.Submit(two, backgroundRequest("c", longPromptTokens), "gw2", now).Verdict).To(Equal(Granted))
	g.Expect(listCalls).To(Equal(2))
	g.Expect(scheduler.QueuedCount()).To(Equal(1))
	scheduler.RecordFirstToken(one, "a", 100*time.Millisecond, now)
	decisions := scheduler.Poll(now)
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].To).To(Equal("gw2"))
	scheduler.Finish(one, "a", StreamStats{}, now)
	scheduler.Finish(one, "b", StreamStats{}, now)
	scheduler.Finish(two, "c", StreamStats{}, now)
	scheduler.Poll(now.Add(idleQueueTTL + time.Second))
	g.Expect(scheduler.queues).To(BeEmpty())
}

// BenchmarkSubmit measures submitting, polling and finishing one request in a queue of 400 requests for 64
// engines with 30 streams each. A short prompt on engines without a backlog takes a third of that time.
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

// Guards against refusing bursts of urgent requests while background requests are granted, which happened
// because background requests that were expected to arrive meanwhile were counted as if they went first.
func TestUrgentBurstIsNotRefusedInFavorOfBackgroundRequests(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	granted, refused := map[int]int{}, map[int]int{} // by priority
	priority, ends := map[string]int{}, map[string]time.Time{}
	record := func(d Decision) {
		switch d.Verdict {
		case Granted:
			granted[priority[d.ID]]++
			ends[d.ID] = now.Add(d.ExpectedPrefill)
		case Refused:
			refused[priority[d.ID]]++
		}
	}
	submit := func(a Ask) {
		priority[a.ID] = a.Priority
		record(q.Submit(a, now))
	}
	for i := range 1000 { // 20 s
		if i%10 == 0 {
			submit(backgroundRequest(fmt.Sprint("background-", i), 8000))
		}
		if i%100 < 8 { // a burst every 2 s takes half of the engine's time
			urgent := Ask{ID: fmt.Sprint("urgent-", i), UniqueTokens: 3500, FirstTokenTarget: 300 * time.Millisecond, FirstTokenTimeout: 2 * time.Second}
			submit(urgent)
		}
		now = now.Add(20 * time.Millisecond)
		for id, end := range ends {
			if !now.Before(end) {
				q.RecordFirstToken(id, 0, now)
				q.Finish(id, StreamStats{}, now)
				delete(ends, id)
			}
		}
		for _, d := range q.Poll(now) {
			record(d)
		}
	}
	t.Logf("granted %v, refused %v (by priority)", granted, refused)
	g.Expect(refused[0]).To(BeZero())
	g.Expect(granted[6]).To(BeNumerically(">", 10))
}
