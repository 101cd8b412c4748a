package permit

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
	"github.com/merlinpost/merlinpost/internal/ratelimit"
)

const (
	// idleQueueTTL is how long a queue is kept without requests.
	idleQueueTTL = 30 * time.Second
	// engineListTTL is how long a group's list of engines is cached. It is short compared with
	// the 660 ms in which changes of the list are read.
	engineListTTL = 50 * time.Millisecond
)

// Scheduler holds the queues of the groups that this process schedules. From is the type of a
// requesting gateway's address. It is not safe for concurrent use.
type Scheduler[From any] struct {
	listEngines   func(Group) []Engine
	peerEstimates func(service string) (enginemodel.Estimates, bool)
	limiter       *ratelimit.Limiter
	policy        Policy
	models        map[string]*enginemodel.ServiceModel
	queues        map[Group]*groupQueue
	requesters    map[string]From // by ID of the waiting request
}

type groupQueue struct {
	*Queue
	lastUsed        time.Time
	enginesListedAt time.Time
}

// Notification is a decision on a queued request, with the gateway to send it to.
type Notification[From any] struct {
	To From
	Decision
}

// NewScheduler returns a scheduler without queues. listEngines returns the members of a group;
// peerEstimates returns estimates that other gateways have made for a service's engines, if any;
// limiter holds the rates that engines state.
func NewScheduler[From any](listEngines func(Group) []Engine, peerEstimates func(service string) (enginemodel.Estimates, bool), limiter *ratelimit.Limiter,
	policy Policy) *Scheduler[From] {
	return &Scheduler[From]{listEngines: listEngines, peerEstimates: peerEstimates, limiter: limiter, policy: policy, models: map[string]*enginemodel.ServiceModel{}, queues: map[Group]*groupQueue{}, requesters: map[string]From{}}
}

// Submit schedules a request for an engine of a group.
func (s *Scheduler[From]) Submit(group Group, a Ask, from From, now time.Time) Decision {
	k := s.queues[group]
	if k == nil {
		k = &groupQueue{Queue: NewQueue(s.serviceModel(group.Service), s.limiter, s.policy)}
		s.queues[group] = k
	}
	k.lastUsed = now
	s.refreshEngines(group, k, now)
	decision := k.Submit(a, now)
	if decision.Verdict == Queued {
		s.requesters[a.ID] = from
	}
	return decision
}

// serviceModel returns the performance model of a service's engines.
func (s *Scheduler[From]) serviceModel(service string) *enginemodel.ServiceModel {
	m := s.models[service]
	if m == nil {
		if f, ok := s.peerEstimates(service); ok {
			m = enginemodel.NewServiceModelFrom(f)
		} else {
			m = enginemodel.NewServiceModel()
		}
		s.models[service] = m
	}
	return m
}

// ServiceStats describes the engines of a service and their load.
type ServiceStats struct {
	Service string
	enginemodel.Estimates
	// Queued counts waiting requests, AvailableEngines those that accept requests,
	// PrefillingEngines those with prefills in progress, and Running the granted requests.
	Queued, AvailableEngines, PrefillingEngines, Running int
}

// Stats returns the statistics of each service that this process schedules.
func (s *Scheduler[From]) Stats() []ServiceStats {
	var out []ServiceStats
	for service, m := range s.models {
		l := ServiceStats{Service: service, Estimates: m.Estimates()}
		for group, k := range s.queues {
			if group.Service == service {
				l.Queued += len(k.waiting)
				l.Running += len(k.granted)
				for _, e := range k.sortedEngines {
					if e.Accepting {
						l.AvailableEngines++
					}
					if e.pendingPrefills > 0 {
						l.PrefillingEngines++
					}
				}
			}
		}
		out = append(out, l)
	}
	return out
}

func (s *Scheduler[From]) refreshEngines(group Group, k *groupQueue, now time.Time) {
	if now.Sub(k.enginesListedAt) >= engineListTTL {
		k.enginesListedAt = now
		k.SetEngines(s.listEngines(group))
	}
}

// RecordFirstToken records that an engine has completed a request's prefill, and how long it took.
func (s *Scheduler[From]) RecordFirstToken(group Group, id string, took time.Duration, now time.Time) {
	if k := s.queues[group]; k != nil {
		k.RecordFirstToken(id, took, now)
	}
}

// Finish records that a request has ended or was cancelled, and what was observed of its
// response.
func (s *Scheduler[From]) Finish(group Group, id string, stats StreamStats, now time.Time) {
	if k := s.queues[group]; k != nil {
		k.Finish(id, stats, now)
	}
	delete(s.requesters, id)
}

// Poll returns the decisions that have become due.
func (s *Scheduler[From]) Poll(now time.Time) []Notification[From] {
	var out []Notification[From]
	for group, k := range s.queues {
		if len(k.waiting) > 0 {
			s.refreshEngines(group, k, now)
		}
		for _, a := range k.Poll(now) {
			if to, ok := s.requesters[a.ID]; ok {
				delete(s.requesters, a.ID)
				out = append(out, Notification[From]{to, a})
			}
		}
		if k.Idle() && now.Sub(k.lastUsed) > idleQueueTTL {
			delete(s.queues, group)
		}
	}
	return out
}

// QueuedCount returns the number of waiting requests.
func (s *Scheduler[From]) QueuedCount() int { return len(s.requesters) }
