package peers

import (
	"net/netip"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

const (
	// noticesInDatagram bounds what is told of servers in one datagram: up to 73 bytes each, of 1,200.
	noticesInDatagram = 16
	// stalledAfter is the pause of Run's goroutine after which it counts as held up; stalledFor is how
	// long it takes then to take in what has waited meanwhile.
	stalledAfter, stalledFor = 500 * time.Millisecond, 200 * time.Millisecond
)

// loans is the state of lending shares of rates.
type loans struct {
	lent     time.Time // when shares were lent last
	looked   time.Time // when Run's goroutine came by last
	mistrust time.Time // until when loans are not taken in
}

// tellNotices tells the others what has become known of servers.
func (p *Peers) tellNotices(now time.Time) {
	for batch := range slices.Chunk(p.board.Due(now), noticesInDatagram) {
		p.sendAll(message{Notices: batch})
	}
}

// hearNotices takes in what another gateway tells, and answers with what this one knows better.
func (p *Peers) hearNotices(told []notice.Report, from netip.AddrPort, now time.Time) {
	host := p.hostAt(from)
	var better []notice.Report
	for _, t := range told {
		if b := p.board.Receive(t, host, now); b != nil {
			better = append(better, *b)
		}
	}
	if len(better) > 0 {
		p.send(message{Notices: better}, from)
	}
}

// hostAt names the gateway at an address.
func (p *Peers) hostAt(at netip.AddrPort) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, member := range p.members.known {
		if member.Address == at {
			return host
		}
	}
	return at.String()
}

// lend lends this gateway's share of each rate to the one that decides for the server, or renews the
// loan.
func (p *Peers) lend(now time.Time) {
	limits := p.board.Limits()
	if p.board.Empty() || now.Sub(p.loans.lent) < limits.RenewalInterval() {
		return
	}
	p.loans.lent = now
	p.mu.Lock()
	limits.SetGateways(p.members.sharing(now))
	p.mu.Unlock()
	due := map[netip.AddrPort][]notice.Report{}
	for group, servers := range p.local.RateLimitedServers() {
		p.mu.Lock()
		home := p.members.home(group.Key(), now)
		p.mu.Unlock()
		if home.Address == p.self {
			continue
		}
		for _, server := range servers {
			told, known := p.board.Report(server, now)
			if known && limits.Lend(server, home.Host, now) {
				due[home.Address] = append(due[home.Address], told)
			}
		}
	}
	for home, told := range due {
		for batch := range slices.Chunk(told, noticesInDatagram) {
			p.send(message{Loans: batch}, home)
		}
	}
}

// borrow takes in the shares that another gateway lends, with what it knows of the servers: the word
// of a rate may have been lost here.
func (p *Peers) borrow(told []notice.Report, from netip.AddrPort, now time.Time) {
	p.hearNotices(told, from, now)
	if now.Before(p.loans.mistrust) {
		return
	}
	for _, t := range told {
		p.board.Limits().Borrow(t.Server, from.String(), now)
	}
}

// updateSlackShare sets the number of gateways that share the slack of the retry budgets.
func (p *Peers) updateSlackShare(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving {
		return // Leave has given the share up
	}
	p.local.SetGateways(p.members.sharingSlack(now))
}

// noteStall gives borrowed shares back where this process has been held up: their owners may have
// taken them back long ago, and the loans that have waited here meanwhile are as old.
func (p *Peers) noteStall(now time.Time) {
	looked := p.loans.looked
	stalled := !looked.IsZero() && now.Sub(looked) > stalledAfter
	p.loans.looked = now
	if stalled {
		p.mu.Lock()
		p.members.recordStall(now)
		p.mu.Unlock()
		p.local.RecordStall(looked, now.Add(stalledFor))
	}
	if stalled && !p.board.Empty() {
		telemetry.Count("merlinpost_rate_shares_returned_total")
		p.board.Limits().DropBorrowed(now)
		p.loans.mistrust = now.Add(stalledFor)
	}
}
