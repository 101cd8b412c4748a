package notice

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/ratelimit"
)

const (
	// keepUnlisted is how long what is known of a server is kept while it is not listed: entries lapse
	// while the list can't be written, and come back.
	keepUnlisted = time.Minute
	// maxServers bounds the servers of which something is known; the largest fleet has 650.
	maxServers = 4096
)

// Board is what a gateway knows of notices, by the start of a server: what it heard in answers, and
// what the others told. It is safe for concurrent use.
type Registry struct {
	limits *ratelimit.Limiter
	notify func(Event)
	count  atomic.Int32  // of servers: most days have none
	wake   chan struct{} // there is something to tell

	mu      sync.Mutex
	servers map[string]*state
}

// state is what is known of one start of a server.
type state struct {
	// draining is never taken back: a start that leaves does not stay. It holds since leftAt.
	draining bool
	leftAt   time.Time
	leftFrom string // who told of it, empty where it was heard here
	limited  bool
	limit    float64
	// stated is when the limit was last stated, cleared the newest moment of which it is known that
	// none was.
	stated, cleared time.Time
	from            string // who told of the limit last
	// restsUntil is when the server takes requests of this gateway again, as it said at restedAt.
	restsUntil, restedAt time.Time
	tells                tells
	listed               time.Time // when the server was last seen on the list, or this state began
}

// Event is a change of what is known of a server.
type Event struct {
	Server string
	Kind   Kind
	Ended  bool
	Limit  float64
	// Backoff is how long the server wants nothing.
	Backoff time.Duration
	From    string // the gateway that told, empty where it was heard here
}

// NewBoard returns an empty board that keeps limits in force at a limiter. Notify is called with each
// change; it does not call the board.
func NewRegistry(limits *ratelimit.Limiter, notify func(Event)) *Registry {
	return &Registry{limits: limits, notify: notify, wake: make(chan struct{}, 1), servers: map[string]*state{}}
}

// Limits returns the limiter.
func (b *Registry) Limits() *ratelimit.Limiter { return b.limits }

// Empty reports whether nothing is known of any server.
func (b *Registry) Empty() bool { return b.count.Load() == 0 }

// Heard takes in what the answer to a request says, which was sent at a time. Answers overtake each
// other: one that says less than what was heard last counts only if its request was sent after that.
func (b *Registry) RecordResponse(server string, said Statement, sent, now time.Time) {
	if said.Empty() && b.Empty() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(server, len(said.Kinds()) > 0, now)
	if s == nil {
		return
	}
	if said.Draining {
		b.setDraining(server, s, now, "", now)
	}
	if until := now.Add(said.Backoff); said.Backoff > 0 && until.After(s.restsUntil) {
		b.rest(server, s, until, now)
	}
	newer := sent.After(s.stated)
	switch {
	case said.Limited && (!s.limited || said.Limit <= s.limit || newer):
		b.setLimit(server, s, said.Limit, now, "", now)
	case !said.Limited && !said.unreadable(RateLimit) && s.limited && newer:
		b.clearLimit(server, s, sent, "", now)
	}
}

// state returns what is known of a server; nil for nothing, unless it is to be made.
func (b *Registry) state(server string, create bool, now time.Time) *state {
	s := b.servers[server]
	if s == nil && create && len(b.servers) < maxServers {
		s = &state{listed: now}
		b.servers[server] = s
		b.count.Store(int32(len(b.servers)))
	}
	return s
}

func (b *Registry) setDraining(server string, s *state, at time.Time, from string, now time.Time) {
	if s.draining {
		return
	}
	s.draining, s.leftAt, s.leftFrom = true, at, from
	b.changed(s, Event{Server: server, Kind: Draining, From: from}, now)
}

// rest keeps a time for which the server wants nothing from this gateway. It binds no other, so that
// none is told.
func (b *Registry) rest(server string, s *state, until, now time.Time) {
	begins := !now.Before(s.restsUntil)
	s.restsUntil, s.restedAt = until, now
	if begins {
		b.notify(Event{Server: server, Kind: Backoff, Backoff: until.Sub(now)})
	}
}

// RestsFor returns for how long a server wants nothing from this gateway, 0 if it takes requests.
func (b *Registry) BackoffRemaining(server string, now time.Time) time.Duration {
	if b.Empty() {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[server]
	if s == nil {
		return 0
	}
	return max(s.restsUntil.Sub(now), 0)
}

// Draining reports whether a server is known to leave.
func (b *Registry) Draining(server string) bool {
	if b.Empty() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[server]
	return s != nil && s.draining
}

func (b *Registry) setLimit(server string, s *state, limit float64, stated time.Time, from string, now time.Time) {
	changed := !s.limited || s.limit != limit
	s.limited, s.limit, s.stated, s.from = true, limit, stated, from
	if !changed {
		return
	}
	b.limits.SetRate(server, limit, now)
	b.changed(s, Event{Server: server, Kind: RateLimit, Limit: limit, From: from}, now)
}

func (b *Registry) clearLimit(server string, s *state, at time.Time, from string, now time.Time) {
	s.limited, s.cleared, s.from = false, at, from
	b.limits.Remove(server)
	b.changed(s, Event{Server: server, Kind: RateLimit, Ended: true, From: from}, now)
}

// changed tells of a change: the others, where it was heard here.
func (b *Registry) changed(s *state, e Event, now time.Time) {
	b.notify(e)
	if e.From != "" {
		return
	}
	s.tells.begin(now)
	select {
	case b.wake <- struct{}{}:
	default: // somebody has been woken already
	}
}

// Standing is a notice that is in force, as decision lines show it.
type ActiveNotice struct {
	Server    string        `json:"server"`
	Kind      Kind          `json:"kind"`
	Limit     *float64      `json:"limit,omitempty"` // requests a second, of a rate limit
	Remaining time.Duration `json:"left,omitempty"`  // of a backoff
	Age       time.Duration `json:"age"`             // since it was said last, as far as is known
	From      string        `json:"from,omitempty"`  // the gateway that told, empty where it was heard here
}

// Standing returns what is known of a server.
func (b *Registry) Active(server string, now time.Time) (out []ActiveNotice) {
	if b.Empty() {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[server]
	if s == nil {
		return nil
	}
	if s.draining {
		out = append(out, ActiveNotice{Server: server, Kind: Draining, Age: now.Sub(s.leftAt), From: s.leftFrom})
	}
	if s.limited {
		limit := s.limit
		out = append(out, ActiveNotice{Server: server, Kind: RateLimit, Limit: &limit, Age: now.Sub(s.stated), From: s.from})
	}
	if left := s.restsUntil.Sub(now); left > 0 {
		out = append(out, ActiveNotice{Server: server, Kind: Backoff, Remaining: left, Age: now.Sub(s.restedAt)})
	}
	return out
}

// inForce reports whether anything holds that others are to know.
func (s *state) inForce() bool { return s.draining || s.limited }

// Sweep forgets servers that have not been listed for a while. Listed may hold locks under which this
// board is called.
func (b *Registry) Sweep(listed func(server string) bool, now time.Time) {
	if b.Empty() {
		return
	}
	b.mu.Lock()
	servers := slices.Collect(maps.Keys(b.servers))
	b.mu.Unlock()
	servers = slices.DeleteFunc(servers, func(server string) bool { return !listed(server) })
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, server := range servers {
		if s := b.servers[server]; s != nil {
			s.listed = now
		}
	}
	for server, s := range b.servers {
		over := !s.inForce() && now.After(s.restsUntil) && now.Sub(s.cleared) > keepUnlisted
		if over || now.Sub(s.listed) > keepUnlisted {
			b.limits.Remove(server)
			delete(b.servers, server)
		}
	}
	b.count.Store(int32(len(b.servers)))
}
