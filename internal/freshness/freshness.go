// Package freshness decides of which moment a reply of the platform's store tells, and how old
// a confirmation may be before a gateway reads by itself. One gateway reads for all and tells
// the others; a change must be in force on each of them within a bound, also when the one that
// reads is cut off right before it.
package freshness

import "time"

// ReadAt returns the moment at which what a reply tells was the newest for certain. A read that
// waited in vain tells that nothing had been written when its wait ended. What came with
// records may have been followed by more at once, while the reply was on its way: it tells of
// when the read was sent. Were the arrival taken, all gateways would rest on a state that is
// older than they believe by the time that a large value takes on a link (3.2 s for 1 MB at
// 2.5 Mbit/s, and a change 0.2 s late for it).
func ConfirmedAt(sent, returned time.Time, wait time.Duration, empty bool) time.Time {
	waited := sent.Add(wait)
	if empty && !returned.Before(waited) {
		return waited
	}
	return sent
}

const (
	// linkShare is the part of a link that a large reply gets: the rest carries answers.
	linkShare = 0.7
	// growth is how much larger than the last one the next value is taken to be.
	growth = 1.5
)

// Reading returns how long the next value of a topic may take on a link of so many Mbit/s, 0
// for one that is not known. last is the size of the newest one in bytes, usual what is
// expected while none is known.
func TransferTime(last, usual int, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	bits := 8 * max(float64(usual), growth*float64(last))
	return time.Duration(bits / (linkShare * linkMbps * 1e6) * float64(time.Second))
}

// Bound is what the timing of a topic derives from.
type Timing struct {
	// Within is the time in which a change must be in force.
	ApplyWithin time.Duration
	// Share is the part of Within for which others rely on a confirmation where reading takes
	// no time to speak of.
	MaxAgeRatio float64
	// Spread is by how much the gateways that then read do so apart.
	ReadSpread time.Duration
	// Told is how long a confirmation takes to reach the others, at most.
	AnnounceDelay time.Duration
	// Pause is the time between two reads of a gateway.
	ReadInterval time.Duration
}

// leastShare is the part of Within below which no confirmation is held too old, so that values
// that take longer than the bound on a link do not make all gateways read all the time.
const leastShare = 0.25

// Patience returns how old a confirmation may be when a gateway reads by itself. All gateways
// use the same, so that they read in their order: what is left of the bound after it is enough
// for the slowest of them to read the value.
func (b Timing) MaxAge(slowest time.Duration) time.Duration {
	usual := time.Duration(b.MaxAgeRatio * float64(b.ApplyWithin))
	left := b.ApplyWithin - b.ReadSpread - b.ReadInterval - slowest
	return max(min(usual, left), time.Duration(leastShare*float64(b.ApplyWithin)))
}

// Wait returns how long a read of the gateway that reads for all may wait at the store, so that
// the others hear of it before they lose patience.
func (b Timing) PollWait(patience time.Duration) time.Duration {
	return max(min(b.ApplyWithin/2, patience-b.ReadInterval-b.AnnounceDelay), b.ReadInterval)
}
