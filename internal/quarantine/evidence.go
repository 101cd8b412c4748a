package quarantine

import (
	"math"
	"slices"
	"time"
)

// End is the end of a backend server while it ran a request.
type End struct {
	// Server is the start of the server that ended: what starts again under its ID is another.
	Server string
	// Begun is when the request was sent there, At when its connection broke.
	Begun, At time.Time
}

const (
	// endsForVerdict is how many servers have to end one after the other. Everything that ran on
	// a server is a suspect when it ends; what ran on three in a row, without having been answered
	// anywhere in between, is the cause unless servers end all the time (see chance).
	endsForVerdict = 3
	// mostChance is how likely it may be that servers ended by chance while the request ran on
	// them: about the share of harmless runs that are taken for guilty while servers end all
	// the time, one in four minutes of 4,400 a second. Where nothing else ends three runs of
	// 10 s reach 2 in 100 million; where each server ends every 3 s, runs of 60 ms need four ends
	// and of 1 s eleven.
	mostChance = 1e-6
	// endsWindow is the time over which the ends of other servers are counted for that, and
	// leastEndRate, in ends a second for each server, what is assumed where none is seen: one
	// an hour, far more often than engines are known to crash.
	endsWindow   = 10 * time.Second
	leastEndRate = 1.0 / 3600
	// sameMoment is by how much the times of two gateways' words may differ: a datagram on its
	// way in a busy process.
	sameMoment = 5 * time.Millisecond
)

// independent returns the ends that say something each: of runs at the same time only the first
// counts, as servers of one rack end together whatever they run.
func independent(ends []End) []End {
	sorted := slices.Clone(ends)
	slices.SortFunc(sorted, func(a, b End) int { return a.At.Compare(b.At) })
	var out []End
	for _, end := range sorted {
		if len(out) == 0 || end.Begun.After(out[len(out)-1].At.Add(-sameMoment)) {
			out = append(out, end)
		}
	}
	return out
}

// chance returns how likely it is that a server ends of itself during the run, where each server
// ends at a rate a second.
func chance(end End, rate float64) float64 {
	ran := max(end.At.Sub(end.Begun), time.Millisecond)
	return 1 - math.Exp(-rate*ran.Seconds())
}

// guilty reports whether the ends show that the request ends servers; endRate gives the rate at
// which other servers ended up to a moment.
func guilty(ends []End, endRate func(time.Time) float64) bool {
	counted := independent(ends)
	if len(counted) < endsForVerdict {
		return false
	}
	all := 1.0
	for _, end := range counted {
		all *= chance(end, endRate(end.At))
	}
	return all < mostChance
}
