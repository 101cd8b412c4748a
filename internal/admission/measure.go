package admission

import (
	"math"
	"time"
)

// ewmaWeight is the weight of a new sample in a moving mean.
const ewmaWeight = 0.1

// ewma is an exponentially weighted moving mean of durations.
type ewma struct {
	mean  float64 // seconds
	known bool
}

func (e *ewma) add(d time.Duration) {
	if !e.known {
		e.mean, e.known = d.Seconds(), true
		return
	}
	e.mean += ewmaWeight * (d.Seconds() - e.mean)
}

func (e *ewma) duration() time.Duration { return time.Duration(e.mean * float64(time.Second)) }

// shares measures each tier's share of the tokens over a sliding window, with
// sums that decay by the factor e in one window.
type shares struct {
	window time.Duration
	last   time.Time
	sums   [Tiers]float64
}

func (s *shares) decay(now time.Time) {
	if s.last.IsZero() {
		s.last = now
		return
	}
	if dt := now.Sub(s.last); dt > 0 {
		k := math.Exp(-dt.Seconds() / max(s.window.Seconds(), 1e-3))
		for i := range s.sums {
			s.sums[i] *= k
		}
		s.last = now
	}
}

func (s *shares) add(now time.Time, tier int, tokens float64) {
	s.decay(now)
	s.sums[tier] += tokens
}

// of returns the tier's share, 0 to 1; 0 when nothing ran.
func (s *shares) of(now time.Time, tier int) float64 {
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
