package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/routing"
)

// What is told of a stream to who decides: its events, the time from the first to the last
// and the longest pause between two; the first is told once.
func TestAStreamIsTakenDown(t *testing.T) {
	g := NewWithT(t)
	now, first := time.Unix(100, 0), 0
	var seen permit.StreamStats
	w := watch{now: func() time.Time { return now }, first: func() { first++ }, seen: &seen}
	for _, pause := range []time.Duration{0, 20, 400, 30} {
		now = now.Add(pause * time.Millisecond)
		w.event()
	}
	g.Expect(first).To(Equal(1))
	g.Expect(seen).To(Equal(permit.StreamStats{Events: 4, Duration: 450 * time.Millisecond, LongestGap: 400 * time.Millisecond}))
}

// A caller waits for the longest of two seconds, four targets and eight pauses.
func TestThePatienceOfCallers(t *testing.T) {
	g := NewWithT(t)
	g.Expect(patience(&routing.Route{TargetLatency: 300 * time.Millisecond, TargetGap: 200 * time.Millisecond})).To(Equal(2 * time.Second))
	g.Expect(patience(&routing.Route{TargetLatency: 2500 * time.Millisecond, TargetGap: 800 * time.Millisecond})).To(Equal(10 * time.Second))
	g.Expect(patience(&routing.Route{TargetLatency: 800 * time.Millisecond, TargetGap: 600 * time.Millisecond})).To(Equal(4800 * time.Millisecond))
}
