package peers

import (
	"net/netip"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

const (
	// startupPeriod is how long after its start a gateway asks the others for what they know of suspects
	// and notices. In a small deployment it spans several heartbeats, because one may be lost.
	startupPeriod = 3 * time.Second
	// maxGreeters is the number of gateways that send a new gateway what they know.
	maxInitialStateSenders = 2
	// maxSuspectBytes limits the estimated size of the suspects in one datagram.
	maxSuspectBytes = 1000
)

// sendSuspects sends changes of suspected requests to the other gateways.
func (p *Peers) sendSuspects(now time.Time) {
	for _, batch := range suspectBatches(p.quarantine.DueUpdates(now)) {
		p.sendAll(message{Suspects: batch})
	}
}

// greet sends a gateway that has just started this gateway's engine estimates, so that it need not wait
// for the next heartbeat. Only maxGreeters gateways also send suspects and notices.
func (p *Peers) sendInitialState(host string, at netip.AddrPort, now time.Time) {
	p.mu.Lock()
	if m := p.members.peers[host]; m != nil && now.Sub(m.initialStateSentAt) >= startupPeriod {
		m.initialStateSentAt = now
		defer p.send(message{Heartbeat: p.newHeartbeat(nil)}, at)
	}
	live := slices.DeleteFunc(p.members.live(now), func(h string) bool { return h == host })
	position := slices.Index(rendezvous.Rank("requests/"+host, live), p.members.self.Host)
	p.mu.Unlock()
	if position < 0 || position >= maxInitialStateSenders {
		return
	}
	for _, batch := range suspectBatches(p.quarantine.Snapshot(now)) {
		p.send(message{Suspects: batch}, at)
	}
	for batch := range slices.Chunk(p.notices.AllReports(now), maxNoticesPerDatagram) {
		p.send(message{Notices: batch}, at)
	}
}

// suspectBatches splits suspects into batches that each fit into a datagram.
func suspectBatches(suspects []quarantine.Update) [][]quarantine.Update {
	var out [][]quarantine.Update
	size := 0
	for _, s := range suspects {
		if bytes := s.Size(); len(out) == 0 || size+bytes > maxSuspectBytes {
			out, size = append(out, []quarantine.Update{s}), bytes
		} else {
			out[len(out)-1], size = append(out[len(out)-1], s), size+bytes
		}
	}
	return out
}
