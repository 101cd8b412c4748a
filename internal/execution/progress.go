package execution

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/answer"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/receipt"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// runningAttempt returns the attempt if it is running and number is its latest
// run, otherwise nil.
func (c *Core) runningAttempt(k AttemptKey, number int) *attempt {
	a := c.attempts[k]
	if a == nil || a.phase != phaseRunning || a.runNumber != number {
		return nil
	}
	return a
}

// Output appends data, generated as the given number of tokens, to the response
// of a run.
func (c *Core) Output(now time.Time, k AttemptKey, number int, data []byte, tokens int) {
	a := c.runningAttempt(k, number)
	if a == nil {
		c.countWasted(k, tokens)
		return
	}
	c.counters.Tokens += uint64(tokens)
	a.buffer.Append(data)
	a.chunkCount++
	if a.offer.Retryable {
		a.generatedText = append(a.generatedText, data...)
	}
	c.queue.AddTokens(now, a.job, tokens)
	c.sendPending(a)
}

// countWasted counts output that arrives after its run was stopped.
func (c *Core) countWasted(k AttemptKey, tokens int) {
	class := "gone"
	if a := c.attempts[k]; a != nil {
		class = a.offer.Class
	}
	c.wastedTokens[class] += uint64(tokens)
}

// RunEnded processes the end of a run. A fault with outcome NotRun means that
// the backend server did not start the work.
func (c *Core) RunEnded(now time.Time, k AttemptKey, number int, end wire.End, e *fault.Error) {
	a := c.runningAttempt(k, number)
	if a == nil {
		return
	}
	end.Fault = wire.EncodeFault(e)
	if a.keyEntry != nil {
		c.recordKeyOutcome(now, a, end, e)
	}
	c.finish(now, a, &end)
	c.schedule(now)
}

// recordKeyOutcome stores the outcome of a keyed call and completes the repeated
// calls that wait for it.
func (c *Core) recordKeyOutcome(now time.Time, a *attempt, end wire.End, e *fault.Error) {
	switch {
	case e == nil:
		a.keyEntry.Complete(receipt.Result{Status: end.Status, ContentType: end.ContentType, Body: lastChunk(a.buffer)})
		c.releaseCoalesced(a.offer.IdempotencyKey, func(w *attempt) { c.replay(now, w, a.keyEntry) })
		return
	case e.Outcome == fault.NotRun:
		c.keys.Delete(a.offer.IdempotencyKey)
	default:
		a.keyEntry.Phase = receipt.OutcomeUnknown
	}
	c.releaseCoalesced(a.offer.IdempotencyKey, func(w *attempt) { c.finish(now, w, &wire.End{Fault: wire.EncodeFault(e)}) })
}

// lastChunk returns the body of a plain service's response, which is a single
// chunk.
func lastChunk(b *answer.Buffer) []byte {
	if _, data, ok := b.Last(); ok {
		return data
	}
	return nil
}

// finish ends an attempt and sends the rest of its response.
func (c *Core) finish(now time.Time, a *attempt, end *wire.End) {
	c.releaseJob(now, a)
	a.phase = phaseEnded
	end.ID, end.Attempt, end.Total = a.key.RequestID, a.key.Attempt, a.chunkCount
	a.end = end
	c.sendPending(a)
	if a.link == 0 {
		a.orphanedAt = now
	}
}

// leaveQueue releases the attempt's slot or its place in the queue.
func (c *Core) releaseJob(now time.Time, a *attempt) {
	if a.job == nil {
		return
	}
	c.queue.Remove(now, a.job)
	delete(c.attemptsByJob, a.job)
	a.job = nil
}

// sendPending sends chunks, and then the End message, as far as the flow-control
// window and the link's send queue allow.
func (c *Core) sendPending(a *attempt) {
	if a.link == 0 {
		return
	}
	for {
		seq, data, ok := a.buffer.Peek()
		if !ok {
			break
		}
		if !c.effects.Send(a.link, &wire.Chunk{ID: a.key.RequestID, Attempt: a.key.Attempt, Seq: seq, Data: data}) {
			c.sendBlocked[a] = struct{}{}
			return
		}
		a.buffer.MarkSent()
	}
	if a.end != nil && !a.endSent && a.buffer.AllSent() {
		a.end.Load = c.Load()
		if !c.effects.Send(a.link, a.end) {
			c.sendBlocked[a] = struct{}{}
			return
		}
		a.endSent = true
	}
	delete(c.sendBlocked, a)
}

// Ack processes an acknowledgement.
func (c *Core) Ack(now time.Time, link LinkID, m *wire.Ack) {
	a := c.attempts[AttemptKey{m.ID, m.Attempt}]
	if a == nil || a.link != link {
		return
	}
	a.buffer.Ack(m.Next)
	if m.Final && a.phase == phaseEnded {
		a.buffer.Ack(a.buffer.EndSeq())
		c.remove(now, a)
		return
	}
	c.sendPending(a)
}

// remove replaces an attempt by a tombstone. Generated chunks that were not
// acknowledged are counted as wasted tokens.
func (c *Core) remove(now time.Time, a *attempt) {
	if n := a.buffer.Unacknowledged(); n > 0 && a.offer.Kind == wire.KindGenerate {
		c.wastedTokens[a.offer.Class] += uint64(n)
	}
	c.releaseJob(now, a)
	c.attach(a, 0)
	delete(c.attempts, a.key)
	delete(c.sendBlocked, a)
	c.tombstones.add(now, a.key, a.mayHaveRun())
}

// mayHaveRun reports whether the work of the attempt may have been started. It
// is true for a repeated call that waits for the first call of its key, because
// the first call may have started.
func (a *attempt) mayHaveRun() bool {
	switch {
	case a.runNumber > 0 || a.phase == phaseCoalesced || a.chunkCount > a.offer.ChunksDelivered:
		return true
	case a.phase == phaseEnded:
		return a.end.Fault == nil || fault.Outcome(a.end.Fault.Outcome) != fault.NotRun
	}
	return false
}

// Resume continues sending a response over a new link.
func (c *Core) Resume(now time.Time, link LinkID, m *wire.Resume) {
	if !c.isOpen(link) {
		return
	}
	key := AttemptKey{m.ID, m.Attempt}
	a := c.attempts[key]
	if a == nil {
		outcome := fault.NotRun
		if c.tombstones.mayHaveRun(now, key, millis(m.AgeMS)) || !c.tombstones.add(now, key, false) {
			outcome = fault.Unknown
		}
		c.sendOfferResponse(link, key, fault.New(fault.RequestNotHeld, "this agent does not hold the attempt").WithOutcome(outcome))
		return
	}
	c.attach(a, link)
	a.endSent = false
	if err := a.buffer.Rewind(m.Next); err != nil {
		c.sendOfferResponse(link, key, fault.From(err).WithOutcome(fault.Unknown))
		return
	}
	c.sendOfferResponse(link, key, nil)
	c.sendPending(a)
}

// Cancel cancels an attempt and replies whether its work may have been started.
// A running call with an idempotency key is not stopped, so that a repeated call
// can get its response.
func (c *Core) Cancel(now time.Time, link LinkID, m *wire.Cancel) {
	if !c.isOpen(link) {
		return
	}
	key := AttemptKey{m.ID, m.Attempt}
	a := c.attempts[key]
	mayHaveRun := false
	if a == nil {
		// Without a tombstone, a late offer could still be accepted and run.
		mayHaveRun = c.tombstones.mayHaveRun(now, key, millis(m.AgeMS)) || !c.tombstones.add(now, key, false)
	} else {
		mayHaveRun = a.mayHaveRun()
		c.cancel(now, a)
	}
	c.effects.Send(link, &wire.Cancelled{ID: m.ID, Attempt: m.Attempt, Ran: mayHaveRun})
	c.schedule(now)
}

func (c *Core) cancel(now time.Time, a *attempt) {
	c.counters.Cancelled++
	switch {
	case a.phase == phaseRunning && a.keyEntry != nil:
		c.attach(a, 0) // keeps running; its response is stored under its key
		a.orphanedAt = now
		return
	case a.phase == phaseRunning:
		c.effects.StopRun(a.key, a.runNumber)
	case a.keyEntry != nil && (a.phase == phaseQueued || a.phase == phaseClaiming):
		c.promoteCoalesced(now, a)
	}
	c.remove(now, a)
}

// promoteCoalesced handles the cancellation of a key's first call before it was
// started: the first repeated call that waits takes its place; without one, the
// key is forgotten.
func (c *Core) promoteCoalesced(now time.Time, a *attempt) {
	key := a.offer.IdempotencyKey
	c.keys.Delete(key)
	list := c.coalescedByKey[key]
	delete(c.coalescedByKey, key)
	for i, w := range list {
		if c.attempts[w.key] != w || w.phase != phaseCoalesced {
			continue
		}
		if e := c.admitKeyed(now, w); e != nil {
			c.finish(now, w, &wire.End{Fault: wire.EncodeFault(e)})
			continue
		}
		c.coalescedByKey[key] = append(c.coalescedByKey[key], list[i+1:]...)
		return
	}
}

// NeedsFrequentTick reports whether Tick must be called every few milliseconds,
// because attempts are queued or blocked on a full link.
func (c *Core) NeedsFrequentTick() bool {
	if len(c.sendBlocked) > 0 {
		return true
	}
	for _, n := range c.queue.Waiting() {
		if n > 0 {
			return true
		}
	}
	return false
}

// Tick schedules and preempts attempts, expires queued ones and retries sends
// that were blocked by a full link. Call it every few milliseconds while
// NeedsFrequentTick reports true, and at a lower rate otherwise.
func (c *Core) Tick(now time.Time) {
	c.schedule(now)
	for _, job := range c.queue.Expire(now) {
		a := c.attemptsByJob[job]
		c.counters.Expired++
		e := fault.New(fault.StartDeadlinePassed, "no execution slot became free before the start deadline").
			WithOutcome(fault.NotRun).WithRetryAfter(c.queue.RetryAfter(job.Tier))
		if a.keyEntry != nil {
			c.keys.Delete(a.offer.IdempotencyKey)
			c.failKeyed(now, a, e)
			continue
		}
		c.finish(now, a, &wire.End{Fault: wire.EncodeFault(e)})
	}
	for a := range c.sendBlocked {
		c.sendPending(a)
	}
	c.schedule(now)
}

// Sweep ends attempts that are past their deadline or orphaned, and removes
// expired tombstones. It does not end a running call that holds an idempotency
// key. It visits every attempt held: call it about once a second.
func (c *Core) Sweep(now time.Time) {
	for _, a := range c.attempts {
		switch {
		case !a.orphanedAt.IsZero() && now.Sub(a.orphanedAt) >= c.cfg.OrphanTimeout:
			if a.phase == phaseRunning && a.keyEntry != nil {
				continue
			}
			c.counters.Orphaned++
			c.cancel(now, a)
		case a.phase != phaseEnded && now.After(a.deadline) && a.keyEntry == nil:
			c.failOverdue(now, a)
		}
	}
	c.tombstones.removeExpired(now)
	c.schedule(now)
}

func (c *Core) failOverdue(now time.Time, a *attempt) {
	outcome := fault.NotRun
	if a.runNumber > 0 || a.phase == phaseCoalesced {
		outcome = fault.Unknown
	}
	if a.chunkCount > 0 {
		outcome = fault.Partial
	}
	if a.phase == phaseRunning {
		c.effects.StopRun(a.key, a.runNumber)
	}
	c.finish(now, a, &wire.End{Fault: wire.EncodeFault(fault.New(fault.DeadlinePassed, "the request exceeded its deadline").WithOutcome(outcome))})
}
