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

func long(id string, own int) Ask {
	return Ask{ID: id, Priority: 6, UniqueTokens: own, FirstTokenTarget: 2500 * time.Millisecond, FirstTokenTimeout: 10 * time.Second}
}

// sharing is an ask for a prompt with a shared part of 5,000 tokens.
func sharing(id, part string, own int) Ask {
	a := long(id, own)
	a.PrefixID, a.PrefixTokens = part, 5000
	return a
}

// names returns n engines, all open.
func names(n int) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{ID: fmt.Sprint("e", i), Accepting: true, TokensPerEvent: 4}
	}
	return out
}

func newQueue(engines int) (*Queue, time.Time) {
	f := enginemodel.NewServiceModel().Estimates()
	f.Observations = 100 // another gateway has found that the start values are right
	q := NewQueue(enginemodel.NewServiceModelFrom(f), ratelimit.New(rand.Float64), Policy{})
	q.SetEngines(names(engines))
	return q, time.Unix(100, 0)
}

// What users saw: an interactive request was told 429, as for load, 0.2 ms after it had come, by a
// gateway that had started 0.1 s before. It knew no other gateway and had learnt nothing, and
// took 85,000 tokens for ten times as long as its engines needed.
func TestNobodyIsRefusedByStartValues(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(enginemodel.NewServiceModel(), ratelimit.New(rand.Float64), Policy{})
	q.SetEngines(names(1))
	now := time.Unix(100, 0)
	refused := func(name string, asks int) (n int) {
		for i := range asks {
			if q.Submit(long(fmt.Sprint(name, i), 10000), now).Verdict == Refused {
				n++
			}
		}
		return n
	}
	g.Expect(refused("early-", 100)).To(BeZero())

	now = now.Add(10 * time.Second) // nor later, while little was read
	q = NewQueue(enginemodel.NewServiceModel(), ratelimit.New(rand.Float64), Policy{NoLearning: true})
	q.SetEngines(names(1))
	for i := range manyRead {
		g.Expect(refused(fmt.Sprint("few-", i, "-"), 1)).To(BeZero())
		for id := range q.granted {
			q.RecordFirstToken(id, time.Millisecond, now)
			q.Finish(id, StreamStats{}, now)
		}
		q.Poll(now)
	}
	g.Expect(refused("late-", 100)).To(BeNumerically(">", 0), "by then the figures count as they are")
}

// huge is a prompt that engines read for long: by the start values 225 ms.
const huge = 9000

func TestPromptsAreReadOneAtATime(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	first := q.Submit(long("a", 6000), now)
	g.Expect(first.Verdict).To(Equal(Granted))
	g.Expect(first.Engine).To(Equal("e0"))
	g.Expect(first.ExpectedPrefill).To(BeNumerically("~", 165*time.Millisecond, time.Millisecond))
	g.Expect(q.Submit(long("b", 6000), now).Verdict).To(Equal(Queued))
	g.Expect(q.Submit(long("b", 6000), now).Verdict).To(Equal(Queued)) // asked again
	g.Expect(q.Poll(now)).To(BeEmpty())
	now = now.Add(150 * time.Millisecond)
	q.RecordFirstToken("a", 150*time.Millisecond, now)
	due := q.Poll(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].ID).To(Equal("b"))
	g.Expect(due[0].Verdict).To(Equal(Granted))
	g.Expect(q.Submit(long("b", 6000), now).Verdict).To(Equal(Granted)) // its grant was lost
	q.Finish("a", StreamStats{}, now)
	q.Finish("b", StreamStats{}, now)
	g.Expect(q.Idle()).To(BeTrue())
}

// Short prompts are read together with what is nearly read: they take no time that
// anybody notices.
func TestShortPromptsAreReadTogether(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for i := range 4 {
		g.Expect(q.Submit(long(fmt.Sprint(i), 200), now).Verdict).To(Equal(Granted)) // 20 ms each
	}
	g.Expect(q.Submit(long("more", 2000), now).Verdict).To(Equal(Queued))
}

func TestWhatCannotBeReadInTimeIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	for _, engines := range []int{1, 4} {
		q, now := newQueue(engines)
		refused := 0
		for i := range 100 * engines {
			a := q.Submit(long(fmt.Sprint(i), 10000), now)
			if a.Verdict == Refused {
				refused++
				g.Expect(a.Wait).To(BeNumerically(">=", shortestReturn))
				g.Expect(a.Wait).To(BeNumerically("<=", longestReturn))
			}
		}
		// 10,000 tokens take 265 ms. While more comes than can be read, only what can be on
		// time waits: nine at each engine are begun within the target of 2.5 s.
		g.Expect(100*engines - refused).To(BeNumerically("~", 9*engines, 2*engines))
	}
}

func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(long("running", huge), now)
	q.Submit(long("early", 1000), now)
	urgent := long("urgent", 1000)
	urgent.Priority = 0
	q.Submit(urgent, now.Add(time.Millisecond))
	q.RecordFirstToken("running", 100*time.Millisecond, now.Add(100*time.Millisecond))
	due := q.Poll(now.Add(100 * time.Millisecond))
	g.Expect(due[0].ID).To(Equal("urgent"))
}

func TestWhatCanStillBeOnTimeGoesBeforeWhatIsLate(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(long("running", huge), now)
	q.Submit(long("late", 3000), now)
	now = now.Add(2300 * time.Millisecond)
	q.granted["running"].lost = now.Add(time.Second)
	q.Submit(long("timely", 3000), now)
	q.RecordFirstToken("running", 100*time.Millisecond, now)
	due := q.Poll(now)
	g.Expect(due[0].ID).To(Equal("timely"))
}

// A notice that is lost, or a gateway that is gone, holds an engine up for three times the
// expected reading and a little, not for seconds: after the end of 3 of 21 gateways a
// seventh of the engines stood still for 3 s.
func TestALostNoticeDoesNotStopAnEngine(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(long("lost", 3000), now) // 90 ms
	q.Submit(long("next", 3000), now)
	g.Expect(q.Poll(now.Add(300 * time.Millisecond))).To(BeEmpty())
	g.Expect(q.Poll(now.Add(430 * time.Millisecond))).To(BeEmpty()) // read, but the engine may be silent
	due := q.Poll(now.Add(430*time.Millisecond + firstPause + lookEvery))
	g.Expect(due).To(HaveLen(1))
	q.Finish("next", StreamStats{}, now)
	g.Expect(q.Idle()).To(BeFalse())
	q.Poll(now.Add(forgetGranted + time.Millisecond)) // the end of "lost" was lost too
	g.Expect(q.Idle()).To(BeTrue())
	g.Expect(q.ordered[0].runs).To(BeEmpty())
}

// An ask that is not repeated has no gateway behind it any more.
func TestAnAskThatIsNotRepeatedIsDropped(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(long("running", huge), now)
	q.Submit(long("gone", huge), now)
	q.Submit(long("kept", huge), now)
	q.granted["running"].lost = now.Add(time.Minute)
	for range 4 {
		now = now.Add(time.Second)
		g.Expect(q.Submit(long("kept", huge), now).Verdict).To(Equal(Queued))
		q.Poll(now)
	}
	g.Expect(q.asked).To(HaveKey("kept"))
	g.Expect(q.asked).NotTo(HaveKey("gone"))
}

// What engines do is learnt from what is read, so that waits are told by it.
func TestTheRateIsLearnt(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for i := range 400 {
		id := fmt.Sprint(i)
		own := 2000 + 100*(i%60)
		g.Expect(q.Submit(long(id, own), now).Verdict).To(Equal(Granted))
		took := time.Duration(own) * 50 * time.Microsecond // 20 tokens a ms
		now = now.Add(took)
		q.RecordFirstToken(id, took, now)
		q.Finish(id, StreamStats{}, now)
	}
	g.Expect(q.model.PrefillTime(5000, 0)).To(BeNumerically("~", 250*time.Millisecond, 10*time.Millisecond))
}

// No engine of a group is idle while a prompt waits for another.
func TestNoEngineIsIdleWhilePromptsWait(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(3)
	used := map[string]int{}
	for i := range 6 {
		if a := q.Submit(sharing(fmt.Sprint(i), "same", 6000), now); a.Verdict == Granted {
			used[a.Engine]++
		}
	}
	g.Expect(used).To(Equal(map[string]int{"e0": 1, "e1": 1, "e2": 1}))
	g.Expect(q.waiting).To(HaveLen(3))
}

func TestARequestGoesWhereItsSharedPartIs(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(3)
	first := q.Submit(sharing("first", "x", 2000), now)
	g.Expect(first.FetchFrom).To(BeEmpty())
	g.Expect(q.granted["first"].unread).To(Equal(7000)) // nobody holds the part
	now = now.Add(200 * time.Millisecond)
	q.RecordFirstToken("first", 100*time.Millisecond, now)
	second := q.Submit(sharing("second", "x", 2000), now)
	g.Expect(second.Engine).To(Equal(first.Engine))
	g.Expect(second.FetchFrom).To(BeEmpty())
	g.Expect(q.granted["second"].unread).To(Equal(2000))
	// With its holder busy it goes elsewhere and fetches the part from there.
	q.Submit(sharing("third", "x", 6000), now)
	fourth := q.Submit(sharing("fourth", "x", 6000), now)
	g.Expect(fourth.Verdict).To(Equal(Granted))
	g.Expect(fourth.Engine).NotTo(Equal(first.Engine))
	g.Expect(fourth.FetchFrom).To(Equal(first.Engine))
	q.Finish("second", StreamStats{}, now)
	q.Finish("third", StreamStats{}, now)
	now = now.Add(100 * time.Millisecond)
	q.RecordFirstToken("fourth", 100*time.Millisecond, now)
	// A holder that left the part for long prompts can still be fetched from, one that
	// is gone can't.
	now = now.Add(time.Second)
	list := names(3)
	for i := range list {
		list[i].Accepting = list[i].ID != first.Engine && list[i].ID != fourth.Engine
	}
	q.SetEngines(list)
	fifth := q.Submit(sharing("fifth", "x", 2000), now)
	g.Expect(fifth.FetchFrom).To(Equal(fourth.Engine)) // which used it last
	q.Finish("fifth", StreamStats{}, now)
	for i := range list {
		list[i].Accepting = true
		if list[i].ID == fifth.Engine {
			q.SetEngines(list[i : i+1])
		}
	}
	g.Expect(q.Submit(sharing("sixth", "x", 2000), now).FetchFrom).To(BeEmpty())
}

// After a change of who decides nothing is known of parts. Whoever decides comes to
// the same engine, so that parts that were read there are met again.
func TestAPartOfWhichNothingIsKnownGoesToItsHome(t *testing.T) {
	g := NewWithT(t)
	before, now := newQueue(5)
	homes := map[string]bool{}
	for i := range 40 {
		after, _ := newQueue(5)
		part := fmt.Sprint("part", i)
		first := before.Submit(sharing(part, part, 1000), now)
		before.Finish(part, StreamStats{}, now)
		second := after.Submit(sharing("x", part, 1000), now)
		g.Expect(second.Engine).To(Equal(first.Engine))
		g.Expect(second.FetchFrom).To(BeEmpty())
		homes[second.Engine] = true
		// With the home busy the part is sought there all the same.
		after.Submit(long("y", huge), now)
		busy, _ := newQueue(5)
		for _, e := range busy.ordered {
			if e.ID == first.Engine {
				busy.grant(&entry{ask: long("busy", huge)}, site{engine: e, unread: huge, reading: time.Second}, now)
			}
		}
		g.Expect(busy.Submit(sharing("z", part, 1000), now).FetchFrom).To(Equal(first.Engine))
	}
	g.Expect(len(homes)).To(BeNumerically(">", 2))
}

func TestWhatCannotBeBegunBeforeItsLimitIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(long("running", 5*huge), now) // 1.1 s
	tight := long("tight", 1000)
	tight.FirstTokenTimeout = 500 * time.Millisecond
	g.Expect(q.Submit(tight, now).Verdict).To(Equal(Refused))
	g.Expect(q.Submit(long("other", 1000), now).Verdict).To(Equal(Queued))
}

func TestPartsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(sharing("a", "x", 2000), now)
	q.RecordFirstToken("a", 100*time.Millisecond, now)
	q.Finish("a", StreamStats{}, now)
	q.Poll(now.Add(holdFor + pruneEvery + time.Millisecond))
	g.Expect(q.prefixes.held).To(BeEmpty())
}

// An engine that fails requests at once always has room; it must not draw in all
// that waits.
func TestAFailingEngineDoesNotDrawRequestsIn(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(4)
	at := map[string]int{}
	for i := range 400 {
		id := fmt.Sprint(i)
		a := q.Submit(long(id, 5000), now)
		if a.Verdict == Granted {
			at[a.Engine]++
			if a.Engine == "e0" {
				q.Finish(id, StreamStats{EngineFailed: true}, now)
			}
		}
		now = now.Add(20 * time.Millisecond)
		for granted, e := range q.granted {
			if now.Sub(e.granted) >= 125*time.Millisecond {
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
	g.Expect(at["e0"]).To(BeNumerically("<", 12)) // 8 s with pauses of up to 2 s
}

func TestEnginesThatTheAskerCannotUseAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(2)
	a := long("a", 2000)
	a.ExcludedEngines = []string{"e0"}
	g.Expect(q.Submit(a, now).Engine).To(Equal("e1"))
	b := long("b", 2000)
	b.ExcludedEngines = []string{"e0", "e1"}
	g.Expect(q.Submit(b, now).Verdict).To(Equal(NoEngine)) // whatever the load
}

// A gateway that has not read the list of engines yet, for one that started while the
// store is away, must not refuse what others could serve.
func TestWhoKnowsNoEngineLeavesItToTheAsker(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(0)
	a := q.Submit(long("a", 2000), now)
	g.Expect(a.Verdict).To(Equal(Granted))
	g.Expect(a.Engine).To(BeEmpty())
	g.Expect(q.Idle()).To(BeTrue())
}

// Whatever is asked and told in whatever order: each ask gets one final verdict, each
// engine's account is that of what was granted there, and nothing is left behind once all
// have ended.
func TestEachAskGetsOneVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := newQueue(rapid.IntRange(1, 4).Draw(t, "engines"))
		open, granted := map[string]bool{}, map[string]int{}
		settle := func(a Decision) {
			switch a.Verdict {
			case Queued:
				open[a.ID] = true
				return
			case Granted:
				if (a.Engine == "") != (len(q.ordered) == 0) || a.Engine != "" && a.Engine == a.FetchFrom {
					t.Fatalf("granted %q of %d engines with the part from %q", a.Engine, len(q.ordered), a.FetchFrom)
				}
				granted[a.ID] = 1
			}
			delete(open, a.ID)
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			for _, a := range q.Poll(now) {
				if !open[a.ID] {
					t.Fatalf("a second verdict for %s", a.ID)
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
				q.SetEngines(names(rapid.IntRange(0, 4).Draw(t, "engines")))
			default:
				q.Finish(id, StreamStats{EngineFailed: rapid.Bool().Draw(t, "failed"), Events: rapid.IntRange(0, 90).Draw(t, "events"),
					Duration: time.Duration(rapid.IntRange(0, 9000).Draw(t, "took")) * time.Millisecond, LongestGap: time.Duration(rapid.IntRange(0, 900).Draw(t, "longest")) * time.Millisecond}, now)
				delete(open, id)
				delete(granted, id)
			}
			checkReading(t, q)
		}
		for id := range open {
			q.Finish(id, StreamStats{}, now)
		}
		for id := range granted {
			q.Finish(id, StreamStats{}, now)
		}
		for _, e := range q.ordered {
			if e.unread != 0 || e.pending != 0 || len(e.runs) != 0 || e.used != 0 {
				t.Fatalf("left behind at %s: %d tokens, %d requests", e.ID, e.unread, len(e.runs))
			}
		}
		if len(q.waiting) != 0 || len(q.asked) != 0 || len(q.granted) != 0 {
			t.Fatalf("left behind: %d waiting, %d granted", len(q.waiting), len(q.granted))
		}
	})
}

// checkReading compares each engine's account with what was granted there.
func checkReading(t *rapid.T, q *Queue) {
	reading, prompts := map[*engine]int{}, map[*engine]int{}
	for _, e := range q.granted {
		if !e.read {
			reading[e.engine] += e.unread
			prompts[e.engine]++
		}
	}
	for _, e := range q.ordered {
		if reading[e] != e.unread || prompts[e] != e.pending {
			t.Fatalf("%s reads %d tokens of %d prompts, counted %d of %d", e.ID, reading[e], prompts[e], e.unread, e.pending)
		}
	}
	if len(q.asked) != len(q.waiting) {
		t.Fatalf("%d waiting, %d by ID", len(q.waiting), len(q.asked))
	}
}

func TestADeskKeepsGroupsApart(t *testing.T) {
	g := NewWithT(t)
	lists := 0
	told := func(string) (enginemodel.Estimates, bool) { return enginemodel.Estimates{}, false }
	d := NewScheduler[string](func(Group) []Engine { lists++; return names(1) }, told, ratelimit.New(rand.Float64), Policy{})
	now := time.Unix(100, 0)
	one, two := Group{Service: "s"}, Group{Service: "s", Index: 1}
	g.Expect(d.Submit(one, long("a", huge), "gw1", now).Verdict).To(Equal(Granted))
	g.Expect(d.Submit(one, long("b", huge), "gw2", now).Verdict).To(Equal(Queued))
	g.Expect(d.Submit(two, long("c", huge), "gw2", now).Verdict).To(Equal(Granted))
	g.Expect(lists).To(Equal(2))
	g.Expect(d.QueuedCount()).To(Equal(1))
	d.RecordFirstToken(one, "a", 100*time.Millisecond, now)
	due := d.Poll(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].To).To(Equal("gw2"))
	d.Finish(one, "a", StreamStats{}, now)
	d.Finish(one, "b", StreamStats{}, now)
	d.Finish(two, "c", StreamStats{}, now)
	d.Poll(now.Add(forgetAfter + time.Second))
	g.Expect(d.queues).To(BeEmpty())
}

// BenchmarkAsk is one ask, its first token and its end at a queue of 400 for 64
// engines with 30 streams each. One ask of a short prompt at engines that are not asked
// for more takes a third of it.
func BenchmarkAsk(b *testing.B) {
	q, now := newQueue(64)
	for i := range 64 * 30 {
		id := fmt.Sprint("stream", i)
		q.Submit(long(id, 100), now)
		q.RecordFirstToken(id, time.Millisecond, now)
	}
	for i := range 64 {
		q.Submit(long(fmt.Sprint("running", i), huge), now)
	}
	for i := range 400 {
		q.Submit(long(fmt.Sprint("w", i), 100), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		a := long("x", 100)
		q.Submit(a, now)
		q.Poll(now)
		q.Finish("x", StreamStats{}, now)
	}
}

// What users saw: questions that came in a burst were refused while reports went on being sent, because
// the reports that would come meanwhile counted as if they went first.
func TestABurstOfUrgentRequestsIsNotRefusedForTheSakeOfOthers(t *testing.T) {
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
			ask(long(fmt.Sprint("report-", i), 8000))
		}
		if i%100 < 8 { // a burst every 2 s, half of the engine's time in all
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
