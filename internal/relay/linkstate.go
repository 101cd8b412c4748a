package relay

import (
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// LinkDown says that the link to the agent is gone.
func (m *Machine) HandleLinkDown() {
	if m.state == finished || m.state == parked || !m.linkUp {
		return
	}
	m.linkUp = false
	m.fx.SetTimer(TimerOfferReply, 0)
	if m.state == cancelling {
		return // its timer runs
	}
	m.fx.SetTimer(TimerAgentLost, m.cfg.LostTimeout)
}

// LinkUp says that the agent is reached again; same is false if it restarted
// and so forgot the attempt.
func (m *Machine) HandleLinkUp(same bool) {
	if m.state == finished || m.state == parked || m.linkUp {
		return
	}
	m.linkUp = true
	m.fx.SetTimer(TimerAgentLost, 0)
	switch {
	case !same && m.state == cancelling:
		m.settleCancel(true)
	case !same:
		m.lost("the agent restarted")
	case m.state == cancelling:
		m.fx.Send(&wire.Cancel{ID: m.id, Attempt: m.attempt})
	default:
		m.fx.SetTimer(TimerOfferReply, m.cfg.OfferReplyTimeout)
		m.resume()
	}
}

// lost gives up on the present attempt, which may have run.
func (m *Machine) lost(why string) {
	m.fx.Abandon(m.attempt)
	m.attemptFailed(fault.New(fault.LinkLost, "%s", why).WithOutcome(fault.Unknown))
}
