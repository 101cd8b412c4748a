package permit

import (
	"time"
)

const (
	// forgetAfter is how long a queue without asks is kept.
	forgetAfter = 30 * time.Second
	// enginesFor is how long a group's list of engines is used before it is asked for
	// again: short against the 660 ms in which changes of the list are read.
	enginesFor = 50 * time.Millisecond
)

// Desk keeps the queues of the groups for which this process decides. From is the
// type of an asker's address. It is not safe for concurrent use.
type Desk[From any] struct {
	engines func(Group) []Engine
	queues  map[Group]*kept
	askers  map[string]From // by ID of what waits
}

type kept struct {
	*Queue
	used   time.Time
	listed time.Time // when its engines were asked for
}

// Due is an answer that has become due and who is waiting for it.
type Due[From any] struct {
	To From
	Answer
}

// NewDesk returns a desk without queues. Engines lists the members of a group.
func NewDesk[From any](engines func(Group) []Engine) *Desk[From] {
	return &Desk[From]{engines: engines, queues: map[Group]*kept{}, askers: map[string]From{}}
}

// Ask takes in an ask for an engine of a group.
func (d *Desk[From]) Ask(group Group, a Ask, from From, now time.Time) Answer {
	k := d.queues[group]
	if k == nil {
		k = &kept{Queue: NewQueue()}
		d.queues[group] = k
	}
	k.used = now
	d.list(group, k, now)
	answer := k.Ask(a, now)
	if answer.Verdict == Queued {
		d.askers[a.ID] = from
	}
	return answer
}

func (d *Desk[From]) list(group Group, k *kept, now time.Time) {
	if now.Sub(k.listed) >= enginesFor {
		k.listed = now
		k.SetEngines(d.engines(group))
	}
}

// FirstToken tells that an engine has read a request's prompt.
func (d *Desk[From]) FirstToken(group Group, id string, now time.Time) {
	if k := d.queues[group]; k != nil {
		k.FirstToken(id, now)
	}
}

// End tells that a request has ended or is no longer wanted. Failed says that its
// engine is to blame.
func (d *Desk[From]) End(group Group, id string, failed bool, now time.Time) {
	if k := d.queues[group]; k != nil {
		k.End(id, failed, now)
	}
	delete(d.askers, id)
}

// Next returns the answers that have become due.
func (d *Desk[From]) Next(now time.Time) []Due[From] {
	var out []Due[From]
	for group, k := range d.queues {
		if len(k.waiting) > 0 {
			d.list(group, k, now)
		}
		for _, a := range k.Next(now) {
			if to, ok := d.askers[a.ID]; ok {
				delete(d.askers, a.ID)
				out = append(out, Due[From]{to, a})
			}
		}
		if k.Idle() && now.Sub(k.used) > forgetAfter {
			delete(d.queues, group)
		}
	}
	return out
}

// Waiting returns the number of asks that wait.
func (d *Desk[From]) Waiting() int { return len(d.askers) }
