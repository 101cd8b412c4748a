package quarantine

import (
	"slices"
	"time"
)

// End is the end of a backend server while it ran a request.
type Crash struct {
	// Server is the start of the server that ended: what starts again under its ID is another.
	Server string
	// Begun is when the request was sent there, At when its connection broke.
	SentAt, At time.Time
	// rate is how often, in times a second, a run met the end of its server about then.
	rate float64
}

const (
	// endsForVerdict is how many servers have to end one after the other. Everything that ran on
	// a server is a suspect when it ends; what ran on three in a row, without having been answered
	// anywhere in between, is the cause unless servers end all the time (see chance).
	endsForVerdict = 3
	// endsForOthers is how many more are needed at most where other servers have ended too, one for
	// each of them: of those that end anyhow some run the request by chance.
	endsForOthers = 2
	// endsForCompany is how many more are needed where others were on all servers but the last: of many
	// that ran together on two servers in a row, one will be on the next that ends.
	endsForCompany = 1
	// mostChance is how likely it may be that servers ended by chance while the request ran on
	// them: about the share of harmless runs that are taken for guilty while servers end all
	// the time, one in four minutes of 4,400 a second. Where nothing else ends three runs of
	// 10 s reach 2 in 100 million; where each server ends every 3 s, runs of 60 ms need four ends
	// and of 1 s eleven.
	mostChance = 1e-6
	// recent is the time around an end in which the ends of other servers tell how likely it was,
	// also those that the list tells of only seconds later.
	recent = 10 * time.Second
	// sameMoment is by how much the times of two gateways' words may differ: a datagram on its
	// way in a busy process.
	sameMoment = 5 * time.Millisecond
)

// independent returns the ends that say something each: of runs at the same time only the first
// counts, as servers of one rack end together whatever they run.
func independent(ends []Crash) []Crash {
	sorted := slices.Clone(ends)
	slices.SortFunc(sorted, func(a, b Crash) int { return a.At.Compare(b.At) })
	var out []Crash
	for _, end := range sorted {
		if len(out) == 0 || end.SentAt.After(out[len(out)-1].At.Add(-sameMoment)) {
			out = append(out, end)
		}
	}
	return out
}

// withoutOne leaves out the end that says least: one of runs at the same time, else the oldest.
func withoutOne(ends []Crash) []Crash {
	counted := independent(ends)
	least := 0
	for i, end := range ends {
		counts := slices.ContainsFunc(counted, func(c Crash) bool { return c.Server == end.Server })
		if !counts {
			least = i
			break
		}
		if end.At.Before(ends[least].At) {
			least = i
		}
	}
	return slices.Delete(ends, least, least+1)
}

// guilty reports whether the ends, of which so many are needed, show that the request ends servers.
func guilty(ends []Crash, needed int) bool {
	counted := independent(ends)
	if len(counted) < needed {
		return false
	}
	all := 1.0
	for _, end := range counted {
		all *= chance(end.At.Sub(end.SentAt), end.rate)
	}
	return all < mostChance
}
