package agent

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/link"
	"github.com/merlinpost/merlinpost/internal/receipt"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// witnessClient sends claims to the agents that are witnesses of this agent's
// keys. It keeps one link to each.
type witnessClient struct {
	agent   *Agent
	history poolHistory
	mu      sync.Mutex
	links   map[string]*witnessLink // by address
}

// witnessLink is a link to a witness and the claims awaiting a reply on it, by
// sequence number.
type witnessLink struct {
	conn    *link.Conn
	mu      sync.Mutex
	seq     uint64
	pending map[uint64]chan *wire.ClaimResponse
}

func newWitnessClient(a *Agent) *witnessClient {
	return &witnessClient{agent: a, links: map[string]*witnessLink{},
		history: poolHistory{currentServers: map[string][]string{}, previousServers: map[string][]string{}, changedAt: map[string]time.Time{}}}
}

// claim sends a claim to the agent of server s and waits up to claimTimeout for
// the reply.
func (w *witnessClient) claim(ctx context.Context, s resource.Server, c *wire.ClaimRequest) receipt.WitnessReply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	l := w.connect(ctx, s.Agent)
	if l == nil {
		return receipt.WitnessUnreachable
	}
	reply := l.sendClaim(c)
	select {
	case m, ok := <-reply:
		if !ok {
			return receipt.WitnessUnreachable
		}
		switch m.Result {
		case wire.ClaimGranted:
			return receipt.WitnessGranted
		case wire.ClaimTaken:
			return receipt.WitnessTaken
		}
		return receipt.WitnessNotReady
	case <-ctx.Done():
		return receipt.WitnessUnreachable
	}
}

// connect returns the open link to an address, dialling if there is none. It
// returns nil if the connection fails.
func (w *witnessClient) connect(ctx context.Context, address string) *witnessLink {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.links[address]; l != nil {
		select {
		case <-l.conn.Done():
		default:
			return l
		}
	}
	dialer := net.Dialer{Timeout: claimTimeout}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil
	}
	conn, err := link.Open(nc, w.agent.newHello("agent"), w.agent.linkOptions(w.agent.loop.newHeartbeat))
	if err != nil {
		return nil
	}
	l := &witnessLink{conn: conn, pending: map[uint64]chan *wire.ClaimResponse{}}
	w.links[address] = l
	go l.run(w.agent.loop.runCtx)
	return l
}

func (l *witnessLink) run(ctx context.Context) {
	_ = l.conn.Run(ctx, func(m wire.Message) { // pending claims fail when the link ends
		if c, ok := m.(*wire.ClaimResponse); ok {
			l.deliver(c)
		}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for seq, ch := range l.pending {
		close(ch)
		delete(l.pending, seq)
	}
}

func (l *witnessLink) deliver(c *wire.ClaimResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ch := l.pending[c.Seq]; ch != nil {
		ch <- c // does not block: the buffer holds the only reply
		delete(l.pending, c.Seq)
	}
}

func (l *witnessLink) sendClaim(c *wire.ClaimRequest) <-chan *wire.ClaimResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	c.Seq = l.seq
	ch := make(chan *wire.ClaimResponse, 1)
	if !l.conn.Send(c) {
		close(ch)
		return ch
	}
	l.pending[c.Seq] = ch
	return ch
}
