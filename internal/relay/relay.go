// Package relay implements the state machine of one request at a router. It
// offers the request to agents one after another, delivers the answer in order,
// resumes it over new links and on other agents, and finishes the request exactly
// once. The package does no I/O: events are method calls, and effects go through
// the Effects interface.
//
// Invariants:
//
//   - the outcome "not run" is reported only if every attempt was refused, or was
//     cancelled and the agent confirmed that it had not started;
//   - a request that may not be repeated is offered again only if the attempts
//     before are known not to have run;
//   - a caller gets each chunk once and in order, and a successful end only after
//     the complete answer;
//   - a request is answered as soon as its result is decided.
package relay

import (
	"fmt"
	"time"

	"github.com/merlinpost/merlinpost/internal/answer"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// ackIntervalChunks is the number of chunks covered by one acknowledgement.
const ackIntervalChunks = 32

// WindowChunks is the flow-control window: the number of unacknowledged chunks an
// agent may send. It bounds what a router buffers for a slow caller.
const WindowChunks = 128

// maxBusyLinks bounds the further links tried for one offer after a busy one.
const maxBusyLinkRetries = 16

// Timer identifies a timer of a request.
type Timer uint8

const (
	TimerAgentLost  Timer = iota // the agent or, while waiting, every agent has been unreachable for too long
	TimerCancel                  // the agent has not confirmed a cancel
	TimerDeadline                // the request has exceeded RunTimeout
	TimerOfferReply              // the agent has not replied to an offer
)

// Effects are the side effects of a Machine.
type Effects interface {
	// Offer chooses an agent and sends it the attempt. done and doneText are
	// the number and the text of the chunks already delivered to the caller.
	// A fault means that nothing was sent: BackendServersUnreachable that an
	// agent may become reachable soon, LinkBusy that the chosen one can't take an offer now.
	Offer(attempt uint32, done uint32, doneText string) *fault.Error
	// Send sends a message to the agent of the current attempt. The message
	// is dropped if the link is down.
	Send(m wire.Message)
	// Abandon sends a cancel to the agent of the current attempt as soon as
	// the agent is reachable.
	Abandon(attempt uint32)
	// Deliver passes a chunk to the caller.
	Deliver(data []byte)
	// Finish reports the result of the request, once; e is nil for a
	// complete answer.
	Finish(end *wire.End, e *fault.Error)
	// SetTimer starts or restarts a timer; a duration of 0 stops it.
	SetTimer(t Timer, d time.Duration)
	// TakeRetry takes one retry from the retry budget and reports whether
	// one was left.
	TakeRetry() bool
}

// Config holds the timeouts and limits of a request.
type Config struct {
	MaxAttempts int
	MayRepeat   bool
	// Resumable reports whether another agent can continue a partly delivered
	// answer.
	Resumable         bool
	RunTimeout        time.Duration
	LostTimeout       time.Duration // how long an agent may be unreachable
	CancelTimeout     time.Duration // how long a cancel may take to be confirmed
	OfferReplyTimeout time.Duration // how long the reply to an offer may take
}

type state uint8

const (
	stateWaiting    state = iota // no agent is reachable
	stateOffered                 // sent, not accepted or refused yet
	stateAccepted                // the agent queued or runs it
	stateCancelling              // a cancel was sent; the outcome depends on its confirmation
	stateFinished
)

// Machine is the state machine of one request. Create it with New, then call
// Start. It is not safe for concurrent use.
type Machine struct {
	cfg           Config
	effects       Effects
	id            string
	state         state
	attempt       uint32
	assembler     answer.Assembler
	deliveredText []byte
	ackedChunks   uint32
	linkUp        bool
	possibleRuns  int          // number of ended attempts that may have run
	lastFault     *fault.Error // of the last failed attempt; reported if no other agent takes the request
	pendingFault  *fault.Error // fault to report when the cancel or the wait for an agent ends
	retries       int
}

// New returns a Machine for the request with the given id.
func New(id string, cfg Config, effects Effects) *Machine {
	return &Machine{cfg: cfg, effects: effects, id: id}
}

// Finished reports whether Effects.Finish was called.
func (m *Machine) Finished() bool { return m.state == stateFinished }

// Retries returns the number of offers made after failed attempts.
func (m *Machine) Retries() int { return m.retries }

// Delivered returns the number of chunks delivered to the caller.
func (m *Machine) Delivered() uint32 { return m.assembler.NextSeq() }

// Start makes the first offer.
func (m *Machine) Start() {
	m.effects.SetTimer(TimerDeadline, m.cfg.RunTimeout)
	m.offer()
}

// offer offers the request to an agent, and to the next one if the link to it is
// busy. If no agent is reachable, the request waits for one, because after a
// network failure connections usually come back within moments.
func (m *Machine) offer() {
	m.attempt++
	e := m.effects.Offer(m.attempt, m.assembler.NextSeq(), string(m.deliveredText))
	for busyLinks := 0; e != nil && e.Code == fault.LinkBusy && busyLinks < maxBusyLinkRetries; busyLinks++ {
		// Nothing was sent, so this still counts as the same attempt.
		e = m.effects.Offer(m.attempt, m.assembler.NextSeq(), string(m.deliveredText))
	}
	switch {
	case e == nil:
	case e.Code == fault.BackendServersUnreachable && (m.lastFault == nil || !IsOverload(m.lastFault.Code)):
		m.state = stateWaiting
		m.pendingFault = e
		m.effects.SetTimer(TimerOfferReply, 0)
		m.effects.SetTimer(TimerAgentLost, m.cfg.LostTimeout)
		return
	default:
		if m.lastFault == nil {
			m.lastFault = e
		}
		m.finish(nil, m.lastFault)
		return
	}
	m.state, m.linkUp = stateOffered, true
	m.effects.SetTimer(TimerAgentLost, 0)
	m.effects.SetTimer(TimerOfferReply, m.cfg.OfferReplyTimeout)
}

// HandleAgentAvailable offers a waiting request again because an agent may be
// reachable now.
func (m *Machine) HandleAgentAvailable() {
	if m.state == stateWaiting {
		m.attempt-- // the offer that found no agent does not count
		m.offer()
	}
}

// isCurrent reports whether a message belongs to the current attempt.
func (m *Machine) isCurrent(attempt uint32) bool {
	return m.state != stateFinished && m.state != stateWaiting && attempt == m.attempt
}

// HandleVerdict processes the agent's reply to an offer or a resume.
func (m *Machine) HandleOfferResponse(v *wire.OfferResponse) {
	if !m.isCurrent(v.Attempt) {
		return
	}
	m.effects.SetTimer(TimerOfferReply, 0)
	if v.Fault == nil {
		if m.state == stateOffered {
			m.state = stateAccepted
		}
		return
	}
	e := v.Fault.Err()
	if m.state == stateCancelling {
		m.finishCancel(e.Outcome != fault.NotRun)
		return
	}
	m.handleAttemptFailure(e)
}

// attemptFailed offers the request again or finishes it after an attempt ended
// without a complete answer. The outcome of e tells whether it may have run.
func (m *Machine) handleAttemptFailure(e *fault.Error) {
	if m.state == stateOffered || m.state == stateAccepted {
		m.effects.SetTimer(TimerOfferReply, 0)
	}
	m.lastFault = e
	if e.Outcome != fault.NotRun {
		m.possibleRuns++
		if !m.cfg.MayRepeat {
			m.finish(nil, e)
			return
		}
	}
	if !m.canRetry(e) {
		m.finish(nil, e)
		return
	}
	m.retries++
	m.offer()
}

// terminalCodes are the faults that any other agent would return as well.
var nonRetryableCodes = map[fault.Code]bool{
	fault.IdempotencyKeyConflict: true, fault.IdempotentResultUnknown: true, fault.TooLarge: true, fault.BadRequest: true,
	fault.StartDeadlinePassed: true, fault.DeadlinePassed: true,
}

func (m *Machine) canRetry(e *fault.Error) bool {
	if nonRetryableCodes[e.Code] || int(m.attempt) >= m.cfg.MaxAttempts {
		return false
	}
	if m.assembler.NextSeq() > 0 && !m.cfg.Resumable {
		return false
	}
	// Retries of requests refused because of load could overload a busy pool
	// further, so the retry budget limits them. Other retries are at most the
	// requests that the failed server or link held, so MaxAttempts is enough.
	return !IsOverload(e.Code) || m.effects.TakeRetry()
}

// IsOverload reports whether a code is a refusal because of load.
func IsOverload(c fault.Code) bool {
	return c == fault.QueueFull || c == fault.WaitTooLong || c == fault.IdempotencyStoreFull
}

// HandleChunk processes a chunk of the answer.
func (m *Machine) HandleChunk(c *wire.Chunk) {
	if !m.isCurrent(c.Attempt) || m.state == stateCancelling {
		return
	}
	switch m.assembler.Accept(c.Seq) {
	case answer.Duplicate:
		return
	case answer.Gap:
		m.resume()
		return
	case answer.InOrder:
	}
	m.state = stateAccepted
	if m.cfg.MayRepeat && m.cfg.Resumable {
		m.deliveredText = append(m.deliveredText, c.Data...)
	}
	m.effects.Deliver(c.Data)
	if m.assembler.NextSeq()-m.ackedChunks >= ackIntervalChunks {
		m.ack(false)
	}
}

func (m *Machine) ack(final bool) {
	m.ackedChunks = m.assembler.NextSeq()
	m.effects.Send(&wire.Ack{ID: m.id, Attempt: m.attempt, Next: m.ackedChunks, Final: final})
}

func (m *Machine) resume() {
	m.effects.Send(&wire.Resume{ID: m.id, Attempt: m.attempt, Next: m.assembler.NextSeq()})
}

// HandleEnd processes the end of the answer.
func (m *Machine) HandleEnd(e *wire.End) {
	if !m.isCurrent(e.Attempt) {
		return
	}
	f := e.Fault.Err()
	if m.state == stateCancelling {
		m.ack(true)
		m.finishCancel(f == nil || f.Outcome != fault.NotRun)
		return
	}
	if f != nil {
		m.ack(true)
		m.handleAttemptFailure(f)
		return
	}
	if e.Total != m.assembler.NextSeq() {
		m.resume()
		return
	}
	m.ack(true)
	m.finish(e, nil)
}

// HandleTimeout processes the expiry of a timer.
func (m *Machine) HandleTimeout(t Timer) {
	if m.state == stateFinished {
		return
	}
	switch t {
	case TimerAgentLost:
		if m.state == stateWaiting {
			m.finish(nil, m.pendingFault)
			return
		}
		if !m.linkUp && m.state != stateCancelling {
			m.handleAgentLost(fmt.Sprintf("agent unreachable for %v", m.cfg.LostTimeout))
		}
	case TimerOfferReply:
		if m.state == stateOffered {
			m.handleAgentLost(fmt.Sprintf("agent did not reply to the offer within %v", m.cfg.OfferReplyTimeout))
		}
	case TimerCancel:
		if m.state == stateCancelling {
			m.effects.Abandon(m.attempt)
			m.finishCancel(true)
		}
	case TimerDeadline:
		m.cancel(fault.New(fault.DeadlinePassed, "request exceeded its run timeout of %v", m.cfg.RunTimeout))
	}
}

// finish ends the request. The outcome of the reported fault covers all attempts.
func (m *Machine) finish(end *wire.End, e *fault.Error) {
	m.state = stateFinished
	for _, t := range []Timer{TimerAgentLost, TimerCancel, TimerDeadline, TimerOfferReply} {
		m.effects.SetTimer(t, 0)
	}
	if e != nil {
		reported := *e
		switch {
		case m.assembler.NextSeq() > 0:
			reported.Outcome = fault.Partial
		case m.possibleRuns > 0:
			reported.Outcome = fault.Unknown
		default:
			reported.Outcome = fault.NotRun
		}
		e = &reported
	}
	m.effects.Finish(end, e)
}
