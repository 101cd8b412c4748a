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

// attemptID identifies one attempt of a request on a link.
type attemptKey struct {
	requestID string
	attempt   uint32
}

// agentLink is the link to one agent and the agent's last reported state. Its
// run method needs a goroutine of its own; the other methods are safe for
// concurrent use.
type agentLink struct {
	router *Router
	server resource.Server
	cancel context.CancelFunc

	mu                sync.Mutex
	conn              *link.Conn // nil while down
	incarnation       string
	revision          uint64
	load              wire.Load
	serving           map[string]bool
	offersSinceReport int     // offers sent since the agent's last load report
	ewmaFirstTokenMS  float64 // moving average of the time to first token; 0 before the first sample
	attempts          map[attemptKey]*call
	pendingCancels    []attemptKey // to be sent after a reconnect
	lastUsed          time.Time
}

func (l *agentLink) status() ProcessStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ProcessStatus{Name: l.server.Name, Role: "agent", Up: l.conn != nil, Draining: l.load.Draining, Serving: len(l.serving) > 0,
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
	return len(l.attempts) == 0 && time.Since(l.lastUsed) > idleLinkTimeout
}

// run keeps the agent connected until ctx ends, redialing with exponential backoff.
func (l *agentLink) run(ctx context.Context) {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval, delay.MaxInterval = redialMinDelay, redialMaxDelay
	for ctx.Err() == nil {
		if err := l.runConnection(ctx); err == nil {
			delay.Reset()
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(delay.NextBackOff()):
		}
	}
	l.markDown()
}

// runConnection opens one connection and serves it until it ends. It returns an
// error only if the connection was not established.
func (l *agentLink) runConnection(ctx context.Context) error {
	dialer := net.Dialer{Timeout: settings.Millis(l.router.settings.Link.SilentMS)}
	nc, err := dialer.DialContext(ctx, "tcp", l.server.Agent)
	if err != nil {
		return err
	}
	conn, err := link.Open(nc, l.router.hello(), link.Options{
		HeartbeatInterval: settings.Millis(l.router.settings.Link.HeartbeatMS), PeerTimeout: settings.Millis(l.router.settings.Link.SilentMS),
		NewHeartbeat: func() *wire.Heartbeat { return &wire.Heartbeat{Revision: l.router.Config.View().Revision} }})
	if err != nil {
		telemetry.Count("merlinpost_links_failed_total", "code", string(fault.From(err).Code))
		return err
	}
	if conn.Peer().Name != l.server.Name {
		conn.Close()
		return fault.New(fault.NoBackendServer, "agent address %s belongs to %q, expected %q", l.server.Agent, conn.Peer().Name, l.server.Name)
	}
	l.markUp(conn)
	l.router.links.notifyWaiters()
	err = conn.Run(ctx, l.handleMessage)
	telemetry.Count("merlinpost_links_ended_total", "code", string(fault.From(err).Code))
	l.markDown()
	l.router.logger.Info("link lost", "server", l.server.Name, "error", err)
	return nil
}

func (l *agentLink) markUp(conn *link.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	peer := conn.Peer()
	sameProcess := l.incarnation == peer.Incarnation
	l.conn, l.incarnation, l.revision = conn, peer.Incarnation, peer.Revision
	conn.AddRequests(int64(len(l.attempts)))
	l.offersSinceReport = 0
	if !sameProcess {
		l.serving, l.load = nil, wire.Load{}
		l.pendingCancels = nil // the attempts ended with the old process
	}
	for _, a := range l.pendingCancels {
		conn.Send(&wire.Cancel{ID: a.requestID, Attempt: a.attempt})
	}
	l.pendingCancels = nil
	for _, c := range l.attempts {
		c.enqueue(linkUpEvent{l, l.incarnation})
	}
	l.router.logger.Info("link up", "server", l.server.Name, "same_process", sameProcess)
}

func (l *agentLink) markDown() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return
	}
	l.conn = nil
	for _, c := range l.attempts {
		c.enqueue(linkDownEvent{l})
	}
}

// handleMessage processes a received message on the link's read goroutine.
func (l *agentLink) handleMessage(m wire.Message) {
	switch m := m.(type) {
	case *wire.Heartbeat:
		l.handleHeartbeat(m)
	case *wire.OfferResponse:
		l.updateLoad(m.Load)
		l.forwardToCall(attemptKey{m.ID, m.Attempt}, m)
	case *wire.Chunk:
		l.forwardToCall(attemptKey{m.ID, m.Attempt}, m)
	case *wire.End:
		l.updateLoad(m.Load)
		l.forwardToCall(attemptKey{m.ID, m.Attempt}, m)
	case *wire.Cancelled:
		l.forwardToCall(attemptKey{m.ID, m.Attempt}, m)
	case *wire.ConfigRequest:
		l.handleConfigRequest(m)
	case *wire.ConfigSnapshot:
		if len(m.Data) > 0 && l.router.Config.InstallSnapshot(m.Data) != nil {
			telemetry.Count("merlinpost_config_from_peer_broken_total")
		}
	}
}

func (l *agentLink) forwardToCall(id attemptKey, m wire.Message) {
	l.mu.Lock()
	c := l.attempts[id]
	l.mu.Unlock()
	if c != nil {
		c.enqueue(m)
	}
}

func (l *agentLink) handleHeartbeat(m *wire.Heartbeat) {
	l.updateLoad(m.Load)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = m.Revision
	config := l.router.Config
	if own := config.View().Revision; m.Revision > own && !config.LogUp() && l.conn != nil {
		l.conn.Send(&wire.ConfigRequest{NewerThan: own})
	}
}

func (l *agentLink) updateLoad(load *wire.Load) {
	if load == nil {
		return
	}
	l.mu.Lock()
	l.load, l.offersSinceReport = *load, 0
	if load.Serving != nil {
		l.serving = map[string]bool{}
		for _, t := range load.Serving {
			l.serving[t] = true
		}
	}
	l.mu.Unlock()
	if load.Serving != nil {
		l.router.links.notifyWaiters()
	}
}

func (l *agentLink) handleConfigRequest(m *wire.ConfigRequest) {
	config := l.router.Config
	revision, data, err := config.EncodeSnapshot(m.NewerThan)
	if err != nil || !config.Ready() {
		data = nil
	}
	l.send(&wire.ConfigSnapshot{Revision: revision, Data: data})
}

// send sends m and reports whether the link was up and accepted it.
func (l *agentLink) send(m wire.Message) bool {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	return conn != nil && conn.Send(m)
}

// register routes the messages of an attempt to c and sends its offer. It
// returns the incarnation of the agent process.
func (l *agentLink) register(c *call, offer *wire.Offer) (string, *fault.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil {
		return "", fault.New(fault.LinkBusy, "link to agent %q is down", l.server.Name).WithOutcome(fault.NotRun)
	}
	id := attemptKey{offer.ID, offer.Attempt}
	l.attempts[id] = c
	l.lastUsed = time.Now()
	if !l.conn.Send(offer) {
		delete(l.attempts, id)
		// The send buffer was full, so the offer was not sent.
		return "", fault.New(fault.LinkBusy, "send buffer of the link to agent %q is full", l.server.Name).WithOutcome(fault.NotRun)
	}
	l.offersSinceReport++
	l.conn.AddRequests(1)
	return l.incarnation, nil
}

// state returns the incarnation of the agent process last connected to and
// whether the link is up.
func (l *agentLink) connectionState() (incarnation string, up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation, l.conn != nil
}

func (l *agentLink) unregister(id attemptKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.attempts[id]; !ok {
		return
	}
	delete(l.attempts, id)
	if l.conn != nil {
		l.conn.AddRequests(-1)
	}
}

// cancelAttempt sends a cancel now or, if the link is down, after the next
// reconnect to the same process.
func (l *agentLink) cancelAttempt(id attemptKey) {
	if l.send(&wire.Cancel{ID: id.requestID, Attempt: id.attempt}) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pendingCancels) < maxPendingCancels { // otherwise the agent ends it by its orphan timeout
		l.pendingCancels = append(l.pendingCancels, id)
	}
}

// reconnect closes the connection if it is still to the given agent process;
// run then dials a new one.
func (l *agentLink) closeConnectionTo(incarnation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil && l.incarnation == incarnation {
		telemetry.Count("merlinpost_links_replaced_total")
		l.conn.Close()
	}
}

// firstTokenSampleWeight is the weight of a new sample in the exponentially
// weighted moving average of the time to first token.
const firstTokenEWMAWeight = 0.1

// recordFirstToken adds a sample of the time from offer to first token.
func (l *agentLink) recordFirstToken(d time.Duration) {
	ms := float64(d) / float64(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ewmaFirstTokenMS == 0 {
		l.ewmaFirstTokenMS = ms
		return
	}
	l.ewmaFirstTokenMS += firstTokenEWMAWeight * (ms - l.ewmaFirstTokenMS)
}
