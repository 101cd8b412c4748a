package slowstart

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a burst to a server that has not responded yet, and against keeping a slow server idle.
func TestRequestsDoubleWhileThereIsNoResponse(t *testing.T) {
	g := NewWithT(t)
	var r Ramp
	start := time.Unix(100, 0)
	sent := func(now time.Time) (n int) {
		for ; r.Wait(now) == 0; n++ {
			r.Add(now)
		}
		return n
	}
	g.Expect(sent(start)).To(Equal(1))
	g.Expect(r.Wait(start)).To(Equal(DoublingTime))
	g.Expect(sent(start.Add(DoublingTime - 1))).To(BeZero())
	g.Expect(sent(start.Add(DoublingTime))).To(Equal(1))
	g.Expect(sent(start.Add(4 * DoublingTime))).To(Equal(14))
	r.End(start)
	g.Expect(sent(start.Add(5 * DoublingTime))).To(Equal(1))
}

// Guards against a burst while requests end that were sent before the pause.
func TestEarlierRequestsDoNotEndTheRamp(t *testing.T) {
	g := NewWithT(t)
	var r Ramp
	start := time.Unix(100, 0)
	r.Add(start)
	r.End(start.Add(-time.Millisecond))
	g.Expect(r.Wait(start)).To(Equal(DoublingTime))
}
