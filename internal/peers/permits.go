package peers

import (
	"context"
	"net/netip"
	"time"

	"github.com/merlinpost/merlinpost/internal/permit"
)

const (
	// answerTimeout limits the wait for the answer of a home. It allows for a round trip of up to
	// 6 ms and a home process on a seventh of a core. An unreachable home delays a request by
	// maxMissedAnswers+1 time-outs.
	responseTimeout = 80 * time.Millisecond
	// queuedRetryInterval is the interval at which a queued permit request is repeated, in case its
	// grant was lost or the home has terminated. At four repeats a second, about a hundred queued
	// requests took most of the processor time of a home on a seventh of a core.
	queuedResendInterval = time.Second
	// maxMissedAnswers is the number of answers in a row that may be missing before a home counts as down.
	maxMissedResponses = 2
	// maxHomeAttempts is the number of homes that are tried in turn.
	maxHomeAttempts = 2
)

// Permit is permission to send a request to an engine. The zero Permit was granted without a home, and its methods
// do nothing.
type Permit struct {
	peers *Peers
	home  netip.AddrPort
	group permit.Group
	id    string
}

// FirstToken reports to the home that the prefill is complete. Took is the time from sending the
// request to its first event.
func (t Permit) FirstToken(took time.Duration) {
	if t.peers != nil {
		t.peers.send(message{FirstToken: &firstToken{Group: t.group, ID: t.id, TimeToFirstToken: took}}, t.home)
	}
}

// End reports to the home that the request has ended, with the statistics of its response.
func (t Permit) End(s permit.StreamStats) {
	if t.peers != nil {
		t.peers.send(message{End: &requestEnd{Group: t.group, ID: t.id, StreamStats: s}}, t.home)
	}
}

// RequestPermit asks the group's home for permission to send a request, and waits while the permit
// request is queued. If no home answers, the request may be sent: the verdict is then Granted without
// an engine, and the Permit is zero. When ctx is done, the verdict is Refused.
func (p *Peers) RequestPermit(ctx context.Context, group permit.Group, a permit.Ask) (permit.Decision, Permit) {
	ch := make(chan permit.Decision, 1)
	p.mu.Lock()
	p.pendingPermits[a.ID] = ch
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pendingPermits, a.ID)
		p.mu.Unlock()
	}()
	start := time.Now()
	for range maxHomeAttempts {
		p.mu.Lock()
		home := p.members.home(group.Key(), time.Now()).Address
		p.mu.Unlock()
		decision, answered := p.requestFromHome(ctx, home, pendingRequest{group, a, start}, ch)
		if answered {
			if decision.Verdict != permit.Granted {
				return decision, Permit{}
			}
			return decision, Permit{p, home, group, a.ID}
		}
		p.mu.Lock()
		p.members.markUnresponsive(home, time.Now())
		p.mu.Unlock()
	}
	return permit.Decision{ID: a.ID, Verdict: permit.Granted}, Permit{}
}

// pendingRequest is a permit request with the time at which its remaining times were calculated.
type pendingRequest struct {
	group       permit.Group
	request     permit.Ask
	requestedAt time.Time
}

// message returns the request with the remaining times adjusted to now.
func (q pendingRequest) message() message {
	a, elapsed := q.request, time.Since(q.requestedAt)
	a.FirstTokenTarget -= elapsed
	a.FirstTokenTimeout = max(a.FirstTokenTimeout-elapsed, time.Millisecond)
	return message{PermitRequest: &permitRequest{q.group, a}}
}

// requestFromHome sends a permit request to a home and waits for the decision. It returns false if the home does
// not answer.
func (p *Peers) requestFromHome(ctx context.Context, home netip.AddrPort, q pendingRequest, ch <-chan permit.Decision) (permit.Decision, bool) {
	p.send(q.message(), home)
	missed := 0
	timer := time.NewTimer(responseTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			p.send(message{End: &requestEnd{Group: q.group, ID: q.request.ID}}, home)
			return permit.Decision{ID: q.request.ID, Verdict: permit.Refused}, true
		case decision := <-ch:
			if decision.Verdict != permit.Queued {
				return decision, true
			}
			missed = 0
			timer.Reset(queuedResendInterval)
		case <-timer.C:
			if missed++; missed > maxMissedResponses {
				return permit.Decision{}, false
			}
			p.send(q.message(), home)
			timer.Reset(responseTimeout)
		}
	}
}
