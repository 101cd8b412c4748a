package telemetry

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestLabelValuesAreEscaped(t *testing.T) {
	NewWithT(t).Expect(seriesName("m", []string{"team", "a\"b\\c\n"})).To(Equal(`m{team="a\"b\\c\n"}`))
}

func TestTokenGapTargetAppliesTo95thPercentile(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(0, 0)
	observe := func(slow int) *RequestObservation {
		o := RequestMetricsFor("t", "c").Observe(start, LatencyTargets{FirstToken: time.Second, BetweenTokens: 50 * time.Millisecond})
		now := start
		for i := range 101 {
			gap := 10 * time.Millisecond
			if i > 0 && i <= slow {
				gap = 60 * time.Millisecond
			}
			now = now.Add(gap)
			o.RecordToken(now)
		}
		return o
	}
	g.Expect(observe(5).meetsTargets(time.Second)).To(BeTrue())
	g.Expect(observe(6).meetsTargets(time.Second)).To(BeFalse())
}

// BenchmarkTeamHistograms reports the live memory of the histograms of 2,500
// teams in two classes each, with latencies over several orders of magnitude.
func BenchmarkTeamHistograms(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	rounds := 0
	for b.Loop() {
		for i := range 2500 {
			for _, class := range []string{"x", "y"} {
				o := RequestMetricsFor(fmt.Sprint("team", rounds, "-", i), class).Observe(time.Unix(0, 0), LatencyTargets{})
				now := time.Unix(0, 0)
				for range 50 {
					now = now.Add(time.Duration(rand.IntN(1_000_000_000)))
					o.RecordToken(now)
				}
				o.RecordEnd(now, "", "")
			}
		}
		rounds++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6/float64(rounds), "live-MB")
}
