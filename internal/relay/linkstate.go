package relay

import (
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// HandleLinkDown notes that the link to the agent is down.
func (m *Machine) HandleLinkDown() {
	if m.state == stateFinished || m.state == stateWaiting || !m.linkUp {
		return
	}
	m.linkUp = false
	m.effects.SetTimer(TimerOfferReply, 0)
	if m.state == stateCancelling {
		return // TimerCancel is running
	}
	m.effects.SetTimer(TimerAgentLost, m.cfg.LostTimeout)
}

// HandleLinkUp notes that the link to the agent is up again. sameProcess is false
// if the agent has restarted and so lost the attempt.
func (m *Machine) HandleLinkUp(sameProcess bool) {
	if m.state == stateFinished || m.state == stateWaiting || m.linkUp {
		return
	}
	m.linkUp = true
	m.effects.SetTimer(TimerAgentLost, 0)
	switch {
	case !sameProcess && m.state == stateCancelling:
		m.finishCancel(true)
	case !sameProcess:
		m.handleAgentLost("agent restarted")
	case m.state == stateCancelling:
		m.effects.Send(&wire.Cancel{ID: m.id, Attempt: m.attempt})
	default:
		m.effects.SetTimer(TimerOfferReply, m.cfg.OfferReplyTimeout)
		m.resume()
	}
}

// agentLost abandons the current attempt, which may have run.
func (m *Machine) handleAgentLost(reason string) {
	m.effects.Abandon(m.attempt)
	m.handleAttemptFailure(fault.New(fault.LinkLost, "%s", reason).WithOutcome(fault.Unknown))
}
