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

// maxLinks bounds the links that others may open to this agent.
const maxLinks = 4096

// acceptLinks takes links until the listener is closed.
func (a *Agent) acceptLinks(ctx context.Context) {
	var links sync.WaitGroup
	defer links.Wait()
	room := make(chan struct{}, maxLinks)
	for {
		nc, err := a.listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(tickEvery) // out of file descriptors, most likely
			continue
		}
		select {
		case room <- struct{}{}:
		default:
			telemetry.Count("merlinpost_links_refused_total")
			_ = nc.Close() // refused
			continue
		}
		links.Go(func() {
			defer func() { <-room }()
			a.serveLink(ctx, nc)
		})
	}
}

// peerLink is one accepted link and what it was last told.
type peerLink struct {
	agent *Agent
	id    execution.LinkID
	conn  *link.Conn
}

func (a *Agent) serveLink(ctx context.Context, nc net.Conn) {
	p := &peerLink{agent: a, id: execution.LinkID(a.core.lastID.Add(1))}
	conn, err := link.Open(nc, a.hello("agent"), a.linkOptions(p.beat))
	if err != nil {
		telemetry.Count("merlinpost_links_failed_total", "code", string(fault.From(err).Code))
		return
	}
	p.conn = conn
	a.core.post(ctx, func(now time.Time) { p.up(now) })
	err = conn.Run(ctx, func(m wire.Message) { p.receive(ctx, m) })
	telemetry.Count("merlinpost_links_ended_total", "code", string(fault.From(err).Code))
	a.core.post(ctx, func(now time.Time) { p.down(now) })
}

func (p *peerLink) up(now time.Time) {
	d := p.agent.core
	d.conns[p.id] = p.conn
	// Only now: what changes from here on is told by a poke of all links, which would
	// have passed this one by before.
	p.conn.Send(p.beat())
	if p.conn.Peer().Role == "router" {
		if old := d.core.LinkUp(now, p.id, p.conn.Peer().Name+"/"+p.conn.Peer().Incarnation); old != 0 {
			if c := d.conns[old]; c != nil {
				c.Close()
			}
		}
	}
}

func (p *peerLink) down(now time.Time) {
	d := p.agent.core
	delete(d.conns, p.id)
	d.core.LinkDown(now, p.id)
}

// beat makes a heartbeat with the list of targets. The list comes with each, so
// that whatever was lost or overtaken is right again with the next.
func (p *peerLink) beat() *wire.Heartbeat {
	b := p.agent.core.beat()
	load := *b.Load
	load.Serving = p.agent.serving.list()
	b.Load = &load
	return b
}

// receive hands a message to the duty that it is for.
func (p *peerLink) receive(ctx context.Context, m wire.Message) {
	a, d := p.agent, p.agent.core
	switch m := m.(type) {
	case *wire.Offer:
		d.post(ctx, func(now time.Time) { d.core.Offer(now, p.id, m) })
	case *wire.Ack:
		d.post(ctx, func(now time.Time) { d.core.Ack(now, p.id, m) })
	case *wire.Cancel:
		d.post(ctx, func(now time.Time) { d.core.Cancel(now, p.id, m) })
	case *wire.Resume:
		d.post(ctx, func(now time.Time) { d.core.Resume(now, p.id, m) })
	case *wire.ClaimRequest:
		d.post(ctx, func(now time.Time) { p.conn.Send(d.core.Keys().HandleClaim(now, m)) })
	case *wire.Heartbeat:
		if m.Revision > a.config.View().Revision && !a.config.LogUp() {
			p.conn.Send(&wire.ConfigRequest{NewerThan: a.config.View().Revision})
		}
	case *wire.ConfigRequest:
		a.answerPull(p.conn, m)
	case *wire.ConfigSnapshot:
		a.installConfig(m)
	}
}

// answerPull gives a peer the configuration if this process has a newer one.
func (a *Agent) answerPull(conn *link.Conn, m *wire.ConfigRequest) {
	revision, data, err := a.config.EncodeSnapshot(m.NewerThan)
	if err != nil {
		a.logger.Error("configuration not encoded", "error", err)
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
