// Package quota enforces the teams' rate and concurrency limits across all routers
// without a shared store. The home router of a team grants requests to the other
// routers (HomeLimiter); a router that cannot reach the home enforces an equal share
// of the limits itself (LocalLimiter). The package does no I/O and reads no clock:
// the current time is an argument.
//
// Bound for equal shares: while all routers see the same number n of routers, they
// admit together at most rate*t + burst + n requests in a time t, and have at most
// concurrency + n - 1 requests in flight (each share is at least 1).
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
)

// LocalLimiter enforces this router's share of the teams' limits. It also counts the
// requests that the teams' home routers granted. It is safe for concurrent use.
type LocalLimiter struct {
	mu           sync.Mutex
	teams        map[string]*teamUsage
	lastEviction time.Time
}

// usage is one team's token bucket and number of requests in flight.
type teamUsage struct {
	tokens         float64
	lastRefill     time.Time
	inFlight       int
	recentReleases []uint64 // the most recently ended grants of the home
}

// idleTimeout is how long the state of an idle team is kept. The bucket is full again
// long before, so eviction does not change any decision.
const idleTimeout = 10 * time.Minute

func NewLocalLimiter(now time.Time) *LocalLimiter {
	return &LocalLimiter{teams: map[string]*teamUsage{}, lastEviction: now}
}

// Admit admits a request under this router's share of the team's limits. routers is
// the number of live routers. The caller must call the returned function when the
// request has ended.
func (l *LocalLimiter) Admit(now time.Time, name string, team *resource.Team, routers int) (func(), *fault.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictIdle(now)
	share := 1 / float64(max(1, routers))
	u := l.teams[name]
	burst := math.Max(1, float64(team.Burst)*share)
	if u == nil {
		u = &teamUsage{tokens: burst, lastRefill: now}
		l.teams[name] = u
	}
	if e := u.checkConcurrency(team, share); e != nil {
		return nil, e
	}
	if e := u.takeToken(now, team, share, burst); e != nil {
		return nil, e
	}
	u.inFlight++
	return func() { l.release(u) }, nil
}

// StartGranted counts a request that the team's home router granted.
func (l *LocalLimiter) BeginGranted(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictIdle(now)
	u := l.usageFor(name)
	u.lastRefill = now // if the home becomes unreachable, the local bucket refills from here
	u.inFlight++
}

// EndGranted counts the end of a request that the home router granted, and returns the
// sequence numbers for the ReleaseNotice.
func (l *LocalLimiter) EndGranted(name string, seq uint64) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usageFor(name)
	u.inFlight--
	return u.recordReleased(seq)
}

// DiscardGrant records a grant that was not used, and returns the sequence numbers for
// the ReleaseNotice.
func (l *LocalLimiter) DiscardGrant(name string, seq uint64) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usageFor(name).recordReleased(seq)
}

func (l *LocalLimiter) usageFor(name string) *teamUsage {
	u := l.teams[name]
	if u == nil {
		u = &teamUsage{}
		l.teams[name] = u
	}
	return u
}

func (u *teamUsage) recordReleased(seq uint64) []uint64 {
	u.recentReleases = append(u.recentReleases, seq)
	if len(u.recentReleases) > maxReleaseSeqs {
		u.recentReleases = u.recentReleases[len(u.recentReleases)-maxReleaseSeqs:]
	}
	return append([]uint64(nil), u.recentReleases...)
}

// RefusalError converts a refusal by the home router to a typed error.
func RefusalError(resp GrantResponse, team *resource.Team) *fault.Error {
	wait := time.Duration(resp.RetryAfterMS) * time.Millisecond
	if resp.RateLimited {
		return fault.New(fault.TeamRateLimit, "team exceeds its rate limit of %g requests per second", team.Rate).WithOutcome(fault.NotRun).WithRetryAfter(wait)
	}
	return fault.New(fault.TeamConcurrencyLimit, "team has reached its concurrency limit of %d requests", team.Concurrency).
		WithOutcome(fault.NotRun).WithRetryAfter(wait)
}

func (u *teamUsage) checkConcurrency(team *resource.Team, share float64) *fault.Error {
	if team.Concurrency == 0 {
		return nil
	}
	limit := max(1, int(math.Ceil(float64(team.Concurrency)*share)))
	if u.inFlight < limit {
		return nil
	}
	return fault.New(fault.TeamConcurrencyLimit, "team has reached its concurrency limit on this router with %d requests in flight", u.inFlight).
		WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
}

func (u *teamUsage) takeToken(now time.Time, team *resource.Team, share, burst float64) *fault.Error {
	if team.Rate == 0 {
		u.lastRefill = now
		return nil
	}
	rate := team.Rate * share
	if dt := now.Sub(u.lastRefill).Seconds(); dt > 0 {
		u.tokens = math.Min(burst, u.tokens+dt*rate)
		u.lastRefill = now
	}
	if u.tokens < 1 {
		wait := max(time.Millisecond, time.Duration((1-u.tokens)/rate*float64(time.Second)))
		return fault.New(fault.TeamRateLimit, "team exceeds its rate limit of %g requests per second", team.Rate).
			WithOutcome(fault.NotRun).WithRetryAfter(wait)
	}
	u.tokens--
	return nil
}

func (l *LocalLimiter) release(u *teamUsage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.inFlight--
}

// evictIdle removes idle teams, at most once per idleTimeout.
func (l *LocalLimiter) evictIdle(now time.Time) {
	if now.Sub(l.lastEviction) < idleTimeout {
		return
	}
	l.lastEviction = now
	for name, u := range l.teams {
		if u.inFlight == 0 && now.Sub(u.lastRefill) >= idleTimeout {
			delete(l.teams, name)
		}
	}
}
