// Package freshness determines as of which moment a reply of the platform's store is known to be
// the newest, and how old that confirmation may become before a gateway reads the store itself. One
// gateway reads on behalf of all and announces the result to the others. Each of them must apply a
// change within a bound, even if the reading gateway is disconnected right before the change.
package freshness

import "time"

// ConfirmedAt returns the latest moment at which the content of a reply is certain to have been the
// newest. If a read waited for records and returned none, nothing had been written when its wait
// ended. If it returned records, further ones may have been written while the reply was in transit,
// so it only counts from when the request was sent. If the arrival counted instead, all gateways
// would overestimate the freshness of their state by the transfer time of a large value: 3.2 s for
// 1 MB at 2.5 Mbit/s, which made a change 0.2 s late.
func ConfirmedAt(sent, returned time.Time, wait time.Duration, empty bool) time.Time {
	waitEnd := sent.Add(wait)
	if empty && !returned.Before(waitEnd) {
		return waitEnd
	}
	return sent
}

const (
	// usableLinkRatio is the part of a link that is available for a large reply, as the link also
	// carries responses to callers.
	usableLinkRatio = 0.7
	// growthFactor is the assumed size of the next value relative to the last one.
	growthFactor = 1.5
)

// TransferTime returns how long the transfer of a topic's next value may take on a link of the
// given speed, 0 if the speed is unknown. last is the size of the newest value in bytes, and usual
// the assumed size while none is known.
func EstimateTransferTime(last, usual int, linkMbps float64) time.Duration {
	if linkMbps <= 0 {
		return 0
	}
	bits := 8 * max(float64(usual), growthFactor*float64(last))
	return time.Duration(bits / (usableLinkRatio * linkMbps * 1e6) * float64(time.Second))
}

// Timing has the parameters of the timing of a topic.
type Timing struct {
	// ApplyWithin is the time within which a change must be in force.
	ApplyWithin time.Duration
	// MaxAgeRatio is the maximum age of a confirmation relative to ApplyWithin if transfers take
	// negligible time.
	MaxAgeRatio float64
	// ReadSpread is the time over which gateways distribute their reads when a confirmation is too
	// old.
	ReadSpread time.Duration
	// AnnounceDelay is the maximum time until a confirmation reaches the other gateways.
	AnnounceDelay time.Duration
	// ReadInterval is the time between two reads of a gateway.
	ReadInterval time.Duration
}

// minMaxAgeRatio is the minimum of the maximum age relative to ApplyWithin. Without it, values
// whose transfer takes longer than the bound would make all gateways read continuously.
const minMaxAgeRatio = 0.25

// MaxAge returns how old a confirmation may be before a gateway reads the store itself. It is the
// same on all gateways, so that they read in their order, and leaves enough of ApplyWithin for the
// slowest of them to read the value.
func (t Timing) MaxAge(slowestTransfer time.Duration) time.Duration {
	usual := time.Duration(t.MaxAgeRatio * float64(t.ApplyWithin))
	remaining := t.ApplyWithin - t.ReadSpread - t.ReadInterval - slowestTransfer
	return max(min(usual, remaining), time.Duration(minMaxAgeRatio*float64(t.ApplyWithin)))
}

// PollWait returns how long a read on behalf of all gateways may wait at the store, so that the
// others receive the confirmation before the maximum age is reached.
func (t Timing) PollWait(maxAge time.Duration) time.Duration {
	return max(min(t.ApplyWithin/2, maxAge-t.ReadInterval-t.AnnounceDelay), t.ReadInterval)
}
