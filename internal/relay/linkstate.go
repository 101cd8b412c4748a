package relay

import (
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// LinkDown says that the link to the agent is gone.
func (m *Machine) LinkDown() {
	if m.state == finished || m.state == parked || !m.linkUp {
		return
	}
	m.linkUp = false
	m.fx.Arm(TimerAnswer, 0)
	if m.state == cancelling {
		return // its timer runs
	}
	m.fx.Arm(TimerLost, m.cfg.Lost)
}

// LinkUp says that the agent is reached again; same is false if it restarted
// and so forgot the attempt.
func (m *Machine) LinkUp(same bool) {
	if m.state == finished || m.state == parked || m.linkUp {
		return
	}
	m.linkUp = true
	m.fx.Arm(TimerLost, 0)
	switch {
	case !same && m.state == cancelling:
		m.settleCancel(true)
	case !same:
		m.lost("the agent restarted")
	case m.state == cancelling:
		m.fx.Send(&wire.Cancel{ID: m.id, Attempt: m.attempt})
	default:
		m.fx.Arm(TimerAnswer, m.cfg.Answer)
		m.resume()
	}
}

// lost gives up on the present attempt, which may have run.
func (m *Machine) lost(why string) {
	m.fx.Abandon(m.attempt)
	m.attemptFailed(fault.New(fault.LinkLost, "%s", why).WithOutcome(fault.Unknown))
}
