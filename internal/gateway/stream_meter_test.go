package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/routing"
)

// A streamMeter measures the number of events, the time from the first to the last event and the
// longest pause between two events. It reports the first event once.
func TestStreamMeter(t *testing.T) {
	g := NewWithT(t)
	now, first := time.Unix(100, 0), 0
	var stats permit.StreamStats
	meter := streamMeter{now: func() time.Time { return now }, onFirstEvent: func() { first++ }, stats: &stats}
	for _, pause := range []time.Duration{0, 20, 400, 30} {
		now = now.Add(pause * time.Millisecond)
		meter.recordEvent()
	}
	g.Expect(first).To(Equal(1))
	g.Expect(stats).To(Equal(permit.StreamStats{Events: 4, Duration: 450 * time.Millisecond, LongestGap: 400 * time.Millisecond}))
}

// callerWait is the longest of two seconds, four times the target latency and eight times the target gap.
func TestCallerWait(t *testing.T) {
	g := NewWithT(t)
	g.Expect(callerWait(&routing.Route{TargetLatency: 300 * time.Millisecond, TargetGap: 200 * time.Millisecond})).To(Equal(2 * time.Second))
	g.Expect(callerWait(&routing.Route{TargetLatency: 2500 * time.Millisecond, TargetGap: 800 * time.Millisecond})).To(Equal(10 * time.Second))
	g.Expect(callerWait(&routing.Route{TargetLatency: 800 * time.Millisecond, TargetGap: 600 * time.Millisecond})).To(Equal(4800 * time.Millisecond))
}
