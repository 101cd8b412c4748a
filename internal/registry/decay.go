package registry

import (
	"math"
	"time"
)

// decay is the part of a count that remains after elapsed.
func decay(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(errorMemory))
}
