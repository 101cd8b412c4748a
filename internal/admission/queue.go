// Package admission decides which waiting request an agent starts next at its
// backend server. It is pure: time comes in as an argument, nothing blocks.
//
// The order is strict by tier; within a tier, teams share by start-time fair
// queueing. A lower tier's floor and the end of a long request give way in one
// direction only. The rule, held by construction and checked at each refusal and
// expiry by the property tests:
//
//	A request is refused or expires only while no preemptible request of a
//	lower tier runs here.
//
// So no helpline call is shed to serve a report, while reports keep their floor
// for as long as nothing above them is about to be shed.
package admission

import (
	"math"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Tiers is the number of tiers; 0 is the highest.
const Tiers = 5

// Config is the size and policy of a Queue.
type Config struct {
	Slots          int // requests that run at once
	QueueLimit     int // waiting requests of each tier
	MaxPreemptions int // ordinary preemptions of one request
	FloorWindow    time.Duration

	// FIFO is the baseline: one queue in order of arrival.
	FIFO bool
	// The parts of the policy, each of which can be switched off.
	Preemption   bool
	Floors       bool
	Fairness     bool
	EarlyRefusal bool
}

// Job is one request in the queue or in a slot. The caller fills the exported
// fields and does not change them afterwards.
type Job struct {
	ID               string
	Tier             int
	Flow             string        // the team
	Cost             float64       // expected tokens, for fairness
	Floor            float64       // share of tokens owed to the tier
	FirstTokenTarget time.Duration // target, 0: none
	Preemptible      bool
	StartDeadline    time.Time

	arrived     time.Time
	started     time.Time // of the present run
	seq         uint64
	tag         float64 // fair queueing start tag; preempted jobs go first
	preemptions int
	tokens      int
	state       State
	floorRun    bool // started by its floor
	orderPos    int  // in the tier's order heap, -1 when not there
	duePos      int  // in the tier's deadline heap, -1 when not there
}

// State is where a Job is.
type State uint8

// The states.
const (
	Waiting State = iota
	Running
	Removed
)

// State returns where the job is.
func (j *Job) State() State { return j.state }

// Preemptions returns how often the job was preempted.
func (j *Job) Preemptions() int { return j.preemptions }

// Queue holds the waiting and running jobs of one backend server. It is not
// safe for concurrent use.
type Queue struct {
	cfg     Config
	tiers   [Tiers]tier
	running map[*Job]struct{}
	seq     uint64
	shares  shares
	// service is the mean time in a slot by tier, and over all tiers.
	service    [Tiers]ewma
	serviceAll ewma
	floorRuns  int
	// claimed says that a slot was freed by preemption for the head of the
	// strict order, so that no floor takes it.
	claimed bool
}

// New returns an empty Queue.
func New(cfg Config) *Queue {
	q := &Queue{cfg: cfg, running: map[*Job]struct{}{}, shares: shares{window: cfg.FloorWindow}}
	for i := range q.tiers {
		q.tiers[i] = tier{order: newOrder(), due: newDue(), flows: map[string]*flow{}}
	}
	return q
}

// Waiting returns the number of waiting jobs of each tier.
func (q *Queue) Waiting() []int {
	out := make([]int, Tiers)
	for i := range q.tiers {
		out[i] = q.tiers[i].order.Len()
	}
	return out
}

// Running returns the number of jobs in slots.
func (q *Queue) Running() int { return len(q.running) }

// RunningByTier returns the number of jobs in slots of each tier.
func (q *Queue) RunningByTier() []int {
	out := make([]int, Tiers)
	for j := range q.running {
		out[j.Tier]++
	}
	return out
}

// ServiceTime returns the mean time of a job in a slot; 0 when not measured.
func (q *Queue) ServiceTime() time.Duration { return q.serviceAll.duration() }

// tierOf returns the queue that the job belongs to; the baseline has only one.
func (q *Queue) tierOf(j *Job) int {
	if q.cfg.FIFO {
		return 0
	}
	return j.Tier
}

// Offer takes a job into the queue or refuses it. A refusal is a typed error
// with outcome not run and the time to come back.
func (q *Queue) Enqueue(now time.Time, j *Job) *fault.Error {
	t := q.tierOf(j)
	victims := q.victims(t)
	if q.tiers[t].order.Len() >= q.cfg.QueueLimit+victims {
		return fault.New(fault.QueueFull, "%d requests of tier %d wait already", q.tiers[t].order.Len(), j.Tier).
			WithOutcome(fault.NotRun).WithRetryAfter(q.RetryAfter(j.Tier))
	}
	wait := q.expectedWait(t)
	if q.cfg.EarlyRefusal && victims == 0 && !j.StartDeadline.IsZero() && now.Add(wait).After(j.StartDeadline) {
		return fault.New(fault.WaitTooLong, "the wait for a start is about %s", wait.Round(time.Millisecond)).
			WithOutcome(fault.NotRun).WithRetryAfter(q.RetryAfter(j.Tier))
	}
	q.seq++
	j.seq, j.arrived, j.state = q.seq, now, Waiting
	q.tiers[t].push(j, q.cfg)
	return nil
}

// expectedWait estimates how long a new job of queue t waits for a slot.
func (q *Queue) expectedWait(t int) time.Duration {
	if len(q.running) < q.cfg.Slots && q.tiers[t].order.Len() == 0 {
		return 0
	}
	work := q.serviceAll.duration() / 2 // what is left of the job that ends next
	for u := 0; u <= t; u++ {
		work += time.Duration(q.tiers[u].order.Len()) * q.service[u].duration()
	}
	return work / time.Duration(q.cfg.Slots)
}

// minRetryAfter is the least time that a refused caller is told to stay away.
const minRetryAfter = time.Second

// RetryAfter tells a refused caller of the tier when the queue ahead of it
// will have drained, by the measured service times.
func (q *Queue) RetryAfter(tier int) time.Duration {
	if q.cfg.FIFO {
		tier = 0
	}
	return max(minRetryAfter, q.expectedWait(tier))
}

// Next takes the job to start now, if a slot is free and a job waits.
func (q *Queue) Next(now time.Time) (*Job, bool) {
	if len(q.running) >= q.cfg.Slots {
		return nil, false
	}
	var j *Job
	if !q.claimed {
		j = q.floorCandidate(now)
	}
	byFloor := j != nil
	if j == nil {
		j = q.strictCandidate()
	}
	q.claimed = false
	if j == nil {
		return nil, false
	}
	q.tiers[q.tierOf(j)].remove(j)
	j.state, j.started, j.floorRun = Running, now, byFloor
	if byFloor {
		q.floorRuns++
	}
	q.running[j] = struct{}{}
	return j, true
}

func (q *Queue) strictCandidate() *Job {
	for i := range q.tiers {
		if j := q.tiers[i].head(); j != nil {
			return j
		}
	}
	return nil
}

// floorCandidate returns a job of a lower tier that is owed a slot although a
// higher tier waits. Nothing above it may come close to its start bound by it.
func (q *Queue) floorCandidate(now time.Time) *Job {
	if !q.cfg.Floors || q.cfg.FIFO {
		return nil
	}
	for t := Tiers - 1; t > 0; t-- {
		j := q.tiers[t].head()
		if j == nil || j.Floor <= 0 || !q.higherWaits(t) || q.shares.of(now, t) >= j.Floor {
			continue
		}
		if q.floorRuns < q.floorSlots(j.Floor) && q.slack(now, t) {
			return j
		}
	}
	return nil
}

func (q *Queue) higherWaits(t int) bool {
	for u := range t {
		if q.tiers[u].order.Len() > 0 {
			return true
		}
	}
	return false
}

// floorSlots bounds the slots that floors take at once.
func (q *Queue) floorSlots(floor float64) int {
	return max(1, int(math.Ceil(floor*float64(q.cfg.Slots))))
}

// slack reports whether every waiting job above tier t would still start in
// the first half of its remaining time if a job of tier t took a slot now.
func (q *Queue) slack(now time.Time, t int) bool {
	left := q.cfg.Slots - q.floorRuns - 1
	for u := range t {
		if q.urgent(now, u) {
			return false
		}
		due, ok := q.tiers[u].earliest()
		if !ok {
			continue
		}
		wait := q.expectedWait(u)
		if left > 0 {
			wait = wait * time.Duration(q.cfg.Slots) / time.Duration(left)
		} else {
			wait += q.service[t].duration()
		}
		if wait > due.Sub(now)/2 {
			return false
		}
	}
	return true
}

// Progress counts tokens that a running job has made.
func (q *Queue) AddTokens(now time.Time, j *Job, tokens int) {
	j.tokens += tokens
	q.shares.add(now, j.Tier, float64(tokens))
}

// Done takes a job out of its slot or out of the queue for good.
func (q *Queue) Remove(now time.Time, j *Job) {
	switch j.state {
	case Waiting:
		q.tiers[q.tierOf(j)].remove(j)
	case Running:
		q.leaveSlot(j)
		took := now.Sub(j.started)
		q.service[q.tierOf(j)].add(took)
		q.serviceAll.add(took)
	}
	j.state = Removed
}

func (q *Queue) leaveSlot(j *Job) {
	delete(q.running, j)
	if j.floorRun {
		q.floorRuns--
		j.floorRun = false
	}
}

// Expire takes out the jobs whose start bound has passed. A job that was
// started once does not expire. Call Preempt first: it serves the jobs that
// are about to expire as long as a lower tier runs.
func (q *Queue) Expire(now time.Time) []*Job {
	var out []*Job
	for i := range q.tiers {
		for {
			due, ok := q.tiers[i].earliest()
			if !ok || due.After(now) {
				break
			}
			j := q.tiers[i].due.first()
			q.tiers[i].remove(j)
			j.state = Removed
			out = append(out, j)
		}
	}
	return out
}
