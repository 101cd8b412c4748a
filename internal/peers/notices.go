package peers

import (
	"net/netip"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

const (
	// noticesPerDatagram limits the notices in one datagram: each takes up to 73 of the 1,200 bytes.
	maxNoticesPerDatagram = 16
	// stallThreshold is the time between two iterations of Run's loop above which the process counts as
	// stalled. backlogPeriod is the time allowed for processing the backlog after a stall.
	stallThreshold, backlogPeriod = 500 * time.Millisecond, 200 * time.Millisecond
)

// loanState is the state of the loans of rate limit shares.
type loanState struct {
	lentAt           time.Time // when shares were last lent
	lastIterationAt  time.Time // time of the last iteration of Run's loop
	ignoreLoansUntil time.Time // end of the period in which received loans are ignored
}

// sendNotices sends notices that are due to the other gateways.
func (p *Peers) sendNotices(now time.Time) {
	for batch := range slices.Chunk(p.notices.DueReports(now), maxNoticesPerDatagram) {
		p.sendAll(message{Notices: batch})
	}
}

// handleNotices processes notices of another gateway, and replies with those for which this gateway
// has newer information.
func (p *Peers) handleNotices(notices []notice.Report, from netip.AddrPort, now time.Time) {
	host := p.hostAt(from)
	var newer []notice.Report
	for _, n := range notices {
		if reply := p.notices.ReceiveReport(n, host, now); reply != nil {
			newer = append(newer, *reply)
		}
	}
	if len(newer) > 0 {
		p.send(message{Notices: newer}, from)
	}
}

// hostAt returns the host of the gateway at an address, or the address if it is unknown.
func (p *Peers) hostAt(at netip.AddrPort) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, member := range p.members.peers {
		if member.Address == at {
			return host
		}
	}
	return at.String()
}

// lendRateShares lends this gateway's share of each rate limit to the home gateway of the server's
// group, or renews the loan.
func (p *Peers) lendRateShares(now time.Time) {
	limits := p.notices.Limits()
	if p.notices.Empty() || now.Sub(p.loans.lentAt) < limits.RenewalInterval() {
		return
	}
	p.loans.lentAt = now
	p.mu.Lock()
	limits.SetGateways(p.members.rateShareCount(now))
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
			n, known := p.notices.Report(server, now)
			if known && limits.Lend(server, home.Host, now) {
				due[home.Address] = append(due[home.Address], n)
			}
		}
	}
	for address, notices := range due {
		for batch := range slices.Chunk(notices, maxNoticesPerDatagram) {
			p.send(message{Loans: batch}, address)
		}
	}
}

// handleLoans accepts the shares that another gateway lends. Loans carry the lender's notices of the
// servers, because an earlier datagram with the rate limit may have been lost.
func (p *Peers) handleLoans(loans []notice.Report, from netip.AddrPort, now time.Time) {
	p.handleNotices(loans, from, now)
	if now.Before(p.loans.ignoreLoansUntil) {
		return
	}
	for _, l := range loans {
		p.notices.Limits().Borrow(l.Server, from.String(), now)
	}
}

// updateSlackShare sets the number of gateways that share the slack of the retry budgets.
func (p *Peers) updateSlackShare(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving {
		return // AnnounceLeave has given up the share
	}
	p.local.SetGateways(p.members.slackShareCount(now))
}

// checkStall detects that the process was stalled and then returns borrowed shares and ignores the loans
// in the backlog: the lenders may have reclaimed these shares during the stall.
func (p *Peers) checkStall(now time.Time) {
	last := p.loans.lastIterationAt
	stalled := !last.IsZero() && now.Sub(last) > stallThreshold
	p.loans.lastIterationAt = now
	if stalled {
		p.mu.Lock()
		p.members.recordStall(now)
		p.mu.Unlock()
		p.local.RecordStall(last, now.Add(backlogPeriod))
	}
	if stalled && !p.notices.Empty() {
		telemetry.Count("merlinpost_rate_shares_returned_total")
		p.notices.Limits().DropBorrowed(now)
		p.loans.ignoreLoansUntil = now.Add(backlogPeriod)
	}
}
