// Package peers joins the gateways of a deployment: which of them are up, who decides for
// which engines where and when prompts are read, what has been learnt of these engines, and
// what each gateway has read in the platform's store, so that not all of them need to ask
// it. All of it is carried in datagrams of one socket; what is lost is asked again or learnt
// from the store, and nothing that callers are promised rests on it.
package peers

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/datagram"
	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/quarantine"
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
	Heartbeat      *beat            `msgpack:"b,omitempty"`
	PermitRequest  *ask             `msgpack:"a,omitempty"`
	PermitDecision *permit.Decision `msgpack:"v,omitempty"`
	FirstToken     *firstToken      `msgpack:"f,omitempty"`
	End            *end             `msgpack:"e,omitempty"`
	// Requests is what the sender knows of requests that may end servers.
	Suspects []quarantine.Update `msgpack:"q,omitempty"`
	// Notices is what the sender knows that servers say of themselves.
	Notices []notice.Report `msgpack:"n,omitempty"`
	// Loans are the rates of which the sender lends its share to the receiver.
	Loans []notice.Report `msgpack:"l,omitempty"`
	// RepeatAsk asks the receiver for a repeat from its retry budget; RepeatAnswer is the reply.
	RepeatRequest  *repeatAsk    `msgpack:"r,omitempty"`
	RepeatResponse *repeatAnswer `msgpack:"p,omitempty"`
}

// beat is a heartbeat with what its sender has confirmed at the store.
type beat struct {
	Host string `msgpack:"h"`
	Capacity
	Leaving bool `msgpack:"l,omitempty"`
	// New is set by a gateway that has just started and asks for what the others know of requests.
	Starting bool      `msgpack:"n,omitempty"`
	States   []finding `msgpack:"f,omitempty"`
	// Learnt is what the sender has learnt of the engines for which it decides.
	Estimates []learnt `msgpack:"e,omitempty"`
}

// ask is a request for leave to send to an engine of a group.
type ask struct {
	Group permit.Group `msgpack:"g"`
	permit.Ask
}

// firstToken tells that an engine has read a request's prompt.
type firstToken struct {
	Group permit.Group  `msgpack:"g"`
	ID    string        `msgpack:"i"`
	Took  time.Duration `msgpack:"t,omitempty"`
}

// end tells that a request has ended.
type end struct {
	Group permit.Group `msgpack:"g"`
	ID    string       `msgpack:"i"`
	permit.StreamStats
}

// Local is what the gateway of this process knows.
type LocalGateway interface {
	// Engines lists the members of a group.
	Engines(permit.Group) []permit.Engine
	// Quarantine is what it knows of requests that may end servers.
	Quarantine() *quarantine.Tracker
	// Notices is what it knows that servers say of themselves.
	Notices() *notice.Registry
	// Limited lists the servers that state a rate, by the group to which they belong.
	RateLimitedServers() map[permit.Group][]string
	// SetGateways sets the number of gateways, including this one, that share the slack of the retry
	// budgets; 0 while this gateway has no share.
	SetGateways(n int)
	// LendRepeat grants another gateway a repeated send to a service from this gateway's retry budget, and reports
	// whether the budget permitted it.
	LendRepeat(service string) bool
	// Stalled reports that the process was stalled since the given time and processes the backlog until
	// the other.
	RecordStall(since, until time.Time)
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
	in     chan received
	desk   *permit.Scheduler[netip.AddrPort] // of the goroutine in Run
	local  LocalGateway
	ledger *quarantine.Tracker
	board  *notice.Registry
	loans  loans // of the goroutine in Run
	start  time.Time

	mu         sync.Mutex
	members    *members
	findings   findings
	learnt     []learnt                        // here, as last told
	waiting    map[string]chan permit.Decision // by ID of the request
	repeatAsks map[uint64]chan bool            // without an answer so far, by ID
	repeatID   uint64                          // of the newest repeatAsk
	leaving    bool
	lastBeat   time.Time
	lastLive   int // as last logged, at liveLogged
	liveLogged time.Time
}

// Open opens the socket of the gateway on host, which is local, at an IP address and port.
func Open(host, address string, capacity Capacity, local LocalGateway, logger *slog.Logger) (*Peers, error) {
	socket, err := datagram.Open[message](address, metric)
	if err != nil {
		return nil, err
	}
	return join(host, socket, capacity, local, logger), nil
}

// New joins the gateway on host to the others over conn, which it owns.
func New(host string, conn datagram.PacketConn, capacity Capacity, local LocalGateway, logger *slog.Logger) *Peers {
	return join(host, datagram.New[message](conn, metric), capacity, local, logger)
}

// metric begins the names of the counters of datagrams.
const metric = "merlinpost_peer_datagrams"

func join(host string, socket *datagram.Socket[message], capacity Capacity, local LocalGateway, logger *slog.Logger) *Peers {
	self := socket.Address()
	now := time.Now()
	p := &Peers{socket: socket, self: self, logger: logger, in: make(chan received, ring), local: local, ledger: local.Quarantine(), board: local.Notices(), start: now,
		members: newMembers(Member{host, self, capacity}, now), waiting: map[string]chan permit.Decision{}, repeatAsks: map[uint64]chan bool{}}
	p.desk = permit.NewScheduler[netip.AddrPort](local.Engines, p.told, p.board.Limits(), permit.Policy{})
	return p
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
	learntLogged := time.Now()
	for {
		var came received
		select {
		case <-ctx.Done():
			return
		case came = <-p.in:
		case <-p.ledger.UpdatesReady():
		case <-p.board.Pending():
		case <-timer.C:
			next := idleTick
			if p.desk.QueuedCount() > 0 {
				next = busyTick
			}
			timer.Reset(next)
		}
		now := time.Now()
		p.noteStall(now)
		p.take(came, now)
		for _, due := range p.desk.Poll(now) {
			p.answer(due.Decision, due.To)
		}
		p.updateSlackShare(now)
		p.beatIfDue(now)
		p.tellRequests(now)
		p.tellNotices(now)
		p.lend(now)
		if now.Sub(learntLogged) >= learntLogEvery {
			learntLogged = now
			p.logLearnt()
		}
	}
}

// learntLogEvery is the pause between lines about what is learnt of engines.
const learntLogEvery = 5 * time.Second

// logLearnt writes what the decisions of this process rest on.
func (p *Peers) logLearnt() {
	for _, l := range p.desk.Stats() {
		p.logger.Info("engines learnt", "service", l.Service, "read_1000", l.PrefillPer1000Tokens, "pairs", l.AttentionPerMillionPairs, "latency", l.FirstEventLatency, "token", l.TokenTime,
			"longest_pause", l.MaxEventGap, "observed", l.Observations, "waiting", l.Queued, "engines", l.AvailableEngines, "reading", l.PrefillingEngines, "running", l.Running)
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
	case r.Heartbeat != nil:
		p.heard(*r.Heartbeat, r.from, now)
	case r.PermitRequest != nil:
		p.answer(p.desk.Submit(r.PermitRequest.Group, r.PermitRequest.Ask, r.from, now), r.from)
	case r.PermitDecision != nil:
		p.settle(*r.PermitDecision)
	case r.FirstToken != nil:
		p.desk.RecordFirstToken(r.FirstToken.Group, r.FirstToken.ID, r.FirstToken.Took, now)
	case r.End != nil:
		p.desk.Finish(r.End.Group, r.End.ID, r.End.StreamStats, now)
	case r.Suspects != nil:
		p.ledger.Merge(r.Suspects, r.from.String(), now)
	case r.Notices != nil:
		p.hearNotices(r.Notices, r.from, now)
	case r.Loans != nil:
		p.borrow(r.Loans, r.from, now)
	case r.RepeatRequest != nil:
		p.lendRepeat(*r.RepeatRequest, r.from)
	case r.RepeatResponse != nil:
		p.deliverRepeat(*r.RepeatResponse)
	}
}

// answer sends an answer.
func (p *Peers) answer(a permit.Decision, to netip.AddrPort) {
	telemetry.Count("merlinpost_permit_answers_total", "verdict", a.Verdict.String())
	if to == p.self {
		p.settle(a)
		return
	}
	p.send(message{PermitDecision: &a}, to)
}

// settle hands an answer to the request that waits for it.
func (p *Peers) settle(a permit.Decision) {
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
