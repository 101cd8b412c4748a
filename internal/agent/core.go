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

// Sizes and timing of the core's duty.
const (
	inboxSize     = 4096
	tickEvery     = 10 * time.Millisecond  // while requests wait
	idleTickEvery = 500 * time.Millisecond // while none does
	sweepEvery    = time.Second
	maxHeld       = 20_000
	maxTombstones = 100_000
	tombstoneFor  = 10 * time.Minute
	// orphanFactor times the routers' lost time is how long an attempt goes
	// on without a link: longer than any router waits to resume it.
	orphanFactor = 3
)

// event is one thing that happened, run by the core's goroutine.
type event func(now time.Time)

// coreDuty is the goroutine that owns the execution core. It implements
// execution.Effects; those methods run on that goroutine.
type coreDuty struct {
	agent  *Agent
	inbox  chan event
	core   *execution.Core
	conns  map[execution.LinkID]*link.Conn
	calls  map[callID]context.CancelFunc
	ctx    context.Context // of the duty, for the calls it starts
	load   atomic.Pointer[wire.Load]
	told   execution.Counters
	lastID atomic.Uint64
}

type callID struct {
	key    execution.AttemptKey
	number int
}

func newCoreDuty(a *Agent) *coreDuty {
	d := &coreDuty{agent: a, inbox: make(chan event, inboxSize), conns: map[execution.LinkID]*link.Conn{},
		calls: map[callID]context.CancelFunc{}}
	s := a.set.Admission
	d.core = execution.New(execution.Config{
		Admission: admission.Config{Slots: a.set.Server.Slots, QueueLimit: s.QueueLimit, MaxPreemptions: s.MaxPreemptions,
			FloorWindow: settings.Millis(s.FloorWindowMS), FIFO: s.Order == "fifo",
			Preemption: s.Preemption, Floors: s.Floors, Fairness: s.Fairness, EarlyRefusal: s.EarlyRefusal},
		MaxAttempts: maxHeld, OrphanTimeout: orphanFactor * settings.Millis(a.set.Link.LostMS),
		TombstoneRetention: tombstoneFor, MaxTombstones: maxTombstones,
	}, time.Now(), d, a.serving.has)
	d.load.Store(d.core.Load())
	return d
}

// post hands an event to the core's goroutine, waiting for room; that is the
// back pressure on links and engine calls.
func (d *coreDuty) post(ctx context.Context, e event) {
	select {
	case d.inbox <- e:
	case <-ctx.Done():
	}
}

func (d *coreDuty) run(ctx context.Context) {
	d.ctx = ctx
	timer := time.NewTimer(idleTickEvery)
	defer timer.Stop()
	swept, soon := time.Now(), false
	for {
		select {
		case e := <-d.inbox:
			e(time.Now())
			if !soon && d.core.NeedsFrequentTick() {
				soon = true
				timer.Reset(tickEvery)
			}
		case <-timer.C:
			now := time.Now()
			d.tick(now, &swept)
			if soon = d.core.NeedsFrequentTick(); soon {
				timer.Reset(tickEvery)
			} else {
				timer.Reset(idleTickEvery)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (d *coreDuty) tick(now time.Time, swept *time.Time) {
	d.core.Tick(now)
	if now.Sub(*swept) >= sweepEvery {
		*swept = now
		d.core.Sweep(now)
		d.tell()
	}
	d.load.Store(d.core.Load())
}

// idle asks the core whether nothing is held.
func (d *coreDuty) idle(ctx context.Context) bool { return d.ask(ctx, d.core.Idle) }

// uses asks the core whether an attempt for the target is held.
func (d *coreDuty) uses(ctx context.Context, target string) bool {
	return d.ask(ctx, func() bool { return d.core.HasAttemptFor(target) })
}

// ask runs a question on the core's goroutine; false if ctx ends first.
func (d *coreDuty) ask(ctx context.Context, question func() bool) bool {
	answer := make(chan bool, 1)
	d.post(ctx, func(time.Time) { answer <- question() })
	select {
	case yes := <-answer:
		return yes
	case <-ctx.Done():
		return false
	}
}

// drain refuses new work and tells every router at once.
func (d *coreDuty) drain() {
	d.post(context.Background(), func(time.Time) {
		d.core.Drain()
		d.load.Store(d.core.Load())
		d.pokeAll()
	})
}

// pokeAll sends every router a heartbeat at once.
func (d *coreDuty) pokeAll() {
	for _, c := range d.conns {
		c.TriggerHeartbeat()
	}
}

// beat makes a heartbeat without the list of targets.
func (d *coreDuty) beat() *wire.Heartbeat {
	return &wire.Heartbeat{Revision: d.agent.config.View().Revision, Load: d.load.Load()}
}

// tell publishes the totals since the last time.
func (d *coreDuty) tell() {
	c := d.core.Counters()
	add := func(name string, now, before uint64) { telemetry.Add(name, int(now-before)) }
	add("merlinpost_agent_accepted_total", c.Accepted, d.told.Accepted)
	add("merlinpost_agent_expired_total", c.Expired, d.told.Expired)
	add("merlinpost_agent_started_total", c.Started, d.told.Started)
	add("merlinpost_agent_preempted_total", c.Preempted, d.told.Preempted)
	add("merlinpost_agent_cancelled_total", c.Cancelled, d.told.Cancelled)
	add("merlinpost_agent_orphaned_total", c.Orphaned, d.told.Orphaned)
	add("merlinpost_agent_tokens_total", c.Tokens, d.told.Tokens)
	add("merlinpost_agent_tombstoned_offers_total", c.Tombstoned, d.told.Tombstoned)
	d.told = c
	for class, n := range d.core.TakeWastedTokens() {
		telemetry.Add("merlinpost_agent_wasted_tokens_total", int(n), "class", class)
	}
	for code, n := range d.core.TakeRefusedOffers() {
		telemetry.Add("merlinpost_agent_refused_total", int(n), "code", string(code))
	}
	telemetry.SetGauge("merlinpost_agent_held", float64(d.core.AttemptCount()))
	telemetry.SetGauge("merlinpost_agent_tombstones", float64(d.core.TombstoneCount()))
	telemetry.SetGauge("merlinpost_agent_keys", float64(d.core.Keys().Len()))
}

// Send implements execution.Effects.
func (d *coreDuty) Send(id execution.LinkID, m wire.Message) bool {
	c := d.conns[id]
	return c != nil && c.Send(m)
}

// Use implements execution.Effects.
func (d *coreDuty) Use(id execution.LinkID, n int) {
	if c := d.conns[id]; c != nil {
		c.AddRequests(int64(n))
	}
}

// Start implements execution.Effects.
func (d *coreDuty) Start(r execution.Run) {
	ctx, cancel := context.WithCancel(d.ctx)
	id := callID{r.Key, r.Number}
	d.calls[id] = cancel
	if r.Offer.Kind == wire.KindService {
		go d.callService(ctx, id, r)
		return
	}
	go d.callEngine(ctx, id, r)
}

// Stop implements execution.Effects.
func (d *coreDuty) Stop(k execution.AttemptKey, number int) {
	if cancel := d.calls[callID{k, number}]; cancel != nil {
		cancel()
	}
}

// Claim implements execution.Effects.
func (d *coreDuty) Claim(k execution.AttemptKey, o *wire.Offer) { go d.agent.claim(d.ctx, k, o) }

func (d *coreDuty) callEngine(ctx context.Context, id callID, r execution.Run) {
	end, err := d.agent.engine.generate(ctx, r, func(data []byte) {
		d.post(ctx, func(now time.Time) { d.core.Output(now, r.Key, r.Number, data, 1) })
	})
	d.ended(id, r, nil, end, err)
}

func (d *coreDuty) callService(ctx context.Context, id callID, r execution.Run) {
	body, end, err := d.agent.service.call(ctx, r)
	d.ended(id, r, body, end, err)
}

// ended reports the end of a call, with a plain service's whole answer.
func (d *coreDuty) ended(id callID, r execution.Run, body []byte, end wire.End, e *fault.Error) {
	d.post(d.ctx, func(now time.Time) {
		if cancel := d.calls[id]; cancel != nil {
			cancel()
			delete(d.calls, id)
		}
		if body != nil {
			d.core.Output(now, r.Key, r.Number, body, 0)
		}
		d.core.RunEnded(now, r.Key, r.Number, end, e)
	})
}

// settleClaim decides on a keyed call with the witness's word.
func (d *coreDuty) settleClaim(ctx context.Context, k execution.AttemptKey, o *wire.Offer, word receipt.WitnessReply, moved bool) {
	d.post(ctx, func(now time.Time) {
		window := time.Duration(o.KeyRetentionMS) * time.Millisecond
		decision := d.core.Keys().Decide(now, window, word, moved)
		if decision == receipt.RunAfterLogging {
			go d.agent.keepClaim(ctx, k, o)
			return
		}
		d.core.ClaimDecided(now, k, decision)
	})
}
