package peers

import (
	"net/netip"
	"time"

	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// ReportInterval is the heartbeat interval of a gateway that reads the store on behalf of the
// others. Each heartbeat includes all current reports, so that a lost datagram delays a report by only one interval.
const ReportInterval = 400 * time.Millisecond

// liveLogInterval is the minimum time between two log lines with the number of live gateways. When all gateways
// start at once, the number changes with every heartbeat.
const liveLogInterval = time.Second

// handleHeartbeat processes a received heartbeat.
func (p *Peers) handleHeartbeat(h heartbeat, from netip.AddrPort, now time.Time) {
	if h.Starting {
		defer p.sendInitialState(h.Host, from, now)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.recordHeartbeat(Member{h.Host, from, h.Capacity}, h.Leaving, now)
	if m := p.members.peers[h.Host]; m != nil && h.Estimates != nil {
		m.estimates = h.Estimates
	}
	for _, report := range h.States {
		p.states.receive(report, from, now)
	}
}

// sendHeartbeatIfDue sends a heartbeat if one is due, and logs changes of the number of live gateways.
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
	h := p.newHeartbeat(reports)
	p.mu.Unlock()
	p.sendAll(message{Heartbeat: h})
}

// newHeartbeat returns a heartbeat of this gateway with the given reports. The caller must hold p.mu.
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

// AnnounceLeave notifies the other gateways that this one is about to terminate.
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
	p.sendHeartbeat(nil) // announces this gateway to newly listed ones
}

// Rank returns the position of this gateway in the order of the live gateways for a key, starting at 0.
// Large hosts precede small ones.
func (p *Peers) Rank(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.rank(key, time.Now())
}
