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

// maxChunkBytes is the largest part of a snapshot stored in one log record.
const maxChunkBytes = 256 << 10

// snapshotChunk is one record of the snapshots stream. A snapshot is complete
// when all Parts with its ID have been read and their digest matches.
type snapshotChunk struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
	Digest   uint64 `json:"digest"`
	Part     int    `json:"part"`
	Parts    int    `json:"parts"`
	Data     []byte `json:"data"`
}

// splitSnapshot splits an encoded snapshot into chunks.
func splitSnapshot(id string, revision uint64, data []byte) []snapshotChunk {
	parts := max(1, (len(data)+maxChunkBytes-1)/maxChunkBytes)
	out := make([]snapshotChunk, parts)
	for i := range out {
		end := min(len(data), (i+1)*maxChunkBytes)
		out[i] = snapshotChunk{id, revision, resource.Digest(data), i, parts, data[i*maxChunkBytes : end]}
	}
	return out
}

// snapshotAssembler reassembles snapshots and keeps the newest complete one.
type snapshotAssembler struct {
	partial  map[string][]snapshotChunk
	revision uint64
	data     []byte
}

func newSnapshotAssembler() *snapshotAssembler {
	return &snapshotAssembler{partial: map[string][]snapshotChunk{}}
}

// add adds one record of the snapshots stream. Invalid records are ignored.
func (a *snapshotAssembler) add(record []byte) {
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

// loadSnapshot installs the newest complete snapshot in the log if it is newer
// than the state.
func (f *Follower) loadSnapshot(ctx context.Context) error {
	a := newSnapshotAssembler()
	_, _, err := ReadAll(ctx, f.log, StreamSnapshots, func(e Entry) { a.add(e.Data) })
	if err != nil {
		return err
	}
	if a.data == nil {
		return f.checkNotTruncated(ctx)
	}
	restored, err := resource.Restore(a.data)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if a.revision > f.snapshotRevision {
		f.snapshotRevision, f.snapshotTime = a.revision, time.Now()
	}
	if restored.Revision() > f.state.Revision() {
		f.state = restored
		f.publishLocked()
	}
	return nil
}

// checkNotTruncated returns an error if the record after the current revision has
// been truncated from the log. Without a snapshot the state then can't be built.
func (f *Follower) checkNotTruncated(ctx context.Context) error {
	_, err := f.log.Read(ctx, StreamConfig, f.revision()+1, 0)
	if fault.Is(err, fault.LogTruncated) {
		return fault.New(fault.LogTruncated, "the records after revision %d have been truncated and the log has no complete snapshot", f.revision())
	}
	return err
}

// maxSnapshotJitter is the maximum random delay of a snapshot, as a fraction of the
// record count or age at which it is due. The jitter makes it likely that one router
// writes the snapshot and the others find it in the log.
const maxSnapshotJitter = 0.5

// takeSnapshotIfDue appends a snapshot if enough records have been applied since
// the last one, the last one is too old, or records after it have been truncated.
// It does nothing if another router has appended one in the meantime. oldest is the
// oldest offset that is still in the config stream.
func (f *Follower) takeSnapshotIfDue(ctx context.Context, oldest uint64) {
	if !f.takesSnapshots || !f.snapshotDue(oldest) {
		return
	}
	if err := f.loadSnapshot(ctx); err != nil { // picks up a snapshot of another router
		return
	}
	if f.snapshotRecentEnough(oldest) {
		return
	}
	f.takeSnapshot(ctx)
}

func (f *Follower) snapshotDue(oldest uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshotTime.IsZero() {
		f.snapshotTime = time.Now()
	}
	since := f.state.Revision() - min(f.snapshotRevision, f.state.Revision())
	jitter := 1 + maxSnapshotJitter*f.rand.Float64()
	switch {
	case since == 0:
		return false
	case oldest > f.snapshotRevision+1: // a new process could not build the state
		return true
	case float64(since) >= float64(f.settings.SnapshotEvery)*jitter:
		return true
	}
	return time.Since(f.snapshotTime) > time.Duration(float64(settings.Millis(f.settings.SnapshotAgeMS))*jitter)
}

// snapshotRecentEnough reports whether the newest known snapshot makes another
// one unnecessary.
func (f *Follower) snapshotRecentEnough(oldest uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.state.Revision() - min(f.snapshotRevision, f.state.Revision())
	return f.snapshotRevision+1 >= oldest && since < uint64(f.settings.SnapshotEvery+1)/2 &&
		time.Since(f.snapshotTime) < settings.Millis(f.settings.SnapshotAgeMS)
}

func (f *Follower) takeSnapshot(ctx context.Context) {
	revision, data, err := f.EncodeSnapshot(0)
	if err != nil {
		f.logger.Error("failed to encode snapshot", "error", err)
		return
	}
	for _, chunk := range splitSnapshot(NewID(), revision, data) {
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
	f.snapshotRevision, f.snapshotTime = max(f.snapshotRevision, revision), time.Now()
	f.mu.Unlock()
}
