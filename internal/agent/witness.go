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

// witnessLinks keeps links to the agents that witness this one's keys.
type witnessLinks struct {
	agent   *Agent
	history serverHistory
	mu      sync.Mutex
	links   map[string]*witnessLink // by address
}

// witnessLink is one link and the claims that wait for an answer on it.
type witnessLink struct {
	conn    *link.Conn
	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan *wire.ClaimResponse
}

func newWitnessLinks(a *Agent) *witnessLinks {
	return &witnessLinks{agent: a, links: map[string]*witnessLink{},
		history: serverHistory{current: map[string][]string{}, before: map[string][]string{}, changed: map[string]time.Time{}}}
}

// ask sends a claim and waits for the witness's word.
func (w *witnessLinks) ask(ctx context.Context, s resource.Server, c *wire.ClaimRequest) receipt.WitnessReply {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	l := w.get(ctx, s.Agent)
	if l == nil {
		return receipt.WitnessUnreachable
	}
	answer := l.send(c)
	select {
	case m, ok := <-answer:
		if !ok {
			return receipt.WitnessUnreachable
		}
		switch m.Result {
		case wire.ClaimGranted:
			return receipt.WitnessGranted
		case wire.ClaimTaken:
			return receipt.WitnessTaken
		}
		return receipt.WitnessCannotVouch
	case <-ctx.Done():
		return receipt.WitnessUnreachable
	}
}

// get returns the open link to an address, dialling if there is none.
func (w *witnessLinks) get(ctx context.Context, address string) *witnessLink {
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
	conn, err := link.Open(nc, w.agent.hello("agent"), w.agent.linkOptions(w.agent.core.beat))
	if err != nil {
		return nil
	}
	l := &witnessLink{conn: conn, waiting: map[uint64]chan *wire.ClaimResponse{}}
	w.links[address] = l
	go l.run(w.agent.core.ctx)
	return l
}

func (l *witnessLink) run(ctx context.Context) {
	_ = l.conn.Run(ctx, func(m wire.Message) { // its end shows in the claims that fail
		if c, ok := m.(*wire.ClaimResponse); ok {
			l.settle(c)
		}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	for seq, ch := range l.waiting {
		close(ch)
		delete(l.waiting, seq)
	}
}

func (l *witnessLink) settle(c *wire.ClaimResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ch := l.waiting[c.Seq]; ch != nil {
		ch <- c // has room for its one answer
		delete(l.waiting, c.Seq)
	}
}

func (l *witnessLink) send(c *wire.ClaimRequest) <-chan *wire.ClaimResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	c.Seq = l.seq
	ch := make(chan *wire.ClaimResponse, 1)
	if !l.conn.Send(c) {
		close(ch)
		return ch
	}
	l.waiting[c.Seq] = ch
	return ch
}
