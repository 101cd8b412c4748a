package quota

import (
	"math"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/resource"
)

// GrantRequest asks a team's home router to admit one request of the team. The home is
// the live router that ranks first for the team's name; its HomeLimiter decides.
type GrantRequest struct {
	Seq    uint64 // assigned by the sending process; identifies the grant
	Team   string
	Router string // name and incarnation of the sending process
}

// GrantResponse is the home router's answer to a GrantRequest.
//
// The datagrams encode fields by name; the tags keep the outer names of renamed fields.
type GrantResponse struct {
	Seq     uint64
	Granted bool
	// RateLimited tells whether a refusal is for the rate limit or for the concurrency limit.
	RateLimited  bool  `msgpack:"Rate"`
	RetryAfterMS int64 `msgpack:"WaitMS"`
}

// ReleaseNotice tells the home router that requests of a team have ended. It lists
// the most recent ones, so that the next notice makes up for a lost datagram.
type ReleaseNotice struct {
	Team   string
	Router string
	Seqs   []uint64
}

// maxReleaseSeqs is the number of ended requests that a ReleaseNotice lists.
const maxReleaseSeqs = 8

// HomeLimiter enforces the limits of the teams for which this router is the home.
// A router that cannot reach the home enforces an equal share of the limits
// itself, so the home reserves the shares of all routers it has not heard from
// within reachableTimeout. It is safe for concurrent use.
//
// Bound: if all n routers have the same view of the membership, then those that
// reach the home and those that do not admit together at most
// rate*t + burst + n requests in a time t.
type HomeLimiter struct {
	mu           sync.Mutex
	start        time.Time
	teams        map[string]*teamState
	lastSeen     map[string]time.Time // by router
	lastEviction time.Time
}

type teamState struct {
	tokens     float64
	lastRefill time.Time
	// grants holds the requests in flight by router and Seq. The grants of a
	// router that is no longer reachable are dropped.
	grants map[string]map[uint64]bool
}

// NewHomeLimiter returns a HomeLimiter whose token buckets are empty at now: a router that
// becomes the home does not know what the previous home granted.
func NewHomeLimiter(now time.Time) *HomeLimiter {
	return &HomeLimiter{start: now, teams: map[string]*teamState{}, lastSeen: map[string]time.Time{}, lastEviction: now}
}

const (
	// PingInterval is the time between pings from a router to each other router.
	PingInterval = 30 * time.Second
	// reachableTimeout is how long a router counts as able to reach the home after
	// its last message. It tolerates the loss of two pings.
	reachableTimeout = 3 * PingInterval
)

// MarkReachable records that a router can reach this home.
func (l *HomeLimiter) MarkReachable(now time.Time, router string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSeen[router] = now
}

// Release drops the grants of requests that have ended.
func (l *HomeLimiter) Release(n ReleaseNotice) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.teams[n.Team]; s != nil {
		for _, seq := range n.Seqs {
			delete(s.grants[n.Router], seq)
		}
	}
}

// reachableShare returns the fraction of the live routers that can reach this home.
func (l *HomeLimiter) reachableShare(now time.Time, routers int) float64 {
	n := 0
	for r, seen := range l.lastSeen {
		if now.Sub(seen) < reachableTimeout {
			n++
		} else {
			delete(l.lastSeen, r)
		}
	}
	return math.Min(1, float64(max(1, n))/float64(max(1, routers)))
}

// Acquire grants or refuses a request. routers is the number of live routers.
func (l *HomeLimiter) Acquire(now time.Time, req GrantRequest, team *resource.Team, routers int) GrantResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evictIdle(now)
	l.lastSeen[req.Router] = now
	share := l.reachableShare(now, routers)
	s := l.teams[req.Team]
	if s == nil {
		s = &teamState{lastRefill: l.start, grants: map[string]map[uint64]bool{}}
		l.teams[req.Team] = s
	}
	if team.Concurrency > 0 && l.countInFlight(s) >= max(1, int(float64(team.Concurrency)*share)) {
		return GrantResponse{Seq: req.Seq, RetryAfterMS: time.Second.Milliseconds()}
	}
	if wait := s.takeToken(now, team, share); wait > 0 {
		return GrantResponse{Seq: req.Seq, RateLimited: true, RetryAfterMS: max(1, wait.Milliseconds())}
	}
	if team.Concurrency > 0 {
		if s.grants[req.Router] == nil {
			s.grants[req.Router] = map[uint64]bool{}
		}
		s.grants[req.Router][req.Seq] = true
	}
	return GrantResponse{Seq: req.Seq, Granted: true}
}

// inFlight counts a team's grants and drops those of unreachable routers.
func (l *HomeLimiter) countInFlight(s *teamState) int {
	n := 0
	for r, grants := range s.grants {
		if _, reachable := l.lastSeen[r]; !reachable || len(grants) == 0 {
			delete(s.grants, r)
			continue
		}
		n += len(grants)
	}
	return n
}

// takeToken takes a token from the bucket, or returns the time until one is available.
func (s *teamState) takeToken(now time.Time, team *resource.Team, share float64) time.Duration {
	if team.Rate == 0 {
		s.lastRefill = now
		return 0
	}
	rate, burst := team.Rate*share, math.Max(1, float64(team.Burst)*share)
	if dt := now.Sub(s.lastRefill).Seconds(); dt > 0 {
		s.tokens = math.Min(burst, s.tokens+dt*rate)
		s.lastRefill = now
	}
	if s.tokens < 1 {
		return max(time.Millisecond, time.Duration((1-s.tokens)/rate*float64(time.Second)))
	}
	s.tokens--
	return 0
}

func (l *HomeLimiter) evictIdle(now time.Time) {
	if now.Sub(l.lastEviction) < idleTimeout {
		return
	}
	l.lastEviction = now
	for name, s := range l.teams {
		if now.Sub(s.lastRefill) >= idleTimeout && l.countInFlight(s) == 0 {
			delete(l.teams, name)
		}
	}
}
