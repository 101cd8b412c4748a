// Package quota enforces teams' limits over all routers without a shared store.
// A team's home router keeps its account (Ledger) and answers the asks of the
// others; a router that can't reach the home enforces an equal share (Teams).
// It is pure: time comes in as an argument.
//
// The bound of equal shares: while all routers see the same number n of
// routers, they admit together at most rate*t + burst + n requests in a time t,
// and at most concurrency + n - 1 at once (each share is at least 1).
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
)

// Teams holds the use of all teams. It is safe for concurrent use.
type LocalLimiter struct {
	mu    sync.Mutex
	teams map[string]*use
	swept time.Time
}

// use is one team's token bucket and requests in progress.
type use struct {
	tokens float64
	last   time.Time
	open   int
	closed []uint64 // the newest grants of the home that ended
}

// forgetAfter is how long an idle team is remembered. A bucket is full again
// long before, so forgetting it changes nothing.
const forgetAfter = 10 * time.Minute

// NewTeams returns limits with nothing used.
func NewLocalLimiter(now time.Time) *LocalLimiter {
	return &LocalLimiter{teams: map[string]*use{}, swept: now}
}

// Admit takes one request of the team in, for a router that is one of
// routers. The caller calls the returned function when the request has ended.
func (t *LocalLimiter) Admit(now time.Time, name string, team *resource.Team, routers int) (func(), *fault.Error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	share := 1 / float64(max(1, routers))
	u := t.teams[name]
	burst := math.Max(1, float64(team.Burst)*share)
	if u == nil {
		u = &use{tokens: burst, last: now}
		t.teams[name] = u
	}
	if e := u.concurrency(team, share); e != nil {
		return nil, e
	}
	if e := u.rate(now, team, share, burst); e != nil {
		return nil, e
	}
	u.open++
	return func() { t.done(u) }, nil
}

// Use counts a request that the team's home admitted.
func (t *LocalLimiter) StartGranted(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	u := t.of(name)
	u.last = now // the equal share starts from here if the home is lost
	u.open++
}

// End counts the end of such a request and returns the newest few that ended.
func (t *LocalLimiter) EndGranted(name string, seq uint64) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.of(name)
	u.open--
	return u.ended(seq)
}

// Drop notes a grant that was not used, as End does.
func (t *LocalLimiter) DiscardGrant(name string, seq uint64) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.of(name).ended(seq)
}

func (t *LocalLimiter) of(name string) *use {
	u := t.teams[name]
	if u == nil {
		u = &use{}
		t.teams[name] = u
	}
	return u
}

func (u *use) ended(seq uint64) []uint64 {
	u.closed = append(u.closed, seq)
	if len(u.closed) > closedKept {
		u.closed = u.closed[len(u.closed)-closedKept:]
	}
	return append([]uint64(nil), u.closed...)
}

// Refusal is the fault that a home's refusal means.
func RefusalError(l GrantResponse, team *resource.Team) *fault.Error {
	wait := time.Duration(l.RetryAfterMS) * time.Millisecond
	if l.RateLimited {
		return fault.New(fault.TeamRateLimit, "the team is over its rate of %g a second", team.Rate).WithOutcome(fault.NotRun).WithRetryAfter(wait)
	}
	return fault.New(fault.TeamConcurrencyLimit, "the team has %d requests in progress already", team.Concurrency).
		WithOutcome(fault.NotRun).WithRetryAfter(wait)
}

func (u *use) concurrency(team *resource.Team, share float64) *fault.Error {
	if team.Concurrency == 0 {
		return nil
	}
	limit := max(1, int(math.Ceil(float64(team.Concurrency)*share)))
	if u.open < limit {
		return nil
	}
	return fault.New(fault.TeamConcurrencyLimit, "the team has %d requests in progress here", u.open).
		WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
}

func (u *use) rate(now time.Time, team *resource.Team, share, burst float64) *fault.Error {
	if team.Rate == 0 {
		u.last = now
		return nil
	}
	rate := team.Rate * share
	if dt := now.Sub(u.last).Seconds(); dt > 0 {
		u.tokens = math.Min(burst, u.tokens+dt*rate)
		u.last = now
	}
	if u.tokens < 1 {
		wait := max(time.Millisecond, time.Duration((1-u.tokens)/rate*float64(time.Second)))
		return fault.New(fault.TeamRateLimit, "the team is over its rate of %g a second", team.Rate).
			WithOutcome(fault.NotRun).WithRetryAfter(wait)
	}
	u.tokens--
	return nil
}

func (t *LocalLimiter) done(u *use) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u.open--
}

// sweep forgets idle teams now and then.
func (t *LocalLimiter) sweep(now time.Time) {
	if now.Sub(t.swept) < forgetAfter {
		return
	}
	t.swept = now
	for name, u := range t.teams {
		if u.open == 0 && now.Sub(u.last) >= forgetAfter {
			delete(t.teams, name)
		}
	}
}
