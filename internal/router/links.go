package router

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/rendezvous"
	"github.com/merlinpost/merlinpost/internal/resource"
)

const (
	reconcileInterval = time.Second
	redialMinDelay    = 50 * time.Millisecond
	redialMaxDelay    = 2 * time.Second
	// idleLinkTimeout is how long an unused link outside the subset stays open.
	idleLinkTimeout = time.Minute
	// maxBootstrapLinks bounds the agents that a router without a configuration
	// connects to in order to get one.
	maxBootstrapLinks = 3
	// maxPendingCancels bounds the cancels kept per unreachable agent.
	maxPendingCancels = 10_000
)

// linkSet holds the links of a router.
type linkSet struct {
	router        *Router
	mu            sync.Mutex
	linksByServer map[string]*agentLink
	subsetsByPool map[string][]string // server names by pool
	ctx           context.Context

	waitersMu sync.Mutex
	waiters   map[*call]bool // calls waiting for a reachable agent
}

func newLinkSet(r *Router) *linkSet {
	return &linkSet{router: r, linksByServer: map[string]*agentLink{}, subsetsByPool: map[string][]string{}, waiters: map[*call]bool{}}
}

// run maintains links to a subset of each pool, spread over failure domains.
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
				s.triggerHeartbeats()
			}
		} else {
			s.bootstrap()
		}
		select {
		case <-changed:
		case <-time.After(reconcileInterval):
		case <-ctx.Done():
		}
	}
}

// bootstrap opens links to a few agents of the membership list, from which the
// router can get the configuration while the configuration log is unavailable.
func (s *linkSet) bootstrap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.router.members.Members() {
		if len(s.linksByServer) >= maxBootstrapLinks {
			return
		}
		if m.Role == "agent" && s.linksByServer[m.Name] == nil {
			s.openLocked(resource.Server{Name: m.Name, Agent: m.Address, FailureDomain: m.FailureDomain})
		}
	}
}

// reconcile opens and closes links to match the configuration.
func (s *linkSet) reconcile(v *resource.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	declared := map[string]resource.Server{}
	wanted := map[string]bool{}
	for name, pool := range v.Pools {
		s.subsetsByPool[name] = s.selectSubset(pool)
		for _, n := range s.subsetsByPool[name] {
			wanted[n] = true
		}
		for _, server := range pool.Servers {
			declared[server.Name] = server
		}
	}
	for name, l := range s.linksByServer {
		server, ok := declared[name]
		if !ok || server != l.server || (!wanted[name] && l.idle()) {
			l.cancel()
			delete(s.linksByServer, name)
		}
	}
	for name := range wanted {
		if s.linksByServer[name] == nil {
			s.openLocked(declared[name])
		}
	}
}

// sendHeartbeats announces the current revision to every agent without waiting
// for the next heartbeat.
func (s *linkSet) triggerHeartbeats() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.linksByServer {
		l.mu.Lock()
		if l.conn != nil {
			l.conn.TriggerHeartbeat()
		}
		l.mu.Unlock()
	}
}

func (s *linkSet) selectSubset(pool *resource.Pool) []string {
	domains := map[string]string{}
	for _, server := range pool.Servers {
		domains[server.Name] = server.FailureDomain
	}
	names := make([]string, 0, len(domains))
	for name := range domains {
		names = append(names, name)
	}
	sort.Strings(names)
	return rendezvous.Spread(s.router.settings.Name, names, func(n string) string { return domains[n] }, s.router.settings.Policy.Subset)
}

func (s *linkSet) openLocked(server resource.Server) *agentLink {
	ctx, cancel := context.WithCancel(s.ctx)
	l := &agentLink{router: s.router, server: server, cancel: cancel, attempts: map[attemptKey]*call{}, lastUsed: time.Now()}
	s.linksByServer[server.Name] = l
	go l.run(ctx)
	return l
}

// poolLinks returns the links to the selected servers of a pool.
func (s *linkSet) subsetLinks(name string) []*agentLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*agentLink, 0, len(s.subsetsByPool[name]))
	for _, n := range s.subsetsByPool[name] {
		if l := s.linksByServer[n]; l != nil {
			out = append(out, l)
		}
	}
	return out
}

// addWaiter registers a call to be notified when an agent becomes available.
func (s *linkSet) addWaiter(c *call) {
	s.waitersMu.Lock()
	defer s.waitersMu.Unlock()
	s.waiters[c] = true
}

func (s *linkSet) removeWaiter(c *call) {
	s.waitersMu.Lock()
	defer s.waitersMu.Unlock()
	delete(s.waiters, c)
}

// notifyWaiters tells the waiting calls that an agent reconnected or reported
// what it serves, and removes them.
func (s *linkSet) notifyWaiters() {
	s.waitersMu.Lock()
	defer s.waitersMu.Unlock()
	for c := range s.waiters {
		c.enqueue(agentAvailableEvent{})
		delete(s.waiters, c)
	}
}

// linkTo returns the link to a declared server and opens one if there is none,
// also to a server outside the subset.
func (s *linkSet) getOrOpen(server resource.Server) *agentLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.linksByServer[server.Name]
	if l == nil {
		l = s.openLocked(server)
	}
	l.mu.Lock()
	l.lastUsed = time.Now()
	l.mu.Unlock()
	return l
}

func (s *linkSet) status() []ProcessStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]ProcessStatus, 0, len(s.linksByServer))
	for _, l := range s.linksByServer {
		out = append(out, l.status())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
