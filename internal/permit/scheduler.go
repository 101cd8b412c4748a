package permit

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
	"github.com/merlinpost/merlinpost/internal/ratelimit"
)

const (
	// idleQueueTTL is how long a queue without requests is kept after the last submission.
	idleQueueTTL = 30 * time.Second
	// engineListTTL is how long a group's list of engines is cached. It is short compared with the
	// 660 ms that a change to the list takes to reach this process.
	engineListTTL = 50 * time.Millisecond
)

// Scheduler holds the queues of the groups that this process schedules. Requester is the type of a
// requesting gateway's address. A scheduler is not safe for concurrent use.
type Scheduler[Requester any] struct {
	listEngines   func(Group) []Engine
	peerEstimates func(service string) (enginemodel.Estimates, bool)
	limiter       *ratelimit.Limiter
	policy        Policy
	models        map[string]*enginemodel.ServiceModel
	queues        map[Group]*groupQueue
	requesters    map[string]Requester // by ID of the waiting request
}

type groupQueue struct {
	*Queue
	lastUsed        time.Time
	enginesListedAt time.Time
}

// Notification is a decision on a queued request, with the gateway to send it to.
type Notification[Requester any] struct {
	To Requester
	Decision
}

// NewScheduler returns a scheduler without queues. listEngines returns the engines of a group;
// peerEstimates returns another gateway's estimates for a service's engines, if there are any; limiter
// holds the rate limits of engines.
func NewScheduler[Requester any](listEngines func(Group) []Engine, peerEstimates func(service string) (enginemodel.Estimates, bool), limiter *ratelimit.Limiter,
	policy Policy) *Scheduler[Requester] {
	return &Scheduler[Requester]{listEngines: listEngines, peerEstimates: peerEstimates, limiter: limiter, policy: policy, models: map[string]*enginemodel.ServiceModel{}, queues: map[Group]*groupQueue{}, requesters: map[string]Requester{}}
}

// Submit schedules a request for an engine of a group. If the verdict is Queued, Poll returns the final
// decision for the requester later.
func (s *Scheduler[Requester]) Submit(group Group, req Ask, requester Requester, now time.Time) Decision {
	queue := s.queues[group]
	if queue == nil {
		queue = &groupQueue{Queue: NewQueue(s.serviceModel(group.Service), s.limiter, s.policy)}
		s.queues[group] = queue
	}
	queue.lastUsed = now
	s.refreshEngines(group, queue, now)
	decision := queue.Submit(req, now)
	if decision.Verdict == Queued {
		s.requesters[req.ID] = requester
	}
	return decision
}

// serviceModel returns the performance model of a service's engines.
func (s *Scheduler[Requester]) serviceModel(service string) *enginemodel.ServiceModel {
	m := s.models[service]
	if m == nil {
		if estimates, ok := s.peerEstimates(service); ok {
			m = enginemodel.NewServiceModelFrom(estimates)
		} else {
			m = enginemodel.NewServiceModel()
		}
		s.models[service] = m
	}
	return m
}

// ServiceStats describes the load of a service's engines and their estimated performance.
type ServiceStats struct {
	Service string
	enginemodel.Estimates
	// Queued is the number of waiting requests, Running the number of granted requests,
	// AvailableEngines the number of engines that accept requests, and PrefillingEngines the number
	// of engines with prefills in progress.
	Queued, AvailableEngines, PrefillingEngines, Running int
}

// Stats returns the statistics of each service that this process schedules.
func (s *Scheduler[Requester]) Stats() []ServiceStats {
	var out []ServiceStats
	for service, m := range s.models {
		stats := ServiceStats{Service: service, Estimates: m.Estimates()}
		for group, queue := range s.queues {
			if group.Service == service {
				stats.Queued += len(queue.waiting)
				stats.Running += len(queue.granted)
				for _, e := range queue.sortedEngines {
					if e.Accepting {
						stats.AvailableEngines++
					}
					if e.pendingPrefills > 0 {
						stats.PrefillingEngines++
					}
				}
			}
		}
		out = append(out, stats)
	}
	return out
}

// refreshEngines updates the queue's engines if the cached list has expired.
func (s *Scheduler[Requester]) refreshEngines(group Group, queue *groupQueue, now time.Time) {
	if now.Sub(queue.enginesListedAt) >= engineListTTL {
		queue.enginesListedAt = now
		queue.SetEngines(s.listEngines(group))
	}
}

// RecordFirstToken records that an engine has completed a request's prefill, and how long it took.
func (s *Scheduler[Requester]) RecordFirstToken(group Group, id string, took time.Duration, now time.Time) {
	if queue := s.queues[group]; queue != nil {
		queue.RecordFirstToken(id, took, now)
	}
}

// Finish records that a request has ended or was cancelled, with the statistics of its response. If group is
// zero, it looks for the request in all groups.
func (s *Scheduler[Requester]) Finish(group Group, id string, stats StreamStats, now time.Time) {
	for g, queue := range s.queues {
		if g == group || group == (Group{}) {
			queue.Finish(id, stats, now)
		}
	}
	delete(s.requesters, id)
}

// Poll returns new decisions on queued requests, and removes queues that are no longer used.
func (s *Scheduler[Requester]) Poll(now time.Time) []Notification[Requester] {
	var out []Notification[Requester]
	for group, queue := range s.queues {
		if len(queue.waiting) > 0 {
			s.refreshEngines(group, queue, now)
		}
		for _, decision := range queue.Poll(now) {
			if to, ok := s.requesters[decision.ID]; ok {
				delete(s.requesters, decision.ID)
				out = append(out, Notification[Requester]{to, decision})
			}
		}
		if queue.Idle() && now.Sub(queue.lastUsed) > idleQueueTTL {
			delete(s.queues, group)
		}
	}
	return out
}

// QueuedCount returns the number of waiting requests.
func (s *Scheduler[Requester]) QueuedCount() int { return len(s.requesters) }
