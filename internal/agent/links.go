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

// maxAcceptedLinks limits the number of links that routers and other agents have open
// to this agent.
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
			time.Sleep(tickInterval) // usually the file descriptor limit: wait for connections to close
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			telemetry.Count("merlinpost_links_refused_total")
			_ = nc.Close() // the link limit is reached
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

// serveLink runs an accepted link until it ends.
func (a *Agent) serveLink(ctx context.Context, nc net.Conn) {
	p := &peerLink{agent: a, id: execution.LinkID(a.loop.lastLinkID.Add(1))}
	conn, err := link.Open(nc, a.newHello(), a.linkOptions(p.newHeartbeat))
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

// onOpen registers the link and closes the older link of the same router process.
func (p *peerLink) onOpen(now time.Time) {
	l := p.agent.loop
	l.conns[p.id] = p.conn
	// The first heartbeat must be sent after the registration in conns. It includes
	// every change up to then; a later change reaches this link through
	// triggerHeartbeats, which covers only registered links.
	p.conn.Send(p.newHeartbeat())
	if p.conn.Peer().Role == "router" {
		if superseded := l.core.LinkUp(now, p.id, p.conn.Peer().Name+"/"+p.conn.Peer().Incarnation); superseded != 0 {
			if c := l.conns[superseded]; c != nil {
				c.Close()
			}
		}
	}
}

// onClose removes the link. Its attempts are kept until the orphan timeout.
func (p *peerLink) onClose(now time.Time) {
	l := p.agent.loop
	delete(l.conns, p.id)
	l.core.LinkDown(now, p.id)
}

// newHeartbeat returns a heartbeat with the complete list of served targets, so that
// a lost or reordered heartbeat is corrected by the next one.
func (p *peerLink) newHeartbeat() *wire.Heartbeat {
	h := p.agent.loop.newHeartbeat()
	load := *h.Load // a copy, because the load report is shared between links
	load.Serving = p.agent.servingTargets.list()
	h.Load = &load
	return h
}

// handleMessage passes a received message to the component that handles it.
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

// sendConfig sends the configuration to a peer. The message has no data if the
// configuration of this agent is not ready.
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

// installConfig installs a configuration received from a peer.
func (a *Agent) installConfig(m *wire.ConfigSnapshot) {
	if len(m.Data) == 0 {
		return
	}
	if err := a.config.InstallSnapshot(m.Data); err != nil {
		telemetry.Count("merlinpost_config_from_peer_broken_total")
	}
}
