package peers

import (
	"net/netip"
	"time"

	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// NewsBeat is the pause between heartbeats of a gateway that reads the store for
// the others. It repeats what a lost datagram did not bring.
const ReportInterval = 400 * time.Millisecond

// liveLogEvery bounds the lines about the number of live gateways: when all start
// at once it changes with each that is heard.
const liveLogEvery = time.Second

// heard takes in a heartbeat.
func (p *Peers) heard(b beat, from netip.AddrPort, now time.Time) {
	if b.Starting {
		defer p.welcome(b.Host, from, now)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members.beat(Member{b.Host, from, b.Capacity}, b.Leaving, now)
	if m := p.members.known[b.Host]; m != nil && b.Estimates != nil {
		m.learnt = b.Estimates
	}
	for _, f := range b.States {
		p.findings.hear(f, from, now)
	}
}

// beatIfDue sends a heartbeat when one is due, and logs when the number of live
// gateways has changed.
func (p *Peers) beatIfDue(now time.Time) {
	p.mu.Lock()
	every := p.members.beatEvery()
	own := p.findings.own(now)
	if len(own) > 0 {
		every = ReportInterval
	}
	due := now.Sub(p.lastBeat) >= every || p.findings.news
	if due {
		p.lastBeat = now
		p.findings.news = false
	}
	live := len(p.members.live(now))
	changed := live != p.lastLive && now.Sub(p.liveLogged) >= liveLogEvery
	if changed {
		p.lastLive, p.liveLogged = live, now
	}
	p.mu.Unlock()
	if changed {
		telemetry.SetGauge("merlinpost_gateways_live", float64(live))
		p.logger.Info("live gateways changed", "live", live)
	}
	if due {
		p.takeLearnt()
		p.beat(own)
	}
}

// beat sends a heartbeat to all known members.
func (p *Peers) beat(own []finding) {
	p.mu.Lock()
	b := p.ownBeat(own)
	p.mu.Unlock()
	p.sendAll(message{Heartbeat: b})
}

// ownBeat is a heartbeat of this gateway.
func (p *Peers) ownBeat(own []finding) *beat {
	return &beat{Host: p.members.self.Host, Capacity: p.members.self.Capacity, Leaving: p.leaving, States: own, Estimates: p.learnt,
		Starting: time.Since(p.start) < newFor}
}

// sendAll sends a message to all known members.
func (p *Peers) sendAll(m message) {
	p.mu.Lock()
	to := make([]netip.AddrPort, 0, len(p.members.known))
	for _, member := range p.members.known {
		to = append(to, member.Address)
	}
	p.mu.Unlock()
	for _, address := range to {
		p.send(m, address)
	}
}

// Leave tells the others that this gateway is about to end.
func (p *Peers) AnnounceLeave() {
	p.mu.Lock()
	p.leaving = true
	p.local.SetGateways(0) // before the other gateways redistribute its share of the slack
	p.mu.Unlock()
	p.beat(nil)
}

// List takes in the gateways that the store lists.
func (p *Peers) AddListed(all []Member) {
	p.mu.Lock()
	p.members.list(all, time.Now())
	p.mu.Unlock()
	p.beat(nil) // the new ones learn of this one
}

// Rank returns the place of this gateway among the live ones for a key, 0 first.
func (p *Peers) Rank(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.rank(key, time.Now())
}
