package relay

import (
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// cancel withdraws the present attempt and ends with cause once the agent has
// said whether it ran.
func (m *Machine) cancel(cause *fault.Error) {
	if m.state == cancelling {
		return
	}
	m.cause = cause
	if m.state == parked {
		m.finish(nil, cause)
		return
	}
	m.state = cancelling
	m.fx.SetTimer(TimerCancel, m.cfg.CancelTimeout)
	m.fx.Send(&wire.Cancel{ID: m.id, Attempt: m.attempt})
	if !m.linkUp {
		m.fx.Abandon(m.attempt)
		m.settleCancel(true) // decided: no reason to keep the caller waiting
	}
}

// Cancelled takes in the agent's word on a cancel.
func (m *Machine) HandleCancelled(c *wire.Cancelled) {
	if m.mine(c.Attempt) && m.state == cancelling {
		m.settleCancel(c.Ran)
	}
}

func (m *Machine) settleCancel(ran bool) {
	if ran {
		m.unsettled++
	}
	m.finish(nil, m.cause)
}

// CallerGone says that nobody waits for the answer any more.
func (m *Machine) HandleCallerGone() {
	if m.state == finished {
		return
	}
	if m.state == parked {
		m.finish(nil, fault.New(fault.Cancelled, "the caller went away"))
		return
	}
	m.fx.Send(&wire.Cancel{ID: m.id, Attempt: m.attempt})
	if !m.linkUp {
		m.fx.Abandon(m.attempt)
	}
	m.unsettled++
	m.finish(nil, fault.New(fault.Cancelled, "the caller went away"))
}
