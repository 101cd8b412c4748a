// Package registry holds the backend servers that run without an agent: which of them may receive
// new requests, and what this process has observed of each.
package registry

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server is the registration of a backend server.
type Server struct {
	// ID identifies the backend server. It may stay the same after a restart.
	ID            string
	Service       string
	Address       string // IP:PORT
	FailureDomain string
	Slots         int
	// Draining servers finish their requests and accept no new ones.
	Draining bool
	// WarmupRemaining is how much longer the server is slow after its start.
	WarmupRemaining time.Duration
	// StartUnixMs is the start time of the process in Unix ms, which distinguishes the instances of
	// a server; 0 if the server does not state it.
	StartUnixMs int64
}

// InstanceID identifies one instance of the server, from its start to its end. Nothing observed of
// one instance applies to another.
func (s Server) InstanceID() string {
	if s.StartUnixMs == 0 {
		return s.ID
	}
	return s.ID + instanceIDSeparator + strconv.FormatInt(s.StartUnixMs, 10)
}

// instanceIDSeparator separates the server ID and the start time in an instance ID.
const instanceIDSeparator = "@"

// sameInstance reports whether two registrations may be of the same instance. It returns true if
// one of them states no start time.
func (s Server) sameInstance(other Server) bool {
	return s.StartUnixMs == other.StartUnixMs || s.StartUnixMs == 0 || other.StartUnixMs == 0
}

// Change is a change of the server list: the newest entry of a server, or its removal if Server is
// nil.
type Change struct {
	ID     string
	Server *Server
	// Invalid is set if the newest entry is invalid. Such a removal is not deferred, because an
	// outage of the list does not explain it.
	Invalid bool
}

// Registry is the list of backend servers. It is safe for concurrent use.
type Registry struct {
	mu          sync.RWMutex
	backends    map[string]*Backend
	ready       map[string][]*Backend // by service, ordered by ID
	loaded      bool
	confirmedAt time.Time
	// pendingRemovals has the removals that may be an effect of an outage of the list, with the
	// time at which each takes effect.
	pendingRemovals map[string]time.Time
	// onRestart is called with the address of a server that has restarted.
	onRestart func(address string)
	// onEnd is called with the ID of an instance that ended without having drained.
	onUnexpectedExit func(instanceID string)
}

// OnRestart registers f to be called with the previous address of each server that has restarted.
// It must be called before the registry is in use.
func (r *Registry) OnRestart(f func(address string)) { r.onRestart = f }

// OnEnd registers f to be called with the ID of each instance that is no longer listed, or was
// replaced by another one, without having drained. It must be called before the registry is in use;
// f must not call the registry.
func (r *Registry) OnUnexpectedExit(f func(instanceID string)) { r.onUnexpectedExit = f }

// New returns an empty registry.
func New() *Registry {
	return &Registry{backends: map[string]*Backend{}, ready: map[string][]*Backend{}, pendingRemovals: map[string]time.Time{},
		onRestart: func(string) {}, onUnexpectedExit: func(string) {}}
}

// Apply applies changes in the order in which they were written, and returns the IDs of the removed
// servers. Removals are deferred until grace, if it is not zero, because a registration may have
// expired while its server could not renew it.
func (r *Registry) Apply(changes []Change, now, grace time.Time) (dropped []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if c.Server != nil {
			r.upsert(*c.Server)
			continue
		}
		if b := r.backends[c.ID]; b != nil && now.Before(grace) && !b.server().Draining && !c.Invalid {
			r.pendingRemovals[c.ID] = grace
			continue
		}
		if b := r.backends[c.ID]; b != nil && !c.Invalid {
			r.reportUnexpectedExit(b)
		}
		dropped = r.remove(c.ID, dropped)
	}
	dropped = r.applyDueRemovals(now, dropped)
	r.confirmedAt = now
	r.rebuildReady()
	return dropped
}

// Replace replaces the server list. Servers that are missing from it are removed, after grace as in
// Apply.
func (r *Registry) Replace(list []Server, now, grace time.Time) (dropped []string) {
	listed := make(map[string]bool, len(list))
	changes := make([]Change, 0, len(list))
	for i := range list {
		listed[list[i].ID] = true
		changes = append(changes, Change{ID: list[i].ID, Server: &list[i]})
	}
	r.mu.Lock()
	for id := range r.backends {
		if !listed[id] {
			changes = append(changes, Change{ID: id})
		}
	}
	r.loaded = true
	r.mu.Unlock()
	return r.Apply(changes, now, grace)
}

func (r *Registry) upsert(s Server) {
	delete(r.pendingRemovals, s.ID)
	b := r.backends[s.ID]
	if b != nil && !b.server().sameInstance(s) {
		// Requests in progress keep the state of the instance that they were sent to, so that their
		// results do not affect the new one.
		r.onRestart(b.server().Address)
		r.reportUnexpectedExit(b)
		b = nil
	}
	if b == nil {
		b = &Backend{}
		r.backends[s.ID] = b
	}
	b.entry.Store(&s)
}

// reportEnded calls onEnd for an instance that has ended, unless it was draining.
func (r *Registry) reportUnexpectedExit(b *Backend) {
	if s := b.server(); !s.Draining {
		r.onUnexpectedExit(s.InstanceID())
	}
}

func (r *Registry) remove(id string, dropped []string) []string {
	delete(r.pendingRemovals, id)
	if r.backends[id] == nil {
		return dropped
	}
	delete(r.backends, id)
	return append(dropped, id)
}

func (r *Registry) applyDueRemovals(now time.Time, dropped []string) []string {
	for id, at := range r.pendingRemovals {
		if !now.Before(at) {
			if b := r.backends[id]; b != nil {
				r.reportUnexpectedExit(b)
			}
			dropped = r.remove(id, dropped)
		}
	}
	return dropped
}

func (r *Registry) rebuildReady() {
	ready := map[string][]*Backend{}
	for _, b := range r.backends {
		if s := b.server(); !s.Draining {
			ready[s.Service] = append(ready[s.Service], b)
		}
	}
	for _, list := range ready {
		slices.SortFunc(list, func(a, b *Backend) int { return cmp.Compare(a.server().ID, b.server().ID) })
	}
	r.ready = ready
}

// Ready returns the backend servers of a service that may receive new requests, ordered by ID. The
// slice must not be modified.
func (r *Registry) Ready(service string) []*Backend {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ready[service]
}

// Reachable returns the number of listed backend servers that are not avoided.
func (r *Registry) ReachableCount(now time.Time) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	n := 0
	for _, b := range r.backends {
		if !b.View(now).Avoided {
			n++
		}
	}
	return n
}

// Sample returns a random sample, drawn with random, of at most limit of listed servers that are
// not draining and for which accept returns true.
func (r *Registry) Sample(limit int, random func() float64, accept func(Server) bool) []Server {
	r.mu.RLock()
	var out []Server
	for _, b := range r.backends {
		out = append(out, b.Server())
	}
	r.mu.RUnlock()
	out = slices.DeleteFunc(out, func(s Server) bool { return s.Draining || !accept(s) })
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	for i := range out[:min(limit, len(out))] {
		j := i + int(random()*float64(len(out)-i))
		out[i], out[j] = out[j], out[i]
	}
	return out[:min(limit, len(out))]
}

// FindInstance returns the registration of an instance; false if it is not listed.
func (r *Registry) FindInstance(instanceID string) (Server, bool) {
	serverID := instanceID
	if i := strings.LastIndex(instanceID, instanceIDSeparator); i >= 0 {
		serverID = instanceID[:i]
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, id := range []string{serverID, instanceID} { // without a start time, the instance ID is the server ID
		if b := r.backends[id]; b != nil && b.server().InstanceID() == instanceID {
			return b.Server(), true
		}
	}
	return Server{}, false
}

// Loaded reports whether the server list has been loaded.
func (r *Registry) Loaded() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.loaded
}

// Age returns how long ago the list was last confirmed.
func (r *Registry) Age(now time.Time) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return now.Sub(r.confirmedAt)
}

// Confirm records that the list was unchanged at a time, and applies the deferred removals whose
// grace has ended; all of them if grace is zero.
func (r *Registry) Confirm(at, now, grace time.Time) (dropped []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if grace.IsZero() {
		for id := range r.pendingRemovals {
			r.pendingRemovals[id] = now
		}
	}
	dropped = r.applyDueRemovals(now, nil)
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
	if len(dropped) > 0 {
		r.rebuildReady()
	}
	return dropped
}
