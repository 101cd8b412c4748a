package execution

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/receipt"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// admitKeyed takes in a call with an idempotency key: the first is claimed,
// repeats join it or get its answer.
func (c *Core) admitKeyed(now time.Time, a *attempt) *fault.Error {
	o := a.offer
	entry, e := c.book.Lookup(now, o.IdempotencyKey, o.BodyDigest)
	if e != nil {
		return e
	}
	if entry == nil {
		if c.book.ClaimedByOther(now, o.IdempotencyKey) {
			return alreadyRan()
		}
		if entry, e = c.book.Reserve(now, o.IdempotencyKey, o.BodyDigest, millis(o.KeyRetentionMS)); e != nil {
			return e
		}
		a.entry, a.phase = entry, claiming
		c.fx.Claim(a.key, o)
		return nil
	}
	a.phase = joined
	switch entry.Phase {
	case receipt.Done:
		c.replay(now, a, entry)
	case receipt.OutcomeUnknown:
		return alreadyRan()
	default:
		c.waiting[o.IdempotencyKey] = append(c.waiting[o.IdempotencyKey], a)
	}
	return nil
}

func alreadyRan() *fault.Error {
	return fault.New(fault.IdempotentResultUnknown, "a call with this key may have run; its answer is not known").
		WithField("Idempotency-Key").WithOutcome(fault.Unknown)
}

// ClaimSettled brings the decision on a keyed call.
func (c *Core) ClaimDecided(now time.Time, key AttemptKey, d receipt.Decision) {
	a := c.held[key]
	if a == nil || a.phase != claiming {
		return
	}
	var e *fault.Error
	switch d {
	case receipt.Run, receipt.RunAfterLogging:
		e = c.enqueue(now, a)
	case receipt.AlreadyRan:
		e = alreadyRan()
		a.entry.Phase = receipt.OutcomeUnknown
		c.finishKeyed(now, a, e)
		return
	default:
		e = c.book.RefusalFault(now, millis(a.offer.KeyRetentionMS))
	}
	if e != nil {
		c.book.Delete(a.offer.IdempotencyKey)
		c.finishKeyed(now, a, e)
		return
	}
	c.schedule(now)
}

// finishKeyed ends a keyed attempt that did not run to an answer, and the
// repeats that wait for it, with the same fault.
func (c *Core) finishKeyed(now time.Time, a *attempt, e *fault.Error) {
	c.finish(now, a, &wire.End{Fault: wire.EncodeFault(e)})
	c.settleWaiting(a.offer.IdempotencyKey, func(w *attempt) { c.finish(now, w, &wire.End{Fault: wire.EncodeFault(e)}) })
}

// settleWaiting gives each repeat that waits for the key's first call to f.
func (c *Core) settleWaiting(key string, f func(*attempt)) {
	list := c.waiting[key]
	delete(c.waiting, key)
	for _, w := range list {
		if c.held[w.key] == w && w.phase == joined {
			f(w)
		}
	}
}

// replay answers a repeat with the kept answer of the first call.
func (c *Core) replay(now time.Time, a *attempt, e *receipt.Entry) {
	if e.Result.BodyDropped {
		f := fault.New(fault.IdempotentResultUnknown, "the call ran, but its answer was too large to keep").WithOutcome(fault.Unknown)
		c.finish(now, a, &wire.End{Fault: wire.EncodeFault(f)})
		return
	}
	a.buf.Append(e.Result.Body)
	a.made++
	c.finish(now, a, &wire.End{Status: e.Result.Status, ContentType: e.Result.ContentType})
}
