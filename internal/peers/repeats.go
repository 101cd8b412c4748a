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
	retryResponseTimeout = 50 * time.Millisecond
	// maxLenders is the maximum number of gateways that are asked for one repeat.
	maxLenders = 3
)

// repeatRequest asks a gateway for a repeated send to a service from its retry budget.
type retryRequest struct {
	ID      uint64 `msgpack:"i"`
	Service string `msgpack:"s"`
}

// repeatResponse is the reply to the repeatRequest with the same ID.
type retryResponse struct {
	ID      uint64 `msgpack:"i"`
	Granted bool   `msgpack:"g,omitempty"`
}

// BorrowRepeat asks up to maxLenders other gateways, one at a time, to grant a repeated send to a service from
// their retry budgets, and reports whether one did. Different keys distribute the load over the gateways.
func (p *Peers) BorrowRetry(ctx context.Context, service, key string) bool {
	for _, lender := range p.lenders(key) {
		if p.borrowRetry(ctx, service, lender) {
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
		out = append(out, p.members.peers[host].Address)
	}
	return out
}

// borrowRepeat asks one gateway for a repeat and waits for its answer.
func (p *Peers) borrowRetry(ctx context.Context, service string, lender netip.AddrPort) bool {
	answer := make(chan bool, 1)
	p.mu.Lock()
	p.lastRetryID++
	id := p.lastRetryID
	p.pendingRetries[id] = answer
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pendingRetries, id)
		p.mu.Unlock()
	}()
	askedAt := time.Now()
	p.send(message{RetryRequest: &retryRequest{id, service}}, lender)
	timer := time.NewTimer(retryResponseTimeout)
	defer timer.Stop()
	select {
	case granted := <-answer:
		return granted && time.Since(askedAt) <= retryResponseTimeout
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// lendRepeat answers a repeatRequest from another gateway.
func (p *Peers) lendRetry(r retryRequest, from netip.AddrPort) {
	p.send(message{RetryResponse: &retryResponse{r.ID, p.local.LendRetry(r.Service)}}, from)
}

// deliverRepeat delivers an answer to the borrowRepeat call that waits for it.
func (p *Peers) deliverRetryResponse(a retryResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch := p.pendingRetries[a.ID]; ch != nil {
		ch <- a.Granted
		delete(p.pendingRetries, a.ID)
	}
}
