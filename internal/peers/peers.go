// Package peers joins the gateways of a deployment: which of them are up, who
// decides for which engine when long prompts are read, and what each has learnt
// from the platform's store, so that not all of them need to ask it. All of it is
// carried in datagrams of one socket; what is lost is asked again or learnt from
// the store, and nothing that callers are promised rests on it.
package peers

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/datagram"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

const (
	// busyTick is how often waiting asks are looked at without an event; idleTick
	// is the same when none waits.
	busyTick, idleTick = 20 * time.Millisecond, 100 * time.Millisecond
	// ring is how many datagrams wait to be taken in.
	ring = 1024
)

// message is one datagram. Exactly one field is set.
type message struct {
	Beat       *beat          `msgpack:"b,omitempty"`
	Ask        *ask           `msgpack:"a,omitempty"`
	Answer     *permit.Answer `msgpack:"v,omitempty"`
	FirstToken *notice        `msgpack:"f,omitempty"`
	End        *notice        `msgpack:"e,omitempty"`
}

// beat is a heartbeat with what its sender has confirmed at the store.
type beat struct {
	Host     string         `msgpack:"h"`
	Cores    float64        `msgpack:"c"`
	Leaving  bool           `msgpack:"l,omitempty"`
	Findings []finding      `msgpack:"f,omitempty"`
	Demands  []demandRecord `msgpack:"d,omitempty"`
}

// ask is a request for leave to send to an engine of a group.
type ask struct {
	Group permit.Group `msgpack:"g"`
	permit.Ask
}

// notice tells how far a request at an engine is.
type notice struct {
	Group  permit.Group `msgpack:"g"`
	ID     string       `msgpack:"i"`
	Failed bool         `msgpack:"f,omitempty"` // the engine is to blame for the end
}

// Local is what the gateway of this process knows.
type Local interface {
	// Engines lists the members of a group.
	Engines(permit.Group) []permit.Engine
	// Demands returns what was measured here of the demand for each service.
	Demands() []Demand
}

// received is a datagram and its sender.
type received struct {
	message
	from netip.AddrPort
}

// Peers is this gateway among the others. It is safe for concurrent use.
type Peers struct {
	socket *datagram.Socket[message]
	self   netip.AddrPort
	logger *slog.Logger
	local  Local
	in     chan received
	desk   *permit.Desk[netip.AddrPort] // of the goroutine in Run

	mu         sync.Mutex
	members    *members
	findings   findings
	waiting    map[string]chan permit.Answer // by ID of the request
	leaving    bool
	lastBeat   time.Time
	lastLive   int // as last logged, at liveLogged
	liveLogged time.Time
}

// Open opens the socket of the gateway on host, which is local and may use so many
// cores, at an IP address and port.
func Open(host, address string, cores float64, local Local, logger *slog.Logger) (*Peers, error) {
	socket, err := datagram.Open[message](address, "merlinpost_peer_datagrams")
	if err != nil {
		return nil, err
	}
	self := socket.Address()
	return &Peers{socket: socket, self: self, logger: logger, local: local, in: make(chan received, ring),
		desk:    permit.NewDesk[netip.AddrPort](local.Engines),
		members: newMembers(Member{host, self, cores}, time.Now()), waiting: map[string]chan permit.Answer{}}, nil
}

// Self returns this gateway as a member.
func (p *Peers) Self() Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.self
}

// Run takes part until ctx ends: one goroutine receives, this one decides.
func (p *Peers) Run(ctx context.Context) {
	var receiving sync.WaitGroup
	defer receiving.Wait()
	receiving.Go(func() {
		p.socket.Receive(ctx, func(m message, from netip.AddrPort) { p.post(received{m, from}) })
	})
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-p.in:
			p.take(r, time.Now())
		case <-timer.C:
			next := idleTick
			if p.desk.Waiting() > 0 {
				next = busyTick
			}
			timer.Reset(next)
		}
		now := time.Now()
		for _, due := range p.desk.Next(now) {
			p.answer(due.Answer, due.To)
		}
		p.beatIfDue(now)
	}
}

// post hands a datagram to Run; when too many wait it counts as lost.
func (p *Peers) post(r received) {
	select {
	case p.in <- r:
	default:
		telemetry.Count("merlinpost_peer_datagrams_overrun_total")
	}
}

// send sends a datagram; to this gateway itself it goes without the socket. One
// that can't be sent counts as lost.
func (p *Peers) send(m message, to netip.AddrPort) {
	if to == p.self {
		p.post(received{m, p.self})
		return
	}
	p.socket.Send(m, to)
}

func (p *Peers) take(r received, now time.Time) {
	switch {
	case r.Beat != nil:
		p.heard(*r.Beat, r.from, now)
	case r.Ask != nil:
		p.answer(p.desk.Ask(r.Ask.Group, r.Ask.Ask, r.from, now), r.from)
	case r.Answer != nil:
		p.settle(*r.Answer)
	case r.FirstToken != nil:
		p.desk.FirstToken(r.FirstToken.Group, r.FirstToken.ID, now)
	case r.End != nil:
		p.desk.End(r.End.Group, r.End.ID, r.End.Failed, now)
	}
}

// answer sends an answer.
func (p *Peers) answer(a permit.Answer, to netip.AddrPort) {
	telemetry.Count("merlinpost_permit_answers_total", "verdict", a.Verdict.String())
	if to == p.self {
		p.settle(a)
		return
	}
	p.send(message{Answer: &a}, to)
}

// settle hands an answer to the request that waits for it.
func (p *Peers) settle(a permit.Answer) {
	p.mu.Lock()
	ch := p.waiting[a.ID]
	p.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- a:
	default: // the one before has not been taken yet; the asker asks again
	}
}
