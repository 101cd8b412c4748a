package follow

import (
	"context"
	"time"

	"github.com/merlinpost/merlinpost/internal/freshness"
	"github.com/merlinpost/merlinpost/internal/logposition"
	"github.com/merlinpost/merlinpost/internal/peers"
)

// topic describes how a topic of the store is followed. The primary reader, which is the first live
// gateway in the topic's order, reads it on behalf of all and reports the state to its peers.
// They read the store only when the state has changed or has not been confirmed recently.
type topic struct {
	name   string
	timing freshness.Timing
	// interval is the time between two reads of the primary reader; longPoll makes these reads wait
	// at the store for a record.
	interval time.Duration
	longPoll bool
	// slowestTransfer is how long the transfer of the next value may take on the slowest link.
	slowestTransfer time.Duration
	// sharedByPeers is set if a gateway that has read the state passes it on to its peers.
	sharedByPeers bool
	// fetchFromPeer gets a newer state from a peer, if one was reported. If it returns false, the
	// store is read.
	fetchFromPeer func(context.Context, *readState) bool
	// publish makes the state available to peers; next is the position from which to read on.
	publish func(next logposition.Position)
	// confirm is called with the time at which this gateway's state was last known to be the
	// newest.
	confirm func(at, graceStart time.Time)
	// key is the only key of the topic that is used; superseded values are skipped if there are
	// more records than one read returns. If it is "", the records of all keys are used.
	key   string
	maxKB int // maximum size of one read
	// observe is called with the error of the last read, nil if it succeeded.
	updateLag func(err error)
	// replace and apply process the newest records of all keys and the changes since, and return
	// the resulting state of the topic. graceStart is when the store came back after an outage,
	// zero if removals are not deferred.
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

// newTiming returns the timing of a topic whose changes must be in force within the given time.
// maxAgeRatio must be far enough below 1 that the loss of a primary reader that was disconnected
// from the store just before a change is detected in time.
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
