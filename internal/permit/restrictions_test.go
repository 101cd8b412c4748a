package permit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/slowstart"
)

// excluding returns a plain request whose gateway can't use e0 for the given time, 0 for the whole request.
func excluding(id string, wait time.Duration) Ask {
	a := plainRequest(id, 0)
	a.ExcludedEngines, a.ExcludedFor = []string{"e0"}, []time.Duration{wait}
	return a
}

// granted returns the engines that are granted in decisions, by request ID.
func granted(decisions []Decision) map[string]string {
	out := map[string]string{}
	for _, d := range decisions {
		if d.Verdict == Granted {
			out[d.ID] = d.Engine
		}
	}
	return out
}

// Guards against a request that waits until its timeout although the engine from which its gateway backed off
// for a short time accepts requests again.
func TestWaitingRequestUsesAnEngineAfterTheBackoff(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	g.Expect(q.Submit(excluding("a", 400*time.Millisecond), now).Verdict).To(Equal(Queued))
	g.Expect(q.Poll(now.Add(399 * time.Millisecond))).To(BeEmpty())
	g.Expect(granted(q.Poll(now.Add(400 * time.Millisecond)))).To(Equal(map[string]string{"a": "e0"}))
}

func TestRequestIsNotQueuedForABackoffBeyondItsTimeout(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	g.Expect(q.Submit(excluding("long", 3*time.Second), now).Verdict).To(Equal(NoEngine))
	g.Expect(q.Submit(excluding("all", 0), now).Verdict).To(Equal(NoEngine))
}

// Guards against idle engines: requests that can't use them were at the head of the queue, and no others were
// tried.
func TestRequestsThatExcludeAnEngineDoNotBlockOthers(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(2)
	q.Submit(plainRequest("running", 0), now)
	q.limiter.SetRate("e1", 0, now)
	for q.limiter.Allow("e1", now) { // no token is left
	}
	for i := range 10 * maxPlacementAttempts {
		a := excluding(fmt.Sprint("excluding", i), 0)
		a.FirstTokenTimeout = 24 * time.Hour
		g.Expect(q.Submit(a, now).Verdict).To(Equal(Queued))
	}
	g.Expect(q.Submit(plainRequest("other", 0), now).Verdict).To(Equal(Queued), "requests ahead of it wait")
	g.Expect(granted(q.Poll(now))).To(Equal(map[string]string{"other": "e0"}))
}

// Guards against expected waits that count engines which the request can't use.
func TestExpectedWaitDependsOnExcludedEngines(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(2)
	busy := backgroundRequest("busy", longPromptTokens)
	busy.ExcludedEngines = []string{"e0"}
	g.Expect(q.Submit(busy, now).Engine).To(Equal("e1"))
	a := backgroundRequest("a", longPromptTokens)
	a.ExcludedEngines, a.ExcludedFor = []string{"e0"}, []time.Duration{100 * time.Millisecond}
	g.Expect(q.Submit(a, now).Wait).To(Equal(100*time.Millisecond), "until the backoff ends")
	b := backgroundRequest("b", longPromptTokens)
	b.ExcludedEngines = []string{"e0"}
	g.Expect(q.Submit(b, now).Wait).To(BeNumerically(">", 200*time.Millisecond), "until the other prefill ends")
}

// Guards against a burst at the end of a backoff: requests that waited for the engine were granted together,
// before its first response showed whether it limits its rate.
func TestEngineRecoversBySlowStart(t *testing.T) {
	for _, backoff := range []time.Duration{0, 400 * time.Millisecond} {
		g := NewWithT(t)
		q, now := newQueue(1)
		for i := range 20 {
			a := excluding(fmt.Sprint(i), backoff)
			if backoff == 0 {
				a = plainRequest(a.ID, 0)
				a.RecoveringEngines = []string{"e0"}
			}
			q.Submit(a, now)
		}
		now = now.Add(backoff)
		q.Poll(now)
		g.Expect(len(q.granted)).To(Equal(1), "after a backoff of %s", backoff)
		q.Submit(plainRequest("of another gateway", 0), now)
		q.Poll(now)
		g.Expect(len(q.granted)).To(Equal(2), "other gateways are not affected")
		now = now.Add(slowstart.DoublingTime)
		g.Expect(granted(q.Poll(now))).To(HaveLen(1), "while there is no response")
		for id := range q.granted {
			q.Finish(id, StreamStats{}, now)
		}
		q.Poll(now)
		g.Expect(q.waiting).To(BeEmpty(), "after a response")
	}
}

// Guards against taking a request that was not sent, or that failed, for a response of the engine.
func TestOnlyAResponseEndsSlowStart(t *testing.T) {
	g := NewWithT(t)
	for _, stats := range []StreamStats{NotSent, {EngineFailed: true}} {
		q, now := newQueue(1)
		for i := range 20 {
			a := plainRequest(fmt.Sprint(i), 0)
			a.RecoveringEngines = []string{"e0"}
			q.Submit(a, now)
		}
		g.Expect(q.granted).To(HaveKey("0"))
		q.Finish("0", stats, now)
		g.Expect(q.Poll(now)).To(HaveLen(1), "another request takes its place")
	}
}
