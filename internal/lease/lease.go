// Package lease records on the log which process acts as an agent. The offset
// of a process's lease record is its fencing number: a later process has a
// higher one, and an engine that checks refuses the orders of the earlier.
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

// Lease is one process's lease. Run is its duty.
type Lease struct {
	log         configlog.Log
	stream      string
	incarnation string
	renewEvery  time.Duration
	logger      *slog.Logger

	fence      atomic.Uint64 // 0: not held yet
	newborn    atomic.Bool
	superseded atomic.Bool
	held       chan struct{}
}

const (
	retryEvery = 100 * time.Millisecond
	pollFor    = 10 * time.Second
)

// New returns a Lease that is not held yet. Renewals keep a record of the
// agent on the log within its retention; renewEvery must be well below that.
func New(log configlog.Log, agent, incarnation string, renewEvery time.Duration, logger *slog.Logger) *Lease {
	return &Lease{log: log, stream: configlog.LeaseStream(agent), incarnation: incarnation, renewEvery: renewEvery,
		logger: logger, held: make(chan struct{})}
}

// Fence returns the fencing number; 0 while the lease is not held.
func (l *Lease) FencingToken() uint64 { return l.fence.Load() }

// Held is closed when the lease's record is on the log.
func (l *Lease) Held() <-chan struct{} { return l.held }

// Newborn reports, once held, whether the log shows no earlier process.
func (l *Lease) FirstHolder() bool { return l.newborn.Load() }

// Superseded reports whether another process took the lease over.
func (l *Lease) Superseded() bool { return l.superseded.Load() }

// Run takes the lease, renews it and watches for a successor until ctx ends.
// onLost is called once if another process takes over.
func (l *Lease) Run(ctx context.Context, onLost func()) {
	next, ok := l.acquire(ctx)
	if !ok {
		return
	}
	renewed := time.Now()
	for ctx.Err() == nil {
		batch, err := l.log.Read(ctx, l.stream, next, min(pollFor, l.renewEvery))
		if fault.Is(err, fault.LogTruncated) {
			next = batch.First
			continue
		}
		if err != nil {
			wait(ctx, retryEvery)
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
		if time.Since(renewed) >= l.renewEvery && l.append(ctx, true) == nil {
			renewed = time.Now()
		}
	}
}

// acquire appends the lease's record and finds it on the log, which settles an
// append whose answer was lost.
func (l *Lease) acquire(ctx context.Context) (next uint64, ok bool) {
	for ctx.Err() == nil {
		earlier := false
		mine := uint64(0)
		next, truncated, err := configlog.ReadAll(ctx, l.log, l.stream, func(e configlog.Entry) {
			var r Record
			switch {
			case json.Unmarshal(e.Data, &r) != nil:
			case r.Incarnation == l.incarnation && mine == 0:
				mine = e.Offset
			case r.Incarnation != l.incarnation && mine == 0:
				earlier = true
			}
		})
		if err == nil && mine > 0 {
			l.fence.Store(mine)
			l.newborn.Store(!earlier && !truncated)
			l.logger.Info("lease held", "fence", mine, "newborn", l.newborn.Load())
			close(l.held)
			return next, true
		}
		if err == nil {
			err = l.append(ctx, false)
		}
		if err != nil {
			wait(ctx, retryEvery)
		}
	}
	return 0, false
}

func (l *Lease) append(ctx context.Context, renewal bool) error {
	data, err := json.Marshal(Record{l.incarnation, renewal})
	if err != nil {
		return fault.New(fault.Internal, "encode lease: %w", err)
	}
	_, err = l.log.Append(ctx, l.stream, data)
	return err
}

// isSuccessor reports whether the entry is a later process's lease. A renewal
// of an earlier process that is on its way out does not count.
func (l *Lease) isSuccessor(e configlog.Entry) bool {
	var r Record
	return json.Unmarshal(e.Data, &r) == nil && r.Incarnation != l.incarnation && !r.Renewal
}

// Current asks the log whether the lease is still this process's own. It is
// for orders to engines that do not check fencing numbers.
func (l *Lease) VerifyHeld(ctx context.Context) bool {
	if l.FencingToken() == 0 || l.Superseded() {
		return false
	}
	current := true
	_, _, err := configlog.ReadAll(ctx, l.log, l.stream, func(e configlog.Entry) {
		if e.Offset > l.FencingToken() && l.isSuccessor(e) {
			current = false
		}
	})
	return err == nil && current
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
