package quarantine

import (
	"math"
	"time"
)

const (
	// Run times and crashes are counted in buckets of hazardBucketDuration each.
	hazardBucketDuration = 500 * time.Millisecond
	hazardBucketCount    = 20
	// priorRunTimeSeconds is added to the observed run time, so that a single crash caused by another
	// request does not result in a high crash rate when there is little traffic.
	priorRunTimeSeconds = 3.0
	// minRunDuration is the shortest duration that is assumed for a run. A request that is sent to a
	// server which has just crashed fails within 1 ms.
	minRunDuration = 100 * time.Millisecond
	// minCrashRate is the crash rate, in crashes per second of run time, that is assumed when no other
	// crash was observed: one per hour, far above the known crash rates of engines.
	minCrashRate = 1.0 / 3600
)

// hazardWindowBuckets are the lengths, in buckets, of the windows over which crash rates are computed;
// the highest rate is used. The short window reacts quickly when servers begin to crash.
var hazardWindowBuckets = []int64{2, hazardBucketCount}

// hazardEstimator estimates the crash rate (the hazard rate of a run) from the total run time of
// requests at this gateway and the crashes during these runs. The zero value is ready to use.
type hazardEstimator struct {
	startedAt time.Time
	buckets   [hazardBucketCount + 1]hazardBucket
}

// hazardBucket holds the counts for one interval of hazardBucketDuration.
type hazardBucket struct {
	index      int64 // number of the interval since startedAt
	runSeconds float64
	crashes    map[string]int // number of runs lost in a crash, by server instance
}

// bucket returns the bucket for a time. It resets the bucket if that held an earlier interval.
func (h *hazardEstimator) bucket(now time.Time) *hazardBucket {
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
	index := max(0, int64(now.Sub(h.startedAt)/hazardBucketDuration))
	b := &h.buckets[index%int64(len(h.buckets))]
	if b.index != index {
		*b = hazardBucket{index: index}
	}
	return b
}

// addRun adds the duration of a completed run.
func (h *hazardEstimator) addRun(d time.Duration, now time.Time) {
	h.bucket(now).runSeconds += d.Seconds()
}

// addCrash counts a run that was lost in a server crash.
func (h *hazardEstimator) addCrash(instance string, now time.Time) {
	b := h.bucket(now)
	if b.crashes == nil {
		b.crashes = map[string]int{}
	}
	if len(b.crashes) < maxCrashedServers {
		b.crashes[instance]++
	}
}

// rate returns the crash rate in crashes per second of run time. It ignores crashes of the server
// instances for which skip returns true.
func (h *hazardEstimator) rate(now time.Time, skip func(instance string) bool) float64 {
	newest := h.bucket(now).index
	highest := minCrashRate
	for _, window := range hazardWindowBuckets {
		runSeconds, crashes := priorRunTimeSeconds, 0
		for _, b := range h.buckets {
			if b.index <= newest-window || b.index > newest {
				continue
			}
			runSeconds += b.runSeconds
			for instance, n := range b.crashes {
				if !skip(instance) {
					crashes += n
				}
			}
		}
		highest = max(highest, float64(crashes)/runSeconds)
	}
	return highest
}

// crashProbability returns the probability that a server crashes during a run of the given duration,
// assuming a constant crash rate.
func crashProbability(d time.Duration, rate float64) float64 {
	return 1 - math.Exp(-rate*d.Seconds())
}
