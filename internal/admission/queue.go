// Package admission decides which waiting request an agent starts next on its backend
// server. It performs no I/O, does not block and does not read the clock: callers pass
// the current time.
//
// Tiers have strict priority. Within a tier, the slots are shared between teams by
// start-time fair queueing. A floor guarantees a lower tier a share of the generated
// tokens, but yields to a higher tier that is about to be shed. The following invariant
// holds by construction, and the property tests check it at each refusal and expiry:
//
//	A request is refused or expires only while no preemptible request of a
//	lower tier is running on this backend server.
//
// For example, no helpline call is shed to serve a preemptible report of a lower tier,
// and reports keep their floor as long as no higher tier is about to be shed.
package admission

import (
	"math"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Tiers is the number of priority tiers; tier 0 is the highest.
const Tiers = 5

// Config holds the limits and the policy of a Queue.
type Config struct {
	Slots          int           // requests that run concurrently
	QueueLimit     int           // waiting requests per tier
	MaxPreemptions int           // preemptions of one request; only an urgent job may exceed the limit
	FloorWindow    time.Duration // decay time of the token counts that floors are compared with

	// FIFO selects the baseline policy: a single queue in order of arrival.
	FIFO bool
	// The parts of the policy can be enabled individually.
	Preemption   bool
	Floors       bool
	Fairness     bool
	EarlyRefusal bool
}

// Job is one request in the queue or in a slot. The caller sets the exported fields
// before it calls Enqueue and must not change them afterwards.
type Job struct {
	ID               string
	Tier             int
	Flow             string        // team name, for fairness
	Cost             float64       // expected number of tokens, for fairness
	Floor            float64       // share of the tokens guaranteed to the tier, from 0 to 1
	FirstTokenTarget time.Duration // 0 if there is no target
	Preemptible      bool
	StartDeadline    time.Time // zero if there is no deadline

	arrived        time.Time
	started        time.Time // start of the current run
	seq            uint64
	startTag       float64 // start tag of fair queueing
	preemptions    int
	tokens         int
	state          State
	startedByFloor bool
	orderIndex     int // in the tier's order heap, -1 if absent
	deadlineIndex  int // in the tier's deadline heap, -1 if absent
}

// State is the position of a Job in its life cycle.
type State uint8

const (
	Waiting State = iota
	Running
	Removed
)

func (j *Job) State() State { return j.state }

// Preemptions returns the number of times that the job was preempted.
func (j *Job) Preemptions() int { return j.preemptions }

// Queue holds the waiting and running jobs of one backend server. It is not
// safe for concurrent use.
type Queue struct {
	cfg         Config
	tiers       [Tiers]tierQueue
	running     map[*Job]struct{}
	lastSeq     uint64 // sequence number of the last job added
	tokenShares tokenShares
	// serviceTime is the mean time that a job holds its slot, by tier; serviceTimeAll is
	// the mean over all tiers.
	serviceTime      [Tiers]ewma
	serviceTimeAll   ewma
	floorStartedJobs int // running jobs that were started by a floor
	// slotReserved is set when a preemption has freed a slot for the waiting job of
	// highest priority. It prevents a job of a lower tier from taking that slot by its
	// floor.
	slotReserved bool
}

func New(cfg Config) *Queue {
	q := &Queue{cfg: cfg, running: map[*Job]struct{}{}, tokenShares: tokenShares{window: cfg.FloorWindow}}
	for i := range q.tiers {
		q.tiers[i] = tierQueue{order: newOrderHeap(), deadlines: newDeadlineHeap(), flows: map[string]*flowState{}}
	}
	return q
}

// Waiting returns the number of waiting jobs by tier.
func (q *Queue) Waiting() []int {
	out := make([]int, Tiers)
	for i := range q.tiers {
		out[i] = q.tiers[i].order.Len()
	}
	return out
}

// Running returns the number of running jobs.
func (q *Queue) Running() int { return len(q.running) }

// RunningByTier returns the number of running jobs by tier.
func (q *Queue) RunningByTier() []int {
	out := make([]int, Tiers)
	for j := range q.running {
		out[j.Tier]++
	}
	return out
}

// ServiceTime returns the mean time that a job holds its slot. It is 0 until a job has
// ended.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTimeAll.duration() }

// queueIndex returns the index in tiers of the queue for the job. FIFO uses only the first.
func (q *Queue) queueIndex(j *Job) int {
	if q.cfg.FIFO {
		return 0
	}
	return j.Tier
}

// Enqueue adds a job to the queue or refuses it. A refusal is a fault with outcome
// NotRun and a retry delay.
func (q *Queue) Enqueue(now time.Time, j *Job) *fault.Error {
	t := q.queueIndex(j)
	victims := q.countVictims(t)
	if q.tiers[t].order.Len() >= q.cfg.QueueLimit+victims {
		return fault.New(fault.QueueFull, "queue of tier %d is full with %d waiting requests", j.Tier, q.tiers[t].order.Len()).
			WithOutcome(fault.NotRun).WithRetryAfter(q.RetryAfter(j.Tier))
	}
	wait := q.expectedWait(t)
	if q.cfg.EarlyRefusal && victims == 0 && !j.StartDeadline.IsZero() && now.Add(wait).After(j.StartDeadline) {
		return fault.New(fault.WaitTooLong, "expected queue wait of %s exceeds the start deadline", wait.Round(time.Millisecond)).
			WithOutcome(fault.NotRun).WithRetryAfter(q.RetryAfter(j.Tier))
	}
	q.lastSeq++
	j.seq, j.arrived, j.state = q.lastSeq, now, Waiting
	q.tiers[t].push(j, q.cfg)
	return nil
}

// expectedWait estimates how long a new job in the queue with index t would wait for a slot.
func (q *Queue) expectedWait(t int) time.Duration {
	if len(q.running) < q.cfg.Slots && q.tiers[t].order.Len() == 0 {
		return 0
	}
	work := q.serviceTimeAll.duration() / 2 // mean remaining time of a running job
	for u := 0; u <= t; u++ {
		work += time.Duration(q.tiers[u].order.Len()) * q.serviceTime[u].duration()
	}
	return work / time.Duration(q.cfg.Slots)
}

// minRetryAfter is the shortest retry delay in a refusal.
const minRetryAfter = time.Second

// RetryAfter returns the retry delay for a refused job of the tier. It is the time until
// the queue ahead of the job is empty, estimated from the measured service times.
func (q *Queue) RetryAfter(tier int) time.Duration {
	if q.cfg.FIFO {
		tier = 0
	}
	return max(minRetryAfter, q.expectedWait(tier))
}

// Next moves the job to start now from the queue to a slot and returns it. It returns
// false if no slot is free or no job is waiting.
func (q *Queue) Next(now time.Time) (*Job, bool) {
	if len(q.running) >= q.cfg.Slots {
		return nil, false
	}
	var j *Job
	if !q.slotReserved {
		j = q.floorCandidate(now)
	}
	byFloor := j != nil
	if j == nil {
		j = q.priorityCandidate()
	}
	q.slotReserved = false
	if j == nil {
		return nil, false
	}
	q.tiers[q.queueIndex(j)].remove(j)
	j.state, j.started, j.startedByFloor = Running, now, byFloor
	if byFloor {
		q.floorStartedJobs++
	}
	q.running[j] = struct{}{}
	return j, true
}

// priorityCandidate returns the first job of the highest tier that has a waiting job, or
// nil if no job is waiting.
func (q *Queue) priorityCandidate() *Job {
	for i := range q.tiers {
		if j := q.tiers[i].head(); j != nil {
			return j
		}
	}
	return nil
}

// floorCandidate returns a job of a tier that is below its floor, to be started although
// a higher tier is waiting. It returns nil if there is none, or if starting it could
// bring a job of a higher tier close to its start deadline.
func (q *Queue) floorCandidate(now time.Time) *Job {
	if !q.cfg.Floors || q.cfg.FIFO {
		return nil
	}
	for t := Tiers - 1; t > 0; t-- {
		j := q.tiers[t].head()
		if j == nil || j.Floor <= 0 || !q.higherTierWaiting(t) || q.tokenShares.share(now, t) >= j.Floor {
			continue
		}
		if q.floorStartedJobs < q.maxFloorStartedJobs(j.Floor) && q.higherTiersHaveSlack(now, t) {
			return j
		}
	}
	return nil
}

// higherTierWaiting reports whether a job above tier t is waiting.
func (q *Queue) higherTierWaiting(t int) bool {
	for u := range t {
		if q.tiers[u].order.Len() > 0 {
			return true
		}
	}
	return false
}

// maxFloorStartedJobs returns how many running jobs may have been started by a floor.
func (q *Queue) maxFloorStartedJobs(floor float64) int {
	return max(1, int(math.Ceil(floor*float64(q.cfg.Slots))))
}

// higherTiersHaveSlack reports whether every job that waits above tier t would still
// start within half of its remaining time if a job of tier t took a slot now.
func (q *Queue) higherTiersHaveSlack(now time.Time, t int) bool {
	remainingSlots := q.cfg.Slots - q.floorStartedJobs - 1
	for u := range t {
		if q.hasUrgentJob(now, u) {
			return false
		}
		deadline, ok := q.tiers[u].earliestDeadline()
		if !ok {
			continue
		}
		wait := q.expectedWait(u)
		if remainingSlots > 0 {
			wait = wait * time.Duration(q.cfg.Slots) / time.Duration(remainingSlots)
		} else {
			wait += q.serviceTime[t].duration()
		}
		if wait > deadline.Sub(now)/2 {
			return false
		}
	}
	return true
}

// AddTokens counts tokens that a running job has generated.
func (q *Queue) AddTokens(now time.Time, j *Job, tokens int) {
	j.tokens += tokens
	q.tokenShares.add(now, j.Tier, float64(tokens))
}

// Remove permanently removes a job from its slot or from the queue. The time that it
// held the slot is included in the service times.
func (q *Queue) Remove(now time.Time, j *Job) {
	switch j.state {
	case Waiting:
		q.tiers[q.queueIndex(j)].remove(j)
	case Running:
		q.releaseSlot(j)
		serviceTime := now.Sub(j.started)
		q.serviceTime[q.queueIndex(j)].add(serviceTime)
		q.serviceTimeAll.add(serviceTime)
	}
	j.state = Removed
}

// releaseSlot frees the slot of a running job.
func (q *Queue) releaseSlot(j *Job) {
	delete(q.running, j)
	if j.startedByFloor {
		q.floorStartedJobs--
		j.startedByFloor = false
	}
}

// Expire removes and returns the waiting jobs whose start deadline has passed. A job that
// has been started once does not expire. Preempt must be called first: it frees slots
// for jobs that would otherwise expire while a lower tier is running.
func (q *Queue) Expire(now time.Time) []*Job {
	var out []*Job
	for i := range q.tiers {
		for {
			deadline, ok := q.tiers[i].earliestDeadline()
			if !ok || deadline.After(now) {
				break
			}
			j := q.tiers[i].deadlines.first()
			q.tiers[i].remove(j)
			j.state = Removed
			out = append(out, j)
		}
	}
	return out
}
