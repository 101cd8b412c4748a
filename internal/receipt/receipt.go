// Package receipt ensures that a call with an idempotency key runs at most once
// within the key's window.
//
// Each key has a home agent, which runs the calls with the key and records them, and
// a witness agent, which records that the home has claimed the key. Both are selected
// by rendezvous hashing over the declared servers. Before a call starts, its claim is
// recorded by the witness or, while the witness is unreachable, on the platform's log.
// Agents keep their records in memory and lose them on a restart. Until its records
// cover the window again, a restarted home agent runs a call only if the witness and
// the log show that the key is unused; otherwise it refuses the call and reports when
// to retry.
//
// The package does no I/O, and callers pass in the current time.
package receipt

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

const (
	// MaxEntries is the maximum number of keys and claims in a Store.
	MaxEntries = 200_000
	// MaxStoredBodyBytes is the size of the largest answer that is stored and
	// returned for repeated calls.
	MaxStoredBodyBytes = 64 << 10
)

// Phase is the progress of the call with a key.
type Phase uint8

const (
	Claiming       Phase = iota // the key is being claimed; the call has not started
	Running                     // the call has started at the backend server
	Completed                   // the call ended with an answer
	OutcomeUnknown              // the call may have run; its result is unknown
)

// Result is the answer of a completed call.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	BodyDropped bool // the body was too large to be stored
}

// Entry is an agent's record of a key.
type Entry struct {
	Digest uint64
	Phase  Phase
	Result Result
	holder string // of a witness's entry: the agent process that claimed the key
	// windowCovered reports whether the witness's records covered the window when
	// it recorded the claim. If not, a repeated claim is not granted either.
	windowCovered bool
	expiresAt     time.Time
}

// Store holds an agent's records of keys, both as their home and as their witness. It
// is not safe for concurrent use.
type Store struct {
	start time.Time
	// witnessSince is the time of the last change of the set of keys that this
	// agent is the witness of, or start if there was none. The set changes with
	// the servers of a pool.
	witnessSince     time.Time
	witnessFromStart bool              // the set has not changed since the first process of this agent
	firstProcess     bool              // no earlier process of this agent can have run a call
	logRead          bool              // the claims on the log were read after start
	homeEntries      map[string]*Entry // records as home, by key
	witnessClaims    map[string]*Entry // records as witness, by key
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

// SetFirstProcess records that the log shows no earlier process of this agent.
// serversUnchanged reports that the servers of its pools have never changed either,
// so no other agent was the witness of its keys before.
func (s *Store) SetFirstProcess(serversUnchanged bool) {
	s.firstProcess = true
	s.witnessFromStart = serversUnchanged && s.witnessSince.Equal(s.start)
}

// ServersChanged records that the servers of a pool have changed. Claims of keys that
// this agent is now the witness of may have been recorded by another agent, so its
// records cover a window only after the length of the window has passed.
func (s *Store) ServersChanged(now time.Time) {
	s.witnessSince, s.witnessFromStart = now, false
}

// WitnessCoversWindow reports whether this agent's records as a witness cover the window.
func (s *Store) WitnessCoversWindow(now time.Time, window time.Duration) bool {
	return s.witnessFromStart || now.Sub(s.witnessSince) >= window
}

// ClaimedByOther reports whether this agent, as a witness, recorded a claim of the
// key. Claims come from other agents, so the call may have run at the earlier home of
// the key.
func (s *Store) ClaimedByOther(now time.Time, key string) bool {
	e := s.witnessClaims[key]
	return e != nil && now.Before(e.expiresAt)
}

// SetLogRead records that all claims on the log have been passed to AddLoggedClaim.
func (s *Store) SetLogRead() { s.logRead = true }

// Len returns the number of recorded keys and claims.
func (s *Store) Len() int { return len(s.homeEntries) + len(s.witnessClaims) }

// CoversWindow reports whether this agent's records as a home cover the whole window.
func (s *Store) CoversWindow(now time.Time, window time.Duration) bool {
	return s.firstProcess || now.Sub(s.start) >= window
}

// timeToCoverage returns the time until the records as a home cover the window.
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

// Reserve adds an entry for a key that is about to be claimed. It returns a fault with
// code IdempotencyStoreFull if the Store has no room.
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

// AddLoggedClaim adds an entry for a claim that was read from the log. The call with
// this claim may have run.
func (s *Store) AddLoggedClaim(now time.Time, key string, digest uint64, window time.Duration) {
	if _, known := s.homeEntries[key]; known || s.Len() >= MaxEntries {
		return
	}
	s.homeEntries[key] = &Entry{Digest: digest, Phase: OutcomeUnknown, expiresAt: now.Add(window)}
	s.expiryQueue = append(s.expiryQueue, expiryItem{key, false})
}

// Delete removes the entry of a key whose call was never started.
func (s *Store) Delete(key string) { delete(s.homeEntries, key) }

// Complete stores the answer of the call, which is returned for repeated calls.
func (e *Entry) Complete(r Result) {
	if len(r.Body) > MaxStoredBodyBytes {
		r.Body, r.BodyDropped = nil, true
	}
	e.Phase, e.Result = Completed, r
}

// HandleClaim records a claim as a witness and returns the response. The claim is
// recorded even if the witness cannot rule out an earlier claim of the key, so that
// its records are complete for later claims.
func (s *Store) HandleClaim(now time.Time, c *wire.ClaimRequest) *wire.ClaimResponse {
	s.evictExpired(now)
	window := time.Duration(c.RetentionMS) * time.Millisecond
	out := &wire.ClaimResponse{Seq: c.Seq, Result: wire.ClaimGranted}
	windowCovered := s.WitnessCoversWindow(now, window)
	if e := s.homeEntries[c.Key]; e != nil && now.Before(e.expiresAt) && e.Phase != Claiming {
		out.Result = wire.ClaimTaken // the call may have run here while this agent was the home of the key
		return out
	}
	old := s.witnessClaims[c.Key]
	switch {
	case old != nil && now.Before(old.expiresAt) && old.holder != c.Holder:
		out.Result = wire.ClaimTaken
		return out
	case old != nil && now.Before(old.expiresAt):
		windowCovered = old.windowCovered
	case s.Len() >= MaxEntries:
		windowCovered = false // the claim can't be recorded
	default:
		s.witnessClaims[c.Key] = &Entry{Digest: c.Digest, holder: c.Holder, windowCovered: windowCovered, expiresAt: now.Add(window)}
		s.expiryQueue = append(s.expiryQueue, expiryItem{c.Key, true})
	}
	if !windowCovered {
		out.Result, out.RetryAfterMS = wire.ClaimNotReady, max(0, window-now.Sub(s.witnessSince)).Milliseconds()
	}
	return out
}

// evictExpired removes expired entries in insertion order. An entry with a long window
// delays the removal of later entries with shorter windows; MaxEntries bounds the
// memory that these use. It stops at an entry of the home whose call has not ended.
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

// WitnessReply is the result of claiming a key at its witness.
type WitnessReply uint8

const (
	WitnessGranted WitnessReply = iota
	WitnessTaken
	WitnessNotReady
	WitnessUnreachable
	NoWitness // the pool has only one server, so claims are always recorded on the log
)

// Decision is what the home agent does with a call whose key it has no record of.
type Decision uint8

const (
	Run             Decision = iota // start the call
	RunAfterLogging                 // start the call after recording the claim on the log
	MayHaveRun                      // the key was claimed before, so its call may have run
	Refuse                          // the records do not show whether the key was claimed before
)

// Decide returns what the home agent must do after claiming the key at its witness. It
// returns Run or RunAfterLogging only if no earlier call with the key within the window
// can be unknown to the home. Earlier claims were recorded by the witness or, if it was
// unreachable, on the log. A home whose own records do not cover the window therefore
// needs both a grant of the witness and the claims on the log.
//
// homeMoved reports that another agent was the home of the key within the window.
func (s *Store) Decide(now time.Time, window time.Duration, reply WitnessReply, homeMoved bool) Decision {
	covers := s.CoversWindow(now, window) && !homeMoved
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

// RefusalFault returns the fault to report for the decision Refuse.
func (s *Store) RefusalFault(now time.Time, window time.Duration) *fault.Error {
	return fault.New(fault.IdempotentResultUnknown, "cannot tell after a restart whether the idempotency key was already used").
		WithField("Idempotency-Key").WithOutcome(fault.NotRun).WithRetryAfter(max(time.Second, s.timeToCoverage(now, window)))
}

// String returns the value of the metric label for r.
func (r WitnessReply) String() string {
	return [...]string{"granted", "taken", "cannot_vouch", "unreachable", "none"}[r]
}
