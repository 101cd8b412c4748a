package quarantine

import (
	"slices"
	"time"
)

// Crash is the loss of a backend server while it ran a request.
type Crash struct {
	// Server is the server instance: a server that restarts under the same ID is another instance.
	Server string
	// SentAt is when the request was sent to the server, At when its connection broke.
	SentAt, At time.Time
	// rate is the crash rate around that time: crashes per second of run time.
	rate float64
}

const (
	// minCrashes is the number of consecutive crashes needed to quarantine a request. Every request
	// that runs on a crashing server becomes a suspect; one that was on three crashing servers in a
	// row, and was not answered in between, is the cause unless servers crash all the time (see
	// crashProbability).
	minCrashes = 3
	// maxExtraCrashes bounds how many more crashes are needed when other servers crashed too, one for
	// each of them: some of the servers that crash for another reason run the request by chance.
	maxExtraCrashes = 2
	// coRunnerExtraCrashes is how many more crashes are needed when other requests ran on all crashed
	// servers but the last: of many requests that ran together on two crashing servers in a row, one
	// will be on the next by chance.
	coRunnerExtraCrashes = 1
	// maxChance is the highest accepted probability that all crashes met the request by chance. It is
	// about the share of harmless runs that are quarantined while servers crash all the time: one in
	// four minutes at 4,400 runs a second. When nothing else crashes, three runs of 10 s reach
	// 2 in 100 million; when each server crashes every 3 s, runs of 60 ms need four crashes and
	// runs of 1 s need eleven.
	maxChanceProbability = 1e-6
	// recentWindow is the time around a crash in which crashes of other servers count towards its
	// probability. It covers those that the server list reports only seconds later.
	recentCrashWindow = 10 * time.Second
	// clockTolerance is how much the times reported by two gateways may differ: the delay of a
	// datagram to a busy process.
	clockSkewTolerance = 5 * time.Millisecond
)

// independent returns the crashes that are independent evidence: of runs at the same time only the
// first counts, as servers in one rack fail together whatever they run.
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

// withoutWeakest removes the crash that adds the least evidence: one of overlapping runs, or else the oldest.
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

// conclusive reports whether the crashes are at least needed and too unlikely to have met the request by chance.
func conclusive(crashes []Crash, needed int) bool {
	counted := independentCrashes(crashes)
	if len(counted) < needed {
		return false
	}
	all := 1.0
	for _, crash := range counted {
		all *= crashProbability(crash.At.Sub(crash.SentAt), crash.rate)
	}
	return all < maxChanceProbability
}
