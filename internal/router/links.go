package router

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/rendezvous"
	"github.com/merlinpost/merlinpost/internal/resource"
)

// Timing of links.
const (
	reconcileEvery = time.Second
	redialFirst    = 50 * time.Millisecond
	redialMost     = 2 * time.Second
	// idleLink is how long a link outside of the subset is kept unused.
	idleLink = time.Minute
	// bootstrapLinks is how many agents of the membership list a router
	// without a configuration asks for theirs.
	bootstrapLinks = 3
	// maxAbandoned bounds the cancels kept for an agent out of reach.
	maxAbandoned = 10_000
)

// linkSet is the set of links of a router.
type linkSet struct {
	router *Router
	mu     sync.Mutex
	byName map[string]*agentLink
	subset map[string][]string // names by pool
	ctx    context.Context

	parkMu sync.Mutex
	parked map[*call]bool // wait for an agent to be reached
}

func newLinkSet(r *Router) *linkSet {
	return &linkSet{router: r, byName: map[string]*agentLink{}, subset: map[string][]string{}, parked: map[*call]bool{}}
}

// run keeps links to a subset of each pool, spread over failure domains.
func (s *linkSet) run(ctx context.Context) {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	revision := uint64(0)
	for ctx.Err() == nil {
		changed := s.router.Config.Changed()
		if s.router.Config.Ready() {
			s.reconcile(s.router.Config.View())
			if now := s.router.Config.View().Revision; now != revision {
				revision = now
				s.pokeAll()
			}
		} else {
			s.bootstrap()
		}
		select {
		case <-changed:
		case <-time.After(reconcileEvery):
		case <-ctx.Done():
		}
	}
}

// bootstrap opens links to a few listed agents, which bring the configuration
// while the log is out.
func (s *linkSet) bootstrap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.router.members.Members() {
		if len(s.byName) >= bootstrapLinks {
			return
		}
		if m.Role == "agent" && s.byName[m.Name] == nil {
			s.openLocked(resource.Server{Name: m.Name, Agent: m.Address, FailureDomain: m.FailureDomain})
		}
	}
}

// reconcile opens and closes links so that they fit the configuration.
func (s *linkSet) reconcile(v *resource.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	declared := map[string]resource.Server{}
	wanted := map[string]bool{}
	for name, pool := range v.Pools {
		s.subset[name] = s.choose(pool)
		for _, n := range s.subset[name] {
			wanted[n] = true
		}
		for _, server := range pool.Servers {
			declared[server.Name] = server
		}
	}
	for name, l := range s.byName {
		server, ok := declared[name]
		if !ok || server != l.server || (!wanted[name] && l.idle()) {
			l.cancel()
			delete(s.byName, name)
		}
	}
	for name := range wanted {
		if s.byName[name] == nil {
			s.openLocked(declared[name])
		}
	}
}

// pokeAll tells every agent the revision in force at once.
func (s *linkSet) pokeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.byName {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.TriggerHeartbeat()
		}
		l.mu.Unlock()
	}
}

func (s *linkSet) choose(pool *resource.Pool) []string {
	domains := map[string]string{}
	for _, server := range pool.Servers {
		domains[server.Name] = server.FailureDomain
	}
	names := make([]string, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	sort.Strings(names)
	return rendezvous.Spread(s.router.set.Name, names, func(n string) string { return domains[n] }, s.router.set.Policy.Subset)
}

func (s *linkSet) openLocked(server resource.Server) *agentLink {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &agentLink{router: s.router, server: server, cancel: cancel, attempts: map[attemptID]*call{}, used: time.Now()}
	s.byName[server.Name] = l
	go l.run(ctx)
	return l
}

// pool returns the links to the subset of a pool.
func (s *linkSet) pool(name string) []*agentLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*agentLink, 0, len(s.subset[name]))
	for _, n := range s.subset[name] {
		if l := s.byName[n]; l != nil {
			out = append(out, l)
		}
	}
	return out
}

// park notes a call that waits for an agent to be reached.
func (s *linkSet) park(c *call) {
	s.parkMu.Lock()
	defer s.parkMu.Unlock()
	s.parked[c] = true
}

func (s *linkSet) unpark(c *call) {
	s.parkMu.Lock()
	defer s.parkMu.Unlock()
	delete(s.parked, c)
}

// reached tells the parked calls that an agent came back or serves more.
func (s *linkSet) reached() {
	s.parkMu.Lock()
	defer s.parkMu.Unlock()
	for c := range s.parked {
		c.post(placeAgain{})
		delete(s.parked, c)
	}
}

// server returns the link to one declared server, opening one outside of the
// subset if need be.
func (s *linkSet) server(server resource.Server) *agentLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.byName[server.Name]
	if l == nil {
		l = s.openLocked(server)
	}
	l.mu.Lock()
	l.used = time.Now()
	l.mu.Unlock()
	return l
}

func (s *linkSet) status() []ProcessStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]ProcessStatus, 0, len(s.byName))
	for _, l := range s.byName {
		out = append(out, l.status())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
