// Package receipt keeps calls that may not be repeated to one run each.
//
// Each idempotency key has a home agent, which runs its calls and remembers
// them, and a witness agent, which remembers that the home claimed the key.
// Both are found by rendezvous hash over the declared servers. A claim is kept
// by the witness, or on the platform's log while the witness can't be reached.
// An agent that restarted lost its memory: it then runs a key only on the word
// of those who kept theirs, and otherwise refuses and says when it can answer.
//
// The package is pure: time comes in as an argument.
package receipt

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// Bounds of a Book.
const (
	// MaxEntries bounds the keys that are remembered at once.
	MaxEntries = 200_000
	// MaxKeptBody is the largest answer kept for repeats, bytes.
	MaxStoredBodyBytes = 64 << 10
)

// Phase is how far the call of a key has come.
type Phase uint8

// The phases.
const (
	Claiming       Phase = iota // being claimed; not started
	Running                     // started at the backend server
	Done                        // ended with an answer
	OutcomeUnknown              // started, and nobody knows how it ended
)

// Result is the answer of a finished call.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped says that the answer was too large to keep.
	BodyDropped bool
}

// Entry is what an agent remembers of a key.
type Entry struct {
	Digest uint64
	Phase  Phase
	Result Result
	holder string // set on a witness: who claimed the key
	// vouched says that the witness's memory covered the window when it
	// recorded the claim. A claim recorded without does not become a grant
	// by being asked for again.
	vouched bool
	expires time.Time
}

// Book is an agent's memory of keys, as their home and as a witness.
type Store struct {
	start time.Time
	// witnessSince is when this agent's role as a witness last changed, as a
	// change of the pool's servers does. It is after start.
	witnessSince   time.Time
	witnessNewborn bool
	newborn        bool // no earlier process of this agent can have run a key
	logRead        bool // the claims on the log were read since the start
	entries        map[string]*Entry
	claims         map[string]*Entry
	order          []expiry // in order of insertion; swept from the front
}

type expiry struct {
	key   string
	claim bool
}

// NewBook returns the empty memory of an agent that started at the given time.
func NewStore(start time.Time) *Store {
	return &Store{start: start, witnessSince: start, entries: map[string]*Entry{}, claims: map[string]*Entry{}}
}

// SetNewborn says that the log shows no earlier process of this agent; witness
// says that the servers of its pools never changed either, so that it was the
// witness of its keys from the first.
func (b *Store) SetFirstProcess(witness bool) {
	b.newborn = true
	b.witnessNewborn = witness && b.witnessSince.Equal(b.start)
}

// ServersChanged says that the servers of a pool changed: claims of keys that
// this agent now witnesses may be with another one until the window has passed.
func (b *Store) ServersChanged(now time.Time) {
	b.witnessSince, b.witnessNewborn = now, false
}

// Witnesses reports whether this agent's memory as a witness covers the window.
func (b *Store) WitnessCovers(now time.Time, window time.Duration) bool {
	return b.witnessNewborn || now.Sub(b.witnessSince) >= window
}

// HeldByOther reports whether this agent witnessed that another one claimed
// the key. Such a key may have run there before its home moved here.
func (b *Store) ClaimedByOther(now time.Time, key string) bool {
	e := b.claims[key]
	return e != nil && now.Before(e.expires)
}

// SetLogRead says that the claims on the log were read and given to Remember.
func (b *Store) SetLogRead() { b.logRead = true }

// Len returns the number of keys remembered.
func (b *Store) Len() int { return len(b.entries) + len(b.claims) }

// Remembers reports whether this process's memory covers the whole window.
func (b *Store) Covers(now time.Time, window time.Duration) bool {
	return b.newborn || now.Sub(b.start) >= window
}

// untilRemembers returns how long until the memory covers the window.
func (b *Store) untilRemembers(now time.Time, window time.Duration) time.Duration {
	return max(0, window-now.Sub(b.start))
}

// Lookup returns the entry of a key. Another body under the same key is a
// fault of code KeyConflict.
func (b *Store) Lookup(now time.Time, key string, digest uint64) (*Entry, *fault.Error) {
	b.sweep(now)
	e := b.entries[key]
	if e == nil || !now.Before(e.expires) {
		return nil, nil
	}
	if e.Digest != digest {
		return nil, fault.New(fault.IdempotencyKeyConflict, "the key was used with another body").
			WithField("Idempotency-Key").WithOutcome(fault.NotRun)
	}
	return e, nil
}

// Begin remembers a key that is about to be claimed.
func (b *Store) Reserve(now time.Time, key string, digest uint64, window time.Duration) (*Entry, *fault.Error) {
	if b.Len() >= MaxEntries {
		return nil, fault.New(fault.RecordsFull, "%d keys are remembered already", b.Len()).
			WithOutcome(fault.NotRun).WithRetryAfter(window)
	}
	e := &Entry{Digest: digest, expires: now.Add(window)}
	b.entries[key] = e
	b.order = append(b.order, expiry{key, false})
	return e, nil
}

// Remember takes in a claim read from the log: its call may have run.
func (b *Store) AddLoggedClaim(now time.Time, key string, digest uint64, window time.Duration) {
	if _, known := b.entries[key]; known || b.Len() >= MaxEntries {
		return
	}
	b.entries[key] = &Entry{Digest: digest, Phase: OutcomeUnknown, expires: now.Add(window)}
	b.order = append(b.order, expiry{key, false})
}

// Forget drops a key whose call was never started.
func (b *Store) Delete(key string) { delete(b.entries, key) }

// Finish keeps the answer of a call for repeats.
func (e *Entry) Complete(r Result) {
	if len(r.Body) > MaxStoredBodyBytes {
		r.Body, r.BodyDropped = nil, true
	}
	e.Phase, e.Result = Done, r
}

// Grant answers a claim as a witness. A claim is recorded even when the
// witness can't vouch, so that it can vouch for it later.
func (b *Store) HandleClaim(now time.Time, c *wire.ClaimRequest) *wire.ClaimResponse {
	b.sweep(now)
	window := time.Duration(c.RetentionMS) * time.Millisecond
	out := &wire.ClaimResponse{Seq: c.Seq, Result: wire.ClaimGranted}
	vouches := b.WitnessCovers(now, window)
	if e := b.entries[c.Key]; e != nil && now.Before(e.expires) && e.Phase != Claiming {
		out.Result = wire.ClaimTaken // it ran here while this agent was its home
		return out
	}
	old := b.claims[c.Key]
	switch {
	case old != nil && now.Before(old.expires) && old.holder != c.Holder:
		out.Result = wire.ClaimTaken
		return out
	case old != nil && now.Before(old.expires):
		vouches = old.vouched
	case b.Len() >= MaxEntries:
		vouches = false
	default:
		b.claims[c.Key] = &Entry{Digest: c.Digest, holder: c.Holder, vouched: vouches, expires: now.Add(window)}
		b.order = append(b.order, expiry{c.Key, true})
	}
	if !vouches {
		out.Result, out.RetryAfterMS = wire.ClaimNotReady, max(0, window-now.Sub(b.witnessSince)).Milliseconds()
	}
	return out
}

// sweep forgets expired keys from the front. Keys with a long window hold
// back shorter ones behind them; MaxEntries bounds what that costs.
func (b *Store) sweep(now time.Time) {
	for len(b.order) > 0 {
		head := b.order[0]
		m := b.entries
		if head.claim {
			m = b.claims
		}
		if e := m[head.key]; e != nil {
			if now.Before(e.expires) || e.Phase == Running || (e.Phase == Claiming && e.holder == "") {
				return
			}
			delete(m, head.key)
		}
		b.order = b.order[1:]
	}
}

// Word is what came of asking the witness.
type WitnessReply uint8

// The words.
const (
	WitnessGranted WitnessReply = iota
	WitnessTaken
	WitnessCannotVouch
	WitnessUnreachable
	NoWitness // the pool has one server: claims are always on the log
)

// Decision is what the home agent does with a key it does not remember.
type Decision uint8

// The decisions.
const (
	Run             Decision = iota // start the call
	RunAfterLogging                 // start it once the claim is on the log
	AlreadyRan                      // an earlier process of the home may have run it
	Refuse                          // nobody can vouch
)

// Decide is the rule of the home agent. It never gives Run or RunOnceKept when
// an earlier call of the key within the window could be unknown to it:
//
//   - a claim is kept by the witness, or on the log when the witness could not
//     be reached, before the call starts;
//   - so an agent without memory needs both the witness's word and the log.
//
// moved says that another agent was the key's home within the window.
func (b *Store) Decide(now time.Time, window time.Duration, word WitnessReply, moved bool) Decision {
	remembers := b.Covers(now, window) && !moved
	switch word {
	case WitnessTaken:
		return AlreadyRan
	case WitnessGranted:
		if remembers || b.logRead {
			return Run
		}
	case WitnessCannotVouch:
		if remembers {
			return Run
		}
	case WitnessUnreachable:
		if remembers {
			return RunAfterLogging
		}
	case NoWitness:
		if remembers || b.logRead {
			return RunAfterLogging
		}
	}
	return Refuse
}

// RefuseFault is the answer to a key that nobody can vouch for.
func (b *Store) RefusalFault(now time.Time, window time.Duration) *fault.Error {
	return fault.New(fault.IdempotentResultUnknown, "after a restart nobody can tell whether the key was used before").
		WithField("Idempotency-Key").WithOutcome(fault.NotRun).WithRetryAfter(max(time.Second, b.untilRemembers(now, window)))
}

// String returns the word for metrics.
func (w WitnessReply) String() string {
	return [...]string{"granted", "taken", "cannot_vouch", "unreachable", "none"}[w]
}
