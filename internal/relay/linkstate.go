package relay

import (
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// HandleLinkDown notes that the link to the agent is down.
func (m *Machine) HandleLinkDown() {
	if m.state == finished || m.state == waiting || !m.linkUp {
		return
	}
	m.linkUp = false
	m.effects.SetTimer(TimerOfferReply, 0)
	if m.state == cancelling {
		return // TimerCancel is running
	}
	m.effects.SetTimer(TimerAgentLost, m.cfg.LostTimeout)
}

// HandleLinkUp notes that the link to the agent is up again. sameProcess is false
// if the agent has restarted and so lost the attempt.
func (m *Machine) HandleLinkUp(sameProcess bool) {
	if m.state == finished || m.state == waiting || m.linkUp {
		return
	}
	m.linkUp = true
	m.effects.SetTimer(TimerAgentLost, 0)
	switch {
	case !sameProcess && m.state == cancelling:
		m.finishCancel(true)
	case !sameProcess:
		m.agentLost("agent restarted")
	case m.state == cancelling:
		m.effects.Send(&wire.Cancel{ID: m.id, Attempt: m.attempt})
	default:
		m.effects.SetTimer(TimerOfferReply, m.cfg.OfferReplyTimeout)
		m.resume()
	}
}

// agentLost abandons the current attempt, which may have run.
func (m *Machine) agentLost(reason string) {
	m.effects.Abandon(m.attempt)
	m.attemptFailed(fault.New(fault.LinkLost, "%s", reason).WithOutcome(fault.Unknown))
}
