package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/admission"
	"github.com/merlinpost/merlinpost/internal/execution"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/link"
	"github.com/merlinpost/merlinpost/internal/receipt"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// Capacities and intervals of the core loop.
const (
	inboxCapacity      = 4096
	tickInterval       = 10 * time.Millisecond  // while attempts are queued or blocked on a full link
	idleTickInterval   = 500 * time.Millisecond // otherwise
	sweepInterval      = time.Second
	maxAttempts        = 20_000
	maxTombstones      = 100_000
	tombstoneRetention = 10 * time.Minute
	// orphanTimeoutFactor times the routers' lost-link timeout is how long an
	// attempt without a link is kept. It must be longer than any router waits
	// to resume the attempt.
	orphanTimeoutFactor = 3
)

// event is a function that the core loop runs on its goroutine.
type event func(now time.Time)

// coreLoop is the event loop that owns the execution core. It implements
// execution.Effects; those methods run on that goroutine.
type coreLoop struct {
	agent            *Agent
	inbox            chan event
	core             *execution.Core
	conns            map[execution.LinkID]*link.Conn
	cancelByRun      map[runID]context.CancelFunc
	runCtx           context.Context // parent context of the calls to the backend server
	load             atomic.Pointer[wire.Load]
	reportedCounters execution.Counters
	lastLinkID       atomic.Uint64
}

type runID struct {
	key    execution.AttemptKey
	number int
}

func newCoreLoop(a *Agent) *coreLoop {
	l := &coreLoop{agent: a, inbox: make(chan event, inboxCapacity), conns: map[execution.LinkID]*link.Conn{},
		cancelByRun: map[runID]context.CancelFunc{}}
	s := a.settings.Admission
	l.core = execution.New(execution.Config{
		Admission: admission.Config{Slots: a.settings.Server.Slots, QueueLimit: s.QueueLimit, MaxPreemptions: s.MaxPreemptions,
			FloorWindow: settings.Millis(s.FloorWindowMS), FIFO: s.Order == "fifo",
			Preemption: s.Preemption, Floors: s.Floors, Fairness: s.Fairness, EarlyRefusal: s.EarlyRefusal},
		MaxAttempts: maxAttempts, OrphanTimeout: orphanTimeoutFactor * settings.Millis(a.settings.Link.LostMS),
		TombstoneRetention: tombstoneRetention, MaxTombstones: maxTombstones,
	}, time.Now(), l, a.servingTargets.has)
	l.load.Store(l.core.Load())
	return l
}

// post queues an event for the core loop. It blocks while the inbox is full,
// which applies back pressure to links and backend calls.
func (l *coreLoop) post(ctx context.Context, e event) {
	select {
	case l.inbox <- e:
	case <-ctx.Done():
	}
}

func (l *coreLoop) run(ctx context.Context) {
	l.runCtx = ctx
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	swept, soon := time.Now(), false
	for {
		select {
		case e := <-l.inbox:
			e(time.Now())
			if !soon && l.core.NeedsFrequentTick() {
				soon = true
				timer.Reset(tickInterval)
			}
		case <-timer.C:
			now := time.Now()
			l.tick(now, &swept)
			if soon = l.core.NeedsFrequentTick(); soon {
				timer.Reset(tickInterval)
			} else {
				timer.Reset(idleTickInterval)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (l *coreLoop) tick(now time.Time, swept *time.Time) {
	l.core.Tick(now)
	if now.Sub(*swept) >= sweepInterval {
		*swept = now
		l.core.Sweep(now)
		l.reportMetrics()
	}
	l.load.Store(l.core.Load())
}

// isIdle reports whether the core holds no attempts.
func (l *coreLoop) isIdle(ctx context.Context) bool { return l.evaluate(ctx, l.core.Idle) }

// hasAttemptFor reports whether the core holds an attempt for the target.
func (l *coreLoop) hasAttemptFor(ctx context.Context, target string) bool {
	return l.evaluate(ctx, func() bool { return l.core.HasAttemptFor(target) })
}

// query evaluates a condition on the core's goroutine. It returns false if ctx is
// cancelled first.
func (l *coreLoop) evaluate(ctx context.Context, condition func() bool) bool {
	result := make(chan bool, 1)
	l.post(ctx, func(time.Time) { result <- condition() })
	select {
	case r := <-result:
		return r
	case <-ctx.Done():
		return false
	}
}

// drain makes the core refuse new work and notifies all peers immediately.
func (l *coreLoop) drain() {
	l.post(context.Background(), func(time.Time) {
		l.core.Drain()
		l.load.Store(l.core.Load())
		l.triggerHeartbeats()
	})
}

// sendHeartbeats sends a heartbeat on every link immediately.
func (l *coreLoop) triggerHeartbeats() {
	for _, c := range l.conns {
		c.TriggerHeartbeat()
	}
}

// heartbeat returns a heartbeat without the list of targets.
func (l *coreLoop) newHeartbeat() *wire.Heartbeat {
	return &wire.Heartbeat{Revision: l.agent.config.View().Revision, Load: l.load.Load()}
}

// reportMetrics adds the changes since the previous call to the metrics.
func (l *coreLoop) reportMetrics() {
	c := l.core.Counters()
	add := func(name string, now, before uint64) { telemetry.Add(name, int(now-before)) }
	add("merlinpost_agent_accepted_total", c.Accepted, l.reportedCounters.Accepted)
	add("merlinpost_agent_expired_total", c.Expired, l.reportedCounters.Expired)
	add("merlinpost_agent_started_total", c.Started, l.reportedCounters.Started)
	add("merlinpost_agent_preempted_total", c.Preempted, l.reportedCounters.Preempted)
	add("merlinpost_agent_cancelled_total", c.Cancelled, l.reportedCounters.Cancelled)
	add("merlinpost_agent_orphaned_total", c.Orphaned, l.reportedCounters.Orphaned)
	add("merlinpost_agent_tokens_total", c.Tokens, l.reportedCounters.Tokens)
	add("merlinpost_agent_tombstoned_offers_total", c.Tombstoned, l.reportedCounters.Tombstoned)
	l.reportedCounters = c
	for class, n := range l.core.TakeWastedTokens() {
		telemetry.Add("merlinpost_agent_wasted_tokens_total", int(n), "class", class)
	}
	for code, n := range l.core.TakeRefusedOffers() {
		telemetry.Add("merlinpost_agent_refused_total", int(n), "code", string(code))
	}
	telemetry.SetGauge("merlinpost_agent_held", float64(l.core.AttemptCount()))
	telemetry.SetGauge("merlinpost_agent_tombstones", float64(l.core.TombstoneCount()))
	telemetry.SetGauge("merlinpost_agent_keys", float64(l.core.Keys().Len()))
}

// Send implements execution.Effects.
func (l *coreLoop) Send(id execution.LinkID, m wire.Message) bool {
	c := l.conns[id]
	return c != nil && c.Send(m)
}

// Use implements execution.Effects.
func (l *coreLoop) AddLinkRequests(id execution.LinkID, n int) {
	if c := l.conns[id]; c != nil {
		c.AddRequests(int64(n))
	}
}

// Start implements execution.Effects.
func (l *coreLoop) StartRun(r execution.Run) {
	ctx, cancel := context.WithCancel(l.runCtx)
	id := runID{r.Key, r.Number}
	l.cancelByRun[id] = cancel
	if r.Offer.Kind == wire.KindService {
		go l.callService(ctx, id, r)
		return
	}
	go l.callEngine(ctx, id, r)
}

// Stop implements execution.Effects.
func (l *coreLoop) StopRun(k execution.AttemptKey, number int) {
	if cancel := l.cancelByRun[runID{k, number}]; cancel != nil {
		cancel()
	}
}

// Claim implements execution.Effects.
func (l *coreLoop) ClaimKey(k execution.AttemptKey, o *wire.Offer) {
	go l.agent.claimKey(l.runCtx, k, o)
}

func (l *coreLoop) callEngine(ctx context.Context, id runID, r execution.Run) {
	end, err := l.agent.engine.generate(ctx, r, func(data []byte) {
		l.post(ctx, func(now time.Time) { l.core.Output(now, r.Key, r.Number, data, 1) })
	})
	l.reportRunEnd(id, r, nil, end, err)
}

func (l *coreLoop) callService(ctx context.Context, id runID, r execution.Run) {
	body, end, err := l.agent.service.call(ctx, r)
	l.reportRunEnd(id, r, body, end, err)
}

// reportRunEnd reports the end of a run to the core. body is the complete response
// of a plain service, otherwise nil.
func (l *coreLoop) reportRunEnd(id runID, r execution.Run, body []byte, end wire.End, e *fault.Error) {
	l.post(l.runCtx, func(now time.Time) {
		if cancel := l.cancelByRun[id]; cancel != nil {
			cancel()
			delete(l.cancelByRun, id)
		}
		if body != nil {
			l.core.Output(now, r.Key, r.Number, body, 0)
		}
		l.core.RunEnded(now, r.Key, r.Number, end, e)
	})
}

// decideClaim decides, from the witness's reply, whether a keyed call may start.
// moved reports whether another agent was the key's home within its window.
func (l *coreLoop) decideClaim(ctx context.Context, k execution.AttemptKey, o *wire.Offer, reply receipt.WitnessReply, moved bool) {
	l.post(ctx, func(now time.Time) {
		window := time.Duration(o.KeyRetentionMS) * time.Millisecond
		decision := l.core.Keys().Decide(now, window, reply, moved)
		if decision == receipt.RunAfterLogging {
			go l.agent.appendClaim(ctx, k, o)
			return
		}
		l.core.ClaimDecided(now, k, decision)
	})
}
