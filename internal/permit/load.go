package permit

import (
	"math"
	"time"
)

// loadMemory is the time constant over which the offered load is measured: short against
// bursts of 5 to 10 s, long enough for some tens of prompts.
const loadMemory = 2 * time.Second

// ranks is the number of ranks whose load is told from each other.
const ranks = 10

// loads is the load of each rank.
type loads [ranks]load

func (l *loads) add(rank int, work time.Duration, now time.Time) {
	l[min(max(rank, 0), ranks-1)].add(work, now)
}

// upTo returns how many engines the load of a rank and of those before it would keep busy without pause.
func (l *loads) upTo(rank int, now time.Time) (sum float64) {
	for i := range l[:min(max(rank+1, 0), ranks)] {
		sum += l[i].engines(now)
	}
	return sum
}

// load measures the reading time that is asked for, in engines.
type load struct {
	asked float64 // seconds of reading, with forgetting
	at    time.Time
}

// add counts a prompt.
func (l *load) add(reading time.Duration, now time.Time) {
	l.forget(now)
	l.asked += reading.Seconds()
}

func (l *load) forget(now time.Time) {
	if elapsed := now.Sub(l.at); elapsed > 0 {
		l.asked *= math.Exp(-float64(elapsed) / float64(loadMemory))
		l.at = now
	}
}

// engines returns how many engines the load would keep reading without pause.
func (l *load) engines(now time.Time) float64 {
	l.forget(now)
	return l.asked / loadMemory.Seconds()
}
