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
	Ask    *quota.GrantRequest
	Lent   *quota.GrantResponse
	Closed *quota.ReleaseNotice
	Ping   string
}

// Home is what answers the other routers; its methods must not block.
type Home interface {
	Lend(quota.GrantRequest) quota.GrantResponse
	Close(quota.ReleaseNotice)
	Heard(router string)
}

// Post sends and receives asks on one UDP socket.
type Post struct {
	socket *datagram.Socket[message]
	home   Home

	mu      sync.Mutex
	waiting map[uint64]chan quota.GrantResponse
}

// Open listens on an IP address and port; home takes in what others send.
func Open(address string, home Home) (*Post, error) {
	socket, err := datagram.Open[message](address, "merlinpost_lending")
	if err != nil {
		return nil, err
	}
	return &Post{socket: socket, home: home, waiting: map[uint64]chan quota.GrantResponse{}}, nil
}

// Address returns the address in use.
func (p *Post) Address() string { return p.socket.Address().String() }

// asked is an ask and where to send the answer.
type asked struct {
	ask  quota.GrantRequest
	from netip.AddrPort
}

// Run receives until ctx ends: one goroutine reads, one answers.
func (p *Post) Run(ctx context.Context) {
	asks := make(chan asked, askRing)
	var answering sync.WaitGroup
	answering.Go(func() {
		for a := range asks {
			lent := p.home.Lend(a.ask)
			p.socket.Send(message{Lent: &lent}, a.from)
		}
	})
	p.socket.Receive(ctx, func(m message, from netip.AddrPort) { p.take(m, from, asks) })
	close(asks)
	answering.Wait()
}

func (p *Post) take(m message, from netip.AddrPort, asks chan<- asked) {
	switch {
	case m.Ping != "":
		p.home.Heard(m.Ping)
	case m.Closed != nil:
		p.home.Close(*m.Closed)
	case m.Lent != nil:
		p.settle(*m.Lent)
	case m.Ask != nil:
		select {
		case asks <- asked{*m.Ask, from}:
		default:
			telemetry.Count("merlinpost_lending_overrun_total")
		}
	}
}

func (p *Post) settle(l quota.GrantResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch := p.waiting[l.Seq]; ch != nil {
		ch <- l // has room for its one answer
		delete(p.waiting, l.Seq)
	}
}

// Ping tells the router at an address that the named one reaches it.
func (p *Post) Ping(address, self string) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		p.socket.Send(message{Ping: self}, to)
	}
}

// Close tells the home at an address that a request ended.
func (p *Post) Close(address string, c quota.ReleaseNotice) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		p.socket.Send(message{Closed: &c}, to)
	}
}

// Ask asks the home at an address; false if it does not answer in time. The Seq
// of an ask is used once.
func (p *Post) Ask(ctx context.Context, home string, ask quota.GrantRequest) (quota.GrantResponse, bool) {
	to, err := netip.ParseAddrPort(home)
	if err != nil {
		return quota.GrantResponse{}, false
	}
	ch := make(chan quota.GrantResponse, 1)
	p.mu.Lock()
	p.waiting[ask.Seq] = ch
	p.mu.Unlock()
	p.socket.Send(message{Ask: &ask}, to)
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
