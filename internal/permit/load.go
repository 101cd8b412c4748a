package permit

import (
	"math"
	"time"
)

// loadTimeConstant is the time constant over which the offered load is averaged: short compared
// with bursts of 5 to 10 s, and long enough to cover some tens of prompts.
const loadTimeConstant = 2 * time.Second

// priorities is the number of priorities whose load is measured separately.
const priorityLevels = 10

// loads is the offered load by priority.
type loadByPriority [priorityLevels]load

func (l *loadByPriority) add(rank int, work time.Duration, now time.Time) {
	l[min(max(rank, 0), priorityLevels-1)].add(work, now)
}

// enginesNeededUpTo returns how many engines the load of a priority and all more urgent ones keeps busy.
func (l *loadByPriority) enginesNeededUpTo(rank int, now time.Time) (sum float64) {
	for i := range l[:min(max(rank+1, 0), priorityLevels)] {
		sum += l[i].enginesNeeded(now)
	}
	return sum
}

// load measures the offered prefill time as a number of engines.
type load struct {
	engineSeconds float64 // seconds of prefill, exponentially decayed
	updatedAt     time.Time
}

func (l *load) add(reading time.Duration, now time.Time) {
	l.decay(now)
	l.engineSeconds += reading.Seconds()
}

func (l *load) decay(now time.Time) {
	if elapsed := now.Sub(l.updatedAt); elapsed > 0 {
		l.engineSeconds *= math.Exp(-float64(elapsed) / float64(loadTimeConstant))
		l.updatedAt = now
	}
}

// enginesNeeded returns how many engines the load keeps busy.
func (l *load) enginesNeeded(now time.Time) float64 {
	l.decay(now)
	return l.engineSeconds / loadTimeConstant.Seconds()
}
