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
	return Ask{ID: id, Rank: 6, Own: own, Target: 2500 * time.Millisecond, Limit: 10 * time.Second}
}

// sharing is an ask for a prompt with a shared part of 5,000 tokens.
func sharing(id, part string, own int) Ask {
	a := long(id, own)
	a.Part, a.Shared = part, 5000
	return a
}

// names returns n engines, all open.
func names(n int) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{ID: fmt.Sprint("e", i), Open: true, EventTokens: 4}
	}
	return out
}

func newQueue(engines int) (*Queue, time.Time) {
	f := enginemodel.NewService().Figures()
	f.Observed = 100 // another gateway has found that the start values are right
	q := NewQueue(enginemodel.NewServiceFrom(f), ratelimit.New(rand.Float64), Policy{})
	q.SetEngines(names(engines))
	return q, time.Unix(100, 0)
}

// What users saw: an interactive request was told 429, as for load, 0.2 ms after it had come, by a
// gateway that had started 0.1 s before. It knew no other gateway and had learnt nothing, and
// took 85,000 tokens for ten times as long as its engines needed.
func TestNobodyIsRefusedByStartValues(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(enginemodel.NewService(), ratelimit.New(rand.Float64), Policy{})
	q.SetEngines(names(1))
	now := time.Unix(100, 0)
	refused := func(name string, asks int) (n int) {
		for i := range asks {
			if q.Ask(long(fmt.Sprint(name, i), 10000), now).Verdict == Refused {
				n++
			}
		}
		return n
	}
	g.Expect(refused("early-", 100)).To(BeZero())

	now = now.Add(10 * time.Second) // nor later, while little was read
	q = NewQueue(enginemodel.NewService(), ratelimit.New(rand.Float64), Policy{NoLearning: true})
	q.SetEngines(names(1))
	for i := range manyRead {
		g.Expect(refused(fmt.Sprint("few-", i, "-"), 1)).To(BeZero())
		for id := range q.granted {
			q.FirstToken(id, time.Millisecond, now)
			q.End(id, Stream{}, now)
		}
		q.Next(now)
	}
	g.Expect(refused("late-", 100)).To(BeNumerically(">", 0), "by then the figures count as they are")
}

// huge is a prompt that engines read for long: by the start values 225 ms.
const huge = 9000

func TestPromptsAreReadOneAtATime(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	first := q.Ask(long("a", 6000), now)
	g.Expect(first.Verdict).To(Equal(Granted))
	g.Expect(first.Engine).To(Equal("e0"))
	g.Expect(first.Read).To(BeNumerically("~", 165*time.Millisecond, time.Millisecond))
	g.Expect(q.Ask(long("b", 6000), now).Verdict).To(Equal(Queued))
	g.Expect(q.Ask(long("b", 6000), now).Verdict).To(Equal(Queued)) // asked again
	g.Expect(q.Next(now)).To(BeEmpty())
	now = now.Add(150 * time.Millisecond)
	q.FirstToken("a", 150*time.Millisecond, now)
	due := q.Next(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].ID).To(Equal("b"))
	g.Expect(due[0].Verdict).To(Equal(Granted))
	g.Expect(q.Ask(long("b", 6000), now).Verdict).To(Equal(Granted)) // its grant was lost
	q.End("a", Stream{}, now)
	q.End("b", Stream{}, now)
	g.Expect(q.Idle()).To(BeTrue())
}

// Short prompts are read together with what is nearly read: they take no time that
// anybody notices.
func TestShortPromptsAreReadTogether(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for i := range 4 {
		g.Expect(q.Ask(long(fmt.Sprint(i), 200), now).Verdict).To(Equal(Granted)) // 20 ms each
	}
	g.Expect(q.Ask(long("more", 2000), now).Verdict).To(Equal(Queued))
}

func TestWhatCannotBeReadInTimeIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	for _, engines := range []int{1, 4} {
		q, now := newQueue(engines)
		refused := 0
		for i := range 100 * engines {
			a := q.Ask(long(fmt.Sprint(i), 10000), now)
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
	q.Ask(long("running", huge), now)
	q.Ask(long("early", 1000), now)
	urgent := long("urgent", 1000)
	urgent.Rank = 0
	q.Ask(urgent, now.Add(time.Millisecond))
	q.FirstToken("running", 100*time.Millisecond, now.Add(100*time.Millisecond))
	due := q.Next(now.Add(100 * time.Millisecond))
	g.Expect(due[0].ID).To(Equal("urgent"))
}

func TestWhatCanStillBeOnTimeGoesBeforeWhatIsLate(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Ask(long("running", huge), now)
	q.Ask(long("late", 3000), now)
	now = now.Add(2300 * time.Millisecond)
	q.granted["running"].lost = now.Add(time.Second)
	q.Ask(long("timely", 3000), now)
	q.FirstToken("running", 100*time.Millisecond, now)
	due := q.Next(now)
	g.Expect(due[0].ID).To(Equal("timely"))
}

// A notice that is lost, or a gateway that is gone, holds an engine up for three times the
// expected reading and a little, not for seconds: after the end of 3 of 21 gateways a
// seventh of the engines stood still for 3 s.
func TestALostNoticeDoesNotStopAnEngine(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Ask(long("lost", 3000), now) // 90 ms
	q.Ask(long("next", 3000), now)
	g.Expect(q.Next(now.Add(300 * time.Millisecond))).To(BeEmpty())
	g.Expect(q.Next(now.Add(430 * time.Millisecond))).To(BeEmpty()) // read, but the engine may be silent
	due := q.Next(now.Add(430*time.Millisecond + firstPause + lookEvery))
	g.Expect(due).To(HaveLen(1))
	q.End("next", Stream{}, now)
	g.Expect(q.Idle()).To(BeFalse())
	q.Next(now.Add(forgetGranted + time.Millisecond)) // the end of "lost" was lost too
	g.Expect(q.Idle()).To(BeTrue())
	g.Expect(q.ordered[0].runs).To(BeEmpty())
}

// An ask that is not repeated has no gateway behind it any more.
func TestAnAskThatIsNotRepeatedIsDropped(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Ask(long("running", huge), now)
	q.Ask(long("gone", huge), now)
	q.Ask(long("kept", huge), now)
	q.granted["running"].lost = now.Add(time.Minute)
	for range 4 {
		now = now.Add(time.Second)
		g.Expect(q.Ask(long("kept", huge), now).Verdict).To(Equal(Queued))
		q.Next(now)
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
		g.Expect(q.Ask(long(id, own), now).Verdict).To(Equal(Granted))
		took := time.Duration(own) * 50 * time.Microsecond // 20 tokens a ms
		now = now.Add(took)
		q.FirstToken(id, took, now)
		q.End(id, Stream{}, now)
	}
	g.Expect(q.model.ReadTime(5000, 0)).To(BeNumerically("~", 250*time.Millisecond, 10*time.Millisecond))
}

// No engine of a group is idle while a prompt waits for another.
func TestNoEngineIsIdleWhilePromptsWait(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(3)
	used := map[string]int{}
	for i := range 6 {
		if a := q.Ask(sharing(fmt.Sprint(i), "same", 6000), now); a.Verdict == Granted {
			used[a.Engine]++
		}
	}
	g.Expect(used).To(Equal(map[string]int{"e0": 1, "e1": 1, "e2": 1}))
	g.Expect(q.waiting).To(HaveLen(3))
}

func TestARequestGoesWhereItsSharedPartIs(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(3)
	first := q.Ask(sharing("first", "x", 2000), now)
	g.Expect(first.FetchFrom).To(BeEmpty())
	g.Expect(q.granted["first"].unread).To(Equal(7000)) // nobody holds the part
	now = now.Add(200 * time.Millisecond)
	q.FirstToken("first", 100*time.Millisecond, now)
	second := q.Ask(sharing("second", "x", 2000), now)
	g.Expect(second.Engine).To(Equal(first.Engine))
	g.Expect(second.FetchFrom).To(BeEmpty())
	g.Expect(q.granted["second"].unread).To(Equal(2000))
	// With its holder busy it goes elsewhere and fetches the part from there.
	q.Ask(sharing("third", "x", 6000), now)
	fourth := q.Ask(sharing("fourth", "x", 6000), now)
	g.Expect(fourth.Verdict).To(Equal(Granted))
	g.Expect(fourth.Engine).NotTo(Equal(first.Engine))
	g.Expect(fourth.FetchFrom).To(Equal(first.Engine))
	q.End("second", Stream{}, now)
	q.End("third", Stream{}, now)
	now = now.Add(100 * time.Millisecond)
	q.FirstToken("fourth", 100*time.Millisecond, now)
	// A holder that left the part for long prompts can still be fetched from, one that
	// is gone can't.
	now = now.Add(time.Second)
	list := names(3)
	for i := range list {
		list[i].Open = list[i].ID != first.Engine && list[i].ID != fourth.Engine
	}
	q.SetEngines(list)
	fifth := q.Ask(sharing("fifth", "x", 2000), now)
	g.Expect(fifth.FetchFrom).To(Equal(fourth.Engine)) // which used it last
	q.End("fifth", Stream{}, now)
	for i := range list {
		list[i].Open = true
		if list[i].ID == fifth.Engine {
			q.SetEngines(list[i : i+1])
		}
	}
	g.Expect(q.Ask(sharing("sixth", "x", 2000), now).FetchFrom).To(BeEmpty())
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
		first := before.Ask(sharing(part, part, 1000), now)
		before.End(part, Stream{}, now)
		second := after.Ask(sharing("x", part, 1000), now)
		g.Expect(second.Engine).To(Equal(first.Engine))
		g.Expect(second.FetchFrom).To(BeEmpty())
		homes[second.Engine] = true
		// With the home busy the part is sought there all the same.
		after.Ask(long("y", huge), now)
		busy, _ := newQueue(5)
		for _, e := range busy.ordered {
			if e.ID == first.Engine {
				busy.grant(&entry{ask: long("busy", huge)}, site{engine: e, unread: huge, reading: time.Second}, now)
			}
		}
		g.Expect(busy.Ask(sharing("z", part, 1000), now).FetchFrom).To(Equal(first.Engine))
	}
	g.Expect(len(homes)).To(BeNumerically(">", 2))
}

func TestWhatCannotBeBegunBeforeItsLimitIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Ask(long("running", 5*huge), now) // 1.1 s
	tight := long("tight", 1000)
	tight.Limit = 500 * time.Millisecond
	g.Expect(q.Ask(tight, now).Verdict).To(Equal(Refused))
	g.Expect(q.Ask(long("other", 1000), now).Verdict).To(Equal(Queued))
}

func TestPartsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Ask(sharing("a", "x", 2000), now)
	q.FirstToken("a", 100*time.Millisecond, now)
	q.End("a", Stream{}, now)
	q.Next(now.Add(holdFor + pruneEvery + time.Millisecond))
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
		a := q.Ask(long(id, 5000), now)
		if a.Verdict == Granted {
			at[a.Engine]++
			if a.Engine == "e0" {
				q.End(id, Stream{Failed: true}, now)
			}
		}
		now = now.Add(20 * time.Millisecond)
		for granted, e := range q.granted {
			if now.Sub(e.granted) >= 125*time.Millisecond {
				q.FirstToken(granted, 100*time.Millisecond, now)
				q.End(granted, Stream{}, now)
			}
		}
		for _, due := range q.Next(now) {
			if due.Verdict == Granted && due.Engine == "e0" {
				at["e0"]++
				q.End(due.ID, Stream{Failed: true}, now)
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
	a.Avoid = []string{"e0"}
	g.Expect(q.Ask(a, now).Engine).To(Equal("e1"))
	b := long("b", 2000)
	b.Avoid = []string{"e0", "e1"}
	g.Expect(q.Ask(b, now).Verdict).To(Equal(NoEngine)) // whatever the load
}

// A gateway that has not read the list of engines yet, for one that started while the
// store is away, must not refuse what others could serve.
func TestWhoKnowsNoEngineLeavesItToTheAsker(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(0)
	a := q.Ask(long("a", 2000), now)
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
		settle := func(a Answer) {
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
			for _, a := range q.Next(now) {
				if !open[a.ID] {
					t.Fatalf("a second verdict for %s", a.ID)
				}
				settle(a)
			}
			id := fmt.Sprint("r", rapid.IntRange(0, i).Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				if a := fmt.Sprint("r", i); !open[a] {
					settle(q.Ask(Ask{ID: a, Rank: rapid.IntRange(0, 8).Draw(t, "rank"), Own: rapid.IntRange(1, 30000).Draw(t, "own"),
						Part: rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "part"), Shared: rapid.IntRange(0, 6000).Draw(t, "shared"),
						Target: time.Duration(rapid.IntRange(1, 3000).Draw(t, "target")) * time.Millisecond,
						Limit:  time.Duration(rapid.IntRange(1, 10000).Draw(t, "limit")) * time.Millisecond}, now))
				}
			case 2:
				q.FirstToken(id, 100*time.Millisecond, now)
			case 3:
				q.SetEngines(names(rapid.IntRange(0, 4).Draw(t, "engines")))
			default:
				q.End(id, Stream{Failed: rapid.Bool().Draw(t, "failed"), Events: rapid.IntRange(0, 90).Draw(t, "events"),
					Took: time.Duration(rapid.IntRange(0, 9000).Draw(t, "took")) * time.Millisecond, Longest: time.Duration(rapid.IntRange(0, 900).Draw(t, "longest")) * time.Millisecond}, now)
				delete(open, id)
				delete(granted, id)
			}
			checkReading(t, q)
		}
		for id := range open {
			q.End(id, Stream{}, now)
		}
		for id := range granted {
			q.End(id, Stream{}, now)
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
	told := func(string) (enginemodel.Figures, bool) { return enginemodel.Figures{}, false }
	d := NewDesk[string](func(Group) []Engine { lists++; return names(1) }, told, ratelimit.New(rand.Float64), Policy{})
	now := time.Unix(100, 0)
	one, two := Group{Service: "s"}, Group{Service: "s", Index: 1}
	g.Expect(d.Ask(one, long("a", huge), "gw1", now).Verdict).To(Equal(Granted))
	g.Expect(d.Ask(one, long("b", huge), "gw2", now).Verdict).To(Equal(Queued))
	g.Expect(d.Ask(two, long("c", huge), "gw2", now).Verdict).To(Equal(Granted))
	g.Expect(lists).To(Equal(2))
	g.Expect(d.Waiting()).To(Equal(1))
	d.FirstToken(one, "a", 100*time.Millisecond, now)
	due := d.Next(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].To).To(Equal("gw2"))
	d.End(one, "a", Stream{}, now)
	d.End(one, "b", Stream{}, now)
	d.End(two, "c", Stream{}, now)
	d.Next(now.Add(forgetAfter + time.Second))
	g.Expect(d.queues).To(BeEmpty())
}

// BenchmarkAsk is one ask, its first token and its end at a queue of 400 for 64
// engines with 30 streams each. One ask of a short prompt at engines that are not asked
// for more takes a third of it.
func BenchmarkAsk(b *testing.B) {
	q, now := newQueue(64)
	for i := range 64 * 30 {
		id := fmt.Sprint("stream", i)
		q.Ask(long(id, 100), now)
		q.FirstToken(id, time.Millisecond, now)
	}
	for i := range 64 {
		q.Ask(long(fmt.Sprint("running", i), huge), now)
	}
	for i := range 400 {
		q.Ask(long(fmt.Sprint("w", i), 100), now)
	}
	b.ReportAllocs()
	for b.Loop() {
		a := long("x", 100)
		q.Ask(a, now)
		q.Next(now)
		q.End("x", Stream{}, now)
	}
}

// What users saw: questions that came in a burst were refused while reports went on being sent, because
// the reports that would come meanwhile counted as if they went first.
func TestABurstOfUrgentRequestsIsNotRefusedForTheSakeOfOthers(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	sent, refused := map[int]int{}, map[int]int{}
	rank, ends := map[string]int{}, map[string]time.Time{}
	take := func(a Answer) {
		switch a.Verdict {
		case Granted:
			sent[rank[a.ID]]++
			ends[a.ID] = now.Add(a.Read)
		case Refused:
			refused[rank[a.ID]]++
		}
	}
	ask := func(a Ask) {
		rank[a.ID] = a.Rank
		take(q.Ask(a, now))
	}
	for i := range 1000 { // 20 s
		if i%10 == 0 {
			ask(long(fmt.Sprint("report-", i), 8000))
		}
		if i%100 < 8 { // a burst every 2 s, half of the engine's time in all
			urgent := Ask{ID: fmt.Sprint("question-", i), Own: 3500, Target: 300 * time.Millisecond, Limit: 2 * time.Second}
			ask(urgent)
		}
		now = now.Add(20 * time.Millisecond)
		for id, end := range ends {
			if !now.Before(end) {
				q.FirstToken(id, 0, now)
				q.End(id, Stream{}, now)
				delete(ends, id)
			}
		}
		for _, a := range q.Next(now) {
			take(a)
		}
	}
	t.Logf("sent %v, refused %v", sent, refused)
	g.Expect(refused[0]).To(BeZero())
	g.Expect(sent[6]).To(BeNumerically(">", 10))
}
