package peers

import (
	"context"
	"net/netip"
	"time"

	"github.com/merlinpost/merlinpost/internal/permit"
)

const (
	// answerTimeout bounds the wait for a home's word: a round trip of at most 6 ms
	// and a process with a seventh of a core. A home that is away costs a request
	// this twice.
	answerTimeout = 80 * time.Millisecond
	// askAgain is how often a queued ask is repeated, in case its grant was lost or the
	// home has ended. With some hundred asks waiting at a home on a seventh of a core,
	// four repeats a second took most of its processor.
	askAgain = time.Second
	// maxSilence is how many answers may be missing before a home counts as down.
	maxSilence = 2
	// maxHomes bounds the homes that are tried in turn.
	maxHomes = 2
)

// Leave is a permit that was granted. The zero Leave was granted by nobody.
type Permit struct {
	peers *Peers
	home  netip.AddrPort
	group permit.Group
	id    string
}

// FirstToken tells the home that the prompt has been read, and how long after it was sent
// the first event came.
func (l Permit) FirstToken(took time.Duration) {
	if l.peers != nil {
		l.peers.send(message{FirstToken: &firstToken{Group: l.group, ID: l.id, Took: took}}, l.home)
	}
}

// End tells the home that the request has ended, and what was seen of its answer.
func (l Permit) End(s permit.StreamStats) {
	if l.peers != nil {
		l.peers.send(message{End: &end{Group: l.group, ID: l.id, StreamStats: s}}, l.home)
	}
}

// Ask asks the group's home for leave to send a request and waits while the ask is
// queued. Where no home answers, the request may be sent: the answer is then Granted
// without an engine and with a zero Leave. When ctx ends, the answer is Refused.
func (p *Peers) RequestPermit(ctx context.Context, group permit.Group, a permit.Ask) (permit.Decision, Permit) {
	ch := make(chan permit.Decision, 1)
	p.mu.Lock()
	p.waiting[a.ID] = ch
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.waiting, a.ID)
		p.mu.Unlock()
	}()
	start := time.Now()
	for range maxHomes {
		p.mu.Lock()
		home := p.members.home(group.Key(), time.Now()).Address
		p.mu.Unlock()
		answer, present := p.askHome(ctx, home, question{group, a, start}, ch)
		if present {
			if answer.Verdict != permit.Granted {
				return answer, Permit{}
			}
			return answer, Permit{p, home, group, a.ID}
		}
		p.mu.Lock()
		p.members.silent(home, time.Now())
		p.mu.Unlock()
	}
	return permit.Decision{ID: a.ID, Verdict: permit.Granted}, Permit{}
}

// question is an ask with the time at which its times left were true.
type question struct {
	group permit.Group
	ask   permit.Ask
	asked time.Time
}

// message is the question as it is to be sent now.
func (q question) message() message {
	a, elapsed := q.ask, time.Since(q.asked)
	a.FirstTokenTarget -= elapsed
	a.FirstTokenTimeout = max(a.FirstTokenTimeout-elapsed, time.Millisecond)
	return message{PermitRequest: &ask{q.group, a}}
}

// askHome asks one home; false when it gives no answer.
func (p *Peers) askHome(ctx context.Context, home netip.AddrPort, q question, ch <-chan permit.Decision) (permit.Decision, bool) {
	p.send(q.message(), home)
	silent := 0
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			p.send(message{End: &end{Group: q.group, ID: q.ask.ID}}, home)
			return permit.Decision{ID: q.ask.ID, Verdict: permit.Refused}, true
		case answer := <-ch:
			if answer.Verdict != permit.Queued {
				return answer, true
			}
			silent = 0
			timer.Reset(askAgain)
		case <-timer.C:
			if silent++; silent > maxSilence {
				return permit.Decision{}, false
			}
			p.send(q.message(), home)
			timer.Reset(answerTimeout)
		}
	}
}
