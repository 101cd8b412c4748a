package quarantine

import (
	"math"
	"time"
)

const (
	// hazardStep and hazardSteps are the length and number of the intervals in which runs and crashes are counted.
	hazardBucketDuration = 500 * time.Millisecond
	hazardBucketCount    = 20
	// priorRunSeconds is added to the observed run time, so that a single crash by another request
	// under little traffic does not look like servers that crash all the time.
	priorRunTimeSeconds = 3.0
	// minRun is the shortest duration counted for a run. A request that is sent to a server which
	// has just crashed fails within 1 ms.
	minRunDuration = 100 * time.Millisecond
	// minHazardRate, in crashes per second, is assumed when no other crash was observed: one an
	// hour, far more often than engines are known to crash.
	minCrashRate = 1.0 / 3600
)

// hazardWindows are the windows, in steps, over which the rate is computed; the highest rate counts.
// The short window reacts soon after servers begin to crash.
var hazardWindowBuckets = []int64{2, hazardBucketCount}

// hazardEstimator estimates the crash rate from the total run time of requests at this gateway and
// the crashes during these runs. The zero value has no observations.
type hazardEstimator struct {
	startedAt time.Time
	buckets   [hazardBucketCount + 1]hazardBucket
}

// hazardBucket holds the counts of one step.
type hazardBucket struct {
	index      int64
	runSeconds float64
	crashes    map[string]int // runs that were lost, by server instance
}

// bucket returns the bucket of a time and resets it if it held an earlier step.
func (h *hazardEstimator) bucket(now time.Time) *hazardBucket {
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
	number := max(0, int64(now.Sub(h.startedAt)/hazardBucketDuration))
	c := &h.buckets[number%int64(len(h.buckets))]
	if c.index != number {
		*c = hazardBucket{index: number}
	}
	return c
}

// addRun adds the duration of a run.
func (h *hazardEstimator) addRun(d time.Duration, now time.Time) {
	h.bucket(now).runSeconds += d.Seconds()
}

// addCrash counts a run that was lost in a server crash.
func (h *hazardEstimator) addCrash(instance string, now time.Time) {
	c := h.bucket(now)
	if c.crashes == nil {
		c.crashes = map[string]int{}
	}
	if len(c.crashes) < maxCrashedServers {
		c.crashes[instance]++
	}
}

// rate returns the crashes per second of run time, without the server instances that skip accepts.
func (h *hazardEstimator) rate(now time.Time, skip func(instance string) bool) float64 {
	newest := h.bucket(now).index
	highest := minCrashRate
	for _, window := range hazardWindowBuckets {
		run, crashes := priorRunTimeSeconds, 0
		for _, c := range h.buckets {
			if c.index <= newest-window || c.index > newest {
				continue
			}
			run += c.runSeconds
			for instance, n := range c.crashes {
				if !skip(instance) {
					crashes += n
				}
			}
		}
		highest = max(highest, float64(crashes)/run)
	}
	return highest
}

// crashProbability returns the probability that a server crashes during a run of the given duration.
func crashProbability(ran time.Duration, rate float64) float64 {
	return 1 - math.Exp(-rate*max(ran, minRunDuration).Seconds())
}
