package registry

import (
	"sync"
	"sync/atomic"
	"time"
)

// Backend is one start of a backend server as this process sees it. It is safe
// for concurrent use.
type Backend struct {
	entry atomic.Pointer[Server]

	mu       sync.Mutex
	running  int   // own requests in progress
	tokens   int64 // prompt tokens of own requests that wait for their first token
	reported Load
	queue    Queue
	failures int // failures in a row
	avoid    time.Time
	errors   rate
}

// Load is what a backend server says of its load.
type Load struct {
	Running, Waiting, Slots int
	At                      time.Time // zero: nothing was said yet
}

// Queue is what the agent beside a backend server says of its work.
type Queue struct {
	Backlog         int // prompt tokens that are granted or queued and not read
	TokensPerSecond int
	At              time.Time
}

// Wait returns how long the backlog takes from now on. It is taken to have been
// worked off since it was told.
func (q Queue) Wait(now time.Time) time.Duration {
	if q.TokensPerSecond == 0 {
		return 0
	}
	whole := time.Duration(float64(q.Backlog) / float64(q.TokensPerSecond) * float64(time.Second))
	return max(0, whole-now.Sub(q.At))
}

// server returns the entry.
func (b *Backend) server() *Server { return b.entry.Load() }

// Server returns what the backend server has registered.
func (b *Backend) Server() Server { return *b.entry.Load() }

// Begin counts a request that is sent to the backend server. Unread are the
// prompt tokens that it is expected to read first.
func (b *Backend) Begin(unread int) {
	b.mu.Lock()
	b.running++
	b.tokens += int64(unread)
	b.mu.Unlock()
}

// FirstToken counts the end of a request's prompt reading.
func (b *Backend) FirstToken(unread int) {
	b.mu.Lock()
	b.tokens -= int64(unread)
	b.mu.Unlock()
}

// End counts the end of a request.
func (b *Backend) End() {
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
}

// Report takes in what the backend server said of its load.
func (b *Backend) Report(l Load) {
	b.mu.Lock()
	b.reported = l
	b.mu.Unlock()
}

// Queue takes in what the agent beside the backend server said.
func (b *Backend) Queue(q Queue) {
	b.mu.Lock()
	b.queue = q
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
	// errorMemory is the time constant of the share of failed requests. At the
	// tens of requests a second that a backend server gets it covers enough of
	// them to tell a share of 0.3 from chance.
	errorMemory = 3 * time.Second
)

// Failed counts a request that the backend server did not answer as it should.
// Unreachable failures make it passed over for a while.
func (b *Backend) Failed(now time.Time, unreachable bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.errors.add(now, true)
	if !unreachable {
		return
	}
	wait := min(firstAvoidance<<min(b.failures, 8), longestAvoidance)
	b.failures++
	b.avoid = now.Add(wait)
}

// Answered counts a request that the backend server answered.
func (b *Backend) Answered(now time.Time) {
	b.mu.Lock()
	b.errors.add(now, false)
	b.failures = 0
	b.avoid = time.Time{}
	b.mu.Unlock()
}

// View is a backend server at one moment, for placement.
type View struct {
	Running int   // own requests in progress
	Unread  int64 // prompt tokens of own requests before their first token
	Load    Load
	// Wait is the agent's backlog as it is expected to be by now.
	Wait time.Duration
	// Avoided servers could not be reached lately.
	Avoided bool
	// ErrorShare is the share of recent requests that failed, 0 to 1.
	ErrorShare float64
}

// View returns the state at now.
func (b *Backend) View(now time.Time) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return View{Running: b.running, Unread: b.tokens, Load: b.reported, Wait: b.queue.Wait(now),
		Avoided: now.Before(b.avoid), ErrorShare: b.errors.share(now)}
}

// rate is a share of failures with exponential forgetting.
type rate struct {
	failed, all float64
	at          time.Time
}

// priorAnswers stands for answers not seen yet, so that one failure of a quiet
// server does not count as a share of 1.
const priorAnswers = 4

func (r *rate) add(now time.Time, failed bool) {
	r.forget(now)
	r.all++
	if failed {
		r.failed++
	}
}

func (r *rate) forget(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		keep := decay(elapsed)
		r.failed *= keep
		r.all *= keep
		r.at = now
	}
}

func (r *rate) share(now time.Time) float64 {
	r.forget(now)
	return r.failed / (r.all + priorAnswers)
}
