// Package peers implements the protocol between the gateways of a deployment. It tracks which
// gateways are live and which one schedules the requests to each group of engines (the group's
// home). It also distributes estimates of engine performance, notices of backend servers, suspected
// requests, shares of rate limits and retry budgets, and the states that gateways have read from the
// platform's store, so that not all of them need to read it.
//
// All messages are UDP datagrams on one socket. Lost requests are retransmitted; other information is sent
// repeatedly or can be read from the store. No guarantee to callers depends on the delivery of a
// datagram.
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
	// queuedPollInterval is the interval at which Run polls the scheduler in the absence of events
	// while permit requests are queued; idlePollInterval applies when none are queued.
	queuedPollInterval, idlePollInterval = 20 * time.Millisecond, 100 * time.Millisecond
	// inboxSize is the capacity of the queue between the goroutine that receives datagrams and Run's loop.
	inboxSize = 1024
)

// message is one datagram. Exactly one field is set, except that Notices may accompany FirstToken and End.
type message struct {
	Heartbeat      *heartbeat       `msgpack:"b,omitempty"`
	PermitRequest  *permitRequest   `msgpack:"a,omitempty"`
	PermitDecision *permit.Decision `msgpack:"v,omitempty"`
	FirstToken     *firstToken      `msgpack:"f,omitempty"`
	End            *requestEnd      `msgpack:"e,omitempty"`
	// Suspects are requests that are suspected of crashing servers, as known to the sender.
	Suspects []quarantine.Update `msgpack:"q,omitempty"`
	// Parts are prompt parts that are suspected of crashing servers, as known to the sender.
	Parts []quarantine.Update `msgpack:"s,omitempty"`
	// Notices are the notices that servers have sent in responses, as known to the sender.
	Notices []notice.Report `msgpack:"n,omitempty"`
	// Loans identify the rate limits of which the sender lends its share to the receiver.
	Loans []notice.Report `msgpack:"l,omitempty"`
	// RetryRequest asks the receiver for a retry from its retry budget; RetryResponse is the response.
	RetryRequest  *retryRequest  `msgpack:"r,omitempty"`
	RetryResponse *retryResponse `msgpack:"p,omitempty"`
}

// heartbeat announces that a gateway is live and reports the states that it has read from the store.
type heartbeat struct {
	Host string `msgpack:"h"`
	Capacity
	Leaving bool `msgpack:"l,omitempty"`
	// Starting is set by a gateway that has just started. It requests the current suspects and notices
	// from the others.
	Starting bool          `msgpack:"n,omitempty"`
	States   []stateReport `msgpack:"f,omitempty"`
	// Estimates are the sender's estimates for the engines whose requests it schedules.
	Estimates []engineEstimates `msgpack:"e,omitempty"`
}

// permitRequest asks the home of a group for permission to send a request to one of its engines.
type permitRequest struct {
	Group permit.Group `msgpack:"g"`
	permit.Ask
}

// firstToken reports that an engine has completed a request's prefill.
type firstToken struct {
	Group            permit.Group  `msgpack:"g"`
	ID               string        `msgpack:"i"`
	TimeToFirstToken time.Duration `msgpack:"t,omitempty"`
}

// requestEnd reports that a request has ended. Group is zero if the sender does not know it.
type requestEnd struct {
	Group permit.Group `msgpack:"g"`
	ID    string       `msgpack:"i"`
	permit.StreamStats
}

// LocalGateway is the gateway that runs in this process.
type LocalGateway interface {
	// Engines returns the engines of a group.
	Engines(permit.Group) []permit.Engine
	// Quarantine returns the tracker of requests that are suspected of crashing servers.
	Quarantine() *quarantine.Tracker
	// PromptParts returns the tracker of prompt parts that are suspected of crashing servers.
	PromptParts() *quarantine.PartTracker
	// Notices returns the registry of the servers' notices.
	Notices() *notice.Registry
	// RateLimitedServers returns the servers that state a rate limit, by group.
	RateLimitedServers() map[permit.Group][]string
	// SetGateways sets the number of gateways, including this one, that share the slack of the retry
	// budgets. With 0, this gateway has no share.
	SetGateways(n int)
	// LendRetry grants another gateway a retry to a service from this gateway's retry budget, and reports
	// whether the budget permitted it.
	LendRetry(service string) bool
	// RecordStall records that the process was stalled from since until now, and is expected to have
	// processed the backlog at until.
	RecordStall(since, until time.Time)
}

// receivedMessage is a message with the address of its sender.
type receivedMessage struct {
	message
	from netip.AddrPort
}

// Peers exchanges messages with the other gateways. It is safe for concurrent use.
type Peers struct {
	socket     *datagram.Socket[message]
	self       netip.AddrPort
	logger     *slog.Logger
	inbox      chan receivedMessage
	scheduler  *permit.Scheduler[netip.AddrPort] // used only by Run's goroutine
	local      LocalGateway
	quarantine *quarantine.Tracker
	parts      *quarantine.PartTracker
	notices    *notice.Registry
	loans      loanState // used only by Run's goroutine
	start      time.Time

	mu             sync.Mutex
	members        *members
	states         topicStates
	estimates      []engineEstimates         // this gateway's, as sent in heartbeats
	pendingPermits map[string]pendingPermit  // by request ID
	heldPermits    map[string]netip.AddrPort // homes of permits that have not ended, by request ID
	pendingRetries map[uint64]chan bool      // by the ID of the retryRequest
	lastRetryID    uint64                    // ID of the newest retryRequest
	leaving        bool
	heartbeatAt    time.Time
	loggedLive     int // number of live gateways last logged, at liveLoggedAt
	liveLoggedAt   time.Time
}

// Open listens on an IP address and port. Host is the host of this gateway.
func Open(host, address string, capacity Capacity, local LocalGateway, logger *slog.Logger) (*Peers, error) {
	socket, err := datagram.Open[message](address, metricPrefix)
	if err != nil {
		return nil, err
	}
	return newPeers(host, socket, capacity, local, logger), nil
}

// New is like Open, but uses conn, which it takes ownership of.
func New(host string, conn datagram.PacketConn, capacity Capacity, local LocalGateway, logger *slog.Logger) *Peers {
	return newPeers(host, datagram.New[message](conn, metricPrefix), capacity, local, logger)
}

// metricPrefix is the name prefix of the datagram counters.
const metricPrefix = "merlinpost_peer_datagrams"

func newPeers(host string, socket *datagram.Socket[message], capacity Capacity, local LocalGateway, logger *slog.Logger) *Peers {
	self := socket.Address()
	now := time.Now()
	p := &Peers{socket: socket, self: self, logger: logger, inbox: make(chan receivedMessage, inboxSize), local: local, quarantine: local.Quarantine(), parts: local.PromptParts(), notices: local.Notices(), start: now,
		members: newMembers(Member{host, self, capacity}, now), pendingPermits: map[string]pendingPermit{}, heldPermits: map[string]netip.AddrPort{}, pendingRetries: map[uint64]chan bool{}}
	p.scheduler = permit.NewScheduler[netip.AddrPort](local.Engines, p.peerEstimates, p.notices.Limits(), permit.Policy{})
	return p
}

// Self returns the Member that describes this gateway.
func (p *Peers) Self() Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.members.self
}

// Run sends and processes messages until ctx is done. A separate goroutine receives from the socket;
// the calling goroutine processes the messages.
func (p *Peers) Run(ctx context.Context) {
	var receiving sync.WaitGroup
	defer receiving.Wait()
	receiving.Go(func() {
		p.socket.Receive(ctx, func(m message, from netip.AddrPort) { p.enqueue(receivedMessage{m, from}) })
	})
	timer := time.NewTimer(idlePollInterval)
	defer timer.Stop()
	estimatesLogged := time.Now()
	for {
		var r receivedMessage
		select {
		case <-ctx.Done():
			return
		case r = <-p.inbox:
		case <-p.quarantine.UpdatesReady():
		case <-p.parts.UpdatesReady():
		case <-p.notices.ReportsReady():
		case <-timer.C:
			next := idlePollInterval
			if p.scheduler.QueuedCount() > 0 {
				next = queuedPollInterval
			}
			timer.Reset(next)
		}
		now := time.Now()
		p.checkStall(now)
		p.handle(r, now)
		for _, due := range p.scheduler.Poll(now) {
			p.sendDecision(due.Decision, due.To)
		}
		p.updateSlackShare(now)
		p.sendHeartbeatIfDue(now)
		p.sendSuspects(now)
		p.sendNotices(now)
		p.lendRateShares(now)
		if now.Sub(estimatesLogged) >= estimatesLogInterval {
			estimatesLogged = now
			p.logEstimates()
		}
	}
}

// estimatesLogInterval is the interval at which the engine estimates are logged.
const estimatesLogInterval = 5 * time.Second

// logEstimates logs the engine estimates on which this gateway's decisions are based.
func (p *Peers) logEstimates() {
	for _, s := range p.scheduler.Stats() {
		p.logger.Info("engines learnt", "service", s.Service, "read_1000", s.PrefillPer1000Tokens, "pairs", s.AttentionPerMillionPairs, "latency", s.FirstEventLatency, "token", s.TokenTime,
			"longest_pause", s.MaxEventGap, "observed", s.Observations, "waiting", s.Queued, "engines", s.AvailableEngines, "reading", s.PrefillingEngines, "running", s.Running)
	}
}

// enqueue passes a received message to Run. It drops the message if the inbox is full.
func (p *Peers) enqueue(r receivedMessage) {
	select {
	case p.inbox <- r:
	default:
		telemetry.Count("merlinpost_peer_datagrams_overrun_total")
	}
}

// send sends a message; messages to this gateway itself bypass the socket. A message that
// cannot be sent is dropped.
func (p *Peers) send(m message, to netip.AddrPort) {
	if to == p.self {
		p.enqueue(receivedMessage{m, p.self})
		return
	}
	p.socket.Send(m, to)
}

// handle processes a received message.
func (p *Peers) handle(r receivedMessage, now time.Time) {
	if r.Notices != nil {
		p.handleNotices(r.Notices, r.from, now)
	}
	switch {
	case r.Heartbeat != nil:
		p.handleHeartbeat(*r.Heartbeat, r.from, now)
	case r.PermitRequest != nil:
		p.sendDecision(p.scheduler.Submit(r.PermitRequest.Group, r.PermitRequest.Ask, r.from, now), r.from)
	case r.PermitDecision != nil:
		p.deliverDecision(*r.PermitDecision, r.from)
	case r.FirstToken != nil:
		p.scheduler.RecordFirstToken(r.FirstToken.Group, r.FirstToken.ID, r.FirstToken.TimeToFirstToken, now)
	case r.End != nil:
		p.scheduler.Finish(r.End.Group, r.End.ID, r.End.StreamStats, now)
	case r.Suspects != nil:
		p.quarantine.Merge(r.Suspects, r.from.String(), now)
	case r.Parts != nil:
		p.parts.Merge(r.Parts, r.from.String(), now)
	case r.Loans != nil:
		p.handleLoans(r.Loans, r.from, now)
	case r.RetryRequest != nil:
		p.lendRetry(*r.RetryRequest, r.from)
	case r.RetryResponse != nil:
		p.deliverRetryResponse(*r.RetryResponse)
	}
}

// sendDecision sends the decision on a permit request.
func (p *Peers) sendDecision(d permit.Decision, to netip.AddrPort) {
	telemetry.Count("merlinpost_permit_answers_total", "verdict", d.Verdict.String())
	if to == p.self {
		p.deliverDecision(d, p.self)
		return
	}
	p.send(message{PermitDecision: &d}, to)
}
