package permit

import (
	"math"
	"time"
)

// loadTimeConstant is the time constant over which the offered load is averaged: short compared
// with bursts of 5 to 10 s, and long enough to cover some tens of prompts.
const loadTimeConstant = 2 * time.Second

// priorities is the number of priorities whose load is measured separately.
const priorities = 10

// loads is the offered load by priority.
type loads [priorities]load

func (l *loads) add(rank int, work time.Duration, now time.Time) {
	l[min(max(rank, 0), priorities-1)].add(work, now)
}

// enginesNeededUpTo returns how many engines the load of a priority and all more urgent ones keeps busy.
func (l *loads) enginesNeededUpTo(rank int, now time.Time) (sum float64) {
	for i := range l[:min(max(rank+1, 0), priorities)] {
		sum += l[i].enginesNeeded(now)
	}
	return sum
}

// load measures the offered prefill time as a number of engines.
type load struct {
	work      float64 // seconds of prefill, exponentially decayed
	updatedAt time.Time
}

func (l *load) add(reading time.Duration, now time.Time) {
	l.decay(now)
	l.work += reading.Seconds()
}

func (l *load) decay(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.work *= math.Exp(-float64(elapsed) / float64(loadTimeConstant))
		l.updatedAt = now
	}
}

// enginesNeeded returns how many engines the load keeps busy.
func (l *load) enginesNeeded(now time.Time) float64 {
	l.decay(now)
	return l.work / loadTimeConstant.Seconds()
}
