package execution

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/receipt"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// admitKeyed admits a call with an idempotency key. The first call claims the
// key; a repeated call waits for the first or gets its stored response.
func (c *Core) admitKeyed(now time.Time, a *attempt) *fault.Error {
	o := a.offer
	entry, e := c.keys.Lookup(now, o.IdempotencyKey, o.BodyDigest)
	if e != nil {
		return e
	}
	if entry == nil {
		if c.keys.ClaimedByOther(now, o.IdempotencyKey) {
			return mayHaveRunFault()
		}
		if entry, e = c.keys.Reserve(now, o.IdempotencyKey, o.BodyDigest, millis(o.KeyRetentionMS)); e != nil {
			return e
		}
		a.keyEntry, a.phase = entry, phaseClaiming
		c.effects.ClaimKey(a.key, o)
		return nil
	}
	a.phase = phaseCoalesced
	switch entry.Phase {
	case receipt.Completed:
		c.replay(now, a, entry)
	case receipt.OutcomeUnknown:
		return mayHaveRunFault()
	default:
		c.coalescedByKey[o.IdempotencyKey] = append(c.coalescedByKey[o.IdempotencyKey], a)
	}
	return nil
}

func mayHaveRunFault() *fault.Error {
	return fault.New(fault.IdempotentResultUnknown, "a call with this key may already have run; its response is unknown").
		WithField("Idempotency-Key").WithOutcome(fault.Unknown)
}

// ClaimDecided applies the decision on a claim requested through Effects.Claim.
func (c *Core) ClaimDecided(now time.Time, key AttemptKey, d receipt.Decision) {
	a := c.attempts[key]
	if a == nil || a.phase != phaseClaiming {
		return
	}
	var e *fault.Error
	switch d {
	case receipt.Run, receipt.RunAfterLogging:
		e = c.enqueue(now, a)
	case receipt.MayHaveRun:
		e = mayHaveRunFault()
		a.keyEntry.Phase = receipt.OutcomeUnknown
		c.failKeyed(now, a, e)
		return
	default:
		e = c.keys.RefusalFault(now, millis(a.offer.KeyRetentionMS))
	}
	if e != nil {
		c.keys.Delete(a.offer.IdempotencyKey)
		c.failKeyed(now, a, e)
		return
	}
	c.schedule(now)
}

// failKeyed ends a keyed attempt that produced no response, and the repeated
// calls waiting for it, with the given fault.
func (c *Core) failKeyed(now time.Time, a *attempt, e *fault.Error) {
	c.finish(now, a, &wire.End{Fault: wire.EncodeFault(e)})
	c.releaseCoalesced(a.offer.IdempotencyKey, func(w *attempt) { c.finish(now, w, &wire.End{Fault: wire.EncodeFault(e)}) })
}

// releaseCoalesced calls f for each repeated call that waits for the key's first
// call, and removes them from the waiting list.
func (c *Core) releaseCoalesced(key string, f func(*attempt)) {
	list := c.coalescedByKey[key]
	delete(c.coalescedByKey, key)
	for _, w := range list {
		if c.attempts[w.key] == w && w.phase == phaseCoalesced {
			f(w)
		}
	}
}

// replay answers a repeated call with the stored response of the first.
func (c *Core) replay(now time.Time, a *attempt, e *receipt.Entry) {
	if e.Result.BodyDropped {
		f := fault.New(fault.IdempotentResultUnknown, "the call ran, but its response was too large to store for replay").WithOutcome(fault.Unknown)
		c.finish(now, a, &wire.End{Fault: wire.EncodeFault(f)})
		return
	}
	a.buffer.Append(e.Result.Body)
	a.chunkCount++
	c.finish(now, a, &wire.End{Status: e.Result.Status, ContentType: e.Result.ContentType})
}
