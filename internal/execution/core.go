// Package execution is the deciding part of an agent: it takes offers,
// cancels, resumes and acknowledgements from routers and the progress of the
// backend server, and says what to start, stop and send. It is pure: time comes
// in as an argument, effects go out through an interface, nothing blocks. One
// goroutine owns a Core.
//
// What it holds to:
//
//   - an attempt that was said not to have run never runs: its tombstone
//     refuses an offer that arrives late;
//   - an answer is kept until the router has acknowledged it, and goes on over
//     another link at the number the router asks for;
//   - work that may not be repeated is started at most once here.
package execution

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/admission"
	"github.com/merlinpost/merlinpost/internal/answer"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/receipt"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// Key names an attempt of a request.
type AttemptKey struct {
	RequestID string
	Attempt   uint32
}

// LinkID names a link of this process; 0 is no link.
type LinkID uint64

// Run is one start of an attempt at the backend server. An attempt that is
// preempted runs again under the next Number; what an earlier run still
// brings is dropped.
type Run struct {
	Key    AttemptKey
	Number int
	Offer  *wire.Offer
	// Done and DoneText are the tokens made before, which are not made again.
	GeneratedTokens uint32
	GeneratedText   string
}

// Effects is what a Core does to the world. None of the calls may block.
type Effects interface {
	// Send queues a message on a link; false means no room, or no such link.
	Send(link LinkID, m wire.Message) bool
	// Start begins a run; its progress comes back through Token and Ended.
	Start(r Run)
	// Stop ends a run at the backend server.
	Stop(k AttemptKey, number int)
	// Use counts an attempt onto a link or, with -1, off it, so that a link
	// without attempts can be kept at a lower cost.
	Use(link LinkID, n int)
	// Claim asks the witness of a key, or the log if it can't be reached;
	// the answer comes back through ClaimSettled.
	Claim(k AttemptKey, o *wire.Offer)
}

// Config is the size of a Core.
type Config struct {
	Admission admission.Config
	// MaxHeld bounds the attempts held, finished answers included.
	MaxAttempts int
	// OrphanAfter is how long an attempt goes on without a link.
	OrphanTimeout time.Duration
	// TombstoneFor is how long a refused attempt is remembered. It is above
	// the longest time that an offer may be under way on an old link.
	TombstoneRetention time.Duration
	// MaxTombstones bounds the refused attempts remembered.
	MaxTombstones int
}

type phase uint8

const (
	claiming phase = iota // a keyed call waits for its claim
	joined                // a repeat waits for the first call of its key
	queued
	running
	ended
)

// attempt is one offered attempt.
type attempt struct {
	key      AttemptKey
	offer    *wire.Offer
	link     LinkID
	phase    phase
	job      *admission.Job
	run      int
	buf      *answer.Buffer
	text     []byte // everything made so far, for resume; only if needed
	made     uint32 // chunks made by all runs, those before the offer included
	runBy    time.Time
	orphaned time.Time // since when without a link; zero: has one
	entry    *receipt.Entry
	end      *wire.End
	endSent  bool
}

// Counters are the totals a Core keeps for the metrics.
type Counters struct {
	Accepted, Expired, Started, Preempted uint64
	Cancelled, Orphaned, Tokens           uint64
	Duplicates, Tombstoned                uint64
}

// Core is the state of an agent. Call New.
type Core struct {
	cfg      Config
	fx       Effects
	queue    *admission.Queue
	book     *receipt.Store
	held     map[AttemptKey]*attempt
	byJob    map[*admission.Job]*attempt
	waiting  map[string][]*attempt // repeats that wait, by idempotency key
	tombs    *tombstones
	links    map[LinkID]string     // open links and the process at the other end
	byPeer   map[string]LinkID     // the newest link of each process
	blocked  map[*attempt]struct{} // have chunks to send but no room on the link
	draining bool
	serving  func(target string) bool
	counters Counters
	// wasted counts by class the tokens that were made and then dropped.
	wasted map[string]uint64
	// refused counts refused offers by code.
	refused map[fault.Code]uint64
}

// New returns a Core that started at now; serving says whether the backend
// server has a target loaded.
func New(cfg Config, now time.Time, fx Effects, serving func(string) bool) *Core {
	return &Core{cfg: cfg, fx: fx, queue: admission.New(cfg.Admission), book: receipt.NewStore(now),
		links: map[LinkID]string{}, byPeer: map[string]LinkID{},
		held: map[AttemptKey]*attempt{}, byJob: map[*admission.Job]*attempt{}, waiting: map[string][]*attempt{},
		tombs: newTombstones(cfg.TombstoneRetention, cfg.MaxTombstones), blocked: map[*attempt]struct{}{}, serving: serving,
		wasted: map[string]uint64{}, refused: map[fault.Code]uint64{}}
}

// Book returns the memory of idempotency keys.
func (c *Core) Keys() *receipt.Store { return c.book }

// Counters returns the totals so far.
func (c *Core) Counters() Counters { return c.counters }

// TakeWasted returns the tokens wasted since the last call, by class.
func (c *Core) TakeWastedTokens() map[string]uint64 {
	out := c.wasted
	c.wasted = map[string]uint64{}
	return out
}

// TakeRefused returns the offers refused since the last call, by code.
func (c *Core) TakeRefusedOffers() map[fault.Code]uint64 {
	out := c.refused
	c.refused = map[fault.Code]uint64{}
	return out
}

// Held returns the number of attempts held.
func (c *Core) AttemptCount() int { return len(c.held) }

// Tombstones returns the number of refused attempts remembered.
func (c *Core) TombstoneCount() int { return c.tombs.len() }

// Idle reports whether nothing is held that a router still waits for.
func (c *Core) Idle() bool { return len(c.held) == 0 }

// Uses reports whether an attempt for the target is held.
func (c *Core) HasAttemptFor(target string) bool {
	for _, a := range c.held {
		if a.offer.Target == target {
			return true
		}
	}
	return false
}

// Drain refuses offers from now on; what is held goes on to its end.
func (c *Core) Drain() { c.draining = true }

// Load describes the queue for the routers.
func (c *Core) Load() *wire.Load {
	return &wire.Load{Running: c.queue.RunningByTier(), Slots: c.cfg.Admission.Slots, Queued: c.queue.Waiting(),
		ServiceMS: int(c.queue.ServiceTime().Milliseconds()), Draining: c.draining}
}

// LinkUp takes in a new link of the named process. The process's older link is
// superseded and returned: what it still brings is ignored from now on, so an
// offer can't overtake the word that it did not arrive.
func (c *Core) LinkUp(now time.Time, link LinkID, peer string) (superseded LinkID) {
	superseded = c.byPeer[peer]
	if superseded != 0 {
		c.LinkDown(now, superseded)
	}
	c.links[link], c.byPeer[peer] = peer, link
	return superseded
}

// LinkDown leaves the attempts of a link without one; they run on and can be
// resumed until OrphanAfter.
func (c *Core) LinkDown(now time.Time, link LinkID) {
	if peer, open := c.links[link]; open && c.byPeer[peer] == link {
		delete(c.byPeer, peer)
	}
	delete(c.links, link)
	for _, a := range c.held {
		if a.link == link {
			c.attach(a, 0)
			a.orphaned = now
		}
	}
}

// open reports whether a link is neither down nor superseded.
func (c *Core) open(link LinkID) bool {
	_, ok := c.links[link]
	return ok
}

// Offer takes in an offered attempt and answers with a Verdict.
func (c *Core) Offer(now time.Time, link LinkID, o *wire.Offer) {
	if !c.open(link) {
		return
	}
	key := AttemptKey{o.ID, o.Attempt}
	if a := c.held[key]; a != nil { // the offer came twice: the first one counts
		c.counters.Duplicates++
		c.attach(a, link)
		c.verdict(a.link, key, nil)
		return
	}
	if e := c.admit(now, link, key, o); e != nil {
		c.refused[e.Code]++
		c.tombs.add(now, key, false)
		c.verdict(link, key, e)
		return
	}
	c.counters.Accepted++
	c.verdict(link, key, nil)
	c.schedule(now)
}

func (c *Core) verdict(link LinkID, key AttemptKey, e *fault.Error) {
	c.fx.Send(link, &wire.OfferResponse{ID: key.RequestID, Attempt: key.Attempt, Fault: wire.EncodeFault(e), Load: c.Load()})
}

// admit checks an offer and puts it where it waits.
func (c *Core) admit(now time.Time, link LinkID, key AttemptKey, o *wire.Offer) *fault.Error {
	if c.tombs.has(now, key) {
		c.counters.Tombstoned++
		return fault.New(fault.RequestNotHeld, "the attempt was withdrawn before it arrived").WithOutcome(fault.NotRun)
	}
	if c.draining {
		return fault.New(fault.Draining, "the backend server is leaving").WithOutcome(fault.NotRun)
	}
	if !c.serving(o.Target) {
		return fault.New(fault.NoBackendServer, "%q is not loaded here", o.Target).WithOutcome(fault.NotRun)
	}
	if len(c.held) >= c.cfg.MaxAttempts {
		return fault.New(fault.RecordsFull, "%d requests are held already", len(c.held)).
			WithOutcome(fault.NotRun).WithRetryAfter(c.queue.RetryAfter(int(o.Tier)))
	}
	a := &attempt{key: key, offer: o, link: link, buf: answer.NewBuffer(o.ChunksDelivered, o.SendWindow), made: o.ChunksDelivered,
		text: []byte(o.DeliveredText), runBy: now.Add(millis(o.RunTimeoutMS))}
	if o.IdempotencyKey == "" {
		if e := c.enqueue(now, a); e != nil {
			return e
		}
	} else if e := c.admitKeyed(now, a); e != nil {
		return e
	}
	c.held[key] = a
	c.fx.Use(link, 1)
	return nil
}

// attach moves an attempt to a link; 0 leaves it without one.
func (c *Core) attach(a *attempt, link LinkID) {
	if a.link != 0 {
		c.fx.Use(a.link, -1)
	}
	if link != 0 {
		c.fx.Use(link, 1)
	}
	a.link = link
	a.orphaned = time.Time{}
}

func (c *Core) enqueue(now time.Time, a *attempt) *fault.Error {
	o := a.offer
	job := &admission.Job{ID: o.ID, Tier: min(int(o.Tier), admission.Tiers-1), Flow: o.Team, Cost: float64(o.MaxTokens),
		Floor: o.Floor, FirstTokenTarget: millis(o.FirstTokenTargetMS), Preemptible: o.Preemptible && o.Retryable,
		StartDeadline: now.Add(millis(o.StartTimeoutMS))}
	if e := c.queue.Enqueue(now, job); e != nil {
		return e
	}
	a.job, a.phase = job, queued
	c.byJob[job] = a
	return nil
}

// schedule starts what can start and preempts what must give way.
func (c *Core) schedule(now time.Time) {
	for {
		if job, ok := c.queue.Next(now); ok {
			c.start(c.byJob[job])
			continue
		}
		victim := c.queue.Preempt(now)
		if victim == nil {
			return
		}
		a := c.byJob[victim]
		c.fx.Stop(a.key, a.run)
		a.phase = queued
		c.counters.Preempted++
	}
}

func (c *Core) start(a *attempt) {
	a.phase = running
	a.run++
	if a.entry != nil {
		a.entry.Phase = receipt.Running
	}
	c.counters.Started++
	c.fx.Start(Run{Key: a.key, Number: a.run, Offer: a.offer, GeneratedTokens: a.made, GeneratedText: string(a.text)})
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
