// Package registry knows the backend servers that run without an agent: which
// may get new work now, and what this process has seen of each.
package registry

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Server is what a backend server has registered of itself.
type Server struct {
	// ID names the backend server. It may keep it when it starts again.
	ID            string
	Service       string
	Address       string // IP:PORT
	FailureDomain string
	Slots         int
	// Draining servers finish what they have and take no new work.
	Draining bool
	// ColdFor is how much longer the server stays slow after its start.
	WarmupRemaining time.Duration
	// Started tells the starts of a server from each other: the Unix time in ms that it
	// states, 0 if it states none.
	StartUnixMs int64
}

// Start names one start of the server. What is learnt of one says nothing of another.
func (s Server) InstanceID() string {
	if s.StartUnixMs == 0 {
		return s.ID
	}
	return s.ID + startSeparator + strconv.FormatInt(s.StartUnixMs, 10)
}

// startSeparator stands between a server's ID and the time of its start.
const startSeparator = "@"

// sameStart reports whether two entries are of one start, as far as they tell.
func (s Server) sameStart(other Server) bool {
	return s.StartUnixMs == other.StartUnixMs || s.StartUnixMs == 0 || other.StartUnixMs == 0
}

// Change is one entry of the list as it was written: the newest entry of a
// server, or its removal when Server is nil.
type Change struct {
	ID     string
	Server *Server
	// Unusable is set where the newest entry names no server to use, so that a removal
	// is not held back: no outage of the list explains it.
	Invalid bool
}

// Registry is the list of backend servers. It is safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	backends map[string]*Backend
	ready    map[string][]*Backend // by service, in order of ID
	loaded   bool
	updated  time.Time
	// expiries holds removals that may be an effect of an outage of the list,
	// with the time at which each counts.
	expiries map[string]time.Time
	// restarted is called with the address of a server that has started again.
	restarted func(address string)
	// ended is called with the start of a server that is gone without having drained.
	ended func(start string)
}

// OnRestart has f called with the old address of each server that has started again. It
// is called before the registry is in use.
func (r *Registry) OnRestart(f func(address string)) { r.restarted = f }

// OnEnd has f called with each start of a server that is no longer listed, or that another
// start has followed, and that did not drain. It is called before the registry is in use; f does
// not call the registry.
func (r *Registry) OnEnd(f func(start string)) { r.ended = f }

// New returns an empty registry.
func New() *Registry {
	return &Registry{backends: map[string]*Backend{}, ready: map[string][]*Backend{}, expiries: map[string]time.Time{},
		restarted: func(string) {}, ended: func(string) {}}
}

// Apply takes in changes in the order in which they were written. Removals are
// held back until the time that grace names, zero for none: an entry may have
// expired while its server could not renew it.
func (r *Registry) Apply(changes []Change, now, grace time.Time) (dropped []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if c.Server != nil {
			r.put(*c.Server)
			continue
		}
		if b := r.backends[c.ID]; b != nil && now.Before(grace) && !b.server().Draining && !c.Invalid {
			r.expiries[c.ID] = grace
			continue
		}
		if b := r.backends[c.ID]; b != nil && !c.Invalid {
			r.gone(b)
		}
		dropped = r.drop(c.ID, dropped)
	}
	dropped = r.expire(now, dropped)
	r.updated = now
	r.rebuild()
	return dropped
}

// Replace takes in a whole list. Servers that it lacks are dropped, after grace
// as in Apply.
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

func (r *Registry) put(s Server) {
	delete(r.expiries, s.ID)
	b := r.backends[s.ID]
	if b != nil && !b.server().sameStart(s) {
		// Requests in progress keep the state of the start that they were sent to: what
		// still comes of them counts for nothing here.
		r.restarted(b.server().Address)
		r.gone(b)
		b = nil
	}
	if b == nil {
		b = &Backend{}
		r.backends[s.ID] = b
	}
	b.entry.Store(&s)
}

// gone tells of a server that has ended unless it drained.
func (r *Registry) gone(b *Backend) {
	if s := b.server(); !s.Draining {
		r.ended(s.InstanceID())
	}
}

func (r *Registry) drop(id string, dropped []string) []string {
	delete(r.expiries, id)
	if r.backends[id] == nil {
		return dropped
	}
	delete(r.backends, id)
	return append(dropped, id)
}

func (r *Registry) expire(now time.Time, dropped []string) []string {
	for id, at := range r.expiries {
		if !now.Before(at) {
			if b := r.backends[id]; b != nil {
				r.gone(b)
			}
			dropped = r.drop(id, dropped)
		}
	}
	return dropped
}

func (r *Registry) rebuild() {
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

// Ready returns the backend servers of a service that may get new work, in
// order of ID. The slice must not be changed.
func (r *Registry) Ready(service string) []*Backend {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.ready[service]
}

// Reachable returns the number of backend servers that are listed and not passed over.
func (r *Registry) Reachable(now time.Time) int {
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

// Sample returns up to most of the listed backend servers that wanted accepts, drawn at random.
func (r *Registry) Sample(most int, draw func() float64, wanted func(Server) bool) []Server {
	r.mu.RLock()
	var out []Server
	for _, b := range r.backends {
		out = append(out, b.Server())
	}
	r.mu.RUnlock()
	out = slices.DeleteFunc(out, func(s Server) bool { return s.Draining || !wanted(s) })
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	for i := range out[:min(most, len(out))] {
		j := i + int(draw()*float64(len(out)-i))
		out[i], out[j] = out[j], out[i]
	}
	return out[:min(most, len(out))]
}

// Find returns the entry of a start of a backend server; false if it is not listed.
func (r *Registry) FindInstance(start string) (Server, bool) {
	id := start
	if i := strings.LastIndex(start, startSeparator); i >= 0 {
		id = start[:i]
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, id := range []string{id, start} { // a start that states no time is the ID
		if b := r.backends[id]; b != nil && b.server().InstanceID() == start {
			return b.Server(), true
		}
	}
	return Server{}, false
}

// Loaded reports whether a whole list has been taken in.
func (r *Registry) Loaded() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.loaded
}

// Age returns how long ago the list was last confirmed.
func (r *Registry) Age(now time.Time) time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return now.Sub(r.updated)
}

// Confirmed records that the list was found unchanged at a time, and drops the
// entries whose grace is over by now, all of them if grace is zero.
func (r *Registry) Confirm(at, now, grace time.Time) (dropped []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if grace.IsZero() {
		for id := range r.expiries {
			r.expiries[id] = now
		}
	}
	dropped = r.expire(now, nil)
	if at.After(r.updated) {
		r.updated = at
	}
	if len(dropped) > 0 {
		r.rebuild()
	}
	return dropped
}
