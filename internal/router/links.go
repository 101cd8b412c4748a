package router

import (
	"context"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/link"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
	"github.com/merlinpost/merlinpost/internal/wire"
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

// attemptID names an attempt on a link.
type attemptID struct {
	id      string
	attempt uint32
}

// agentLink is the link to one agent and what is known of it. Its run method
// is a duty; the rest may be called from any goroutine.
type agentLink struct {
	router *Router
	server resource.Server
	cancel context.CancelFunc

	mu          sync.Mutex
	conn        *link.Conn // nil while down
	incarnation string
	revision    uint64
	load        wire.Load
	serving     map[string]bool
	sent        int     // offers since the last report
	firstMS     float64 // mean time to first token
	attempts    map[attemptID]*call
	abandoned   []attemptID
	used        time.Time
}

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
			l.conn.Poke()
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

func (l *agentLink) status() ProcessStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ProcessStatus{Name: l.server.Name, Role: "agent", Up: l.conn != nil, Leaving: l.load.Draining, Serving: len(l.serving) > 0,
		Revision: l.revision, Running: sum(l.load.Running), Queued: sum(l.load.Queued)}
}

func (l *agentLink) serves(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn != nil && !l.load.Draining && l.serving[target]
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func (l *agentLink) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.attempts) == 0 && time.Since(l.used) > idleLink
}

// run dials the agent again and again until ctx ends.
func (l *agentLink) run(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = redialFirst, redialMost
	for ctx.Err() == nil {
		if err := l.connect(ctx); err == nil {
			wait.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
	l.down()
}

// connect holds one link until it ends; an error means that it never worked.
func (l *agentLink) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: settings.Millis(l.router.set.Link.SilentMS)}
	nc, err := dialer.DialContext(ctx, "tcp", l.server.Agent)
	if err != nil {
		return err
	}
	conn, err := link.Open(nc, l.router.hello(), link.Options{
		Heartbeat: settings.Millis(l.router.set.Link.HeartbeatMS), Silent: settings.Millis(l.router.set.Link.SilentMS),
		Beat: func() *wire.Beat { return &wire.Beat{Revision: l.router.Config.View().Revision} }})
	if err != nil {
		telemetry.Count("merlinpost_links_failed_total", "code", string(fault.From(err).Code))
		return err
	}
	if conn.Peer().Name != l.server.Name {
		conn.Close()
		return fault.New(fault.NoServer, "agent %q answers in place of %q", conn.Peer().Name, l.server.Name)
	}
	l.up(conn)
	l.router.links.reached()
	err = conn.Run(ctx, l.receive)
	telemetry.Count("merlinpost_links_ended_total", "code", string(fault.From(err).Code))
	l.down()
	l.router.logger.Info("link lost", "server", l.server.Name, "error", err)
	return nil
}

func (l *agentLink) up(conn *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := conn.Peer()
	same := l.incarnation == peer.Incarnation
	l.conn, l.incarnation, l.revision = conn, peer.Incarnation, peer.Revision
	conn.Use(int64(len(l.attempts)))
	l.sent = 0
	if !same {
		l.serving, l.load = nil, wire.Load{}
		l.abandoned = nil // the new process knows nothing of them
	}
	for _, a := range l.abandoned {
		conn.Send(&wire.Cancel{ID: a.id, Attempt: a.attempt})
	}
	l.abandoned = nil
	for _, c := range l.attempts {
		c.post(linkUp{l, l.incarnation})
	}
	l.router.logger.Info("link up", "server", l.server.Name, "same_process", same)
}

func (l *agentLink) down() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return
	}
	l.conn = nil
	for _, c := range l.attempts {
		c.post(linkDown{l})
	}
}

// receive takes in a message on the link's reading goroutine.
func (l *agentLink) receive(m wire.Message) {
	switch m := m.(type) {
	case *wire.Beat:
		l.takeBeat(m)
	case *wire.Verdict:
		l.takeLoad(m.Load)
		l.pass(attemptID{m.ID, m.Attempt}, m)
	case *wire.Chunk:
		l.pass(attemptID{m.ID, m.Attempt}, m)
	case *wire.End:
		l.takeLoad(m.Load)
		l.pass(attemptID{m.ID, m.Attempt}, m)
	case *wire.Cancelled:
		l.pass(attemptID{m.ID, m.Attempt}, m)
	case *wire.ConfigPull:
		l.answerPull(m)
	case *wire.ConfigState:
		if len(m.Data) > 0 && l.router.Config.Install(m.Data) != nil {
			telemetry.Count("merlinpost_config_from_peer_broken_total")
		}
	}
}

func (l *agentLink) pass(id attemptID, m wire.Message) {
	l.mu.Lock()
	c := l.attempts[id]
	l.mu.Unlock()
	if c != nil {
		c.post(m)
	}
}

func (l *agentLink) takeBeat(m *wire.Beat) {
	l.takeLoad(m.Load)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = m.Revision
	config := l.router.Config
	if own := config.View().Revision; m.Revision > own && !config.LogUp() && l.conn != nil {
		l.conn.Send(&wire.ConfigPull{Above: own})
	}
}

func (l *agentLink) takeLoad(load *wire.Load) {
	if load == nil {
		return
	}
	l.mu.Lock()
	l.load, l.sent = *load, 0
	if load.Serving != nil {
		l.serving = map[string]bool{}
		for _, t := range load.Serving {
			l.serving[t] = true
		}
	}
	l.mu.Unlock()
	if load.Serving != nil {
		l.router.links.reached()
	}
}

func (l *agentLink) answerPull(m *wire.ConfigPull) {
	config := l.router.Config
	revision, data, err := config.Encode(m.Above)
	if err != nil || !config.Ready() {
		data = nil
	}
	l.send(&wire.ConfigState{Revision: revision, Data: data})
}

// send sends if the link is up.
func (l *agentLink) send(m wire.Message) bool {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	return conn != nil && conn.Send(m)
}

// register routes the messages of an attempt to c and sends its offer.
// It returns the identity of the agent's process.
func (l *agentLink) register(c *call, o *wire.Offer) (string, *fault.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return "", fault.New(fault.LinkBusy, "no link to %q", l.server.Name).With(fault.NotRun)
	}
	id := attemptID{o.ID, o.Attempt}
	l.attempts[id] = c
	l.used = time.Now()
	if !l.conn.Send(o) {
		delete(l.attempts, id)
		// The ring was full, so the offer is not on the link.
		return "", fault.New(fault.LinkBusy, "the link to %q is overrun", l.server.Name).With(fault.NotRun)
	}
	l.sent++
	l.conn.Use(1)
	return l.incarnation, nil
}

// state returns the identity of the agent's process and whether it is reached.
func (l *agentLink) state() (incarnation string, up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation, l.conn != nil
}

func (l *agentLink) unregister(id attemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.attempts[id]; !known {
		return
	}
	delete(l.attempts, id)
	if l.conn != nil {
		l.conn.Use(-1)
	}
}

// abandon cancels an attempt now or when the agent is reached again.
func (l *agentLink) abandon(id attemptID) {
	if l.send(&wire.Cancel{ID: id.id, Attempt: id.attempt}) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.abandoned) < maxAbandoned { // else the agent ends it as an orphan
		l.abandoned = append(l.abandoned, id)
	}
}

// replace ends the present connection to the given process, if it still is one;
// run dials a new one.
func (l *agentLink) replace(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.incarnation == incarnation {
		telemetry.Count("merlinpost_links_replaced_total")
		l.conn.Close()
	}
}

// firstWeight is the weight of a new sample in the mean time to first token.
const firstWeight = 0.1

// firstToken takes in a measured time from offer to first token.
func (l *agentLink) firstToken(d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstMS == 0 {
		l.firstMS = ms
		return
	}
	l.firstMS += firstWeight * (ms - l.firstMS)
}
