package permit

import (
	"math"
	"time"
)

// loadTimeConstant is the time constant of the moving average of the offered load. It is short compared
// with bursts of 5 to 10 s, and long enough to average over tens of prompts.
const loadTimeConstant = 2 * time.Second

// priorityLevels is the number of priorities whose load is measured separately. Less urgent priorities
// are added to the last one.
const priorityLevels = 10

// loadByPriority is the offered load of each priority.
type loadByPriority [priorityLevels]load

// add records the arrival of a request that takes the given engine time.
func (l *loadByPriority) add(priority int, engineTime time.Duration, now time.Time) {
	l[min(max(priority, 0), priorityLevels-1)].add(engineTime, now)
}

// enginesNeededUpTo returns how many engines are kept busy by the load of the given priority and of all
// more urgent ones.
func (l *loadByPriority) enginesNeededUpTo(priority int, now time.Time) (sum float64) {
	for i := range l[:min(max(priority+1, 0), priorityLevels)] {
		sum += l[i].enginesNeeded(now)
	}
	return sum
}

// load measures the engine time of arriving requests as the number of engines that it keeps busy.
type load struct {
	engineSeconds float64 // offered engine time in seconds, exponentially decayed
	updatedAt     time.Time
}

func (l *load) add(engineTime time.Duration, now time.Time) {
	l.decay(now)
	l.engineSeconds += engineTime.Seconds()
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
