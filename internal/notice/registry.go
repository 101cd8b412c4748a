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
	// unlistedRetention is how long the notices of an unlisted server are kept. List entries can expire
	// and return when the list cannot be written for a while.
	unlistedRetention = time.Minute
	// maxServers limits the number of servers with recorded notices; the largest fleet has 650 servers.
	maxServers = 4096
)

// Registry holds the notices that a gateway knows from responses and from the reports of other
// gateways, by instance ID: a restarted server has a new entry. It is safe for concurrent use.
type Registry struct {
	limits       *ratelimit.Limiter
	notify       func(Event)
	serverCount  atomic.Int32  // number of servers, for a fast check without the lock: usually 0
	reportsReady chan struct{} // signals that there are changes to send

	mu      sync.Mutex
	servers map[string]*serverState
}

// serverState is what is known of one server instance.
type serverState struct {
	// draining is never reset: a server that is draining does not return to service without a restart.
	draining      bool
	drainingSince time.Time
	drainingFrom  string // gateway that reported it, empty if it was stated to this gateway
	limited       bool
	limit         float64
	// limitStatedAt is when the limit was last stated. limitClearedAt is the latest time at which no
	// limit is known to have been stated.
	limitStatedAt, limitClearedAt time.Time
	limitFrom                     string // gateway that last reported the limit, empty if it was stated to this gateway
	// backoffUntil is the time from which the server accepts requests of this gateway again, as stated at
	// backoffStatedAt.
	backoffUntil, backoffStatedAt time.Time
	resends                       resendSchedule
	listedAt                      time.Time // when the server was last found on the list, or when this state was created
}

// Event is a change of the notices of a server.
type Event struct {
	Server string
	Kind   Kind
	Ended  bool
	Limit  float64
	// Backoff is the time for which the server wants no requests.
	Backoff time.Duration
	From    string // gateway that reported the change, empty if it was stated to this gateway
}

// NewRegistry returns an empty registry that applies rate limits to limits. Notify is called with
// each change; it must not call the registry.
func NewRegistry(limits *ratelimit.Limiter, notify func(Event)) *Registry {
	return &Registry{limits: limits, notify: notify, reportsReady: make(chan struct{}, 1), servers: map[string]*serverState{}}
}

// Limits returns the limiter to which rate limits are applied.
func (r *Registry) Limits() *ratelimit.Limiter { return r.limits }

// Empty reports whether no notices are recorded for any server.
func (r *Registry) Empty() bool { return r.serverCount.Load() == 0 }

// RecordResponse records the notices of a response to a request that was sent at the given time.
// Responses may be reordered: a higher limit, or none, counts only if the request was sent after the current
// limit was last stated.
func (r *Registry) RecordResponse(server string, stated ResponseNotices, sent, now time.Time) {
	if stated.Empty() && r.Empty() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.lookup(server, len(stated.Kinds()) > 0, now)
	if s == nil {
		return
	}
	if stated.Draining {
		r.setDraining(server, s, now, "", now)
	}
	if until := now.Add(stated.Backoff); stated.Backoff > 0 && until.After(s.backoffUntil) {
		r.setBackoff(server, s, until, now)
	}
	newer := sent.After(s.limitStatedAt)
	switch {
	case stated.Limited && (!s.limited || stated.Limit <= s.limit || newer):
		r.setLimit(server, s, stated.Limit, now, "", now)
	case !stated.Limited && !stated.isMalformed(RateLimit) && s.limited && newer:
		r.clearLimit(server, s, sent, "", now)
	}
}

// lookup returns the state of a server, or nil if there is none. With create it adds a state, unless there are
// maxServers already.
func (r *Registry) lookup(server string, create bool, now time.Time) *serverState {
	s := r.servers[server]
	if s == nil && create && len(r.servers) < maxServers {
		s = &serverState{listedAt: now}
		r.servers[server] = s
		r.serverCount.Store(int32(len(r.servers)))
	}
	return s
}

func (r *Registry) setDraining(server string, s *serverState, at time.Time, from string, now time.Time) {
	if s.draining {
		return
	}
	s.draining, s.drainingSince, s.drainingFrom = true, at, from
	r.publish(s, Event{Server: server, Kind: Draining, From: from}, now)
}

// setBackoff records a backoff. It applies only to this gateway and is not reported to the others.
func (r *Registry) setBackoff(server string, s *serverState, until, now time.Time) {
	isNew := !now.Before(s.backoffUntil)
	s.backoffUntil, s.backoffStatedAt = until, now
	if isNew {
		r.notify(Event{Server: server, Kind: Backoff, Backoff: until.Sub(now)})
	}
}

// BackoffRemaining returns the time for which a server still wants no requests from this gateway, or 0 if it
// accepts them.
func (r *Registry) BackoffRemaining(server string, now time.Time) time.Duration {
	if r.Empty() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[server]
	if s == nil {
		return 0
	}
	return max(s.backoffUntil.Sub(now), 0)
}

// Draining reports whether a server is known to be draining.
func (r *Registry) Draining(server string) bool {
	if r.Empty() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[server]
	return s != nil && s.draining
}

func (r *Registry) setLimit(server string, s *serverState, limit float64, stated time.Time, from string, now time.Time) {
	changed := !s.limited || s.limit != limit
	s.limited, s.limit, s.limitStatedAt, s.limitFrom = true, limit, stated, from
	if !changed {
		return
	}
	r.limits.SetRate(server, limit, now)
	r.publish(s, Event{Server: server, Kind: RateLimit, Limit: limit, From: from}, now)
}

func (r *Registry) clearLimit(server string, s *serverState, at time.Time, from string, now time.Time) {
	s.limited, s.limitClearedAt, s.limitFrom = false, at, from
	r.limits.Remove(server)
	r.publish(s, Event{Server: server, Kind: RateLimit, Ended: true, From: from}, now)
}

// publish notifies of a change, and schedules its sends to the other gateways if it was stated to this gateway.
func (r *Registry) publish(s *serverState, e Event, now time.Time) {
	r.notify(e)
	if e.From != "" {
		return
	}
	s.resends.start(now)
	select {
	case r.reportsReady <- struct{}{}:
	default: // a signal is already pending
	}
}

// ActiveNotice is a notice in force, as shown in decision log lines.
type ActiveNotice struct {
	Server    string        `json:"server"`
	Kind      Kind          `json:"kind"`
	Limit     *float64      `json:"limit,omitempty"` // requests per second, for a rate limit
	Remaining time.Duration `json:"left,omitempty"`  // for a backoff
	Age       time.Duration `json:"age"`             // since it was last stated, as far as is known
	From      string        `json:"from,omitempty"`  // gateway that reported it, empty if it was stated to this gateway
}

// Active returns the notices of a server that are in force.
func (r *Registry) Active(server string, now time.Time) (out []ActiveNotice) {
	if r.Empty() {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[server]
	if s == nil {
		return nil
	}
	if s.draining {
		out = append(out, ActiveNotice{Server: server, Kind: Draining, Age: now.Sub(s.drainingSince), From: s.drainingFrom})
	}
	if s.limited {
		limit := s.limit
		out = append(out, ActiveNotice{Server: server, Kind: RateLimit, Limit: &limit, Age: now.Sub(s.limitStatedAt), From: s.limitFrom})
	}
	if remaining := s.backoffUntil.Sub(now); remaining > 0 {
		out = append(out, ActiveNotice{Server: server, Kind: Backoff, Remaining: remaining, Age: now.Sub(s.backoffStatedAt)})
	}
	return out
}

// inForce reports whether any notice is in force that is reported to the other gateways.
func (s *serverState) reportable() bool { return s.draining || s.limited }

// Sweep removes servers that have not been listed for unlistedRetention. It calls listed without
// holding the registry's lock, because listed may take locks under which the registry is called.
func (r *Registry) Sweep(listed func(server string) bool, now time.Time) {
	if r.Empty() {
		return
	}
	r.mu.Lock()
	servers := slices.Collect(maps.Keys(r.servers))
	r.mu.Unlock()
	servers = slices.DeleteFunc(servers, func(server string) bool { return !listed(server) })
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, server := range servers {
		if s := r.servers[server]; s != nil {
			s.listedAt = now
		}
	}
	for server, s := range r.servers {
		ended := !s.reportable() && now.After(s.backoffUntil) && now.Sub(s.limitClearedAt) > unlistedRetention
		if ended || now.Sub(s.listedAt) > unlistedRetention {
			r.limits.Remove(server)
			delete(r.servers, server)
		}
	}
	r.serverCount.Store(int32(len(r.servers)))
}
