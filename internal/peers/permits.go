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
	// askAgain is how often a queued ask is repeated, in case its grant was lost.
	askAgain = 250 * time.Millisecond
	// maxSilence is how many answers may be missing before a home counts as down.
	maxSilence = 2
	// maxHomes bounds the homes that are tried in turn.
	maxHomes = 2
)

// Leave is a permit that was granted. The zero Leave was granted by nobody.
type Leave struct {
	peers      *Peers
	home       netip.AddrPort
	engine, id string
}

// FirstToken and End tell the home how far the request is.
func (l Leave) FirstToken() {
	if l.peers != nil {
		l.peers.send(datagram{FirstToken: &notice{l.engine, l.id}}, l.home)
	}
}

// End tells the home that the request has ended.
func (l Leave) End() {
	if l.peers != nil {
		l.peers.send(datagram{End: &notice{l.engine, l.id}}, l.home)
	}
}

// Ask asks the engine's home for leave to send a request and waits while the ask
// is queued. Where no home answers, the request may be sent: the answer is then
// Granted with a zero Leave. When ctx ends, the answer is Refused.
func (p *Peers) Ask(ctx context.Context, engine string, a permit.Ask) (permit.Answer, Leave) {
	ch := make(chan permit.Answer, 1)
	p.mu.Lock()
	p.waiting[a.ID] = ch
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.waiting, a.ID)
		p.mu.Unlock()
	}()
	for range maxHomes {
		p.mu.Lock()
		home := p.members.home(engine, time.Now()).Address
		p.mu.Unlock()
		answer, present := p.askHome(ctx, home, engine, a, ch)
		if present {
			if answer.Verdict != permit.Granted {
				return answer, Leave{}
			}
			return answer, Leave{p, home, engine, a.ID}
		}
		p.mu.Lock()
		p.members.silent(home, time.Now())
		p.mu.Unlock()
	}
	return permit.Answer{ID: a.ID, Verdict: permit.Granted}, Leave{}
}

// askHome asks one home; false when it gives no answer.
func (p *Peers) askHome(ctx context.Context, home netip.AddrPort, engine string, a permit.Ask, ch <-chan permit.Answer) (permit.Answer, bool) {
	d := datagram{Ask: &ask{engine, a}}
	p.send(d, home)
	silent := 0
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			p.send(datagram{End: &notice{engine, a.ID}}, home)
			return permit.Answer{ID: a.ID, Verdict: permit.Refused}, true
		case answer := <-ch:
			if answer.Verdict != permit.Queued {
				return answer, true
			}
			silent = 0
			timer.Reset(askAgain)
		case <-timer.C:
			if silent++; silent > maxSilence {
				return permit.Answer{}, false
			}
			p.send(d, home)
			timer.Reset(answerTimeout)
		}
	}
}
