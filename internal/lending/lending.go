// Package lending carries the asks of routers to the homes of teams' limits and
// their answers, one datagram each way. Datagrams instead of links: with 390
// routers nearly every request is the first of its team at its router, so there
// is one small question for each request and no state worth a connection. A
// lost datagram costs a wait of askTimeout and the fallback to an equal share.
package lending

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/quota"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

const (
	// askTimeout bounds the wait for the home on the request path.
	askTimeout = 100 * time.Millisecond
	// maxDatagram is above any ask or answer.
	maxDatagram = 1024
	// askRing is how many asks wait for the ledger.
	askRing = 1024
)

// datagram is an ask, an answer, the end of a request, or the name of a router
// that is there.
type datagram struct {
	Ask    *quota.Ask
	Lent   *quota.Lent
	Closed *quota.Closed
	Ping   string
}

// Home is what answers the other routers; its methods must not block.
type Home interface {
	Lend(quota.Ask) quota.Lent
	Close(quota.Closed)
	Heard(router string)
}

// Post sends and receives asks on one UDP socket.
type Post struct {
	conn *net.UDPConn
	home Home

	mu      sync.Mutex
	waiting map[uint64]chan quota.Lent
}

// Open listens on an IP address and port; home takes in what others send.
func Open(address string, home Home) (*Post, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fault.New(fault.BadSettings, "%w", err).InField("peers.listen")
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fault.New(fault.BadSettings, "%w", err).InField("peers.listen")
	}
	return &Post{conn: conn, home: home, waiting: map[uint64]chan quota.Lent{}}, nil
}

// Address returns the address in use.
func (p *Post) Address() string { return p.conn.LocalAddr().String() }

// asked is an ask and where to send the answer.
type asked struct {
	ask  quota.Ask
	from netip.AddrPort
}

// Run receives until ctx ends: one goroutine reads, one answers.
func (p *Post) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = p.conn.Close() }) // ends the reader
	defer stop()
	asks := make(chan asked, askRing)
	var answering sync.WaitGroup
	answering.Go(func() {
		for a := range asks {
			lent := p.home.Lend(a.ask)
			p.send(datagram{Lent: &lent}, a.from)
		}
	})
	p.read(ctx, asks)
	close(asks)
	answering.Wait()
}

func (p *Post) read(ctx context.Context, asks chan<- asked) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // an earlier datagram met a closed port
		}
		var d datagram
		if msgpack.Unmarshal(buf[:n], &d) != nil {
			telemetry.Count("merlinpost_lending_broken_total")
			continue
		}
		switch {
		case d.Ping != "":
			p.home.Heard(d.Ping)
		case d.Closed != nil:
			p.home.Close(*d.Closed)
		case d.Lent != nil:
			p.settle(*d.Lent)
		case d.Ask != nil:
			select {
			case asks <- asked{*d.Ask, from}:
			default:
				telemetry.Count("merlinpost_lending_overrun_total")
			}
		}
	}
}

func (p *Post) settle(l quota.Lent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ch := p.waiting[l.Seq]; ch != nil {
		ch <- l // has room for its one answer
		delete(p.waiting, l.Seq)
	}
}

func (p *Post) send(d datagram, to netip.AddrPort) {
	data, err := msgpack.Marshal(d)
	if err == nil {
		_, err = p.conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		telemetry.Count("merlinpost_lending_unsent_total")
	}
}

// Ping tells the router at an address that the named one reaches it.
func (p *Post) Ping(address, self string) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		p.send(datagram{Ping: self}, to)
	}
}

// Close tells the home at an address that a request ended.
func (p *Post) Close(address string, c quota.Closed) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		p.send(datagram{Closed: &c}, to)
	}
}

// Ask asks the home at an address; false if it does not answer in time. The Seq
// of an ask is used once.
func (p *Post) Ask(ctx context.Context, home string, ask quota.Ask) (quota.Lent, bool) {
	to, err := netip.ParseAddrPort(home)
	if err != nil {
		return quota.Lent{}, false
	}
	ch := make(chan quota.Lent, 1)
	p.mu.Lock()
	p.waiting[ask.Seq] = ch
	p.mu.Unlock()
	p.send(datagram{Ask: &ask}, to)
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
	return quota.Lent{}, false
}
