// Package execution implements the agent's state machine. It processes offers,
// cancels, resumes and acknowledgements from routers and progress from the
// backend server, and decides what to start, stop and send. It performs no I/O
// and does not read the clock: callers pass the current time, side effects go
// through the Effects interface, and no call blocks. A Core is owned by a
// single goroutine.
//
// Invariants:
//
//   - an attempt reported as not run never runs: its tombstone rejects an
//     offer that arrives late;
//   - a response is buffered until the router has acknowledged it, and can be
//     resumed over another link from the sequence number the router requests;
//   - work that may not be repeated is started at most once by this agent.
package execution

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/admission"
	"github.com/merlinpost/merlinpost/internal/answer"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/receipt"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// AttemptKey identifies one attempt of a request.
type AttemptKey struct {
	RequestID string
	Attempt   uint32
}

// LinkID identifies a link within this process; 0 means no link.
type LinkID uint64

// Run is one execution of an attempt on the backend server. A preempted attempt
// runs again with the next Number; late output of earlier runs is discarded.
type Run struct {
	Key    AttemptKey
	Number int
	Offer  *wire.Offer
	// GeneratedTokens and GeneratedText are the output of earlier runs and
	// attempts. Generation continues after them.
	GeneratedTokens uint32
	GeneratedText   string
}

// Effects performs the side effects of a Core. None of the methods may block.
type Effects interface {
	// Send queues a message on a link. It returns false if the link's send
	// queue is full or the link does not exist.
	Send(link LinkID, m wire.Message) bool
	// Start begins a run, which is reported through Output and RunEnded.
	StartRun(r Run)
	// Stop aborts a run on the backend server.
	StopRun(k AttemptKey, number int)
	// Use adds n, which may be negative, to the number of attempts that use a
	// link, so that a link without attempts can be maintained at lower cost.
	AddLinkRequests(link LinkID, n int)
	// Claim claims an idempotency key with its witness or, if the witness is
	// unreachable, on the log. The result is reported through ClaimDecided.
	ClaimKey(k AttemptKey, o *wire.Offer)
}

// Config holds the limits of a Core.
type Config struct {
	Admission admission.Config
	// MaxAttempts limits the attempts held, including finished ones whose
	// response has not been acknowledged yet.
	MaxAttempts int
	// OrphanTimeout is how long an attempt without a link is kept.
	OrphanTimeout time.Duration
	// TombstoneRetention is how long a tombstone is kept. It must exceed the
	// longest time an offer can be in flight on an old link.
	TombstoneRetention time.Duration
	MaxTombstones      int
}

type phase uint8

const (
	phaseClaiming  phase = iota // a call with an idempotency key waits for its claim
	phaseCoalesced              // a repeated call waits for the first call of its key
	phaseQueued
	phaseRunning
	phaseEnded
)

// attempt is an offered attempt of a request.
type attempt struct {
	key           AttemptKey
	offer         *wire.Offer
	link          LinkID
	phase         phase
	job           *admission.Job
	runNumber     int
	buffer        *answer.Buffer
	generatedText []byte // output so far, kept only if the request may be repeated
	chunkCount    uint32 // chunks produced by all runs, including those before the offer
	deadline      time.Time
	orphanedAt    time.Time // start of the orphan timeout; zero while attached to a link
	keyEntry      *receipt.Entry
	end           *wire.End
	endSent       bool
}

// Counters are the totals that a Core keeps for metrics.
type Counters struct {
	Accepted, Expired, Started, Preempted uint64
	Cancelled, Orphaned, Tokens           uint64
	Duplicates, Tombstoned                uint64
}

// Core is the state machine of an agent. Create it with New.
type Core struct {
	cfg            Config
	effects        Effects
	queue          *admission.Queue
	keys           *receipt.Store
	attempts       map[AttemptKey]*attempt
	attemptsByJob  map[*admission.Job]*attempt
	coalescedByKey map[string][]*attempt // repeated calls waiting for the first one, by idempotency key
	tombstones     *tombstoneSet
	peerByLink     map[LinkID]string     // peer process of each open link
	linkByPeer     map[string]LinkID     // newest link of each peer process
	sendBlocked    map[*attempt]struct{} // messages pending, but the link's send queue is full
	draining       bool
	isServing      func(target string) bool
	counters       Counters
	// wastedTokens counts the tokens that were generated and then discarded,
	// by class.
	wastedTokens map[string]uint64
	// refusedOffers counts the refused offers by fault code.
	refusedOffers map[fault.Code]uint64
}

// New returns a Core that starts at now. isServing reports whether the backend
// server has a target loaded.
func New(cfg Config, now time.Time, fx Effects, isServing func(string) bool) *Core {
	return &Core{cfg: cfg, effects: fx, queue: admission.New(cfg.Admission), keys: receipt.NewStore(now),
		peerByLink: map[LinkID]string{}, linkByPeer: map[string]LinkID{},
		attempts: map[AttemptKey]*attempt{}, attemptsByJob: map[*admission.Job]*attempt{}, coalescedByKey: map[string][]*attempt{},
		tombstones: newTombstoneSet(cfg.TombstoneRetention, cfg.MaxTombstones), sendBlocked: map[*attempt]struct{}{}, isServing: isServing,
		wastedTokens: map[string]uint64{}, refusedOffers: map[fault.Code]uint64{}}
}

// Keys returns the store of idempotency keys.
func (c *Core) Keys() *receipt.Store { return c.keys }

// Counters returns the totals since New.
func (c *Core) Counters() Counters { return c.counters }

// TakeWastedTokens returns the tokens wasted since the previous call, by class.
func (c *Core) TakeWastedTokens() map[string]uint64 {
	out := c.wastedTokens
	c.wastedTokens = map[string]uint64{}
	return out
}

// TakeRefusedOffers returns the offers refused since the previous call, by fault
// code.
func (c *Core) TakeRefusedOffers() map[fault.Code]uint64 {
	out := c.refusedOffers
	c.refusedOffers = map[fault.Code]uint64{}
	return out
}

// AttemptCount returns the number of attempts held, including finished ones
// whose response has not been acknowledged yet.
func (c *Core) AttemptCount() int { return len(c.attempts) }

func (c *Core) TombstoneCount() int { return c.tombstones.len() }

// Idle reports whether no attempts are held.
func (c *Core) Idle() bool { return len(c.attempts) == 0 }

// HasAttemptFor reports whether an attempt for the target is held.
func (c *Core) HasAttemptFor(target string) bool {
	for _, a := range c.attempts {
		if a.offer.Target == target {
			return true
		}
	}
	return false
}

// Drain makes the Core refuse new offers. Attempts already held run to completion.
func (c *Core) Drain() { c.draining = true }

// Load returns the queue state that is reported to the routers.
func (c *Core) Load() *wire.Load {
	return &wire.Load{Running: c.queue.RunningByTier(), Slots: c.cfg.Admission.Slots, Queued: c.queue.Waiting(),
		ServiceMS: int(c.queue.ServiceTime().Milliseconds()), Draining: c.draining}
}

// LinkUp registers a new link from the named peer process and returns the older
// link of that process, which it supersedes. Messages still arriving on the
// superseded link are ignored, so that a delayed offer is not accepted after
// the router was told that it did not arrive.
func (c *Core) LinkUp(now time.Time, link LinkID, peer string) (superseded LinkID) {
	superseded = c.linkByPeer[peer]
	if superseded != 0 {
		c.LinkDown(now, superseded)
	}
	c.peerByLink[link], c.linkByPeer[peer] = peer, link
	return superseded
}

// LinkDown detaches the attempts of a closed link. They continue to run and can
// be resumed over another link until OrphanTimeout has passed.
func (c *Core) LinkDown(now time.Time, link LinkID) {
	if peer, open := c.peerByLink[link]; open && c.linkByPeer[peer] == link {
		delete(c.linkByPeer, peer)
	}
	delete(c.peerByLink, link)
	for _, a := range c.attempts {
		if a.link == link {
			c.attach(a, 0)
			a.orphanedAt = now
		}
	}
}

// isOpen reports whether a link is neither down nor superseded.
func (c *Core) isOpen(link LinkID) bool {
	_, ok := c.peerByLink[link]
	return ok
}

// Offer accepts or refuses an offered attempt and replies with an OfferResponse.
func (c *Core) Offer(now time.Time, link LinkID, o *wire.Offer) {
	if !c.isOpen(link) {
		return
	}
	key := AttemptKey{o.ID, o.Attempt}
	if a := c.attempts[key]; a != nil { // duplicate offer: keep the first
		c.counters.Duplicates++
		c.attach(a, link)
		c.sendOfferResponse(a.link, key, nil)
		return
	}
	if e := c.admit(now, link, key, o); e != nil {
		c.refusedOffers[e.Code]++
		c.tombstones.add(now, key, false)
		c.sendOfferResponse(link, key, e)
		return
	}
	c.counters.Accepted++
	c.sendOfferResponse(link, key, nil)
	c.schedule(now)
}

func (c *Core) sendOfferResponse(link LinkID, key AttemptKey, e *fault.Error) {
	c.effects.Send(link, &wire.OfferResponse{ID: key.RequestID, Attempt: key.Attempt, Fault: wire.EncodeFault(e), Load: c.Load()})
}

// admit checks an offer and, unless it refuses it, starts holding the attempt.
func (c *Core) admit(now time.Time, link LinkID, key AttemptKey, o *wire.Offer) *fault.Error {
	if c.tombstones.contains(now, key) {
		c.counters.Tombstoned++
		return fault.New(fault.RequestNotHeld, "the attempt was cancelled, refused or finished before this offer arrived").WithOutcome(fault.NotRun)
	}
	if c.draining {
		return fault.New(fault.Draining, "the backend server is draining").WithOutcome(fault.NotRun)
	}
	if !c.isServing(o.Target) {
		return fault.New(fault.NoBackendServer, "target %q is not loaded on this backend server", o.Target).WithOutcome(fault.NotRun)
	}
	if len(c.attempts) >= c.cfg.MaxAttempts {
		return fault.New(fault.IdempotencyStoreFull, "the agent already holds its maximum of %d attempts", len(c.attempts)).
			WithOutcome(fault.NotRun).WithRetryAfter(c.queue.RetryAfter(int(o.Tier)))
	}
	a := &attempt{key: key, offer: o, link: link, buffer: answer.NewBuffer(o.ChunksDelivered, o.SendWindow), chunkCount: o.ChunksDelivered,
		generatedText: []byte(o.DeliveredText), deadline: now.Add(millis(o.RunTimeoutMS))}
	if o.IdempotencyKey == "" {
		if e := c.enqueue(now, a); e != nil {
			return e
		}
	} else if e := c.admitKeyed(now, a); e != nil {
		return e
	}
	c.attempts[key] = a
	c.effects.AddLinkRequests(link, 1)
	return nil
}

// attach moves an attempt to a link; 0 detaches it.
func (c *Core) attach(a *attempt, link LinkID) {
	if a.link != 0 {
		c.effects.AddLinkRequests(a.link, -1)
	}
	if link != 0 {
		c.effects.AddLinkRequests(link, 1)
	}
	a.link = link
	a.orphanedAt = time.Time{}
}

func (c *Core) enqueue(now time.Time, a *attempt) *fault.Error {
	o := a.offer
	job := &admission.Job{ID: o.ID, Tier: min(int(o.Tier), admission.Tiers-1), Flow: o.Team, Cost: float64(o.MaxTokens),
		Floor: o.Floor, FirstTokenTarget: millis(o.FirstTokenTargetMS), Preemptible: o.Preemptible && o.Retryable,
		StartDeadline: now.Add(millis(o.StartTimeoutMS))}
	if e := c.queue.Enqueue(now, job); e != nil {
		return e
	}
	a.job, a.phase = job, phaseQueued
	c.attemptsByJob[job] = a
	return nil
}

// schedule starts queued attempts while slots are free and preempts running
// attempts in favour of higher tiers.
func (c *Core) schedule(now time.Time) {
	for {
		if job, ok := c.queue.Next(now); ok {
			c.start(c.attemptsByJob[job])
			continue
		}
		victim := c.queue.Preempt(now)
		if victim == nil {
			return
		}
		a := c.attemptsByJob[victim]
		c.effects.StopRun(a.key, a.runNumber)
		a.phase = phaseQueued
		c.counters.Preempted++
	}
}

func (c *Core) start(a *attempt) {
	a.phase = phaseRunning
	a.runNumber++
	if a.keyEntry != nil {
		a.keyEntry.Phase = receipt.Running
	}
	c.counters.Started++
	c.effects.StartRun(Run{Key: a.key, Number: a.runNumber, Offer: a.offer, GeneratedTokens: a.chunkCount, GeneratedText: string(a.generatedText)})
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
