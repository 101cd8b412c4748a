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

// readState is the progress of reading a topic.
type readState struct {
	next           logposition.Position
	loaded         bool      // the newest record of each key has been read
	gotRecords     bool      // the last read returned records
	moreAvailable  bool      // and more were left at the store
	unavailable    bool      // the last call failed
	lastErr        error     // error of the last call, nil if it succeeded
	lastSuccess    time.Time // time of the last successful call
	availableSince time.Time // start of the current period without failures
	outageStart    time.Time // start of the last outage
	outageEnd      time.Time // end of the last outage, zero if there was none
	restoredAt     time.Time // when the store was found to have been restored from an older copy
}

// read reads the topic once and applies the result.
func (f *Follower) read(ctx context.Context, t topic, primary bool, r *readState) {
	var (
		records   []Record
		next, end logposition.Position
		err       error
	)
	apply, wait := t.apply, time.Duration(0)
	if t.longPoll && primary && !r.unavailable && !r.gotRecords {
		// A read that returned records is followed by one that does not wait, which confirms that
		// there are no more.
		wait = t.timing.PollWait(t.timing.MaxAge(t.slowestTransfer))
	}
	sent := time.Now()
	if r.loaded {
		records, next, end, err = f.store.Load().Read(ctx, t.name, r.next, t.maxKB, wait, readTimeout)
	} else {
		apply = t.replace
		records, next, err = f.store.Load().Newest(ctx, t.name, readTimeout)
	}
	switch {
	case ctx.Err() != nil:
		return
	case fault.Is(err, fault.LogRestored):
		// The restored store reuses offsets. The records after the old end may be as many as were
		// lost, or none, so reading on from there would miss changes. Entries that the copy lacks
		// are written again by their owners; they are treated as after an outage.
		f.Logger.Info("store restored from an older copy; reloading the newest records", "topic", t.name, "from", r.next.Offset, "era", r.next.Era)
		r.loaded, r.restoredAt = false, time.Now()
		return
	case fault.Is(err, fault.LogTruncated):
		f.Logger.Info("records deleted at the store; reloading the newest records", "topic", t.name, "from", r.next.Offset)
		r.loaded = false
		return
	case err != nil:
		f.markUnavailable(t, r, err)
		r.lastErr = err
		t.updateLag(err)
		f.waitBeforeRetry(ctx, t)
		return
	case r.unavailable:
		r.unavailable, r.outageEnd, r.availableSince, r.outageStart = false, time.Now(), time.Now(), r.lastSuccess
		f.Logger.Info("regained the store", "topic", t.name, "offset", next.Offset)
		f.storeRecovered.notify()
		if t.name == f.Topics.Servers {
			f.storeUnavailable.Store(false)
		}
	}
	r.lastErr, r.gotRecords, r.loaded, r.lastSuccess = nil, len(records) > 0, true, time.Now()
	if r.availableSince.IsZero() {
		r.availableSince = r.lastSuccess
	}
	b := batch{records: records, sentAt: sent, duration: r.lastSuccess.Sub(sent), confirmedAt: freshness.ConfirmedAt(sent, r.lastSuccess, wait, len(records) == 0), byPrimary: primary}
	state := apply(b, f.graceStart(t.name, r))
	r.advance(t, records, next, end)
	if !r.moreAvailable {
		t.publish(r.next)
		f.Peers.ReportState(t.name, state, b.confirmedAt, r.availableSince)
	}
}

// advance records the position after a read. In a topic with a single key only the newest record
// counts, so if there are more records, the last one is read next. This skips superseded versions
// and transfers less than loading the newest records, a page of which is a third larger because of
// its encoding. If that last record has another key, the newest records are loaded after all.
func (r *readState) advance(t topic, records []Record, next, end logposition.Position) {
	wasBehind := r.moreAvailable
	r.next, r.moreAvailable = next, t.key != "" && next.Offset < end.Offset
	if r.moreAvailable {
		r.next.Offset = end.Offset - 1
	}
	if wasBehind && t.key != "" && !slices.ContainsFunc(records, func(rec Record) bool { return rec.Key == t.key }) {
		r.loaded = false
	}
}

// graceStart returns when the store came back after an outage. It is zero if another gateway could
// reach the store during that time: then only this host was disconnected, no entry expired because
// of an outage, and missing entries will not come back.
func (f *Follower) graceStart(topic string, r *readState) time.Time {
	if time.Since(r.restoredAt) < recoveryGrace {
		return r.restoredAt // entries missing from the copy will be written again
	}
	upSince := f.Peers.StoreUpSince(topic)
	if !upSince.IsZero() && upSince.Before(r.outageStart) {
		r.outageEnd = time.Time{}
	}
	return r.outageEnd
}

// markUnavailable records that the store can't be read, and logs the start of the outage.
func (f *Follower) markUnavailable(t topic, r *readState, err error) {
	if !r.unavailable {
		f.Logger.Warn("lost the store", "topic", t.name, "error", err)
		telemetry.Count("merlinpost_store_lost_total", "topic", t.name)
	}
	r.unavailable = true
	if t.name == f.Topics.Servers {
		f.storeUnavailable.Store(true)
	}
}

// graceEnd returns until when removals are deferred; zero if they are not.
func graceEnd(outageEnd time.Time) time.Time {
	if outageEnd.IsZero() {
		return time.Time{}
	}
	return outageEnd.Add(recoveryGrace)
}
