// Package receipt ensures that a call with an idempotency key runs at most once
// within the key's window.
//
// Each key has a home agent, which runs its calls and records them, and a witness
// agent, which records that the home has claimed the key. Both are chosen by
// rendezvous hashing over the declared servers. A claim is recorded by the
// witness, or on the platform's log while the witness is unreachable. Records are
// kept in memory, so an agent loses them on a restart. It then runs a key only if
// the witness's record and the log show that this is safe; otherwise it refuses
// the call and reports when to try again.
//
// The package does no I/O, and the current time is passed in as an argument.
package receipt

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

const (
	// MaxEntries bounds the number of keys in a Store.
	MaxEntries = 200_000
	// MaxStoredBodyBytes is the size of the largest answer stored for repeats.
	MaxStoredBodyBytes = 64 << 10
)

// Phase is the progress of the call of a key.
type Phase uint8

const (
	Claiming       Phase = iota // being claimed, not started
	Running                     // started at the backend server
	Completed                   // ended with an answer
	OutcomeUnknown              // may have run, result unknown
)

// Result is the answer of a completed call.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyDropped reports that the answer was too large to be stored.
	BodyDropped bool
}

// Entry is an agent's record of a key.
type Entry struct {
	Digest uint64
	Phase  Phase
	Result Result
	holder string // on a witness: who claimed the key; otherwise empty
	// covered reports whether the witness's records covered the window when
	// it recorded the claim. If not, repeating the claim does not grant it.
	windowCovered bool
	expiresAt     time.Time
}

// Store holds an agent's records of keys, both as their home and as a witness.
type Store struct {
	start time.Time
	// witnessSince is when the set of keys this agent witnesses last changed,
	// which happens when the servers of a pool change. It is not before start.
	witnessSince     time.Time
	witnessFromStart bool
	firstProcess     bool              // no earlier process of this agent can have run a key
	logRead          bool              // the claims on the log have been read since start
	homeEntries      map[string]*Entry // as home, by key
	witnessClaims    map[string]*Entry // as witness, by key
	expiryQueue      []expiryItem      // in order of insertion
}

type expiryItem struct {
	key     string
	isClaim bool
}

// NewStore returns an empty Store for an agent process started at the given time.
func NewStore(start time.Time) *Store {
	return &Store{start: start, witnessSince: start, homeEntries: map[string]*Entry{}, witnessClaims: map[string]*Entry{}}
}

// SetFirstProcess notes that the log shows no earlier process of this agent.
// serversUnchanged reports that the servers of its pools have never changed
// either, so that it has been the witness of its keys from the start.
func (s *Store) SetFirstProcess(serversUnchanged bool) {
	s.firstProcess = true
	s.witnessFromStart = serversUnchanged && s.witnessSince.Equal(s.start)
}

// ServersChanged notes that the servers of a pool changed. For the length of the
// window, claims of keys that this agent now witnesses may be recorded by another.
func (s *Store) ServersChanged(now time.Time) {
	s.witnessSince, s.witnessFromStart = now, false
}

// WitnessCovers reports whether this agent's records as a witness cover the window.
func (s *Store) WitnessCoversWindow(now time.Time, window time.Duration) bool {
	return s.witnessFromStart || now.Sub(s.witnessSince) >= window
}

// ClaimedByOther reports whether this agent, as a witness, recorded a claim of the
// key by another agent. The key may have run there before its home moved here.
func (s *Store) ClaimedByOther(now time.Time, key string) bool {
	e := s.witnessClaims[key]
	return e != nil && now.Before(e.expiresAt)
}

// SetLogRead notes that all claims on the log were passed to AddLoggedClaim.
func (s *Store) SetLogRead() { s.logRead = true }

// Len returns the number of recorded keys and claims.
func (s *Store) Len() int { return len(s.homeEntries) + len(s.witnessClaims) }

// Covers reports whether the records of this process cover the whole window.
func (s *Store) CoversWindow(now time.Time, window time.Duration) bool {
	return s.firstProcess || now.Sub(s.start) >= window
}

// timeToCoverage returns the time until the records cover the window.
func (s *Store) timeToCoverage(now time.Time, window time.Duration) time.Duration {
	return max(0, window-now.Sub(s.start))
}

// Lookup returns the entry of a key, or nil if there is none. It returns a fault
// with code IdempotencyKeyConflict if the key was used with a different body.
func (s *Store) Lookup(now time.Time, key string, digest uint64) (*Entry, *fault.Error) {
	s.evictExpired(now)
	e := s.homeEntries[key]
	if e == nil || !now.Before(e.expiresAt) {
		return nil, nil
	}
	if e.Digest != digest {
		return nil, fault.New(fault.IdempotencyKeyConflict, "idempotency key was already used with a different request body").
			WithField("Idempotency-Key").WithOutcome(fault.NotRun)
	}
	return e, nil
}

// Reserve adds an entry for a key that is about to be claimed.
func (s *Store) Reserve(now time.Time, key string, digest uint64, window time.Duration) (*Entry, *fault.Error) {
	if s.Len() >= MaxEntries {
		return nil, fault.New(fault.IdempotencyStoreFull, "idempotency store is full: %d keys", s.Len()).
			WithOutcome(fault.NotRun).WithRetryAfter(window)
	}
	e := &Entry{Digest: digest, expiresAt: now.Add(window)}
	s.homeEntries[key] = e
	s.expiryQueue = append(s.expiryQueue, expiryItem{key, false})
	return e, nil
}

// AddLoggedClaim adds an entry for a claim read from the log. Its call may have run.
func (s *Store) AddLoggedClaim(now time.Time, key string, digest uint64, window time.Duration) {
	if _, known := s.homeEntries[key]; known || s.Len() >= MaxEntries {
		return
	}
	s.homeEntries[key] = &Entry{Digest: digest, Phase: OutcomeUnknown, expiresAt: now.Add(window)}
	s.expiryQueue = append(s.expiryQueue, expiryItem{key, false})
}

// Delete removes a key whose call was never started.
func (s *Store) Delete(key string) { delete(s.homeEntries, key) }

// Complete stores the answer of a call for repeats.
func (e *Entry) Complete(r Result) {
	if len(r.Body) > MaxStoredBodyBytes {
		r.Body, r.BodyDropped = nil, true
	}
	e.Phase, e.Result = Completed, r
}

// HandleClaim records a claim as a witness and returns the reply. The claim is
// recorded even if the witness cannot vouch that the key is new, so that its
// records are complete for later claims.
func (s *Store) HandleClaim(now time.Time, c *wire.ClaimRequest) *wire.ClaimResponse {
	s.evictExpired(now)
	window := time.Duration(c.RetentionMS) * time.Millisecond
	out := &wire.ClaimResponse{Seq: c.Seq, Result: wire.ClaimGranted}
	canVouch := s.WitnessCoversWindow(now, window)
	if e := s.homeEntries[c.Key]; e != nil && now.Before(e.expiresAt) && e.Phase != Claiming {
		out.Result = wire.ClaimTaken // ran here while this agent was the home
		return out
	}
	old := s.witnessClaims[c.Key]
	switch {
	case old != nil && now.Before(old.expiresAt) && old.holder != c.Holder:
		out.Result = wire.ClaimTaken
		return out
	case old != nil && now.Before(old.expiresAt):
		canVouch = old.windowCovered
	case s.Len() >= MaxEntries:
		canVouch = false
	default:
		s.witnessClaims[c.Key] = &Entry{Digest: c.Digest, holder: c.Holder, windowCovered: canVouch, expiresAt: now.Add(window)}
		s.expiryQueue = append(s.expiryQueue, expiryItem{c.Key, true})
	}
	if !canVouch {
		out.Result, out.RetryAfterMS = wire.ClaimNotReady, max(0, window-now.Sub(s.witnessSince)).Milliseconds()
	}
	return out
}

// evictExpired removes expired entries in insertion order. An entry with a long
// window delays the removal of shorter ones after it; MaxEntries bounds the cost.
func (s *Store) evictExpired(now time.Time) {
	for len(s.expiryQueue) > 0 {
		head := s.expiryQueue[0]
		m := s.homeEntries
		if head.isClaim {
			m = s.witnessClaims
		}
		if e := m[head.key]; e != nil {
			if now.Before(e.expiresAt) || e.Phase == Running || (e.Phase == Claiming && e.holder == "") {
				return
			}
			delete(m, head.key)
		}
		s.expiryQueue = s.expiryQueue[1:]
	}
}

// WitnessReply is the result of sending a claim to the witness.
type WitnessReply uint8

const (
	WitnessGranted WitnessReply = iota
	WitnessTaken
	WitnessNotReady
	WitnessUnreachable
	NoWitness // the pool has only one server; claims are always recorded on the log
)

// Decision is what the home agent does with a key it has no entry for.
type Decision uint8

const (
	Run             Decision = iota // start the call
	RunAfterLogging                 // start the call once the claim is on the log
	MayHaveRun                      // the call may already have run
	Refuse                          // nobody can tell whether the call already ran
)

// Decide returns what the home agent must do after asking the witness. It never
// returns Run or RunAfterLogging if an earlier call of the key within the window
// could be unknown to the home. Before a call starts, its claim is recorded by the
// witness or, if the witness is unreachable, on the log. A home whose records do
// not cover the window therefore needs both the witness's grant and the log.
//
// moved reports that another agent was the home of the key within the window.
func (s *Store) Decide(now time.Time, window time.Duration, reply WitnessReply, moved bool) Decision {
	covers := s.CoversWindow(now, window) && !moved
	switch reply {
	case WitnessTaken:
		return MayHaveRun
	case WitnessGranted:
		if covers || s.logRead {
			return Run
		}
	case WitnessNotReady:
		if covers {
			return Run
		}
	case WitnessUnreachable:
		if covers {
			return RunAfterLogging
		}
	case NoWitness:
		if covers || s.logRead {
			return RunAfterLogging
		}
	}
	return Refuse
}

// RefusalFault returns the fault for the decision Refuse.
func (s *Store) RefusalFault(now time.Time, window time.Duration) *fault.Error {
	return fault.New(fault.IdempotentResultUnknown, "cannot tell after a restart whether the idempotency key was already used").
		WithField("Idempotency-Key").WithOutcome(fault.NotRun).WithRetryAfter(max(time.Second, s.timeToCoverage(now, window)))
}

// String returns the label value for metrics.
func (r WitnessReply) String() string {
	return [...]string{"granted", "taken", "cannot_vouch", "unreachable", "none"}[r]
}
