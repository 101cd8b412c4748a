package peers

import (
	"net/netip"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

const (
	// newFor is how long after its start a gateway asks the others what they know of requests:
	// some heartbeats, as one may be lost.
	newFor = 3 * time.Second
	// welcomers is how many gateways tell it.
	welcomers = 2
	// toldBytes bounds what is told of requests in one datagram, by an estimate of its size.
	toldBytes = 1000
)

// tellRequests tells the others what has changed in the standing of requests.
func (p *Peers) tellRequests(now time.Time) {
	for _, batch := range batches(p.ledger.DueUpdates(now)) {
		p.sendAll(message{Suspects: batch})
	}
}

// welcome tells a gateway that has just started what this one has learnt of engines, and what it knows
// of requests, so that it need not wait for the next heartbeat.
func (p *Peers) welcome(host string, at netip.AddrPort, now time.Time) {
	p.mu.Lock()
	if m := p.members.known[host]; m != nil && now.Sub(m.greeted) >= newFor {
		m.greeted = now
		defer p.send(message{Heartbeat: p.ownBeat(nil)}, at)
	}
	live := slices.DeleteFunc(p.members.live(now), func(h string) bool { return h == host })
	place := slices.Index(rendezvous.Rank("requests/"+host, live), p.members.self.Host)
	p.mu.Unlock()
	if place < 0 || place >= welcomers {
		return
	}
	for _, batch := range batches(p.ledger.Snapshot(now)) {
		p.send(message{Suspects: batch}, at)
	}
	for batch := range slices.Chunk(p.board.All(now), noticesInDatagram) {
		p.send(message{Notices: batch}, at)
	}
}

// batches parts what is told so that each part fits in a datagram.
func batches(told []quarantine.Update) [][]quarantine.Update {
	var out [][]quarantine.Update
	size := 0
	for _, t := range told {
		if bytes := t.Size(); len(out) == 0 || size+bytes > toldBytes {
			out, size = append(out, []quarantine.Update{t}), bytes
		} else {
			out[len(out)-1], size = append(out[len(out)-1], t), size+bytes
		}
	}
	return out
}
