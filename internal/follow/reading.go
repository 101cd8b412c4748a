package follow

import (
	"context"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/freshness"
	"github.com/merlinpost/merlinpost/internal/logposition"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// reading is how far a topic has been read.
type reading struct {
	next     logposition.Position
	loaded   bool      // the newest records have been read
	news     bool      // the last read has returned records
	behind   bool      // and there are more
	down     bool      // the last call failed
	failed   error     // how
	lastGood time.Time // when a call was answered last
	since    time.Time // since when calls have been answered without a break
	lost     time.Time // when the last break began
	returned time.Time // when it ended, zero for none
	restored time.Time // when the store was found to have come back from an older copy
}

// read reads the topic once and takes in what has come.
func (f *Follower) read(ctx context.Context, t topic, first bool, r *reading) {
	var (
		records   []Record
		next, end logposition.Position
		err       error
	)
	take, wait := t.added, time.Duration(0)
	if t.waits && first && !r.down && !r.news {
		// What came with records is confirmed by a read that does not wait.
		wait = t.bound.PollWait(t.bound.MaxAge(t.slowestRead))
	}
	sent := time.Now()
	if r.loaded {
		records, next, end, err = f.store.Load().Read(ctx, t.name, r.next, t.maxKB, wait, readTimeout)
	} else {
		take = t.whole
		records, next, err = f.store.Load().Newest(ctx, t.name, readTimeout)
	}
	switch {
	case ctx.Err() != nil:
		return
	case fault.Is(err, fault.LogRestored):
		// Offsets are given out again: what comes at the old end may be as many records as were lost, or
		// none, and nothing that is read from there on tells of them. Entries that are not there yet are
		// written again, so that they count as after an outage.
		f.Logger.Info("reading the newest of the store that came back", "topic", t.name, "from", r.next.Offset, "era", r.next.Era)
		r.loaded, r.restored = false, time.Now()
		return
	case fault.Is(err, fault.LogTruncated):
		f.Logger.Info("the store has deleted records, reading the newest", "topic", t.name, "from", r.next.Offset)
		r.loaded = false
		return
	case err != nil:
		f.lost(t, r, err)
		r.failed = err
		t.watch(err)
		f.awaitRetry(ctx, t)
		return
	case r.down:
		r.down, r.returned, r.since, r.lost = false, time.Now(), time.Now(), r.lastGood
		f.Logger.Info("regained the store", "topic", t.name, "offset", next.Offset)
		f.answered.tell()
		if t.name == f.Topics.Servers {
			f.lostStore.Store(false)
		}
	}
	r.failed, r.news, r.loaded, r.lastGood = nil, len(records) > 0, true, time.Now()
	if r.since.IsZero() {
		r.since = r.lastGood
	}
	b := batch{records: records, sent: sent, took: r.lastGood.Sub(sent), at: freshness.ConfirmedAt(sent, r.lastGood, wait, len(records) == 0), first: first}
	state := take(b, f.graceFrom(t.name, r))
	r.advance(t, records, next, end)
	if !r.behind {
		t.offer(r.next)
		f.Peers.ReportState(t.name, state, b.at, r.since)
	}
}

// advance notes how far the topic has been read. Of a topic of which only the newest counts
// the last record is read next: the versions between do not count, and a page of the newest
// records is a third longer. Where that is another key's the page is read after all.
func (r *reading) advance(t topic, records []Record, next, end logposition.Position) {
	wasBehind := r.behind
	r.next, r.behind = next, t.key != "" && next.Offset < end.Offset
	if r.behind {
		r.next.Offset = end.Offset - 1
	}
	if wasBehind && t.key != "" && !slices.ContainsFunc(records, func(rec Record) bool { return rec.Key == t.key }) {
		r.loaded = false
	}
}

// graceFrom returns when the store came back after an outage. It is zero where
// another gateway was answered all the while: then only this host was cut off, no
// entry has lapsed for want of the store, and none that is missing will be back.
func (f *Follower) graceFrom(topic string, r *reading) time.Time {
	if time.Since(r.restored) < returnGrace {
		return r.restored // what the copy lacks is not gone: it is written again
	}
	up := f.Peers.StoreUpSince(topic)
	if !up.IsZero() && up.Before(r.lost) {
		r.returned = time.Time{}
	}
	return r.returned
}

// lost logs that the store can't be read, once.
func (f *Follower) lost(t topic, r *reading, err error) {
	if !r.down {
		f.Logger.Warn("lost the store", "topic", t.name, "error", err)
		telemetry.Count("merlinpost_store_lost_total", "topic", t.name)
	}
	r.down = true
	if t.name == f.Topics.Servers {
		f.lostStore.Store(true)
	}
}

// grace is until when removals are held back.
func grace(returned time.Time) time.Time {
	if returned.IsZero() {
		return time.Time{}
	}
	return returned.Add(returnGrace)
}
