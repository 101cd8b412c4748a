package permit

import (
	"time"
)

// forgetAfter is how long a queue without asks is kept.
const forgetAfter = 30 * time.Second

// Desk keeps the queues of the engines for which this process decides. From is
// the type of an asker's address. It is not safe for concurrent use.
type Desk[From any] struct {
	queues map[string]*kept // by engine
	askers map[string]From  // by ID of what waits
}

type kept struct {
	*Queue
	used time.Time
}

// Due is an answer that has become due and who is waiting for it.
type Due[From any] struct {
	To From
	Answer
}

// NewDesk returns a desk without queues.
func NewDesk[From any]() *Desk[From] {
	return &Desk[From]{queues: map[string]*kept{}, askers: map[string]From{}}
}

// Ask takes in an ask for an engine.
func (d *Desk[From]) Ask(engine string, a Ask, from From, now time.Time) Answer {
	k := d.queues[engine]
	if k == nil {
		k = &kept{Queue: NewQueue()}
		d.queues[engine] = k
	}
	k.used = now
	answer := k.Ask(a, now)
	if answer.Verdict == Queued {
		d.askers[a.ID] = from
	}
	return answer
}

// FirstToken tells that an engine has read a request's prompt.
func (d *Desk[From]) FirstToken(engine, id string, now time.Time) {
	if k := d.queues[engine]; k != nil {
		k.FirstToken(id, now)
	}
}

// End tells that a request has ended or is no longer wanted.
func (d *Desk[From]) End(engine, id string) {
	if k := d.queues[engine]; k != nil {
		k.End(id)
	}
	delete(d.askers, id)
}

// Next returns the answers that have become due.
func (d *Desk[From]) Next(now time.Time) []Due[From] {
	var out []Due[From]
	for engine, k := range d.queues {
		for _, a := range k.Next(now) {
			if to, ok := d.askers[a.ID]; ok {
				delete(d.askers, a.ID)
				out = append(out, Due[From]{to, a})
			}
		}
		if k.Idle() && now.Sub(k.used) > forgetAfter {
			delete(d.queues, engine)
		}
	}
	return out
}

// Waiting returns the number of asks that wait.
func (d *Desk[From]) Waiting() int { return len(d.askers) }
