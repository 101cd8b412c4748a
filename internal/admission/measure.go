package admission

import (
	"math"
	"time"
)

// ewmaWeight is the weight of a new sample.
const ewmaWeight = 0.1

// ewma is an exponentially weighted moving average of durations.
type ewma struct {
	mean        float64 // seconds
	initialized bool
}

func (e *ewma) add(d time.Duration) {
	if !e.initialized {
		e.mean, e.initialized = d.Seconds(), true
		return
	}
	e.mean += ewmaWeight * (d.Seconds() - e.mean)
}

func (e *ewma) duration() time.Duration { return time.Duration(e.mean * float64(time.Second)) }

// tokenShares measures each tier's share of the generated tokens. The sums decay
// exponentially, by a factor of e per window.
type tokenShares struct {
	window    time.Duration
	lastDecay time.Time
	sums      [Tiers]float64
}

func (s *tokenShares) decay(now time.Time) {
	if s.lastDecay.IsZero() {
		s.lastDecay = now
		return
	}
	if dt := now.Sub(s.lastDecay); dt > 0 {
		k := math.Exp(-dt.Seconds() / max(s.window.Seconds(), 1e-3))
		for i := range s.sums {
			s.sums[i] *= k
		}
		s.lastDecay = now
	}
}

func (s *tokenShares) add(now time.Time, tier int, tokens float64) {
	s.decay(now)
	s.sums[tier] += tokens
}

// share returns the tier's share, from 0 to 1; 0 when no tokens were counted.
func (s *tokenShares) share(now time.Time, tier int) float64 {
	s.decay(now)
	total := 0.0
	for _, v := range s.sums {
		total += v
	}
	if total < 1e-9 {
		return 0
	}
	return s.sums[tier] / total
}
