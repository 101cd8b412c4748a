package registry

import (
	"sync"
	"sync/atomic"
	"time"
)

// Backend is one start of a backend server as this process sees it. It is safe
// for concurrent use.
type Backend struct {
	entry    atomic.Pointer[Server]
	mu       sync.Mutex
	running  int   // own requests in progress
	tokens   int64 // prompt tokens of own requests that wait for their first token
	reported Load
	failures int // failures in a row
	avoid    time.Time
	errors   FailureRate
}

// Load is what a backend server says of its load.
type Load struct {
	Running, Waiting, Slots int
	At                      time.Time // zero: nothing was said yet
}

// server returns the entry.
func (b *Backend) server() *Server { return b.entry.Load() }

// Server returns what the backend server has registered.
func (b *Backend) Server() Server { return *b.entry.Load() }

// Begin counts a request that is sent to the backend server. Unread are the
// prompt tokens that it is expected to read first.
func (b *Backend) BeginRequest(unread int) {
	b.mu.Lock()
	b.running++
	b.tokens += int64(unread)
	b.mu.Unlock()
}

// FirstToken counts the end of a request's prompt reading.
func (b *Backend) RecordFirstToken(unread int) {
	b.mu.Lock()
	b.tokens -= int64(unread)
	b.mu.Unlock()
}

// End counts the end of a request.
func (b *Backend) EndRequest() {
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
}

// Report takes in what the backend server said of its load.
func (b *Backend) RecordLoad(l Load) {
	b.mu.Lock()
	b.reported = l
	b.mu.Unlock()
}

const (
	// firstAvoidance is how long a backend server that could not be reached is
	// passed over after its first failure in a row; each further one doubles it.
	// It is a little above a round trip between failure domains and a process
	// restart, so that a single reset costs little.
	firstAvoidance = 250 * time.Millisecond
	// longestAvoidance bounds it, so that a server that is back serves again
	// within about the two seconds that a lapsed registration takes.
	longestAvoidance = 2 * time.Second
	// goneFor is above the three missed heartbeats of 1.2 s after which the entry of
	// a server that is gone lapses.
	goneFor = 5 * time.Second
)

// Failed counts a request that the backend server did not answer as it should.
// Unreachable failures make it passed over for a while.
func (b *Backend) RecordFailure(now time.Time, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.errors.Add(now, true)
	if !unreachable {
		return
	}
	wait := min(firstAvoidance<<min(b.failures, 8), longestAvoidance)
	b.failures++
	b.avoid = now.Add(wait)
}

// Gone records that another start answers at the address: nothing is sent there
// until the list says so too, or goneFor has passed.
func (b *Backend) RecordReplaced(now time.Time) {
	b.mu.Lock()
	b.avoid = now.Add(goneFor)
	b.mu.Unlock()
}

// Answered counts a request that the backend server answered.
func (b *Backend) RecordSuccess(now time.Time) {
	b.mu.Lock()
	b.errors.Add(now, false)
	b.failures = 0
	b.avoid = time.Time{}
	b.mu.Unlock()
}

// View is a backend server at one moment, for placement.
type View struct {
	InFlight     int   // own requests in progress
	UnreadTokens int64 // prompt tokens of own requests before their first token
	Load         Load  // zero if nothing was said lately
	// Avoided servers could not be reached lately.
	Avoided bool
	// ErrorShare is the share of recent requests that failed, 0 to 1.
	ErrorRate float64
}

// reportFor is how long what a backend server said of its load is looked at: a gateway
// hears of each of 50 engines about once in two seconds.
const reportFor = 3 * time.Second

// View returns the state at now.
func (b *Backend) View(now time.Time) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	reported := b.reported
	if now.Sub(reported.At) > reportFor {
		reported = Load{}
	}
	return View{InFlight: b.running, UnreadTokens: b.tokens, Load: reported,
		Avoided: now.Before(b.avoid), ErrorRate: b.errors.Rate(now)}
}
