package quarantine

import (
	"slices"
	"time"
)

// Crash is the loss of a backend server while it ran a request.
type Crash struct {
	// Server identifies the server instance; a restarted server is a new instance.
	Server string
	// SentAt is when the request was sent, At when the connection to the server broke.
	SentAt, At time.Time
	// rate is the crash rate around At, in crashes per second of run time.
	rate float64
	// requests are tags of the requests that ran, in ascending order; set for prompt parts only.
	requests []uint16
	// isolated is set if the run was kept apart from other suspects; set for prompt parts only.
	isolated bool
}

const (
	// minCrashes is the number of consecutive crashes required for a verdict. Every request that runs
	// on a crashing server becomes a suspect. A request that ran on three crashing servers in a row,
	// without a response in between, is considered the cause unless the crash rate is high (see
	// crashProbability).
	minCrashes = 3
	// maxExtraCrashes limits the additional crashes required when other servers crashed as well, one
	// for each such server: a server that crashes for another reason may run the request by chance.
	maxExtraCrashes = 2
	// coRunnerExtraCrashes is the number of additional crashes required when another request ran on
	// all crashed servers but the last: if many requests ran on the same two crashing servers in a
	// row, one of them will run on the next crashing server by chance.
	coRunnerExtraCrashes = 1
	// maxChanceProbability is the highest probability that all crashes coincided with the request by
	// chance at which a verdict is still reached. It is roughly the false positive rate per harmless
	// run while servers keep crashing: one in four minutes at 4,400 runs per second. Without other
	// crashes, three crashed runs of 10 s have a probability of 2e-8. If each server crashes every
	// 3 s, runs of 60 ms need four crashes and runs of 1 s need eleven.
	maxChanceProbability = 1e-6
	// recentCrashWindow is how close in time the crashes of other servers must be to a crash to count
	// towards its probability. It covers the seconds until the server list reports a crash.
	recentCrashWindow = 10 * time.Second
	// clockSkewTolerance is the allowed difference between the times that two gateways report for the
	// same event. It covers the delay of a datagram to a busy process.
	clockSkewTolerance = 5 * time.Millisecond
)

// independentCrashes returns the crashes that count as independent evidence. Of runs that overlap in
// time only the first counts, because servers in one rack fail together whatever they run.
func independentCrashes(crashes []Crash) []Crash {
	sorted := slices.Clone(crashes)
	slices.SortFunc(sorted, func(a, b Crash) int { return a.At.Compare(b.At) })
	var out []Crash
	for _, crash := range sorted {
		if len(out) == 0 || crash.SentAt.After(out[len(out)-1].At.Add(-clockSkewTolerance)) {
			out = append(out, crash)
		}
	}
	return out
}

// withoutWeakest removes the crash that adds the least evidence: one that is not independent, or else
// the oldest.
func withoutWeakest(crashes []Crash) []Crash {
	counted := independentCrashes(crashes)
	least := 0
	for i, crash := range crashes {
		counts := slices.ContainsFunc(counted, func(c Crash) bool { return c.Server == crash.Server })
		if !counts {
			least = i
			break
		}
		if crash.At.Before(crashes[least].At) {
			least = i
		}
	}
	return slices.Delete(crashes, least, least+1)
}

// conclusive reports whether there are at least the needed number of independent crashes, and whether they
// are too unlikely to have coincided with the request by chance.
func conclusive(crashes []Crash, needed int) bool {
	counted := independentCrashes(crashes)
	if len(counted) < needed {
		return false
	}
	probability := 1.0
	for _, crash := range counted {
		probability *= crashProbability(max(crash.At.Sub(crash.SentAt), minRunDuration), crash.rate)
	}
	return probability < maxChanceProbability
}
