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

// Timing of a reader that cannot reach the log.
const (
	retryFirst = 100 * time.Millisecond
	retryMost  = 2 * time.Second
)

// Follower keeps the fold of the config stream. Run is its duty; View, Offer
// and the others may be called from any goroutine.
type Follower struct {
	log      Log
	set      settings.Log
	logger   *slog.Logger
	snapshot bool // takes snapshots

	view     atomic.Pointer[resource.View]
	ready    atomic.Bool
	logUp    atomic.Bool
	confirm  atomic.Int64 // monotonic time of the last word from the log, ns since start
	start    time.Time
	mu       sync.Mutex // guards fold, changed, waiters and snapAt
	fold     *resource.State
	changed  chan struct{} // closed and replaced at each new view
	snapAt   uint64        // revision of the newest known snapshot
	snapTime time.Time
	rand     *rand.Rand
}

// NewFollower returns a Follower; takesSnapshots is true for routers.
func NewFollower(log Log, set settings.Log, takesSnapshots bool, logger *slog.Logger, rnd *rand.Rand) *Follower {
	f := &Follower{log: log, set: set, logger: logger, snapshot: takesSnapshots, start: time.Now(),
		fold: resource.NewState(), changed: make(chan struct{}), rand: rnd}
	f.view.Store(f.fold.View())
	return f
}

// View returns the configuration in force. Before Ready it is empty.
func (f *Follower) View() *resource.View { return f.view.Load() }

// Ready reports whether the process has a configuration, from the log or from
// a peer.
func (f *Follower) Ready() bool { return f.ready.Load() }

// LogUp reports whether the last read reached the log.
func (f *Follower) LogUp() bool { return f.logUp.Load() }

// SinceConfirmed returns how long ago the log last answered.
func (f *Follower) SinceLastRead() time.Duration {
	return time.Since(f.start) - time.Duration(f.confirm.Load())
}

// Changed returns a channel that is closed at the next change of View.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = retryFirst, retryMost
	for ctx.Err() == nil {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return
		}
		f.noteLog(err)
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

// step starts from a snapshot if that is needed, then reads one batch.
func (f *Follower) step(ctx context.Context) error {
	if !f.Ready() {
		if err := f.loadSnapshot(ctx); err != nil {
			return err
		}
	}
	from := f.revision() + 1
	wait := settings.Millis(f.set.PollMS)
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
	f.confirm.Store(int64(time.Since(f.start)))
	if f.revision()+1 >= batch.Next {
		f.becomeReady()
		f.maybeSnapshot(ctx, batch.First)
	}
	return nil
}

func (f *Follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Revision()
}

func (f *Follower) applyBatch(b Batch) {
	if len(b.Entries) == 0 {
		return
	}
	f.mu.Lock()
	for _, e := range b.Entries {
		if res, fresh := f.fold.Apply(e.Offset, e.Data); fresh && !res.Applied {
			telemetry.Count("merlinpost_config_records_without_effect_total", "code", string(res.Code))
		}
	}
	f.publishLocked()
	f.mu.Unlock()
}

func (f *Follower) publishLocked() {
	f.view.Store(f.fold.View())
	close(f.changed)
	f.changed = make(chan struct{})
	telemetry.SetGauge("merlinpost_config_revision", float64(f.fold.Revision()))
}

func (f *Follower) becomeReady() {
	if !f.ready.Swap(true) {
		f.logger.Info("configuration in force", "revision", f.View().Revision)
	}
}

func (f *Follower) noteLog(err error) {
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

// Install takes over a snapshot of a peer's state if it is newer.
func (f *Follower) InstallSnapshot(data []byte) error {
	fold, err := resource.Restore(data)
	if err != nil {
		return err
	}
	f.mu.Lock()
	newer := fold.Revision() > f.fold.Revision()
	if newer {
		f.fold = fold
		f.publishLocked()
	}
	f.mu.Unlock()
	if newer {
		telemetry.Count("merlinpost_config_from_peer_total")
		f.becomeReady()
	}
	return nil
}

// Encode returns a snapshot of the state if its revision is above the given
// one; nil otherwise.
func (f *Follower) EncodeSnapshot(above uint64) (uint64, []byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fold.Revision() <= above {
		return f.fold.Revision(), nil, nil
	}
	data, err := f.fold.Snapshot()
	return f.fold.Revision(), data, err
}

// Check reports whether rec would be applied now.
func (f *Follower) Check(rec resource.Record) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Check(rec)
}

// Submit appends rec and returns its result once this process has folded it
// in. The answer is settled: LogDown means not written; LogUnsettled means
// that within ctx it was not seen, and carries the outcome unknown.
func (f *Follower) Submit(ctx context.Context, rec resource.Record) (resource.Result, error) {
	if err := f.Check(rec); err != nil {
		e := fault.From(err)
		e.Outcome = fault.NotRun
		return resource.Result{}, e
	}
	if !f.LogUp() {
		return resource.Result{}, fault.New(fault.LogUnavailable, "the log is out of reach").WithOutcome(fault.NotRun).WithRetryAfter(retryMost)
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return resource.Result{}, fault.New(fault.Internal, "encode record: %w", err)
	}
	_, appendErr := f.log.Append(ctx, StreamConfig, data)
	if fault.Is(appendErr, fault.LogUnavailable) {
		return resource.Result{}, appendErr
	}
	res, err := f.await(ctx, rec.Operation)
	if err != nil && appendErr != nil {
		return res, appendErr
	}
	return res, err
}

// await waits until the operation is in the view.
func (f *Follower) await(ctx context.Context, operation string) (resource.Result, error) {
	for {
		changed := f.Changed()
		if res, ok := f.View().Operation(operation); ok {
			return res, res.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return resource.Result{}, fault.New(fault.LogWriteUnconfirmed,
				"the change was not seen on the log in time; look at operation %s", operation).WithOutcome(fault.Unknown)
		}
	}
}
