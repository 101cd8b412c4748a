package permit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
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
