package peers

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

const (
	// responseTimeout limits the wait for a response of a home. It allows for a round-trip time of up to
	// 6 ms and a home process on a seventh of a core. An unreachable home delays a request by
	// maxMissedResponses+1 timeouts.
	responseTimeout = 80 * time.Millisecond
	// queuedResendInterval is the interval at which a queued permit request is resent, in case its
	// grant was lost or the home has terminated. With four resends per second, about a hundred
	// queued requests took most of the CPU time of a home on a seventh of a core.
	queuedResendInterval = time.Second
	// maxMissedResponses is the number of consecutive responses that a home may miss before it counts as down.
	maxMissedResponses = 2
	// maxHomeAttempts is the maximum number of homes that are tried in turn.
	maxHomeAttempts = 2
)

// Permit is permission to send a request to an engine. The zero Permit represents permission without the decision
// of a home; its methods do nothing.
type Permit struct {
	peers *Peers
	home  netip.AddrPort
	group permit.Group
	id    string
	// engine is the ID of the engine that was granted.
	engine string
}

// FirstToken reports to the home that the prefill is complete. TimeToFirstToken is the time from
// sending the request to its first event.
func (p Permit) FirstToken(timeToFirstToken time.Duration) {
	if p.peers != nil {
		p.peers.send(message{FirstToken: &firstToken{Group: p.group, ID: p.id, TimeToFirstToken: timeToFirstToken}, Notices: p.notices()}, p.home)
	}
}

// End reports to the home that the request has ended, with the statistics of its response.
func (p Permit) End(stats permit.StreamStats) {
	if p.peers != nil {
		p.peers.mu.Lock()
		delete(p.peers.heldPermits, p.id)
		p.peers.mu.Unlock()
		p.peers.send(message{End: &requestEnd{Group: p.group, ID: p.id, StreamStats: stats}, Notices: p.notices()}, p.home)
	}
}

// notices returns this gateway's notices of the granted engine, if there are any. The home must know them before it
// learns of the response: it then grants the engine further requests.
func (p Permit) notices() []notice.Report {
	if p.home == p.peers.self {
		return nil
	}
	if report, known := p.peers.notices.Report(p.engine, time.Now()); known && (report.Limited || report.Draining) {
		return []notice.Report{report}
	}
	return nil
}

// RequestPermit asks the group's home for permission to send a request, and waits while the permit
// request is queued. If no home responds, the request may be sent anyway: the verdict is Granted without
// an engine, and the Permit is zero. If ctx is done before the decision, the verdict is Refused.
func (p *Peers) RequestPermit(ctx context.Context, group permit.Group, request permit.Ask) (permit.Decision, Permit) {
	ch := make(chan permit.Decision, 1)
	defer func() {
		p.mu.Lock()
		delete(p.pendingPermits, request.ID)
		p.mu.Unlock()
	}()
	start := time.Now()
	for range maxHomeAttempts {
		p.mu.Lock()
		home := p.members.home(group.Key(), time.Now()).Address
		p.pendingPermits[request.ID] = pendingPermit{home, ch}
		p.mu.Unlock()
		decision, responded := p.requestFromHome(ctx, home, pendingRequest{group, request, start}, ch)
		if responded {
			if decision.Verdict != permit.Granted || decision.Engine == "" {
				return decision, Permit{}
			}
			p.mu.Lock()
			p.heldPermits[request.ID] = home
			p.mu.Unlock()
			return decision, Permit{p, home, group, request.ID, decision.Engine}
		}
		p.mu.Lock()
		p.members.markUnresponsive(home, time.Now())
		p.mu.Unlock()
	}
	return permit.Decision{ID: request.ID, Verdict: permit.Granted}, Permit{}
}

// pendingPermit is a call of RequestPermit that waits for the decision of a home.
type pendingPermit struct {
	home      netip.AddrPort
	decisions chan<- permit.Decision
}

// pendingRequest is a permit request. The remaining times that it contains are relative to requestedAt.
type pendingRequest struct {
	group       permit.Group
	request     permit.Ask
	requestedAt time.Time
}

// message returns the message for the request, with the remaining times relative to now.
func (q pendingRequest) message() message {
	request, elapsed := q.request, time.Since(q.requestedAt)
	request.FirstTokenTarget -= elapsed
	request.FirstTokenTimeout = max(request.FirstTokenTimeout-elapsed, time.Millisecond)
	if request.ResponseTimeout > 0 {
		request.ResponseTimeout = max(request.ResponseTimeout-elapsed, time.Millisecond)
	}
	request.ExcludedFor = slices.Clone(request.ExcludedFor)
	for i, wait := range request.ExcludedFor {
		if wait > 0 {
			request.ExcludedFor[i] = max(wait-elapsed, 1) // 0 would exclude the engine altogether
		}
	}
	return message{PermitRequest: &permitRequest{q.group, request}}
}

// requestFromHome sends a permit request to a home and waits for the decision. It returns false if the home does
// not respond.
func (p *Peers) requestFromHome(ctx context.Context, home netip.AddrPort, q pendingRequest, ch <-chan permit.Decision) (permit.Decision, bool) {
	p.send(q.message(), home)
	missed := 0
	timer := time.NewTimer(responseTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			p.send(message{End: &requestEnd{Group: q.group, ID: q.request.ID, StreamStats: permit.NotSent}}, home)
			return permit.Decision{ID: q.request.ID, Verdict: permit.Refused}, true
		case decision := <-ch:
			if decision.Verdict != permit.Queued {
				return decision, true
			}
			missed = 0
			timer.Reset(queuedResendInterval)
		case <-timer.C:
			if missed++; missed > maxMissedResponses {
				// A home that is only stalled must not grant the request an engine later.
				p.send(message{End: &requestEnd{Group: q.group, ID: q.request.ID, StreamStats: permit.NotSent}}, home)
				return permit.Decision{}, false
			}
			p.send(q.message(), home)
			timer.Reset(responseTimeout)
		}
	}
}

// deliverDecision passes a decision of a home to the RequestPermit call that waits for it. If no call does, because
// this gateway has restarted or has given up on the home, it tells the home that the request has ended. Otherwise the
// home would keep the request queued or an engine reserved for it.
func (p *Peers) deliverDecision(d permit.Decision, from netip.AddrPort) {
	p.mu.Lock()
	pending, held := p.pendingPermits[d.ID], p.heldPermits[d.ID]
	p.mu.Unlock()
	if pending.home != from {
		kept := d.Verdict == permit.Queued || d.Verdict == permit.Granted && d.Engine != ""
		if kept && held != from {
			telemetry.Count("merlinpost_permits_returned_total", "verdict", d.Verdict.String())
			p.send(message{End: &requestEnd{ID: d.ID, StreamStats: permit.NotSent}}, from)
		}
		return
	}
	select {
	case pending.decisions <- d:
	default: // the previous decision has not been received yet; RequestPermit resends its request
	}
}
