package permit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stream grants a request at once and has its prompt read.
func stream(q *Queue, a Ask, now time.Time) *engine {
	answer := q.Submit(a, now)
	q.RecordFirstToken(a.ID, answer.ExpectedPrefill, now)
	return q.engines[answer.Engine]
}

func question(id string) Ask {
	return Ask{ID: id, UniqueTokens: 600, OutputTokens: 300, FirstTokenTarget: 500 * time.Millisecond, MaxEventGap: 400 * time.Millisecond,
		FirstTokenTimeout: 3 * time.Second, ResponseTimeout: 15 * time.Second}
}

// Engines that read in large chunks stop all their streams meanwhile. A prompt whose
// reading would be noticed goes where no stream bears less, and otherwise waits for a
// while; a short one may go anywhere. On the third users' engines half of all questions
// paused for too long, of which this spares most.
func TestALongPromptIsKeptFromStreamsThatBearNoSuchPause(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(2)
	for range 20 { // pauses as long as the reading: chunks are large
		q.model.ObserveGap(600*time.Millisecond, 600*time.Millisecond)
	}
	at := stream(q, question("q1"), now)
	now = now.Add(time.Second)
	first := q.Submit(long("first", 20000), now) // 515 ms
	g.Expect(first.Engine).NotTo(Equal(at.ID))
	g.Expect(q.Submit(long("second", 20000), now).Verdict).To(Equal(Queued))
	g.Expect(q.Submit(long("short", 3000), now).Verdict).To(Equal(Queued)) // behind the second
	due := q.Poll(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].ID).To(Equal("short"))
	g.Expect(due[0].Engine).To(Equal(at.ID))
	// Once the streams have ended the engine is open to it.
	q.RecordFirstToken("short", 90*time.Millisecond, now)
	q.Finish("q1", StreamStats{}, now)
	q.Finish("short", StreamStats{}, now)
	g.Expect(q.Poll(now)[0].ID).To(Equal("second"))
}

// A request is never kept waiting for streams that are no more urgent than itself, and one
// that is less urgent harms one of them in the end rather than its caller.
func TestNobodyWaitsForEqualsUntilRefused(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for range 20 {
		q.model.ObserveGap(600*time.Millisecond, 600*time.Millisecond)
	}
	for i := range 5 {
		stream(q, question(fmt.Sprint(i)), now.Add(time.Duration(i)*time.Second))
	}
	now = now.Add(6 * time.Second)
	equal, report := question("equal"), long("report", 20000)
	equal.UniqueTokens = 20000
	g.Expect(q.Submit(equal, now).Verdict).To(Equal(Queued))
	g.Expect(q.Submit(report, now).Verdict).To(Equal(Queued))
	due := q.Poll(now.Add(300 * time.Millisecond)) // of its target of 500 ms
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].ID).To(Equal("equal"))
	q.RecordFirstToken("equal", 515*time.Millisecond, now)
	q.Finish("equal", StreamStats{}, now)
	g.Expect(q.Poll(now.Add(1600 * time.Millisecond))).To(BeEmpty()) // five are more urgent
}

// A prompt that waits for long harms a stream rather than its caller.
func TestAPromptIsNotKeptWaitingForEver(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for range 20 {
		q.model.ObserveGap(600*time.Millisecond, 600*time.Millisecond)
	}
	stream(q, question("q1"), now)
	now = now.Add(time.Second)
	g.Expect(q.Submit(long("a", 20000), now).Verdict).To(Equal(Queued))
	g.Expect(q.Poll(now.Add(time.Second))).To(BeEmpty())
	due := q.Poll(now.Add(1600 * time.Millisecond)) // of its target of 2.5 s
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].Verdict).To(Equal(Granted))
}

// Where engines read in small chunks nobody is kept from anybody: the pause is the same
// whatever is read.
func TestSmallChunksHarmNobody(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	stream(q, question("q1"), now)
	g.Expect(q.Submit(long("a", 20000), now.Add(time.Second)).Verdict).To(Equal(Granted))
}

// Two readings without time for an event between them are one pause.
func TestReadingsInARowCountTogether(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for range 20 {
		q.model.ObserveGap(900*time.Millisecond, 900*time.Millisecond)
	}
	stream(q, question("q1"), now)
	now = now.Add(time.Second)
	g.Expect(q.Submit(long("a", 8000), now).Verdict).To(Equal(Granted)) // 215 ms
	g.Expect(q.Submit(long("b", 8000), now).Verdict).To(Equal(Queued))
	now = now.Add(215 * time.Millisecond)
	q.RecordFirstToken("a", 215*time.Millisecond, now)
	g.Expect(q.Poll(now)).To(BeEmpty())
	event := q.event(q.ordered[0])
	g.Expect(q.Poll(now.Add(event))).To(HaveLen(1))
}

// An engine is given no prompt whose reading would take the time that its streams need
// to end.
func TestStreamsAreLeftTheTimeToEnd(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	a := question("q1")
	a.MaxEventGap, a.ResponseTimeout = 0, 3500*time.Millisecond // 300 tokens take 3 s
	stream(q, a, now)
	g.Expect(q.Submit(long("a", 30000), now).Verdict).To(Equal(Queued)) // 765 ms
	g.Expect(q.Submit(long("b", 10000), now).Verdict).To(Equal(Queued)) // behind it
	due := q.Poll(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].ID).To(Equal("b"))
	q.Finish("q1", StreamStats{}, now)
	q.RecordFirstToken("b", 265*time.Millisecond, now)
	g.Expect(q.Poll(now)).To(HaveLen(1))
}

// While more is asked for than can be read, a request that can't be on time any more is
// refused at once: it would only wait in vain.
func TestLateRequestsAreNotKeptInAnOverload(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	refused := map[string]time.Duration{}
	for i := range 200 { // one in 100 ms, each takes 265 ms
		id := fmt.Sprint(i)
		if a := q.Submit(long(id, 10000), now); a.Verdict == Refused {
			refused[id] = 0
		}
		now = now.Add(100 * time.Millisecond)
		for granted, e := range q.granted {
			if now.Sub(e.granted) >= 265*time.Millisecond {
				q.RecordFirstToken(granted, 265*time.Millisecond, now)
				q.Finish(granted, StreamStats{}, now)
			}
		}
		for _, due := range q.Poll(now) {
			if due.Verdict == Refused {
				n := 0
				fmt.Sscan(due.ID, &n)
				refused[due.ID] = time.Duration(i+1-n) * 100 * time.Millisecond
			}
		}
	}
	g.Expect(len(refused)).To(BeNumerically(">", 100))
	for id, after := range refused {
		g.Expect(after).To(BeNumerically("<", 3500*time.Millisecond), id) // of a limit of 10 s
	}
}

// An engine takes no more requests than run in its batch and fit into its memory: what
// waits inside an engine, or is put back there, is out of our hands.
func TestEnginesAreNotFilledBeyondTheirBatch(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.SetEngines([]Engine{{ID: "e0", Accepting: true, Slots: 2, KVCacheTokens: 2000}})
	stream(q, question("a"), now)
	stream(q, question("b"), now)
	g.Expect(q.Submit(question("c"), now).Verdict).To(Equal(Queued)) // no slot
	q.Finish("a", StreamStats{}, now)
	g.Expect(q.Poll(now)).To(HaveLen(1))
	q.RecordFirstToken("c", time.Millisecond, now)
	q.Finish("b", StreamStats{}, now)
	large := question("d")
	large.UniqueTokens = 1500
	g.Expect(q.Submit(large, now).Verdict).To(Equal(Queued)) // no memory beside "c"
	q.Finish("c", StreamStats{}, now)
	g.Expect(q.Poll(now)).To(HaveLen(1)) // alone whatever it takes
}
