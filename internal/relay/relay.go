// Package relay is the deciding part of one request at a router: it offers the
// request to agents one after another, passes the answer on in order, resumes
// it over new links and at other agents, and ends with one final word. It is
// pure: events come in by method, effects go out through an interface.
//
// What it holds to:
//
//   - "not run" is said only when every attempt was refused, or was cancelled
//     and the agent confirmed that it had not started;
//   - work that may not be repeated is offered again only after such a word;
//   - a caller gets each chunk once, in order, and an end only when whole;
//   - a decided request is answered at once.
package relay

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/answer"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// ackEvery is how many chunks are acknowledged at a time.
const ackEvery = 32

// Window is how many chunks an agent may send ahead of acknowledgement; it
// bounds what a router holds for a slow caller.
const WindowChunks = 128

// maxBusyLinks bounds the links that are tried in a row for one offer.
const maxBusyLinks = 16

// Timer names a timer of a request.
type Timer uint8

// The timers.
const (
	TimerAgentLost  Timer = iota // the agent is out of reach for too long
	TimerCancel                  // the agent does not confirm a cancel
	TimerDeadline                // the whole request is overdue
	TimerOfferReply              // the agent does not answer an offer
)

// Effects is what a Machine does to the world.
type Effects interface {
	// Offer chooses an agent and sends it the attempt. done and doneText are
	// what the caller has had. A fault means that nothing was sent: NoLink
	// that an agent may be reached again soon, LinkBusy that this one can't
	// take it now.
	Offer(attempt uint32, done uint32, doneText string) *fault.Error
	// Send sends to the agent of the present attempt; if its link is down
	// the message is dropped.
	Send(m wire.Message)
	// Abandon asks for a cancel to be sent to the agent of the present
	// attempt whenever it is reached again.
	Abandon(attempt uint32)
	// Deliver passes a chunk to the caller.
	Deliver(data []byte)
	// Finish gives the final word; e is nil for a whole answer.
	Finish(end *wire.End, e *fault.Error)
	// Arm starts a timer, replacing one of the same name; 0 stops it.
	SetTimer(t Timer, d time.Duration)
	// Retry takes one retry out of the budget, false if it is spent.
	TakeRetry() bool
}

// Config is the timing and the limits of a request.
type Config struct {
	MaxAttempts int
	MayRepeat   bool
	// Resumable says that another agent can go on after delivered chunks.
	Resumable         bool
	RunTimeout        time.Duration
	LostTimeout       time.Duration // how long an agent may be out of reach
	CancelTimeout     time.Duration // how long a cancel may take to be confirmed
	OfferReplyTimeout time.Duration // how long a verdict may take
}

type state uint8

const (
	parked     state = iota // no agent is reached; waits for one
	offered                 // sent, no verdict yet
	accepted                // the agent holds it
	cancelling              // a cancel was sent; its confirmation decides
	finished
)

// Machine is one request. Call New, then Start; events must come from one
// goroutine.
type Machine struct {
	cfg     Config
	fx      Effects
	id      string
	state   state
	attempt uint32
	asm     answer.Assembler
	text    []byte
	acked   uint32
	linkUp  bool
	// unsettled counts earlier attempts that may have run.
	unsettled int
	refusal   *fault.Error // the last refusal, said if nothing else is
	cause     *fault.Error // why the request is being cancelled
	retries   int
}

// New returns a Machine for the request with the given id.
func New(id string, cfg Config, fx Effects) *Machine { return &Machine{cfg: cfg, fx: fx, id: id} }

// Finished reports whether the final word was given.
func (m *Machine) Finished() bool { return m.state == finished }

// Retries returns how many further offers were made.
func (m *Machine) Retries() int { return m.retries }

// Delivered returns the number of chunks passed on.
func (m *Machine) Delivered() uint32 { return m.asm.NextSeq() }

// Start makes the first offer.
func (m *Machine) Start() {
	m.fx.SetTimer(TimerDeadline, m.cfg.RunTimeout)
	m.offer()
}

// offer makes an offer to an agent, and to the next if the link to it fails at
// that moment. While no agent is reached the request is parked: a network that
// loses its connections gets them back within moments.
func (m *Machine) offer() {
	m.attempt++
	e := m.fx.Offer(m.attempt, m.asm.NextSeq(), string(m.text))
	for busyLinks := 0; e != nil && e.Code == fault.LinkBusy && busyLinks < maxBusyLinks; busyLinks++ {
		// Nothing was sent, so it is the same attempt still.
		e = m.fx.Offer(m.attempt, m.asm.NextSeq(), string(m.text))
	}
	switch {
	case e == nil:
	case e.Code == fault.BackendServersUnreachable && (m.refusal == nil || !IsOverload(m.refusal.Code)):
		m.state = parked
		m.cause = e
		m.fx.SetTimer(TimerOfferReply, 0)
		m.fx.SetTimer(TimerAgentLost, m.cfg.LostTimeout)
		return
	default:
		if m.refusal == nil {
			m.refusal = e
		}
		m.finish(nil, m.refusal)
		return
	}
	m.state, m.linkUp = offered, true
	m.fx.SetTimer(TimerAgentLost, 0)
	m.fx.SetTimer(TimerOfferReply, m.cfg.OfferReplyTimeout)
}

// Place says that an agent may be reached now.
func (m *Machine) HandleAgentAvailable() {
	if m.state == parked {
		m.attempt-- // the offer that found no agent was none
		m.offer()
	}
}

// mine reports whether a message belongs to the present attempt.
func (m *Machine) mine(attempt uint32) bool {
	return m.state != finished && m.state != parked && attempt == m.attempt
}

// Verdict takes in the agent's word on an offer or a resume.
func (m *Machine) HandleVerdict(v *wire.OfferResponse) {
	if !m.mine(v.Attempt) {
		return
	}
	m.fx.SetTimer(TimerOfferReply, 0)
	if v.Fault == nil {
		if m.state == offered {
			m.state = accepted
		}
		return
	}
	e := v.Fault.Err()
	if m.state == cancelling {
		m.settleCancel(e.Outcome != fault.NotRun)
		return
	}
	m.attemptFailed(e)
}

// attemptFailed goes on after an attempt ended without an answer: its outcome
// says whether it may have run.
func (m *Machine) attemptFailed(e *fault.Error) {
	if m.state == offered || m.state == accepted {
		m.fx.SetTimer(TimerOfferReply, 0)
	}
	m.refusal = e
	if e.Outcome != fault.NotRun {
		m.unsettled++
		if !m.cfg.MayRepeat {
			m.finish(nil, e)
			return
		}
	}
	if !m.mayOfferAgain(e) {
		m.finish(nil, e)
		return
	}
	m.retries++
	m.offer()
}

// final lists the faults that another agent would give as well.
var final = map[fault.Code]bool{
	fault.IdempotencyKeyConflict: true, fault.IdempotentResultUnknown: true, fault.TooLarge: true, fault.BadRequest: true,
	fault.StartDeadlinePassed: true, fault.DeadlinePassed: true,
}

func (m *Machine) mayOfferAgain(e *fault.Error) bool {
	if final[e.Code] || int(m.attempt) >= m.cfg.MaxAttempts {
		return false
	}
	if m.asm.NextSeq() > 0 && !m.cfg.Resumable {
		return false
	}
	// Refusals for load come when the pool is busy: offering them again is
	// what could bury it, so the budget bounds it. The rest, offers and work
	// that were lost on the way, is no more than the lost server and link
	// held, and MaxAttempts bounds it.
	return !IsOverload(e.Code) || m.fx.TakeRetry()
}

// Busy reports whether a code is a refusal for load.
func IsOverload(c fault.Code) bool {
	return c == fault.QueueFull || c == fault.WaitTooLong || c == fault.RecordsFull
}

// Chunk takes in a piece of the answer.
func (m *Machine) HandleChunk(c *wire.Chunk) {
	if !m.mine(c.Attempt) || m.state == cancelling {
		return
	}
	switch m.asm.Accept(c.Seq) {
	case answer.Duplicate:
		return
	case answer.Gap:
		m.resume()
		return
	case answer.InOrder:
	}
	m.state = accepted
	if m.cfg.MayRepeat && m.cfg.Resumable {
		m.text = append(m.text, c.Data...)
	}
	m.fx.Deliver(c.Data)
	if m.asm.NextSeq()-m.acked >= ackEvery {
		m.ack(false)
	}
}

func (m *Machine) ack(final bool) {
	m.acked = m.asm.NextSeq()
	m.fx.Send(&wire.Ack{ID: m.id, Attempt: m.attempt, Next: m.acked, Final: final})
}

func (m *Machine) resume() {
	m.fx.Send(&wire.Resume{ID: m.id, Attempt: m.attempt, Next: m.asm.NextSeq()})
}

// End takes in the end of the answer.
func (m *Machine) HandleEnd(e *wire.End) {
	if !m.mine(e.Attempt) {
		return
	}
	f := e.Fault.Err()
	if m.state == cancelling {
		m.ack(true)
		m.settleCancel(f == nil || f.Outcome != fault.NotRun)
		return
	}
	if f != nil {
		m.ack(true)
		m.attemptFailed(f)
		return
	}
	if e.Total != m.asm.NextSeq() {
		m.resume()
		return
	}
	m.ack(true)
	m.finish(e, nil)
}

// Timeout takes in a timer that ran out.
func (m *Machine) HandleTimeout(t Timer) {
	if m.state == finished {
		return
	}
	switch t {
	case TimerAgentLost:
		if m.state == parked {
			m.finish(nil, m.cause)
			return
		}
		if !m.linkUp && m.state != cancelling {
			m.lost("the agent could not be reached")
		}
	case TimerOfferReply:
		if m.state == offered {
			m.lost("the agent did not answer")
		}
	case TimerCancel:
		if m.state == cancelling {
			m.fx.Abandon(m.attempt)
			m.settleCancel(true)
		}
	case TimerDeadline:
		m.cancel(fault.New(fault.DeadlinePassed, "the request took too long"))
	}
}

// finish gives the final word with the outcome that is true of all attempts.
func (m *Machine) finish(end *wire.End, e *fault.Error) {
	m.state = finished
	for _, t := range []Timer{TimerAgentLost, TimerCancel, TimerDeadline, TimerOfferReply} {
		m.fx.SetTimer(t, 0)
	}
	if e != nil {
		final := *e
		switch {
		case m.asm.NextSeq() > 0:
			final.Outcome = fault.Partial
		case m.unsettled > 0:
			final.Outcome = fault.Unknown
		default:
			final.Outcome = fault.NotRun
		}
		e = &final
	}
	m.fx.Finish(end, e)
}
