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
	entry, e := c.book.Lookup(now, o.Key, o.Digest)
	if e != nil {
		return e
	}
	if entry == nil {
		if c.book.HeldByOther(now, o.Key) {
			return alreadyRan()
		}
		if entry, e = c.book.Begin(now, o.Key, o.Digest, millis(o.KeyWindowMS)); e != nil {
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
	case receipt.Lost:
		return alreadyRan()
	default:
		c.waiting[o.Key] = append(c.waiting[o.Key], a)
	}
	return nil
}

func alreadyRan() *fault.Error {
	return fault.New(fault.IdempotentResultUnknown, "a call with this key may have run; its answer is not known").
		WithField("Idempotency-Key").WithOutcome(fault.Unknown)
}

// ClaimSettled brings the decision on a keyed call.
func (c *Core) ClaimSettled(now time.Time, key Key, d receipt.Decision) {
	a := c.held[key]
	if a == nil || a.phase != claiming {
		return
	}
	var e *fault.Error
	switch d {
	case receipt.Run, receipt.RunOnceKept:
		e = c.enqueue(now, a)
	case receipt.AlreadyRan:
		e = alreadyRan()
		a.entry.Phase = receipt.Lost
		c.finishKeyed(now, a, e)
		return
	default:
		e = c.book.RefuseFault(now, millis(a.offer.KeyWindowMS))
	}
	if e != nil {
		c.book.Forget(a.offer.Key)
		c.finishKeyed(now, a, e)
		return
	}
	c.schedule(now)
}

// finishKeyed ends a keyed attempt that did not run to an answer, and the
// repeats that wait for it, with the same fault.
func (c *Core) finishKeyed(now time.Time, a *attempt, e *fault.Error) {
	c.finish(now, a, &wire.End{Fault: wire.FaultOf(e)})
	c.settleWaiting(a.offer.Key, func(w *attempt) { c.finish(now, w, &wire.End{Fault: wire.FaultOf(e)}) })
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
		c.finish(now, a, &wire.End{Fault: wire.FaultOf(f)})
		return
	}
	a.buf.Append(e.Result.Body)
	a.made++
	c.finish(now, a, &wire.End{Status: e.Result.Status, ContentType: e.Result.ContentType})
}
