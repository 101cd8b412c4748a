package quota

import (
	"math"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/resource"
)

// Ask is a router's wish to admit one request of a team. The router that the
// team's name ranks first is the team's home and keeps its Ledger.
type GrantRequest struct {
	Seq    uint64 // of the asking process; names the grant
	Team   string
	Router string // the asking process: name and incarnation
}

// Lent is the home's answer.
type GrantResponse struct {
	Seq     uint64
	Granted bool
	// Rate says that the refusal is for the rate, else for concurrency.
	RateLimited  bool
	RetryAfterMS int64 // until it is worth asking again
}

// Closed tells the home that requests of a team ended. It names the newest few,
// so that a lost datagram is made good by the next.
type ReleaseNotice struct {
	Team   string
	Router string
	Seqs   []uint64
}

// closedKept is how many ended requests a Closed names.
const closedKept = 8

// Ledger is the home's account of its teams' limits. A router that can't reach
// the home falls back to an equal share, so the home holds back the shares of
// the routers it has not heard from lately. It is safe for concurrent use.
//
// The bound: with n routers and the same view of them everywhere, those that
// reach the home and those that don't admit together at most
// rate*t + burst + n requests in a time t.
type HomeLimiter struct {
	mu       sync.Mutex
	start    time.Time
	accounts map[string]*account
	heard    map[string]time.Time // routers, by when they last asked anything
	swept    time.Time
}

type account struct {
	tokens float64
	last   time.Time
	// open is the grants whose requests have not ended, by router and Seq.
	// A router that is not heard any more loses its grants.
	open map[string]map[uint64]bool
}

// NewLedger returns an empty ledger. A home that starts knows nothing of what
// was lent before, so its buckets start empty.
func NewHomeLimiter(now time.Time) *HomeLimiter {
	return &HomeLimiter{start: now, accounts: map[string]*account{}, heard: map[string]time.Time{}, swept: now}
}

const (
	// PingEvery is how often a router tells each other one that it reaches it.
	PingInterval = 30 * time.Second
	// heardFor is how long a router counts as reaching the home after it was
	// heard: two pings may be lost.
	heardFor = 3 * PingInterval
)

// Heard notes that a router reaches this home.
func (l *HomeLimiter) MarkReachable(now time.Time, router string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard[router] = now
}

// Close takes in that requests ended.
func (l *HomeLimiter) Release(c ReleaseNotice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[c.Team]; a != nil {
		for _, seq := range c.Seqs {
			delete(a.open[c.Router], seq)
		}
	}
}

// reach returns the share of the routers that reach this home.
func (l *HomeLimiter) reach(now time.Time, routers int) float64 {
	n := 0
	for r, at := range l.heard {
		if now.Sub(at) < heardFor {
			n++
		} else {
			delete(l.heard, r)
		}
	}
	return math.Min(1, float64(max(1, n))/float64(max(1, routers)))
}

// Lend decides on an ask. routers is the number of live routers.
func (l *HomeLimiter) Acquire(now time.Time, ask GrantRequest, team *resource.Team, routers int) GrantResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	l.heard[ask.Router] = now
	share := l.reach(now, routers)
	a := l.accounts[ask.Team]
	if a == nil {
		a = &account{last: l.start, open: map[string]map[uint64]bool{}}
		l.accounts[ask.Team] = a
	}
	if team.Concurrency > 0 && l.inProgress(a) >= max(1, int(float64(team.Concurrency)*share)) {
		return GrantResponse{Seq: ask.Seq, RetryAfterMS: time.Second.Milliseconds()}
	}
	if wait := a.take(now, team, share); wait > 0 {
		return GrantResponse{Seq: ask.Seq, RateLimited: true, RetryAfterMS: max(1, wait.Milliseconds())}
	}
	if team.Concurrency > 0 {
		if a.open[ask.Router] == nil {
			a.open[ask.Router] = map[uint64]bool{}
		}
		a.open[ask.Router][ask.Seq] = true
	}
	return GrantResponse{Seq: ask.Seq, Granted: true}
}

// inProgress counts an account's grants of routers that are still heard.
func (l *HomeLimiter) inProgress(a *account) int {
	n := 0
	for r, grants := range a.open {
		if _, heard := l.heard[r]; !heard || len(grants) == 0 {
			delete(a.open, r)
			continue
		}
		n += len(grants)
	}
	return n
}

// take takes a token, or returns how long until there is one.
func (a *account) take(now time.Time, team *resource.Team, share float64) time.Duration {
	if team.Rate == 0 {
		a.last = now
		return 0
	}
	rate, burst := team.Rate*share, math.Max(1, float64(team.Burst)*share)
	if dt := now.Sub(a.last).Seconds(); dt > 0 {
		a.tokens = math.Min(burst, a.tokens+dt*rate)
		a.last = now
	}
	if a.tokens < 1 {
		return max(time.Millisecond, time.Duration((1-a.tokens)/rate*float64(time.Second)))
	}
	a.tokens--
	return 0
}

func (l *HomeLimiter) sweep(now time.Time) {
	if now.Sub(l.swept) < forgetAfter {
		return
	}
	l.swept = now
	for name, a := range l.accounts {
		if now.Sub(a.last) >= forgetAfter && l.inProgress(a) == 0 {
			delete(l.accounts, name)
		}
	}
}
