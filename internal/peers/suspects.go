package peers

import (
	"net/netip"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

const (
	// startupPeriod is how long after its start a gateway requests the current suspects and notices from the
	// others. In a small deployment it spans several heartbeats, because one may be lost.
	startupPeriod = 3 * time.Second
	// maxInitialStateSenders is the number of gateways that send suspects and notices to a gateway that has just
	// started.
	maxInitialStateSenders = 2
	// maxSuspectBytes is the maximum estimated size of the suspects in one datagram.
	maxSuspectBytes = 1000
)

// sendSuspects sends the updates of suspected requests and prompt parts that are due to all other gateways.
func (p *Peers) sendSuspects(now time.Time) {
	for _, batch := range suspectBatches(p.quarantine.DueUpdates(now)) {
		p.sendAll(message{Suspects: batch})
	}
	for _, batch := range suspectBatches(p.parts.DueUpdates(now)) {
		p.sendAll(message{Parts: batch})
	}
}

// sendInitialState sends this gateway's engine estimates to a gateway that has just started, which would
// otherwise receive them with the next heartbeat. Only maxInitialStateSenders gateways also send suspects and
// notices.
func (p *Peers) sendInitialState(host string, address netip.AddrPort, now time.Time) {
	p.mu.Lock()
	if m := p.members.peers[host]; m != nil && now.Sub(m.initialStateSentAt) >= startupPeriod {
		m.initialStateSentAt = now
		defer p.send(message{Heartbeat: p.newHeartbeat(nil)}, address)
	}
	live := slices.DeleteFunc(p.members.live(now), func(h string) bool { return h == host })
	position := slices.Index(rendezvous.Rank("requests/"+host, live), p.members.self.Host)
	p.mu.Unlock()
	if position < 0 || position >= maxInitialStateSenders {
		return
	}
	for _, batch := range suspectBatches(p.quarantine.Snapshot(now)) {
		p.send(message{Suspects: batch}, address)
	}
	for _, batch := range suspectBatches(p.parts.Snapshot(now)) {
		p.send(message{Parts: batch}, address)
	}
	for batch := range slices.Chunk(p.notices.AllReports(now), maxNoticesPerDatagram) {
		p.send(message{Notices: batch}, address)
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
