package permit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startStream grants a request immediately and completes its prefill.
func startStream(q *Queue, a Ask, now time.Time) *engine {
	answer := q.Submit(a, now)
	q.RecordFirstToken(a.ID, answer.ExpectedPrefill, now)
	return q.engines[answer.Engine]
}

func interactiveRequest(id string) Ask {
	return Ask{ID: id, UniqueTokens: 600, OutputTokens: 300, FirstTokenTarget: 500 * time.Millisecond, MaxEventGap: 400 * time.Millisecond,
		FirstTokenTimeout: 3 * time.Second, ResponseTimeout: 15 * time.Second}
}

// Engines with large prefill chunks pause all their streams during a chunk. A prompt with a
// noticeable prefill goes to an engine whose streams tolerate it, or waits for a while; a short one
// may go anywhere. Without this rule half of all interactive requests of one deployment had gaps
// that were too long; with it most of them do not.
func TestLongPromptAvoidsStreamsThatDoNotTolerateItsGap(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(2)
	for range 20 { // gaps as long as the prefill: large chunks
		q.model.ObserveGap(600*time.Millisecond, 600*time.Millisecond)
	}
	at := startStream(q, interactiveRequest("q1"), now)
	now = now.Add(time.Second)
	first := q.Submit(backgroundRequest("first", 20000), now) // 515 ms
	g.Expect(first.Engine).NotTo(Equal(at.ID))
	g.Expect(q.Submit(backgroundRequest("second", 20000), now).Verdict).To(Equal(Queued))
	g.Expect(q.Submit(backgroundRequest("short", 3000), now).Verdict).To(Equal(Queued)) // behind "second"
	due := q.Poll(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].ID).To(Equal("short"))
	g.Expect(due[0].Engine).To(Equal(at.ID))
	// Once the streams have ended, the long prompt can go there.
	q.RecordFirstToken("short", 90*time.Millisecond, now)
	q.Finish("q1", StreamStats{}, now)
	q.Finish("short", StreamStats{}, now)
	g.Expect(q.Poll(now)[0].ID).To(Equal("second"))
}

// A request is never delayed for streams that are not more urgent than itself. A less urgent request
// eventually disrupts one more urgent stream instead of being refused.
func TestStreamsOfEqualPriorityDoNotDelayRequests(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for range 20 {
		q.model.ObserveGap(600*time.Millisecond, 600*time.Millisecond)
	}
	for i := range 5 {
		startStream(q, interactiveRequest(fmt.Sprint(i)), now.Add(time.Duration(i)*time.Second))
	}
	now = now.Add(6 * time.Second)
	equal, report := interactiveRequest("equal"), backgroundRequest("report", 20000)
	equal.UniqueTokens = 20000
	g.Expect(q.Submit(equal, now).Verdict).To(Equal(Queued))
	g.Expect(q.Submit(report, now).Verdict).To(Equal(Queued))
	due := q.Poll(now.Add(300 * time.Millisecond)) // of a target of 500 ms
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].ID).To(Equal("equal"))
	q.RecordFirstToken("equal", 515*time.Millisecond, now)
	q.Finish("equal", StreamStats{}, now)
	g.Expect(q.Poll(now.Add(1600 * time.Millisecond))).To(BeEmpty()) // five are more urgent
}

// A prompt that has waited for long may disrupt a stream.
func TestPromptMayDisruptAStreamAfterWaiting(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for range 20 {
		q.model.ObserveGap(600*time.Millisecond, 600*time.Millisecond)
	}
	startStream(q, interactiveRequest("q1"), now)
	now = now.Add(time.Second)
	g.Expect(q.Submit(backgroundRequest("a", 20000), now).Verdict).To(Equal(Queued))
	g.Expect(q.Poll(now.Add(time.Second))).To(BeEmpty())
	due := q.Poll(now.Add(1600 * time.Millisecond)) // of a target of 2.5 s
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].Verdict).To(Equal(Granted))
}

// With small prefill chunks prompts don't have to wait for streams: the gap is the same for every
// prefill.
func TestSmallChunksAllowConcurrentPrefill(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	startStream(q, interactiveRequest("q1"), now)
	g.Expect(q.Submit(backgroundRequest("a", 20000), now.Add(time.Second)).Verdict).To(Equal(Granted))
}

// Two prefills without time for an event between them form a single gap.
func TestConsecutivePrefillsCountAsOneGap(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for range 20 {
		q.model.ObserveGap(900*time.Millisecond, 900*time.Millisecond)
	}
	startStream(q, interactiveRequest("q1"), now)
	now = now.Add(time.Second)
	g.Expect(q.Submit(backgroundRequest("a", 8000), now).Verdict).To(Equal(Granted)) // 215 ms
	g.Expect(q.Submit(backgroundRequest("b", 8000), now).Verdict).To(Equal(Queued))
	now = now.Add(215 * time.Millisecond)
	q.RecordFirstToken("a", 215*time.Millisecond, now)
	g.Expect(q.Poll(now)).To(BeEmpty())
	event := q.eventInterval(q.sortedEngines[0])
	g.Expect(q.Poll(now.Add(event))).To(HaveLen(1))
}

// An engine gets no prompt whose prefill would use the time that its streams need to finish within
// their response timeout.
func TestStreamsKeepTimeToFinish(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	a := interactiveRequest("q1")
	a.MaxEventGap, a.ResponseTimeout = 0, 3500*time.Millisecond // 300 tokens take 3 s
	startStream(q, a, now)
	g.Expect(q.Submit(backgroundRequest("a", 30000), now).Verdict).To(Equal(Queued)) // 765 ms
	g.Expect(q.Submit(backgroundRequest("b", 10000), now).Verdict).To(Equal(Queued)) // behind "a"
	due := q.Poll(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].ID).To(Equal("b"))
	q.Finish("q1", StreamStats{}, now)
	q.RecordFirstToken("b", 265*time.Millisecond, now)
	g.Expect(q.Poll(now)).To(HaveLen(1))
}

// During overload a request that can no longer be on time is refused immediately instead of
// waiting in vain.
func TestLateRequestsAreRefusedDuringOverload(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	refused := map[string]time.Duration{}
	for i := range 200 { // one every 100 ms, each takes 265 ms
		id := fmt.Sprint(i)
		if a := q.Submit(backgroundRequest(id, 10000), now); a.Verdict == Refused {
			refused[id] = 0
		}
		now = now.Add(100 * time.Millisecond)
		for granted, e := range q.granted {
			if now.Sub(e.grantedAt) >= 265*time.Millisecond {
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
		g.Expect(after).To(BeNumerically("<", 3500*time.Millisecond), id) // of a timeout of 10 s
	}
}

// An engine gets no more requests than fit in its batch and its memory. Requests that an engine queues
// internally or preempts are outside the scheduler's control.
func TestEngineCapacityIsNotExceeded(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.SetEngines([]Engine{{ID: "e0", Accepting: true, Slots: 2, KVCacheTokens: 2000}})
	startStream(q, interactiveRequest("a"), now)
	startStream(q, interactiveRequest("b"), now)
	g.Expect(q.Submit(interactiveRequest("c"), now).Verdict).To(Equal(Queued)) // no slot
	q.Finish("a", StreamStats{}, now)
	g.Expect(q.Poll(now)).To(HaveLen(1))
	q.RecordFirstToken("c", time.Millisecond, now)
	q.Finish("b", StreamStats{}, now)
	large := interactiveRequest("d")
	large.UniqueTokens = 1500
	g.Expect(q.Submit(large, now).Verdict).To(Equal(Queued)) // no memory beside "c"
	q.Finish("c", StreamStats{}, now)
	g.Expect(q.Poll(now)).To(HaveLen(1)) // a single request is placed regardless of its size
}
