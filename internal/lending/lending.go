// Package lending carries the asks of routers to the homes of teams' limits and
// their answers, one datagram each way. Datagrams instead of links: with 390
// routers nearly every request is the first of its team at its router, so there
// is one small question for each request and no state worth a connection. A
// lost datagram costs a wait of askTimeout and the fallback to an equal share.
package lending

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/datagram"
	"github.com/merlinpost/merlinpost/internal/quota"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

const (
	// askTimeout bounds the wait for the home on the request path.
	askTimeout = 100 * time.Millisecond
	// askRing is how many asks wait for the ledger.
	askRing = 1024
)

// message is an ask, an answer, the end of a request, or the name of a router
// that is there.
type message struct {
	Request  *quota.GrantRequest
	Response *quota.GrantResponse
	Release  *quota.ReleaseNotice
	Ping     string
}

// Home is what answers the other routers; its methods must not block.
type Home interface {
	Acquire(quota.GrantRequest) quota.GrantResponse
	Release(quota.ReleaseNotice)
	MarkReachable(router string)
}

// Post sends and receives asks on one UDP socket.
type Transport struct {
	socket *datagram.Socket[message]
	home   Home

	mu      sync.Mutex
	waiting map[uint64]chan quota.GrantResponse
}

// Open listens on an IP address and port; home takes in what others send.
func Open(address string, home Home) (*Transport, error) {
	socket, err := datagram.Open[message](address, "merlinpost_lending")
	if err != nil {
		return nil, err
	}
	return &Transport{socket: socket, home: home, waiting: map[uint64]chan quota.GrantResponse{}}, nil
}

// Address returns the address in use.
func (p *Transport) Address() string { return p.socket.Address().String() }

// asked is an ask and where to send the answer.
type asked struct {
	ask  quota.GrantRequest
	from netip.AddrPort
}

// Run receives until ctx ends: one goroutine reads, one answers.
func (p *Transport) Run(ctx context.Context) {
	asks := make(chan asked, askRing)
	var answering sync.WaitGroup
	answering.Go(func() {
		for a := range asks {
			lent := p.home.Acquire(a.ask)
			p.socket.Send(message{Response: &lent}, a.from)
		}
	})
	p.socket.Receive(ctx, func(m message, from netip.AddrPort) { p.take(m, from, asks) })
	close(asks)
	answering.Wait()
}

func (p *Transport) take(m message, from netip.AddrPort, asks chan<- asked) {
	switch {
	case m.Ping != "":
		p.home.MarkReachable(m.Ping)
	case m.Release != nil:
		p.home.Release(*m.Release)
	case m.Response != nil:
		p.settle(*m.Response)
	case m.Request != nil:
		select {
		case asks <- asked{*m.Request, from}:
		default:
			telemetry.Count("merlinpost_lending_overrun_total")
		}
	}
}

func (p *Transport) settle(l quota.GrantResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch := p.waiting[l.Seq]; ch != nil {
		ch <- l // has room for its one answer
		delete(p.waiting, l.Seq)
	}
}

// Ping tells the router at an address that the named one reaches it.
func (p *Transport) Ping(address, self string) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		p.socket.Send(message{Ping: self}, to)
	}
}

// Close tells the home at an address that a request ended.
func (p *Transport) Release(address string, c quota.ReleaseNotice) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		p.socket.Send(message{Release: &c}, to)
	}
}

// Ask asks the home at an address; false if it does not answer in time. The Seq
// of an ask is used once.
func (p *Transport) Acquire(ctx context.Context, home string, ask quota.GrantRequest) (quota.GrantResponse, bool) {
	to, err := netip.ParseAddrPort(home)
	if err != nil {
		return quota.GrantResponse{}, false
	}
	ch := make(chan quota.GrantResponse, 1)
	p.mu.Lock()
	p.waiting[ask.Seq] = ch
	p.mu.Unlock()
	p.socket.Send(message{Request: &ask}, to)
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case l := <-ch:
		return l, true
	case <-timer.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, ask.Seq)
	return quota.GrantResponse{}, false
}
