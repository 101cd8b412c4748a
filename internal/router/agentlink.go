package router

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/link"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
	"github.com/merlinpost/merlinpost/internal/wire"
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
		HeartbeatInterval: settings.Millis(l.router.set.Link.HeartbeatMS), PeerTimeout: settings.Millis(l.router.set.Link.SilentMS),
		NewHeartbeat: func() *wire.Heartbeat { return &wire.Heartbeat{Revision: l.router.Config.View().Revision} }})
	if err != nil {
		telemetry.Count("merlinpost_links_failed_total", "code", string(fault.From(err).Code))
		return err
	}
	if conn.Peer().Name != l.server.Name {
		conn.Close()
		return fault.New(fault.NoBackendServer, "agent %q answers in place of %q", conn.Peer().Name, l.server.Name)
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
	conn.AddRequests(int64(len(l.attempts)))
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
	case *wire.Heartbeat:
		l.takeBeat(m)
	case *wire.OfferResponse:
		l.takeLoad(m.Load)
		l.pass(attemptID{m.ID, m.Attempt}, m)
	case *wire.Chunk:
		l.pass(attemptID{m.ID, m.Attempt}, m)
	case *wire.End:
		l.takeLoad(m.Load)
		l.pass(attemptID{m.ID, m.Attempt}, m)
	case *wire.Cancelled:
		l.pass(attemptID{m.ID, m.Attempt}, m)
	case *wire.ConfigRequest:
		l.answerPull(m)
	case *wire.ConfigSnapshot:
		if len(m.Data) > 0 && l.router.Config.InstallSnapshot(m.Data) != nil {
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

func (l *agentLink) takeBeat(m *wire.Heartbeat) {
	l.takeLoad(m.Load)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = m.Revision
	config := l.router.Config
	if own := config.View().Revision; m.Revision > own && !config.LogUp() && l.conn != nil {
		l.conn.Send(&wire.ConfigRequest{NewerThan: own})
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

func (l *agentLink) answerPull(m *wire.ConfigRequest) {
	config := l.router.Config
	revision, data, err := config.EncodeSnapshot(m.NewerThan)
	if err != nil || !config.Ready() {
		data = nil
	}
	l.send(&wire.ConfigSnapshot{Revision: revision, Data: data})
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
		return "", fault.New(fault.LinkBusy, "no link to %q", l.server.Name).WithOutcome(fault.NotRun)
	}
	id := attemptID{o.ID, o.Attempt}
	l.attempts[id] = c
	l.used = time.Now()
	if !l.conn.Send(o) {
		delete(l.attempts, id)
		// The ring was full, so the offer is not on the link.
		return "", fault.New(fault.LinkBusy, "the link to %q is overrun", l.server.Name).WithOutcome(fault.NotRun)
	}
	l.sent++
	l.conn.AddRequests(1)
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
		l.conn.AddRequests(-1)
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
