package permit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against refusing interactive requests as if there were too much load, while engines that have just failed
// take requests again within the time that callers wait.
func TestEnginesInBackoffCountForTheExpectedWait(t *testing.T) {
	g := NewWithT(t)
	q, now := rateLimitedQueue(3, 1, 0)
	q.engines["e1"].recordFailure(now)
	q.engines["e2"].recordFailure(now)
	urgent := func(id string) Ask {
		return Ask{ID: id, UniqueTokens: 5000, FirstTokenTarget: 300 * time.Millisecond, FirstTokenTimeout: 2 * time.Second}
	}
	for i := range 4 {
		d := q.Submit(urgent(fmt.Sprint(i)), now)
		g.Expect(d.Verdict).To(BeElementOf(Granted, Queued))
		g.Expect(d.Wait).To(BeNumerically("<", time.Second))
	}
	now = now.Add(initialBackoff)
	var engines []string
	for _, d := range q.Poll(now) {
		engines = append(engines, d.Engine)
	}
	g.Expect(engines).To(ContainElements("e1", "e2"))
}

// Guards against a verdict that indicates load while all engines are failing.
func TestRefusalWhileAllEnginesAreInBackoff(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	for range 3 {
		q.engines["e0"].recordFailure(now)
	}
	a := backgroundRequest("a", 5000)
	a.FirstTokenTimeout = q.engines["e0"].backoffUntil.Sub(now) + 100*time.Millisecond
	d := q.Submit(a, now)
	g.Expect(d.Verdict).To(Equal(NoEngine))
	g.Expect(d.EnginesInBackoff).To(Equal(1))
}
