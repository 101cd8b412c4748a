package relay

import (
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// cancel cancels the current attempt. The request ends with the fault cause when
// the agent has confirmed whether the attempt ran, or after CancelTimeout.
func (m *Machine) cancel(cause *fault.Error) {
	if m.state == stateCancelling {
		return
	}
	m.pendingFault = cause
	if m.state == stateWaiting {
		m.finish(nil, cause)
		return
	}
	m.state = stateCancelling
	m.effects.SetTimer(TimerCancel, m.cfg.CancelTimeout)
	m.effects.Send(&wire.Cancel{ID: m.id, Attempt: m.attempt})
	if !m.linkUp {
		m.effects.Abandon(m.attempt)
		m.finishCancel(true) // the agent can't confirm now, so do not keep the caller waiting
	}
}

// HandleCancelled processes the agent's confirmation of a cancel.
func (m *Machine) HandleCancelled(c *wire.Cancelled) {
	if m.isCurrent(c.Attempt) && m.state == stateCancelling {
		m.finishCancel(c.Ran)
	}
}

func (m *Machine) finishCancel(ran bool) {
	if ran {
		m.possibleRuns++
	}
	m.finish(nil, m.pendingFault)
}

// HandleCallerGone cancels the request because its caller has disconnected.
func (m *Machine) HandleCallerDisconnected() {
	if m.state == stateFinished {
		return
	}
	if m.state == stateWaiting {
		m.finish(nil, fault.New(fault.Cancelled, "caller disconnected"))
		return
	}
	m.effects.Send(&wire.Cancel{ID: m.id, Attempt: m.attempt})
	if !m.linkUp {
		m.effects.Abandon(m.attempt)
	}
	m.possibleRuns++
	m.finish(nil, fault.New(fault.Cancelled, "caller disconnected"))
}
