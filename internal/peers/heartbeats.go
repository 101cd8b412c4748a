package peers

import (
	"net/netip"
	"time"

	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// ReportInterval is the heartbeat interval of a gateway that reads the store on behalf of the
// others. Each heartbeat repeats the reports, so that a lost datagram delays them by one interval.
const ReportInterval = 400 * time.Millisecond

// liveLogInterval limits how often the number of live gateways is logged: when all gateways start
// at once, the number changes with every heartbeat.
const liveLogInterval = time.Second

// handleHeartbeat processes a received heartbeat.
func (p *Peers) handleHeartbeat(b heartbeat, from netip.AddrPort, now time.Time) {
	if b.Starting {
		defer p.sendInitialState(b.Host, from, now)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.recordHeartbeat(Member{b.Host, from, b.Capacity}, b.Leaving, now)
	if m := p.members.peers[b.Host]; m != nil && b.Estimates != nil {
		m.estimates = b.Estimates
	}
	for _, report := range b.States {
		p.states.receive(report, from, now)
	}
}

// sendHeartbeatIfDue sends a heartbeat when one is due, and logs changes of the number of live
// gateways.
func (p *Peers) sendHeartbeatIfDue(now time.Time) {
	p.mu.Lock()
	interval := p.members.heartbeatInterval()
	reports := p.states.reports(now)
	if len(reports) > 0 {
		interval = ReportInterval
	}
	due := now.Sub(p.heartbeatAt) >= interval || p.states.reportPending
	if due {
		p.heartbeatAt = now
		p.states.reportPending = false
	}
	live := len(p.members.live(now))
	changed := live != p.loggedLive && now.Sub(p.liveLoggedAt) >= liveLogInterval
	if changed {
		p.loggedLive, p.liveLoggedAt = live, now
	}
	p.mu.Unlock()
	if changed {
		telemetry.SetGauge("merlinpost_gateways_live", float64(live))
		p.logger.Info("live gateways changed", "live", live)
	}
	if due {
		p.updateEstimates()
		p.sendHeartbeat(reports)
	}
}

// sendHeartbeat sends a heartbeat to all known members.
func (p *Peers) sendHeartbeat(reports []stateReport) {
	p.mu.Lock()
	b := p.newHeartbeat(reports)
	p.mu.Unlock()
	p.sendAll(message{Heartbeat: b})
}

// newHeartbeat returns a heartbeat of this gateway with the given reports.
func (p *Peers) newHeartbeat(reports []stateReport) *heartbeat {
	return &heartbeat{Host: p.members.self.Host, Capacity: p.members.self.Capacity, Leaving: p.leaving, States: reports, Estimates: p.estimates,
		Starting: time.Since(p.start) < startupPeriod}
}

// sendAll sends a message to all known members.
func (p *Peers) sendAll(m message) {
	p.mu.Lock()
	addresses := make([]netip.AddrPort, 0, len(p.members.peers))
	for _, member := range p.members.peers {
		addresses = append(addresses, member.Address)
	}
	p.mu.Unlock()
	for _, address := range addresses {
		p.send(m, address)
	}
}

// AnnounceLeave tells the other gateways that this one is about to terminate.
func (p *Peers) AnnounceLeave() {
	p.mu.Lock()
	p.leaving = true
	p.local.SetGateways(0) // before the other gateways redistribute its share of the slack
	p.mu.Unlock()
	p.sendHeartbeat(nil)
}

// AddListed adds the gateways that the store lists to the known members.
func (p *Peers) AddListed(listed []Member) {
	p.mu.Lock()
	p.members.addListed(listed, time.Now())
	p.mu.Unlock()
	p.sendHeartbeat(nil) // informs newly listed gateways of this one
}

// Rank returns the position of this gateway in the order of the live gateways for a key, starting at 0.
func (p *Peers) Rank(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.rank(key, time.Now())
}
