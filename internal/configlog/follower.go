package configlog

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// Exponential backoff between reads while the log is unavailable.
const (
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
)

// Follower applies the records of the config stream to a resource.State. Run
// must be called once; the other methods are safe for concurrent use.
type Follower struct {
	log            Log
	settings       settings.Log
	logger         *slog.Logger
	takesSnapshots bool // this process writes snapshots to the log

	view             atomic.Pointer[resource.View]
	ready            atomic.Bool
	logUp            atomic.Bool
	lastRead         atomic.Int64 // time of the last successful read, in ns after start
	start            time.Time
	mu               sync.Mutex // guards state, changed, snapshotRevision, snapshotTime and rand
	state            *resource.State
	changed          chan struct{} // closed and replaced at each new view
	snapshotRevision uint64        // revision of the newest known snapshot
	snapshotTime     time.Time
	rand             *rand.Rand
}

// NewFollower returns a Follower with an empty configuration. If takesSnapshots
// is true, as in routers, it writes snapshots to the log.
func NewFollower(log Log, set settings.Log, takesSnapshots bool, logger *slog.Logger, rnd *rand.Rand) *Follower {
	f := &Follower{log: log, settings: set, logger: logger, takesSnapshots: takesSnapshots, start: time.Now(),
		state: resource.NewState(), changed: make(chan struct{}), rand: rnd}
	f.view.Store(f.state.View())
	return f
}

// View returns the current configuration, which is empty until Ready returns true.
func (f *Follower) View() *resource.View { return f.view.Load() }

// Ready reports whether a configuration has been loaded, from the log or from a
// peer.
func (f *Follower) Ready() bool { return f.ready.Load() }

// LogUp reports whether the last read from the log succeeded.
func (f *Follower) LogUp() bool { return f.logUp.Load() }

// SinceLastRead returns the time since the last successful read from the log.
func (f *Follower) SinceLastRead() time.Duration {
	return time.Since(f.start) - time.Duration(f.lastRead.Load())
}

// Changed returns a channel that is closed when View next changes.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Run reads the log until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = initialRetryDelay, maxRetryDelay
	for ctx.Err() == nil {
		err := f.readBatch(ctx)
		if ctx.Err() != nil {
			return
		}
		f.updateLogStatus(err)
		if err == nil {
			wait.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// readBatch reads and applies one batch. If there is no configuration yet it first
// loads a snapshot.
func (f *Follower) readBatch(ctx context.Context) error {
	if !f.Ready() {
		if err := f.loadSnapshot(ctx); err != nil {
			return err
		}
	}
	from := f.revision() + 1
	wait := settings.Millis(f.settings.PollMS)
	if !f.Ready() {
		wait = 0
	}
	batch, err := f.log.Read(ctx, StreamConfig, from, wait)
	if fault.Is(err, fault.LogTruncated) {
		return f.loadSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	f.applyBatch(batch)
	f.lastRead.Store(int64(time.Since(f.start)))
	if f.revision()+1 >= batch.Next {
		f.markReady()
		f.takeSnapshotIfDue(ctx, batch.First)
	}
	return nil
}

func (f *Follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Revision()
}

func (f *Follower) applyBatch(b Batch) {
	if len(b.Entries) == 0 {
		return
	}
	f.mu.Lock()
	for _, e := range b.Entries {
		if res, fresh := f.state.Apply(e.Offset, e.Data); fresh && !res.Applied {
			telemetry.Count("merlinpost_config_records_without_effect_total", "code", string(res.Code))
		}
	}
	f.publishLocked()
	f.mu.Unlock()
}

func (f *Follower) publishLocked() {
	f.view.Store(f.state.View())
	close(f.changed)
	f.changed = make(chan struct{})
	telemetry.SetGauge("merlinpost_config_revision", float64(f.state.Revision()))
}

func (f *Follower) markReady() {
	if !f.ready.Swap(true) {
		f.logger.Info("configuration in force", "revision", f.View().Revision)
	}
}

func (f *Follower) updateLogStatus(err error) {
	if up := err == nil; f.logUp.Swap(up) != up {
		if up {
			f.logger.Info("log reached")
		} else {
			f.logger.Warn("log not reached", "error", err)
		}
	}
	if err != nil {
		telemetry.Count("merlinpost_log_read_failures_total", "code", string(fault.From(err).Code))
	}
}

// InstallSnapshot replaces the state by a peer's snapshot if that is newer.
func (f *Follower) InstallSnapshot(data []byte) error {
	restored, err := resource.Restore(data)
	if err != nil {
		return err
	}
	f.mu.Lock()
	newer := restored.Revision() > f.state.Revision()
	if newer {
		f.state = restored
		f.publishLocked()
	}
	f.mu.Unlock()
	if newer {
		telemetry.Count("merlinpost_config_from_peer_total")
		f.markReady()
	}
	return nil
}

// EncodeSnapshot returns the revision of the state. If it is greater than known, the
// revision that the receiver already has, it also returns a snapshot of the state.
func (f *Follower) EncodeSnapshot(known uint64) (uint64, []byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state.Revision() <= known {
		return f.state.Revision(), nil, nil
	}
	data, err := f.state.Snapshot()
	return f.state.Revision(), data, err
}

// Check returns the error with which rec would be rejected now, or nil.
func (f *Follower) Check(rec resource.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Check(rec)
}

// Submit appends rec to the log and returns its result once this process has read
// it back and applied it. Error code LogUnavailable means that rec was not written.
// LogWriteUnconfirmed, with outcome Unknown, means that rec may have been written
// but was not read back before ctx was done.
func (f *Follower) Submit(ctx context.Context, rec resource.Record) (resource.Result, error) {
	if err := f.Check(rec); err != nil {
		e := fault.From(err)
		e.Outcome = fault.NotRun
		return resource.Result{}, e
	}
	if !f.LogUp() {
		return resource.Result{}, fault.New(fault.LogUnavailable, "the log is out of reach").WithOutcome(fault.NotRun).WithRetryAfter(maxRetryDelay)
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return resource.Result{}, fault.New(fault.Internal, "encode record: %w", err)
	}
	_, appendErr := f.log.Append(ctx, StreamConfig, data)
	if fault.Is(appendErr, fault.LogUnavailable) {
		return resource.Result{}, appendErr
	}
	res, err := f.waitForOperation(ctx, rec.Operation)
	if err != nil && appendErr != nil {
		return res, appendErr
	}
	return res, err
}

// waitForOperation waits until the view has the operation's result.
func (f *Follower) waitForOperation(ctx context.Context, operation string) (resource.Result, error) {
	for {
		changed := f.Changed()
		if res, ok := f.View().Operation(operation); ok {
			return res, res.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return resource.Result{}, fault.New(fault.LogWriteUnconfirmed,
				"timed out waiting for the change to be read back from the log; query operation %s for its result", operation).WithOutcome(fault.Unknown)
		}
	}
}
