package permit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func long(id string, unread int) Ask {
	return Ask{ID: id, Rank: 6, Unread: unread, Target: 2500 * time.Millisecond, Limit: 10 * time.Second}
}

func TestPromptsAreReadAFewAtATime(t *testing.T) {
	g := NewWithT(t)
	q, now := NewQueue(), time.Unix(0, 0)
	g.Expect(q.Ask(long("a", 6000), now).Verdict).To(Equal(Granted))
	g.Expect(q.Ask(long("b", 6000), now).Verdict).To(Equal(Queued))
	g.Expect(q.Ask(long("b", 6000), now).Verdict).To(Equal(Queued)) // asked again
	g.Expect(q.Next(now)).To(BeEmpty())
	q.FirstToken("a", now.Add(150*time.Millisecond))
	due := q.Next(now.Add(150 * time.Millisecond))
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].ID).To(Equal("b"))
	g.Expect(due[0].Verdict).To(Equal(Granted))
	g.Expect(q.Ask(long("b", 6000), now).Verdict).To(Equal(Granted)) // its grant was lost
	q.End("a")
	q.End("b")
	g.Expect(q.Idle()).To(BeTrue())
}

func TestAPromptLargerThanTheBoundIsReadAlone(t *testing.T) {
	g := NewWithT(t)
	q, now := NewQueue(), time.Unix(0, 0)
	g.Expect(q.Ask(long("huge", 5*maxReading), now).Verdict).To(Equal(Granted))
}

func TestWhatCannotBeReadInTimeIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	q, now := NewQueue(), time.Unix(0, 0)
	refused := 0
	for i := range 100 {
		a := q.Ask(long(fmt.Sprint(i), 10000), now)
		if a.Verdict == Refused {
			refused++
			g.Expect(a.Wait).To(BeNumerically(">=", shortestReturn))
			g.Expect(a.Wait).To(BeNumerically("<=", longestReturn))
		}
	}
	// 10,000 tokens take 250 ms: the limit of 10 s bears 20 of them to its half.
	g.Expect(100 - refused).To(BeNumerically("~", 20, 2))
}

func TestAnAskerMaySetALowerBoundOnTheWait(t *testing.T) {
	g := NewWithT(t)
	q, now := NewQueue(), time.Unix(0, 0)
	q.Ask(long("a", 40000), now)
	b := long("b", 1000)
	b.MaxWait = 500 * time.Millisecond
	answer := q.Ask(b, now)
	g.Expect(answer.Verdict).To(Equal(Refused))
	g.Expect(answer.Wait).To(BeNumerically(">", time.Second/2))
	b.MaxWait = 0
	g.Expect(q.Ask(b, now).Verdict).To(Equal(Queued))
}

func TestMoreUrgentRequestsGoFirst(t *testing.T) {
	g := NewWithT(t)
	q, now := NewQueue(), time.Unix(0, 0)
	q.Ask(long("running", maxReading), now)
	q.Ask(long("early", 1000), now)
	urgent := long("urgent", 1000)
	urgent.Rank = 0
	q.Ask(urgent, now.Add(time.Millisecond))
	q.FirstToken("running", now.Add(100*time.Millisecond))
	due := q.Next(now.Add(100 * time.Millisecond))
	g.Expect(due[0].ID).To(Equal("urgent"))
}

func TestWhatCanStillBeOnTimeGoesBeforeWhatIsLate(t *testing.T) {
	g := NewWithT(t)
	q, now := NewQueue(), time.Unix(0, 0)
	q.Ask(long("running", maxReading), now)
	q.Ask(long("late", 1000), now)
	now = now.Add(2400 * time.Millisecond)
	q.Ask(long("timely", 1000), now)
	q.FirstToken("running", now)
	q.reading, q.lastRead = maxReading, now // another prompt fills the engine
	g.Expect(q.Next(now)).To(BeEmpty())
	q.reading = 0
	due := q.Next(now)
	g.Expect(due[0].ID).To(Equal("timely"))
}

func TestALostNoticeDoesNotStopAnEngine(t *testing.T) {
	g := NewWithT(t)
	q, now := NewQueue(), time.Unix(0, 0)
	q.Ask(long("lost", maxReading), now)
	q.Ask(long("next", maxReading), now)
	g.Expect(q.Next(now.Add(lostAfter))).To(BeEmpty())
	g.Expect(q.Next(now.Add(lostAfter + time.Millisecond))).To(HaveLen(1))
}

func TestTheRateIsLearnt(t *testing.T) {
	g := NewWithT(t)
	q, now := NewQueue(), time.Unix(0, 0)
	for i := range 100 {
		id := fmt.Sprint(i)
		q.Ask(long(id, 5000), now)
		now = now.Add(250 * time.Millisecond) // 20 tokens a ms
		q.FirstToken(id, now)
		q.End(id)
	}
	g.Expect(q.rate).To(BeNumerically("~", 20, 1))
}

// Whatever is asked and told in whatever order: each ask gets one final verdict,
// no more than the bound is read at once, unless by one prompt alone, and nothing
// is left behind once all have ended.
func TestEachAskGetsOneVerdict(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now := NewQueue(), time.Unix(0, 0)
		open, granted := map[string]bool{}, map[string]int{}
		settle := func(a Answer) {
			switch a.Verdict {
			case Queued:
				open[a.ID] = true
				return
			case Granted:
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
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				if a := fmt.Sprint("r", i); !open[a] {
					settle(q.Ask(Ask{ID: a, Rank: rapid.IntRange(0, 8).Draw(t, "rank"), Unread: rapid.IntRange(1, 30000).Draw(t, "unread"),
						Target: time.Duration(rapid.IntRange(1, 3000).Draw(t, "target")) * time.Millisecond,
						Limit:  time.Duration(rapid.IntRange(1, 10000).Draw(t, "limit")) * time.Millisecond}, now))
				}
			case 2:
				q.FirstToken(id, now)
			default:
				q.End(id)
				delete(open, id)
				delete(granted, id)
			}
			reading, alone := 0, 0
			for _, e := range q.granted {
				if !e.read {
					reading += e.ask.Unread
					alone++
				}
			}
			if reading != q.reading {
				t.Fatalf("reading %d, counted %d", q.reading, reading)
			}
			if reading > maxReading && alone > 1 {
				t.Fatalf("%d prompts with %d tokens are read at once", alone, reading)
			}
		}
		for id := range open {
			q.End(id)
		}
		for id := range granted {
			q.End(id)
		}
		if len(q.waiting) != 0 || len(q.granted) != 0 || q.reading != 0 {
			t.Fatalf("left behind: %d waiting, %d granted, %d tokens", len(q.waiting), len(q.granted), q.reading)
		}
	})
}

func TestADeskKeepsEnginesApart(t *testing.T) {
	g := NewWithT(t)
	d, now := NewDesk[string](), time.Unix(0, 0)
	g.Expect(d.Ask("e1", long("a", maxReading), "gw1", now).Verdict).To(Equal(Granted))
	g.Expect(d.Ask("e1", long("b", maxReading), "gw2", now).Verdict).To(Equal(Queued))
	g.Expect(d.Ask("e2", long("c", maxReading), "gw2", now).Verdict).To(Equal(Granted))
	g.Expect(d.Waiting()).To(Equal(1))
	d.FirstToken("e1", "a", now)
	due := d.Next(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].To).To(Equal("gw2"))
	d.End("e1", "a")
	d.End("e1", "b")
	d.End("e2", "c")
	d.Next(now.Add(forgetAfter + time.Second))
	g.Expect(d.queues).To(BeEmpty())
}

// BenchmarkAsk is one ask, its first token and its end at a queue of 50.
func BenchmarkAsk(b *testing.B) {
	q, now := NewQueue(), time.Unix(0, 0)
	q.Ask(long("running", maxReading), now)
	for i := range 50 {
		a := long(fmt.Sprint("w", i), 100)
		q.Ask(a, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		a := long("x", 100)
		q.Ask(a, now)
		q.Next(now)
		q.End("x")
	}
}
