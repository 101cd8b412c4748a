// Package lease records in the log which process acts as an agent. The offset of a
// process's lease record is its fencing token: a later process has a higher token, and
// an engine that checks fencing tokens rejects the commands of earlier processes.
package lease

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/configlog"
	"github.com/merlinpost/merlinpost/internal/fault"
)

// Record is one entry of an agent's lease stream.
type Record struct {
	Incarnation string `json:"incarnation"`
	Renewal     bool   `json:"renewal,omitempty"`
}

// Lease is the lease of one process. Run acquires and maintains it.
type Lease struct {
	log           configlog.Log
	stream        string
	incarnation   string
	renewInterval time.Duration
	logger        *slog.Logger

	fencingToken atomic.Uint64 // 0 until the lease is held
	firstHolder  atomic.Bool
	superseded   atomic.Bool
	held         chan struct{}
}

const (
	retryInterval   = 100 * time.Millisecond
	longPollTimeout = 10 * time.Second
)

// New returns a Lease that is not held yet. Renewals keep a record of the agent within
// the retention time of the log, so renewInterval must be well below that time.
func New(log configlog.Log, agent, incarnation string, renewInterval time.Duration, logger *slog.Logger) *Lease {
	return &Lease{log: log, stream: configlog.LeaseStream(agent), incarnation: incarnation, renewInterval: renewInterval,
		logger: logger, held: make(chan struct{})}
}

// FencingToken returns the fencing token, or 0 while the lease is not held.
func (l *Lease) FencingToken() uint64 { return l.fencingToken.Load() }

// Held returns a channel that is closed when the log contains the lease record.
func (l *Lease) Held() <-chan struct{} { return l.held }

// FirstHolder reports whether the log contains no record of an earlier process. The
// result is valid once the lease is held.
func (l *Lease) FirstHolder() bool { return l.firstHolder.Load() }

// Superseded reports whether another process has taken over the lease.
func (l *Lease) Superseded() bool { return l.superseded.Load() }

// Run acquires the lease, renews it and watches for a successor until ctx ends or
// another process takes over. In the latter case it calls onLost once.
func (l *Lease) Run(ctx context.Context, onLost func()) {
	next, ok := l.acquire(ctx)
	if !ok {
		return
	}
	lastRenewal := time.Now()
	for ctx.Err() == nil {
		batch, err := l.log.Read(ctx, l.stream, next, min(longPollTimeout, l.renewInterval))
		if fault.Is(err, fault.LogTruncated) {
			next = batch.First
			continue
		}
		if err != nil {
			sleep(ctx, retryInterval)
			continue
		}
		for _, e := range batch.Entries {
			next = e.Offset + 1
			if l.isSuccessor(e) {
				l.superseded.Store(true)
				l.logger.Warn("another process took the lease over", "offset", e.Offset)
				onLost()
				return
			}
		}
		if time.Since(lastRenewal) >= l.renewInterval && l.appendRecord(ctx, true) == nil {
			lastRenewal = time.Now()
		}
	}
}

// acquire appends the lease record and reads it back from the log. Reading before each
// append avoids a second record if the response to the first append was lost. It returns
// the offset from which to watch for a successor.
func (l *Lease) acquire(ctx context.Context) (next uint64, ok bool) {
	for ctx.Err() == nil {
		hasEarlier := false
		own := uint64(0)
		next, truncated, err := configlog.ReadAll(ctx, l.log, l.stream, func(e configlog.Entry) {
			var r Record
			switch {
			case json.Unmarshal(e.Data, &r) != nil:
			case r.Incarnation == l.incarnation && own == 0:
				own = e.Offset
			case r.Incarnation != l.incarnation && own == 0:
				hasEarlier = true
			}
		})
		if err == nil && own > 0 {
			l.fencingToken.Store(own)
			l.firstHolder.Store(!hasEarlier && !truncated)
			l.logger.Info("lease held", "fence", own, "newborn", l.firstHolder.Load())
			close(l.held)
			return next, true
		}
		if err == nil {
			err = l.appendRecord(ctx, false)
		}
		if err != nil {
			sleep(ctx, retryInterval)
		}
	}
	return 0, false
}

func (l *Lease) appendRecord(ctx context.Context, renewal bool) error {
	data, err := json.Marshal(Record{l.incarnation, renewal})
	if err != nil {
		return fault.New(fault.Internal, "encode lease record: %w", err)
	}
	_, err = l.log.Append(ctx, l.stream, data)
	return err
}

// isSuccessor reports whether the entry is the lease record of a later process. It
// ignores renewals, which an earlier process may still append until it notices that it
// was superseded.
func (l *Lease) isSuccessor(e configlog.Entry) bool {
	var r Record
	return json.Unmarshal(e.Data, &r) == nil && r.Incarnation != l.incarnation && !r.Renewal
}

// VerifyHeld reads the log to verify that this process still holds the lease. It is
// required before commands to engines that do not check fencing tokens.
func (l *Lease) VerifyHeld(ctx context.Context) bool {
	if l.FencingToken() == 0 || l.Superseded() {
		return false
	}
	held := true
	_, _, err := configlog.ReadAll(ctx, l.log, l.stream, func(e configlog.Entry) {
		if e.Offset > l.FencingToken() && l.isSuccessor(e) {
			held = false
		}
	})
	return err == nil && held
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
