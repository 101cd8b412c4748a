package permit

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
	"github.com/merlinpost/merlinpost/internal/ratelimit"
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
	told    func(service string) (enginemodel.Figures, bool)
	limits  *ratelimit.Limiter
	policy  Policy
	models  map[string]*enginemodel.Service
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

// NewDesk returns a desk without queues. Engines lists the members of a group; told
// returns what others have learnt of a service's engines, if any have; limits are the rates that
// engines state.
func NewDesk[From any](engines func(Group) []Engine, told func(service string) (enginemodel.Figures, bool), limits *ratelimit.Limiter,
	policy Policy) *Desk[From] {
	return &Desk[From]{engines: engines, told: told, limits: limits, policy: policy, models: map[string]*enginemodel.Service{}, queues: map[Group]*kept{}, askers: map[string]From{}}
}

// Ask takes in an ask for an engine of a group.
func (d *Desk[From]) Ask(group Group, a Ask, from From, now time.Time) Answer {
	k := d.queues[group]
	if k == nil {
		k = &kept{Queue: NewQueue(d.model(group.Service), d.limits, d.policy)}
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

// model returns what is learnt of a service's engines.
func (d *Desk[From]) model(service string) *enginemodel.Service {
	m := d.models[service]
	if m == nil {
		if f, ok := d.told(service); ok {
			m = enginemodel.NewServiceFrom(f)
		} else {
			m = enginemodel.NewService()
		}
		d.models[service] = m
	}
	return m
}

// Learnt is what is known of the engines of a service.
type Learnt struct {
	Service string
	enginemodel.Figures
	// Waiting are the asks that wait, Engines those that may be used, Reading those that
	// read, and Running the granted requests.
	Waiting, Engines, Reading, Running int
}

// Learnt returns what is known of the engines of each service for which this process
// decides.
func (d *Desk[From]) Learnt() []Learnt {
	var out []Learnt
	for service, m := range d.models {
		l := Learnt{Service: service, Figures: m.Figures()}
		for group, k := range d.queues {
			if group.Service == service {
				l.Waiting += len(k.waiting)
				l.Running += len(k.granted)
				for _, e := range k.ordered {
					if e.Open {
						l.Engines++
					}
					if e.pending > 0 {
						l.Reading++
					}
				}
			}
		}
		out = append(out, l)
	}
	return out
}

func (d *Desk[From]) list(group Group, k *kept, now time.Time) {
	if now.Sub(k.listed) >= enginesFor {
		k.listed = now
		k.SetEngines(d.engines(group))
	}
}

// FirstToken tells that an engine has read a request's prompt, and in what time.
func (d *Desk[From]) FirstToken(group Group, id string, took time.Duration, now time.Time) {
	if k := d.queues[group]; k != nil {
		k.FirstToken(id, took, now)
	}
}

// End tells that a request has ended or is no longer wanted, and what was seen of its
// answer.
func (d *Desk[From]) End(group Group, id string, s Stream, now time.Time) {
	if k := d.queues[group]; k != nil {
		k.End(id, s, now)
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
