// Package freshness computes as of which time a reply of the platform's store is known to be the
// newest state, and how old such a confirmation may become before a gateway reads the store itself.
// One gateway reads on behalf of all and reports the result to the others. Each of them must apply
// a change within a time limit, even if the reading gateway is disconnected right before the
// change.
package freshness

import "time"

// ConfirmedAt returns the latest time at which the content of a reply is certain to have been the
// newest state. If a long poll returned no records, nothing had been written when its wait ended.
// If a read returned records, others may have been written while the reply was in transit, so the
// content is only certain to have been the newest when the request was sent. Using the arrival time
// instead would overestimate the freshness by the transfer time of a large value: 3.2 s for 1 MB at
// 2.5 Mbit/s, which made a change 0.2 s late.
func ConfirmedAt(sent, returned time.Time, wait time.Duration, empty bool) time.Time {
	waitEnd := sent.Add(wait)
	if empty && !returned.Before(waitEnd) {
		return waitEnd
	}
	return sent
}

const (
	// usableLinkRatio is the fraction of a link that is available for a large reply, as the link
	// also carries responses to callers.
	usableLinkRatio = 0.7
	// growthFactor is the assumed size of a topic's next value relative to the newest one.
	growthFactor = 1.5
)

// EstimateTransferTime returns the estimated time to transfer a topic's next value over a link of
// the given speed, 0 if the speed is unknown. lastBytes is the size of the newest value. minBytes
// is the minimum of the assumed size of the next one.
func EstimateTransferTime(lastBytes, minBytes int, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	bits := 8 * max(float64(minBytes), growthFactor*float64(lastBytes))
	return time.Duration(bits / (usableLinkRatio * linkMbps * 1e6) * float64(time.Second))
}

// Timing holds the timing parameters of a topic.
type Timing struct {
	// ApplyWithin is the time within which a change must be applied.
	ApplyWithin time.Duration
	// MaxAgeRatio is the maximum age of a confirmation relative to ApplyWithin if the transfer time
	// is negligible.
	MaxAgeRatio float64
	// ReadSpread is the time over which the gateways spread their reads if a confirmation has
	// reached its maximum age.
	ReadSpread time.Duration
	// AnnounceDelay is the maximum time until a confirmation reaches the other gateways.
	AnnounceDelay time.Duration
	// ReadInterval is the minimum time between two reads of a gateway.
	ReadInterval time.Duration
}

// minMaxAgeRatio is the lower limit of the maximum age, relative to ApplyWithin. Without it, values
// whose transfer takes longer than ApplyWithin would make all gateways read continuously.
const minMaxAgeRatio = 0.25

// MaxAge returns how old a confirmation may be before a gateway reads the store itself. It is the
// same on all gateways, so that they read in a fixed order, and leaves enough of ApplyWithin for
// the slowest of them to read the value.
func (t Timing) MaxAge(slowestTransfer time.Duration) time.Duration {
	normal := time.Duration(t.MaxAgeRatio * float64(t.ApplyWithin))
	remaining := t.ApplyWithin - t.ReadSpread - t.ReadInterval - slowestTransfer
	return max(min(normal, remaining), time.Duration(minMaxAgeRatio*float64(t.ApplyWithin)))
}

// PollWait returns how long a read on behalf of all gateways may wait at the store, so that the
// others receive its confirmation before the previous one reaches its maximum age.
func (t Timing) PollWait(maxAge time.Duration) time.Duration {
	return max(min(t.ApplyWithin/2, maxAge-t.ReadInterval-t.AnnounceDelay), t.ReadInterval)
}
