package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/execution"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/link"
	"github.com/merlinpost/merlinpost/internal/telemetry"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// maxAcceptedLinks limits the links opened to this agent by routers and other
// agents.
const maxAcceptedLinks = 4096

// acceptLinks accepts links until the listener is closed and returns when all
// accepted links have ended.
func (a *Agent) acceptLinks(ctx context.Context) {
	var links sync.WaitGroup
	defer links.Wait()
	slots := make(chan struct{}, maxAcceptedLinks)
	for {
		nc, err := a.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(tickInterval) // most likely out of file descriptors
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			telemetry.Count("merlinpost_links_refused_total")
			_ = nc.Close() // over the limit
			continue
		}
		links.Go(func() {
			defer func() { <-slots }()
			a.serveLink(ctx, nc)
		})
	}
}

// peerLink is an accepted link from a router or another agent.
type peerLink struct {
	agent *Agent
	id    execution.LinkID
	conn  *link.Conn
}

func (a *Agent) serveLink(ctx context.Context, nc net.Conn) {
	p := &peerLink{agent: a, id: execution.LinkID(a.loop.lastLinkID.Add(1))}
	conn, err := link.Open(nc, a.newHello("agent"), a.linkOptions(p.newHeartbeat))
	if err != nil {
		telemetry.Count("merlinpost_links_failed_total", "code", string(fault.From(err).Code))
		return
	}
	p.conn = conn
	a.loop.post(ctx, func(now time.Time) { p.onOpen(now) })
	err = conn.Run(ctx, func(m wire.Message) { p.handleMessage(ctx, m) })
	telemetry.Count("merlinpost_links_ended_total", "code", string(fault.From(err).Code))
	a.loop.post(ctx, func(now time.Time) { p.onClose(now) })
}

func (p *peerLink) onOpen(now time.Time) {
	l := p.agent.loop
	l.conns[p.id] = p.conn
	// The first heartbeat must follow the registration in conns. A change before
	// it is included in the heartbeat; a later one reaches this link through
	// sendHeartbeats, which only covers registered links.
	p.conn.Send(p.newHeartbeat())
	if p.conn.Peer().Role == "router" {
		if old := l.core.LinkUp(now, p.id, p.conn.Peer().Name+"/"+p.conn.Peer().Incarnation); old != 0 {
			if c := l.conns[old]; c != nil {
				c.Close()
			}
		}
	}
}

func (p *peerLink) onClose(now time.Time) {
	l := p.agent.loop
	delete(l.conns, p.id)
	l.core.LinkDown(now, p.id)
}

// heartbeat returns a heartbeat with the complete list of targets, so that each
// heartbeat corrects lost or reordered ones.
func (p *peerLink) newHeartbeat() *wire.Heartbeat {
	b := p.agent.loop.newHeartbeat()
	load := *b.Load
	load.Serving = p.agent.servingTargets.list()
	b.Load = &load
	return b
}

// dispatch passes a received message to the component that handles it.
func (p *peerLink) handleMessage(ctx context.Context, m wire.Message) {
	a, l := p.agent, p.agent.loop
	switch m := m.(type) {
	case *wire.Offer:
		l.post(ctx, func(now time.Time) { l.core.Offer(now, p.id, m) })
	case *wire.Ack:
		l.post(ctx, func(now time.Time) { l.core.Ack(now, p.id, m) })
	case *wire.Cancel:
		l.post(ctx, func(now time.Time) { l.core.Cancel(now, p.id, m) })
	case *wire.Resume:
		l.post(ctx, func(now time.Time) { l.core.Resume(now, p.id, m) })
	case *wire.ClaimRequest:
		l.post(ctx, func(now time.Time) { p.conn.Send(l.core.Keys().HandleClaim(now, m)) })
	case *wire.Heartbeat:
		if m.Revision > a.config.View().Revision && !a.config.LogUp() {
			p.conn.Send(&wire.ConfigRequest{NewerThan: a.config.View().Revision})
		}
	case *wire.ConfigRequest:
		a.sendConfig(p.conn, m)
	case *wire.ConfigSnapshot:
		a.installConfig(m)
	}
}

// sendConfig sends the configuration to a peer, without data if the one held here
// is not ready.
func (a *Agent) sendConfig(conn *link.Conn, m *wire.ConfigRequest) {
	revision, data, err := a.config.EncodeSnapshot(m.NewerThan)
	if err != nil {
		a.logger.Error("failed to encode the configuration for a peer", "error", err)
		return
	}
	if !a.config.Ready() {
		data = nil
	}
	conn.Send(&wire.ConfigSnapshot{Revision: revision, Data: data})
}

func (a *Agent) installConfig(m *wire.ConfigSnapshot) {
	if len(m.Data) == 0 {
		return
	}
	if err := a.config.InstallSnapshot(m.Data); err != nil {
		telemetry.Count("merlinpost_config_from_peer_broken_total")
	}
}
