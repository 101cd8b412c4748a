package follow

import (
	"context"
	"time"

	"github.com/merlinpost/merlinpost/internal/freshness"
	"github.com/merlinpost/merlinpost/internal/logposition"
	"github.com/merlinpost/merlinpost/internal/peers"
)

// topic describes how a topic of the store is followed. The primary reader, which is the first live
// gateway in the topic's read order, reads it on behalf of all gateways and reports the state to
// them. The others read the store only if the state has changed or was not confirmed recently.
type topic struct {
	name   string
	timing freshness.Timing
	// interval is the time between two reads of the primary reader. With longPoll, these reads wait
	// at the store for a record to be written.
	interval time.Duration
	longPoll bool
	// slowestTransfer is the estimated time to transfer the next value over the slowest link.
	slowestTransfer time.Duration
	// sharedByPeers is set if a gateway that has read the state passes it on to its peers.
	sharedByPeers bool
	// fetchFromPeer fetches a newer state from a peer that has reported one. If it returns false,
	// the store is read.
	fetchFromPeer func(context.Context, *readState) bool
	// publish makes the state available to peers; next is the position from which to read on.
	publish func(next logposition.Position)
	// confirm records the time at which this gateway's state was last known to be the newest.
	confirm func(at, graceStart time.Time)
	// key is the only key of the topic that is used. Its superseded values are skipped if there are
	// more records than one read returns. If key is empty, the records of all keys are used.
	key   string
	maxKB int // maximum size of one read
	// updateLag updates the lag of the active state behind the newest reported one. err is the
	// error of the last read, nil if it succeeded.
	updateLag func(err error)
	// replace processes the newest records of all keys, and apply the records written since. Both
	// return the resulting state of the topic. graceStart is when the store became available again
	// after an outage, zero if removals are not deferred.
	replace, apply func(b batch, graceStart time.Time) uint64
}

// batch is the result of one read.
type batch struct {
	records     []Record
	sentAt      time.Time     // when the request was sent
	duration    time.Duration // until the reply was complete
	confirmedAt time.Time     // when these records were known to be the newest
	byPrimary   bool          // read by the primary reader
}

// bytes returns the total length of the values.
func (b batch) bytes() (n int) {
	for _, r := range b.records {
		n += len(r.Value)
	}
	return n
}

// newTiming returns the timing of a topic whose changes must take effect within the given time.
// maxAgeRatio must be far enough below 1 for the other gateways to read a change in time if the
// primary reader was disconnected from the store just before it.
func newTiming(within time.Duration, maxAgeRatio float64) freshness.Timing {
	return freshness.Timing{ApplyWithin: within, MaxAgeRatio: maxAgeRatio, ReadSpread: maxReadStagger, AnnounceDelay: peers.ReportInterval, ReadInterval: minReadInterval}
}

// serversTopic returns how the server list is followed. Its timing is derived from DrainWithin, the
// time within which a draining server must stop receiving new requests.
func (f *Follower) serversTopic() topic {
	within := f.settings.Load().DrainWithin
	return topic{name: f.Topics.Servers, maxKB: maxServersReadKB, timing: newTiming(within, 0.45), interval: within / 3,
		confirm: f.confirmServers, replace: f.replaceServers, apply: f.applyServerChanges,
		fetchFromPeer: func(context.Context, *readState) bool { return false }, publish: func(logposition.Position) {}, updateLag: func(error) {}}
}
