package configlog

import (
	"context"
	"encoding/json"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// chunkBytes bounds the part of a snapshot that goes into one log record.
const chunkBytes = 256 << 10

// snapshotChunk is one record of the snapshots stream. A snapshot is whole
// when all Parts of one ID are there and their digest is right.
type snapshotChunk struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest"`
	Part     int    `json:"part"`
	Parts    int    `json:"parts"`
	Data     []byte `json:"data"`
}

// split cuts an encoded snapshot into chunks.
func split(id string, revision uint64, data []byte) []snapshotChunk {
	parts := max(1, (len(data)+chunkBytes-1)/chunkBytes)
	out := make([]snapshotChunk, parts)
	for i := range out {
		end := min(len(data), (i+1)*chunkBytes)
		out[i] = snapshotChunk{id, revision, resource.Digest(data), i, parts, data[i*chunkBytes : end]}
	}
	return out
}

// assembler puts chunks together and keeps the newest whole snapshot.
type assembler struct {
	partial  map[string][]snapshotChunk
	revision uint64
	data     []byte
}

func newAssembler() *assembler { return &assembler{partial: map[string][]snapshotChunk{}} }

// add takes one record of the snapshots stream; broken ones have no effect.
func (a *assembler) add(record []byte) {
	var c snapshotChunk
	if json.Unmarshal(record, &c) != nil || c.Parts < 1 || c.Part != len(a.partial[c.ID]) {
		return
	}
	chunks := append(a.partial[c.ID], c)
	if len(chunks) < c.Parts {
		a.partial[c.ID] = chunks
		return
	}
	delete(a.partial, c.ID)
	var data []byte
	for _, chunk := range chunks {
		data = append(data, chunk.Data...)
	}
	if resource.Digest(data) == c.Digest && c.Revision > a.revision {
		a.revision, a.data = c.Revision, data
	}
}

// loadSnapshot installs the newest whole snapshot on the log, if it is newer
// than the state.
func (f *Follower) loadSnapshot(ctx context.Context) error {
	a := newAssembler()
	_, _, err := ReadAll(ctx, f.log, StreamSnapshots, func(e Entry) { a.add(e.Data) })
	if err != nil {
		return err
	}
	if a.data == nil {
		return f.checkGap(ctx)
	}
	fold, err := resource.Restore(a.data)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.revision > f.snapAt {
		f.snapAt, f.snapTime = a.revision, time.Now()
	}
	if fold.Revision() > f.fold.Revision() {
		f.fold = fold
		f.publishLocked()
	}
	return nil
}

// checkGap refuses to start from records that do not reach back to the first
// one when there is no snapshot to start from.
func (f *Follower) checkGap(ctx context.Context) error {
	_, err := f.log.Read(ctx, StreamConfig, f.revision()+1, 0)
	if fault.Is(err, fault.LogTruncated) {
		return fault.New(fault.LogTruncated, "the log no longer has the records after revision %d and no snapshot either", f.revision())
	}
	return err
}

// snapshotJitter is the part of the due size or age that a snapshot is put off
// at random, so that one router takes it and the others see it.
const snapshotJitter = 0.5

// maybeSnapshot appends a snapshot when enough records came, the last one is
// old, or the log has dropped records after it. A snapshot that another router
// took in the meantime suppresses it.
func (f *Follower) maybeSnapshot(ctx context.Context, first uint64) {
	if !f.snapshot || !f.snapshotDue(first) {
		return
	}
	if err := f.loadSnapshot(ctx); err != nil { // did another router take one?
		return
	}
	if f.snapshotFresh(first) {
		return
	}
	f.takeSnapshot(ctx)
}

func (f *Follower) snapshotDue(first uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapTime.IsZero() {
		f.snapTime = time.Now()
	}
	since := f.fold.Revision() - min(f.snapAt, f.fold.Revision())
	jitter := 1 + snapshotJitter*f.rand.Float64()
	switch {
	case since == 0:
		return false
	case first > f.snapAt+1: // a newcomer could not start any more
		return true
	case float64(since) >= float64(f.set.SnapshotEvery)*jitter:
		return true
	}
	return time.Since(f.snapTime) > time.Duration(float64(settings.Millis(f.set.SnapshotAgeMS))*jitter)
}

// snapshotFresh reports whether the newest known snapshot is good enough.
func (f *Follower) snapshotFresh(first uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.fold.Revision() - min(f.snapAt, f.fold.Revision())
	return f.snapAt+1 >= first && since < uint64(f.set.SnapshotEvery+1)/2 &&
		time.Since(f.snapTime) < settings.Millis(f.set.SnapshotAgeMS)
}

func (f *Follower) takeSnapshot(ctx context.Context) {
	at, data, err := f.EncodeSnapshot(0)
	if err != nil {
		f.logger.Error("snapshot not encoded", "error", err)
		return
	}
	for _, chunk := range split(NewID(), at, data) {
		record, err := json.Marshal(chunk)
		if err == nil {
			_, err = f.log.Append(ctx, StreamSnapshots, record)
		}
		if err != nil {
			telemetry.Count("merlinpost_config_snapshot_failures_total")
			return
		}
	}
	telemetry.Count("merlinpost_config_snapshots_total")
	f.mu.Lock()
	f.snapAt, f.snapTime = max(f.snapAt, at), time.Now()
	f.mu.Unlock()
}
