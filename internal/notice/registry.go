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
	// unlistedRetention is how long the notices of an unlisted server are kept. Entries of the server list
	// can expire and return when the list cannot be written for a while.
	unlistedRetention = time.Minute
	// maxServers is the maximum number of servers with recorded notices; the largest fleet has 650 servers.
	maxServers = 4096
)

// Registry holds the notices that a gateway has received in responses and in reports of other
// gateways. Servers are identified by instance ID, so that a restarted server has a new entry.
// It is safe for concurrent use.
type Registry struct {
	limits       *ratelimit.Limiter
	notify       func(Event)
	serverCount  atomic.Int32  // len(servers), usually 0, for a check without the lock
	reportsReady chan struct{} // signals that there are reports to send
	recoveries   recoveries

	mu      sync.Mutex
	servers map[string]*serverState
}

// serverState holds the notices of one server instance.
type serverState struct {
	// draining is never reset: a draining server does not return to service without a restart.
	draining      bool
	drainingSince time.Time
	drainingFrom  string // gateway that reported it, empty if this gateway received the notice itself
	limited       bool
	limit         float64
	// limitStatedAt is when a response last had the limit. limitClearedAt is the latest time at which the
	// server is known to have had no limit.
	limitStatedAt, limitClearedAt time.Time
	limitFrom                     string // gateway that last reported the limit, empty if this gateway received it itself
	// backoffUntil is the time from which the server accepts requests from this gateway again. The backoff
	// was received at backoffStatedAt.
	backoffUntil, backoffStatedAt time.Time
	resends                       resendSchedule
	listedAt                      time.Time // when the server was last found in the server list, or when this state was created
}

// Event is a change of the notices of a server.
type Event struct {
	Server string
	Kind   Kind
	Ended  bool
	Limit  float64
	// Backoff is the time for which the server accepts no requests.
	Backoff time.Duration
	From    string // gateway that reported the change, empty if this gateway received the notice itself
}

// NewRegistry returns an empty registry that applies rate limits to limits. Notify is called with
// each change, under the registry's lock: it must not call the registry.
func NewRegistry(limits *ratelimit.Limiter, notify func(Event)) *Registry {
	return &Registry{limits: limits, notify: notify, reportsReady: make(chan struct{}, 1), recoveries: newRecoveries(), servers: map[string]*serverState{}}
}

// Limits returns the limiter to which rate limits are applied.
func (r *Registry) Limits() *ratelimit.Limiter { return r.limits }

// Empty reports whether no notices are recorded for any server.
func (r *Registry) Empty() bool { return r.serverCount.Load() == 0 }

// RecordResponse records the notices in a response to a request that was sent at the given time.
// Responses may arrive out of order, so a higher limit, or none, applies only if the request was sent after
// the current limit was last received.
func (r *Registry) RecordResponse(server string, n ResponseNotices, sent, now time.Time) {
	if n.Empty() && r.Empty() && r.recoveries.empty() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.Backoff == 0 {
		defer r.recoveries.recordResponse(server, sent) // after a rate limit in the response has been applied
	}
	s := r.lookup(server, len(n.Kinds()) > 0, now)
	if s == nil {
		return
	}
	if n.Draining {
		r.setDraining(server, s, now, "", now)
	}
	if until := now.Add(n.Backoff); n.Backoff > 0 && until.After(s.backoffUntil) {
		r.setBackoff(server, s, until, now)
	}
	newer := sent.After(s.limitStatedAt)
	switch {
	case n.Limited && (!s.limited || n.Limit <= s.limit || newer):
		r.setLimit(server, s, n.Limit, now, "", now)
	case !n.Limited && !n.isMalformed(RateLimit) && s.limited && newer:
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
	r.recoveries.begin(server, until)
	if isNew {
		r.notify(Event{Server: server, Kind: Backoff, Backoff: until.Sub(now)})
	}
}

// BackoffRemaining returns the time for which a server still accepts no requests from this gateway, or 0 if
// there is no backoff.
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

func (r *Registry) setLimit(server string, s *serverState, limit float64, statedAt time.Time, from string, now time.Time) {
	changed := !s.limited || s.limit != limit
	s.limited, s.limit, s.limitStatedAt, s.limitFrom = true, limit, statedAt, from
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

// publish calls notify with a change. If this gateway received the notice itself, publish also schedules the
// sends of the change to the other gateways.
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
	Age       time.Duration `json:"age"`             // since a gateway received it, for a rate limit most recently
	From      string        `json:"from,omitempty"`  // gateway that reported it, empty if this gateway received it itself
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

// reportable reports whether any notice is in force that is reported to the other gateways: a backoff is not.
func (s *serverState) reportable() bool { return s.draining || s.limited }

// Sweep removes servers whose notices have ended, rate limits at least unlistedRetention ago, and servers
// that have not been listed for unlistedRetention. It calls listed without holding the registry's lock,
// because listed may acquire locks under which the registry is called.
func (r *Registry) Sweep(listed func(server string) bool, now time.Time) {
	r.recoveries.sweep(now)
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
