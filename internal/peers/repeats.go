package peers

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/rendezvous"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

const (
	// repeatTimeout limits the wait for another gateway's answer. A later answer is ignored: the lender counted the
	// repeat when it answered, and a send long after that may fall into another window.
	repeatTimeout = 50 * time.Millisecond
	// maxLenders is the number of gateways that are asked for one repeat at most.
	maxLenders = 3
)

// repeatAsk asks a gateway for a repeated send to a service from its retry budget.
type repeatAsk struct {
	ID      uint64 `msgpack:"i"`
	Service string `msgpack:"s"`
}

// repeatAnswer is the reply to the repeatAsk with the same ID.
type repeatAnswer struct {
	ID      uint64 `msgpack:"i"`
	Granted bool   `msgpack:"g,omitempty"`
}

// BorrowRepeat asks up to maxLenders other gateways, one after the other, to grant a repeated send to a service from
// their retry budgets, and reports whether one did. Different keys distribute the load over the gateways.
func (p *Peers) BorrowRepeat(ctx context.Context, service, key string) bool {
	for _, lender := range p.lenders(key) {
		if p.borrowRepeat(ctx, service, lender) {
			telemetry.Count("merlinpost_retry_budget_borrowed_total", "service", service)
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// lenders returns the addresses of the gateways to ask, in order.
func (p *Peers) lenders(key string) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	hosts := slices.DeleteFunc(p.members.live(time.Now()), func(host string) bool { return host == p.members.self.Host })
	ranked := rendezvous.Rank(key, hosts)
	var out []netip.AddrPort
	for _, host := range ranked[:min(len(ranked), maxLenders)] {
		out = append(out, p.members.known[host].Address)
	}
	return out
}

// borrowRepeat asks one gateway for a repeat and waits for its answer.
func (p *Peers) borrowRepeat(ctx context.Context, service string, lender netip.AddrPort) bool {
	answer := make(chan bool, 1)
	p.mu.Lock()
	p.repeatID++
	id := p.repeatID
	p.repeatAsks[id] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.repeatAsks, id)
		p.mu.Unlock()
	}()
	askedAt := time.Now()
	p.send(message{RepeatRequest: &repeatAsk{id, service}}, lender)
	timer := time.NewTimer(repeatTimeout)
	defer timer.Stop()
	select {
	case granted := <-answer:
		return granted && time.Since(askedAt) <= repeatTimeout
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// lendRepeat answers a repeatAsk from another gateway.
func (p *Peers) lendRepeat(ask repeatAsk, from netip.AddrPort) {
	p.send(message{RepeatResponse: &repeatAnswer{ask.ID, p.local.LendRepeat(ask.Service)}}, from)
}

// deliverRepeat delivers an answer to the borrowRepeat call that waits for it.
func (p *Peers) deliverRepeat(a repeatAnswer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch := p.repeatAsks[a.ID]; ch != nil {
		ch <- a.Granted
		delete(p.repeatAsks, a.ID)
	}
}
