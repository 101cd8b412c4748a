package registry

import (
	"sync"
	"sync/atomic"
	"time"
)

// Backend is the state that this process has observed of one instance of a backend server. It is
// safe for concurrent use.
type Backend struct {
	entry               atomic.Pointer[Server]
	mu                  sync.Mutex
	inFlight            int   // requests of this process in progress
	unreadTokens        int64 // prompt tokens of those requests that have not produced a first token
	lastLoad            Load
	consecutiveFailures int
	avoidUntil          time.Time
	errorRate           FailureRate
}

// Load is the load that a backend server reports.
type Load struct {
	Running, Waiting, Slots int
	At                      time.Time // when it was reported, zero if never
}

func (b *Backend) server() *Server { return b.entry.Load() }

// Server returns the server's registration.
func (b *Backend) Server() Server { return *b.entry.Load() }

// BeginRequest records a request that is sent to the backend server. promptTokens is the number of
// prompt tokens that the server is expected to process before the first token.
func (b *Backend) BeginRequest(promptTokens int) {
	b.mu.Lock()
	b.inFlight++
	b.unreadTokens += int64(promptTokens)
	b.mu.Unlock()
}

// RecordFirstToken records that the server has processed a request's prompt.
func (b *Backend) RecordFirstToken(promptTokens int) {
	b.mu.Lock()
	b.unreadTokens -= int64(promptTokens)
	b.mu.Unlock()
}

// EndRequest records the end of a request.
func (b *Backend) EndRequest() {
	b.mu.Lock()
	b.inFlight--
	b.mu.Unlock()
}

// RecordLoad records the load that the backend server has reported.
func (b *Backend) RecordLoad(l Load) {
	b.mu.Lock()
	b.lastLoad = l
	b.mu.Unlock()
}

const (
	// initialAvoidance is how long an unreachable backend server is avoided after the first of
	// several consecutive failures. The time doubles with each further one. It is slightly longer
	// than a round trip between failure domains and a process restart, so that a single connection
	// reset costs little capacity.
	initialAvoidance = 250 * time.Millisecond
	// maxAvoidance limits this time, so that a server that is reachable again gets requests within
	// about two seconds, the time after which a registration expires.
	maxAvoidance = 2 * time.Second
	// replacedAvoidance is how long a backend is avoided after another instance has answered at its
	// address. It is longer than three missed heartbeats of 1.2 s, after which the registration of
	// a stopped server expires.
	replacedAvoidance = 5 * time.Second
)

// RecordFailure records a failed request to the backend server. If the server was unreachable, it
// is avoided temporarily.
func (b *Backend) RecordFailure(now time.Time, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.errorRate.Add(now, true)
	if !unreachable {
		return
	}
	avoidance := min(initialAvoidance<<min(b.consecutiveFailures, 8), maxAvoidance)
	b.consecutiveFailures++
	b.avoidUntil = now.Add(avoidance)
}

// RecordReplaced records that another instance answers at the address. The backend is avoided until
// the server list is updated, or for replacedAvoidance.
func (b *Backend) RecordReplaced(now time.Time) {
	b.mu.Lock()
	b.avoidUntil = now.Add(replacedAvoidance)
	b.mu.Unlock()
}

// RecordSuccess records a request that the backend server answered. The server is no longer
// avoided.
func (b *Backend) RecordSuccess(now time.Time) {
	b.mu.Lock()
	b.errorRate.Add(now, false)
	b.consecutiveFailures = 0
	b.avoidUntil = time.Time{}
	b.mu.Unlock()
}

// View is a snapshot of a backend server's state, for placement decisions.
type View struct {
	InFlight     int   // requests of this process in progress
	UnreadTokens int64 // prompt tokens of those requests that have not produced a first token
	Load         Load  // zero if no load was reported recently
	// Avoided is set if the server was unreachable recently. It is avoided for AvoidedFor.
	Avoided    bool
	AvoidedFor time.Duration
	// ErrorRate is the fraction of recent requests that failed, 0 to 1.
	ErrorRate float64
}

// loadReportTTL is how long a reported load is used. With 50 servers, a gateway receives a report
// from each about every two seconds.
const loadReportTTL = 3 * time.Second

// View returns the state at the given time.
func (b *Backend) View(now time.Time) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	load := b.lastLoad
	if now.Sub(load.At) > loadReportTTL {
		load = Load{}
	}
	return View{InFlight: b.inFlight, UnreadTokens: b.unreadTokens, Load: load,
		Avoided: now.Before(b.avoidUntil), AvoidedFor: max(b.avoidUntil.Sub(now), 0), ErrorRate: b.errorRate.Rate(now)}
}
