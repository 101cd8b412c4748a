package execution

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/answer"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/receipt"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// current returns the attempt if the run is its present one.
func (c *Core) current(k AttemptKey, number int) *attempt {
	a := c.held[k]
	if a == nil || a.phase != running || a.run != number {
		return nil
	}
	return a
}

// Token takes in a piece of an answer, made of tokens tokens.
func (c *Core) Output(now time.Time, k AttemptKey, number int, data []byte, tokens int) {
	a := c.current(k, number)
	if a == nil {
		c.waste(k, tokens)
		return
	}
	c.counters.Tokens += uint64(tokens)
	a.buf.Append(data)
	a.made++
	if a.offer.Retryable {
		a.text = append(a.text, data...)
	}
	c.queue.AddTokens(now, a.job, tokens)
	c.pump(a)
}

// waste counts tokens of a run that was stopped.
func (c *Core) waste(k AttemptKey, tokens int) {
	class := "gone"
	if a := c.held[k]; a != nil {
		class = a.offer.Class
	}
	c.wasted[class] += uint64(tokens)
}

// Ended takes in the end of a run. A fault with outcome not run means that the
// backend server did not start the work.
func (c *Core) RunEnded(now time.Time, k AttemptKey, number int, end wire.End, e *fault.Error) {
	a := c.current(k, number)
	if a == nil {
		return
	}
	end.Fault = wire.EncodeFault(e)
	if a.entry != nil {
		c.settleEntry(now, a, end, e)
	}
	c.finish(now, a, &end)
	c.schedule(now)
}

// settleEntry keeps the outcome of a keyed call and passes it to its repeats.
func (c *Core) settleEntry(now time.Time, a *attempt, end wire.End, e *fault.Error) {
	switch {
	case e == nil:
		a.entry.Complete(receipt.Result{Status: end.Status, ContentType: end.ContentType, Body: lastChunk(a.buf)})
		c.settleWaiting(a.offer.IdempotencyKey, func(w *attempt) { c.replay(now, w, a.entry) })
		return
	case e.Outcome == fault.NotRun:
		c.book.Delete(a.offer.IdempotencyKey)
	default:
		a.entry.Phase = receipt.OutcomeUnknown
	}
	c.settleWaiting(a.offer.IdempotencyKey, func(w *attempt) { c.finish(now, w, &wire.End{Fault: wire.EncodeFault(e)}) })
}

// lastChunk returns the body of a plain service's answer, which is one chunk.
func lastChunk(b *answer.Buffer) []byte {
	if _, data, ok := b.Last(); ok {
		return data
	}
	return nil
}

// finish ends an attempt and sends what is left of its answer.
func (c *Core) finish(now time.Time, a *attempt, end *wire.End) {
	c.leaveQueue(now, a)
	a.phase = ended
	end.ID, end.Attempt, end.Total = a.key.RequestID, a.key.Attempt, a.made
	a.end = end
	c.pump(a)
	if a.link == 0 {
		a.orphaned = now
	}
}

// leaveQueue frees the attempt's slot or place.
func (c *Core) leaveQueue(now time.Time, a *attempt) {
	if a.job == nil {
		return
	}
	c.queue.Remove(now, a.job)
	delete(c.byJob, a.job)
	a.job = nil
}

// pump sends what the window and the link have room for.
func (c *Core) pump(a *attempt) {
	if a.link == 0 {
		return
	}
	for {
		seq, data, ok := a.buf.Peek()
		if !ok {
			break
		}
		if !c.fx.Send(a.link, &wire.Chunk{ID: a.key.RequestID, Attempt: a.key.Attempt, Seq: seq, Data: data}) {
			c.blocked[a] = struct{}{}
			return
		}
		a.buf.MarkSent()
	}
	if a.end != nil && !a.endSent && a.buf.AllSent() {
		a.end.Load = c.Load()
		if !c.fx.Send(a.link, a.end) {
			c.blocked[a] = struct{}{}
			return
		}
		a.endSent = true
	}
	delete(c.blocked, a)
}

// Ack takes in an acknowledgement.
func (c *Core) Ack(now time.Time, link LinkID, m *wire.Ack) {
	a := c.held[AttemptKey{m.ID, m.Attempt}]
	if a == nil || a.link != link {
		return
	}
	a.buf.Ack(m.Next)
	if m.Final && a.phase == ended {
		a.buf.Ack(a.buf.EndSeq())
		c.forget(now, a)
		return
	}
	c.pump(a)
}

// forget drops an attempt; its tombstone refuses late messages. What of its
// answer was not acknowledged was made for nothing.
func (c *Core) forget(now time.Time, a *attempt) {
	if n := a.buf.Unacknowledged(); n > 0 && a.offer.Kind == wire.KindGenerate {
		c.wasted[a.offer.Class] += uint64(n)
	}
	c.leaveQueue(now, a)
	c.attach(a, 0)
	delete(c.held, a.key)
	delete(c.blocked, a)
	c.tombs.add(now, a.key, a.mayHaveRun())
}

// mayHaveRun reports whether the work of the attempt was started. A repeat
// that waits for the first call of its key can't say that it was not.
func (a *attempt) mayHaveRun() bool {
	switch {
	case a.run > 0 || a.phase == joined || a.made > a.offer.ChunksDelivered:
		return true
	case a.phase == ended:
		return a.end.Fault == nil || fault.Outcome(a.end.Fault.Outcome) != fault.NotRun
	}
	return false
}

// Resume lets an answer go on over a new link.
func (c *Core) Resume(now time.Time, link LinkID, m *wire.Resume) {
	if !c.open(link) {
		return
	}
	key := AttemptKey{m.ID, m.Attempt}
	a := c.held[key]
	if a == nil {
		outcome := fault.NotRun
		if c.tombs.mayHaveRun(now, key, millis(m.AgeMS)) || !c.tombs.add(now, key, false) {
			outcome = fault.Unknown
		}
		c.verdict(link, key, fault.New(fault.RequestNotHeld, "this agent does not hold the attempt").WithOutcome(outcome))
		return
	}
	c.attach(a, link)
	a.endSent = false
	if err := a.buf.Rewind(m.Next); err != nil {
		c.verdict(link, key, fault.From(err).WithOutcome(fault.Unknown))
		return
	}
	c.verdict(link, key, nil)
	c.pump(a)
}

// Cancel withdraws an attempt. Its answer says whether the work was started.
// A call with an idempotency key that runs already runs on to its end, so that
// a repeat can get its answer.
func (c *Core) Cancel(now time.Time, link LinkID, m *wire.Cancel) {
	if !c.open(link) {
		return
	}
	key := AttemptKey{m.ID, m.Attempt}
	a := c.held[key]
	ran := false
	if a == nil {
		// Without room for a tombstone a late offer could still run.
		ran = c.tombs.mayHaveRun(now, key, millis(m.AgeMS)) || !c.tombs.add(now, key, false)
	} else {
		ran = a.mayHaveRun()
		c.cancel(now, a)
	}
	c.fx.Send(link, &wire.Cancelled{ID: m.ID, Attempt: m.Attempt, Ran: ran})
	c.schedule(now)
}

func (c *Core) cancel(now time.Time, a *attempt) {
	c.counters.Cancelled++
	switch {
	case a.phase == running && a.entry != nil:
		c.attach(a, 0) // runs on; the orphan's answer is kept in the book
		a.orphaned = now
		return
	case a.phase == running:
		c.fx.Stop(a.key, a.run)
	case a.entry != nil && (a.phase == queued || a.phase == claiming):
		c.passOn(now, a)
	}
	c.forget(now, a)
}

// passOn gives the place of a cancelled first call of a key to the first
// repeat that waits, or forgets the key: the call was not started.
func (c *Core) passOn(now time.Time, a *attempt) {
	key := a.offer.IdempotencyKey
	c.book.Delete(key)
	list := c.waiting[key]
	delete(c.waiting, key)
	for i, w := range list {
		if c.held[w.key] != w || w.phase != joined {
			continue
		}
		if e := c.admitKeyed(now, w); e != nil {
			c.finish(now, w, &wire.End{Fault: wire.EncodeFault(e)})
			continue
		}
		c.waiting[key] = append(c.waiting[key], list[i+1:]...)
		return
	}
}

// Busy reports whether something may become due within milliseconds.
func (c *Core) NeedsFrequentTick() bool {
	if len(c.blocked) > 0 {
		return true
	}
	for _, n := range c.queue.Waiting() {
		if n > 0 {
			return true
		}
	}
	return false
}

// Tick does what is due: preemption, expiry, deadlines, orphans, and chunks
// that found no room. Call it every few milliseconds.
func (c *Core) Tick(now time.Time) {
	c.schedule(now)
	for _, job := range c.queue.Expire(now) {
		a := c.byJob[job]
		c.counters.Expired++
		e := fault.New(fault.StartDeadlinePassed, "no slot within the time to start").
			WithOutcome(fault.NotRun).WithRetryAfter(c.queue.RetryAfter(job.Tier))
		if a.entry != nil {
			c.book.Delete(a.offer.IdempotencyKey)
			c.finishKeyed(now, a, e)
			continue
		}
		c.finish(now, a, &wire.End{Fault: wire.EncodeFault(e)})
	}
	for a := range c.blocked {
		c.pump(a)
	}
	c.schedule(now)
}

// Sweep ends what is overdue or has no router any more. It looks at every
// attempt held: call it about once a second.
func (c *Core) Sweep(now time.Time) {
	for _, a := range c.held {
		switch {
		case !a.orphaned.IsZero() && now.Sub(a.orphaned) >= c.cfg.OrphanTimeout:
			if a.phase == running && a.entry != nil {
				continue
			}
			c.counters.Orphaned++
			c.cancel(now, a)
		case a.phase != ended && now.After(a.runBy) && a.entry == nil:
			c.overdue(now, a)
		}
	}
	c.tombs.sweep(now)
	c.schedule(now)
}

func (c *Core) overdue(now time.Time, a *attempt) {
	outcome := fault.NotRun
	if a.run > 0 || a.phase == joined {
		outcome = fault.Unknown
	}
	if a.made > 0 {
		outcome = fault.Partial
	}
	if a.phase == running {
		c.fx.Stop(a.key, a.run)
	}
	c.finish(now, a, &wire.End{Fault: wire.EncodeFault(fault.New(fault.DeadlinePassed, "the request took too long").WithOutcome(outcome))})
}
