package permit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startStream submits a request that is granted immediately, completes its prefill and returns its engine.
func startStream(q *Queue, a Ask, now time.Time) *engine {
	decision := q.Submit(a, now)
	q.RecordFirstToken(a.ID, decision.ExpectedPrefill, now)
	return q.engines[decision.Engine]
}

// interactiveRequest returns an urgent request that tolerates no event gap over 400 ms.
func interactiveRequest(id string) Ask {
	return Ask{ID: id, UniqueTokens: 600, OutputTokens: 300, FirstTokenTarget: 500 * time.Millisecond, MaxEventGap: 400 * time.Millisecond,
		FirstTokenTimeout: 3 * time.Second, ResponseTimeout: 15 * time.Second}
}

// Engines with large prefill chunks pause all their streams during a chunk. A long prompt goes to an
// engine whose streams tolerate this, or waits for a while; a short one may go to any engine. Without this
// rule half of the interactive requests of one deployment had too long event gaps; with it most have none.
func TestLongPromptAvoidsStreamsThatDoNotTolerateItsGap(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(2)
	for range 20 { // gaps as long as the prefill, as with large chunks
		q.model.ObserveGap(600*time.Millisecond, 600*time.Millisecond)
	}
	streaming := startStream(q, interactiveRequest("q1"), now)
	now = now.Add(time.Second)
	first := q.Submit(backgroundRequest("first", 20000), now) // 515 ms
	g.Expect(first.Engine).NotTo(Equal(streaming.ID))
	g.Expect(q.Submit(backgroundRequest("second", 20000), now).Verdict).To(Equal(Queued))
	g.Expect(q.Submit(backgroundRequest("short", 3000), now).Verdict).To(Equal(Queued)) // behind "second"
	decisions := q.Poll(now)
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].ID).To(Equal("short"))
	g.Expect(decisions[0].Engine).To(Equal(streaming.ID))
	// Once the streams have ended, the long prompt can go there.
	q.RecordFirstToken("short", 90*time.Millisecond, now)
	q.Finish("q1", StreamStats{}, now)
	q.Finish("short", StreamStats{}, now)
	g.Expect(q.Poll(now)[0].ID).To(Equal("second"))
}

// After a short wait, a request is no longer delayed to protect streams of its own priority, as this could
// lead to its refusal. A less urgent request still waits while it would disrupt several more urgent streams.
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
	equal, lessUrgent := interactiveRequest("equal"), backgroundRequest("less-urgent", 20000)
	equal.UniqueTokens = 20000
	g.Expect(q.Submit(equal, now).Verdict).To(Equal(Queued))
	g.Expect(q.Submit(lessUrgent, now).Verdict).To(Equal(Queued))
	decisions := q.Poll(now.Add(300 * time.Millisecond)) // of a target of 500 ms
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].ID).To(Equal("equal"))
	q.RecordFirstToken("equal", 515*time.Millisecond, now)
	q.Finish("equal", StreamStats{}, now)
	g.Expect(q.Poll(now.Add(1600 * time.Millisecond))).To(BeEmpty()) // it would disrupt five more urgent streams
}

// A prompt that has waited for 0.6 of its target may disrupt a more urgent stream.
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
	decisions := q.Poll(now.Add(1600 * time.Millisecond)) // of a target of 2.5 s
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].Verdict).To(Equal(Granted))
}

// With small prefill chunks prompts do not have to wait for streams, as the event gap is short and does not
// depend on the length of the prefill.
func TestSmallChunksAllowConcurrentPrefill(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	startStream(q, interactiveRequest("q1"), now)
	g.Expect(q.Submit(backgroundRequest("a", 20000), now.Add(time.Second)).Verdict).To(Equal(Granted))
}

// Two prefills with too short a pause between them for a stream event cause a single long gap.
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
	interval := q.eventInterval(q.sortedEngines[0])
	g.Expect(q.Poll(now.Add(interval))).To(HaveLen(1))
}

// An engine gets no prompt whose prefill would keep its streams from finishing within their response
// timeouts.
func TestStreamsKeepTimeToFinish(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	a := interactiveRequest("q1")
	a.MaxEventGap, a.ResponseTimeout = 0, 3500*time.Millisecond // 300 tokens take 3 s
	startStream(q, a, now)
	g.Expect(q.Submit(backgroundRequest("a", 30000), now).Verdict).To(Equal(Queued)) // 765 ms
	g.Expect(q.Submit(backgroundRequest("b", 10000), now).Verdict).To(Equal(Queued)) // behind "a"
	decisions := q.Poll(now)
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].ID).To(Equal("b"))
	q.Finish("q1", StreamStats{}, now)
	q.RecordFirstToken("b", 265*time.Millisecond, now)
	g.Expect(q.Poll(now)).To(HaveLen(1))
}

// During overload a request that can no longer be on time is refused early instead of waiting until its
// timeout.
func TestLateRequestsAreRefusedDuringOverload(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	refused := map[string]time.Duration{} // how long they had waited
	for i := range 200 {                  // one every 100 ms, each takes 265 ms
		id := fmt.Sprint(i)
		if d := q.Submit(backgroundRequest(id, 10000), now); d.Verdict == Refused {
			refused[id] = 0
		}
		now = now.Add(100 * time.Millisecond)
		for granted, e := range q.granted {
			if now.Sub(e.grantedAt) >= 265*time.Millisecond {
				q.RecordFirstToken(granted, 265*time.Millisecond, now)
				q.Finish(granted, StreamStats{}, now)
			}
		}
		for _, d := range q.Poll(now) {
			if d.Verdict == Refused {
				index := 0
				fmt.Sscan(d.ID, &index)
				refused[d.ID] = time.Duration(i+1-index) * 100 * time.Millisecond
			}
		}
	}
	g.Expect(len(refused)).To(BeNumerically(">", 100))
	for id, waited := range refused {
		g.Expect(waited).To(BeNumerically("<", 3500*time.Millisecond), id) // of a timeout of 10 s
	}
}

// An engine gets no more requests than fit in its batch and its KV cache, as the scheduler has no control
// over requests that an engine queues internally or preempts.
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
	g.Expect(q.Submit(large, now).Verdict).To(Equal(Queued)) // does not fit in the KV cache beside "c"
	q.Finish("c", StreamStats{}, now)
	g.Expect(q.Poll(now)).To(HaveLen(1)) // a single request is placed regardless of its size
}
