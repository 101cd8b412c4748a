package follow

import (
	"context"
	"time"

	"github.com/merlinpost/merlinpost/internal/freshness"
	"github.com/merlinpost/merlinpost/internal/logposition"
	"github.com/merlinpost/merlinpost/internal/peers"
)

// topic says how a topic of the store is followed. The gateway that comes first
// in the order of the live ones reads it for all and tells the others the state;
// they read only when the state has changed or was not confirmed for a while.
type topic struct {
	name  string
	bound freshness.Timing
	// pause is the time between two reads of the first one; waits says that they wait at the
	// store for a record.
	pause time.Duration
	waits bool
	// slowestRead is how long the next value may take on the slowest link.
	slowestRead time.Duration
	// handedOn says that one gateway hands on to the others what it has read.
	handedOn bool
	// fromPeer takes in what another gateway has read, if there is news; false leaves it to
	// the store.
	fromPeer func(context.Context, *reading) bool
	// offer hands the state to the other gateways who ask; next is where the topic goes on.
	offer func(next logposition.Position)
	// confirm takes in when the state this gateway has was found to be the newest.
	confirm func(at, returned time.Time)
	// key is the one whose newest value is all that counts, "" if all keys do: what was
	// written in between is passed over when there is more than one read returns.
	key   string
	maxKB int // that one read returns
	// watch is called with why the last read failed, nil if it did not.
	watch func(failed error)
	// whole and added take in what was read and return the state of the topic;
	// returned is when the store was last back after an outage.
	whole, added func(b batch, returned time.Time) uint64
}

// batch is what one read returned.
type batch struct {
	records []Record
	sent    time.Time     // when it was asked for
	took    time.Duration // until the whole had come
	at      time.Time     // of which the store's state is told
	first   bool          // by the gateway that reads for all
}

// bytes is the length of the values.
func (b batch) bytes() (n int) {
	for _, r := range b.records {
		n += len(r.Value)
	}
	return n
}

// bound returns the bound of a topic whose changes must be in force within some time. share
// lies so far below 1 that a first one that was cut off from the store just before a change
// is found in time.
func bound(within time.Duration, share float64) freshness.Timing {
	return freshness.Timing{ApplyWithin: within, MaxAgeRatio: share, ReadSpread: laterMost, AnnounceDelay: peers.ReportInterval, ReadInterval: leastPause}
}

// serversTopic derives the timing from the bound: a draining server must get no more work
// within DrainWithin.
func (f *Follower) serversTopic() topic {
	within := f.settings.Load().DrainWithin
	return topic{name: f.Topics.Servers, maxKB: listReadKB, bound: bound(within, 0.45), pause: within / 3,
		confirm: f.confirmList, whole: f.wholeList, added: f.newEntries,
		fromPeer: func(context.Context, *reading) bool { return false }, offer: func(logposition.Position) {}, watch: func(error) {}}
}
