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
type Scheduler[From any] struct {
	engines func(Group) []Engine
	told    func(service string) (enginemodel.Estimates, bool)
	limits  *ratelimit.Limiter
	policy  Policy
	models  map[string]*enginemodel.ServiceModel
	queues  map[Group]*kept
	askers  map[string]From // by ID of what waits
}

type kept struct {
	*Queue
	used   time.Time
	listed time.Time // when its engines were asked for
}

// Due is an answer that has become due and who is waiting for it.
type Notification[From any] struct {
	To From
	Decision
}

// NewDesk returns a desk without queues. Engines lists the members of a group; told
// returns what others have learnt of a service's engines, if any have; limits are the rates that
// engines state.
func NewScheduler[From any](engines func(Group) []Engine, told func(service string) (enginemodel.Estimates, bool), limits *ratelimit.Limiter,
	policy Policy) *Scheduler[From] {
	return &Scheduler[From]{engines: engines, told: told, limits: limits, policy: policy, models: map[string]*enginemodel.ServiceModel{}, queues: map[Group]*kept{}, askers: map[string]From{}}
}

// Ask takes in an ask for an engine of a group.
func (d *Scheduler[From]) Submit(group Group, a Ask, from From, now time.Time) Decision {
	k := d.queues[group]
	if k == nil {
		k = &kept{Queue: NewQueue(d.model(group.Service), d.limits, d.policy)}
		d.queues[group] = k
	}
	k.used = now
	d.list(group, k, now)
	answer := k.Submit(a, now)
	if answer.Verdict == Queued {
		d.askers[a.ID] = from
	}
	return answer
}

// model returns what is learnt of a service's engines.
func (d *Scheduler[From]) model(service string) *enginemodel.ServiceModel {
	m := d.models[service]
	if m == nil {
		if f, ok := d.told(service); ok {
			m = enginemodel.NewServiceModelFrom(f)
		} else {
			m = enginemodel.NewServiceModel()
		}
		d.models[service] = m
	}
	return m
}

// Learnt is what is known of the engines of a service.
type ServiceStats struct {
	Service string
	enginemodel.Estimates
	// Waiting are the asks that wait, Engines those that may be used, Reading those that
	// read, and Running the granted requests.
	Queued, AvailableEngines, PrefillingEngines, Running int
}

// Learnt returns what is known of the engines of each service for which this process
// decides.
func (d *Scheduler[From]) Stats() []ServiceStats {
	var out []ServiceStats
	for service, m := range d.models {
		l := ServiceStats{Service: service, Estimates: m.Estimates()}
		for group, k := range d.queues {
			if group.Service == service {
				l.Queued += len(k.waiting)
				l.Running += len(k.granted)
				for _, e := range k.ordered {
					if e.Accepting {
						l.AvailableEngines++
					}
					if e.pending > 0 {
						l.PrefillingEngines++
					}
				}
			}
		}
		out = append(out, l)
	}
	return out
}

func (d *Scheduler[From]) list(group Group, k *kept, now time.Time) {
	if now.Sub(k.listed) >= enginesFor {
		k.listed = now
		k.SetEngines(d.engines(group))
	}
}

// FirstToken tells that an engine has read a request's prompt, and in what time.
func (d *Scheduler[From]) RecordFirstToken(group Group, id string, took time.Duration, now time.Time) {
	if k := d.queues[group]; k != nil {
		k.RecordFirstToken(id, took, now)
	}
}

// End tells that a request has ended or is no longer wanted, and what was seen of its
// answer.
func (d *Scheduler[From]) Finish(group Group, id string, s StreamStats, now time.Time) {
	if k := d.queues[group]; k != nil {
		k.Finish(id, s, now)
	}
	delete(d.askers, id)
}

// Next returns the answers that have become due.
func (d *Scheduler[From]) Poll(now time.Time) []Notification[From] {
	var out []Notification[From]
	for group, k := range d.queues {
		if len(k.waiting) > 0 {
			d.list(group, k, now)
		}
		for _, a := range k.Poll(now) {
			if to, ok := d.askers[a.ID]; ok {
				delete(d.askers, a.ID)
				out = append(out, Notification[From]{to, a})
			}
		}
		if k.Idle() && now.Sub(k.used) > forgetAfter {
			delete(d.queues, group)
		}
	}
	return out
}

// Waiting returns the number of asks that wait.
func (d *Scheduler[From]) QueuedCount() int { return len(d.askers) }
