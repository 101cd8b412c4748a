// Package admission decides which waiting request an agent starts next at its
// backend server. It does no I/O, does not block and reads no clock: the current time
// is an argument.
//
// Tiers have strict priority; within a tier, teams share by start-time fair queueing.
// A floor guarantees a lower tier a share of the tokens, but yields to a higher tier
// that is about to be shed. The following invariant holds by construction, and the
// property tests check it at each refusal and expiry:
//
//	A request is refused or expires only while no preemptible request of a
//	lower tier is running on this backend server.
//
// So no helpline call is shed to serve a report, and reports keep their floor as long
// as no higher tier is about to be shed.
package admission

import (
	"math"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Tiers is the number of priority tiers; tier 0 is the highest.
const Tiers = 5

// Config is the size and policy of a Queue.
type Config struct {
	Slots          int // requests that run concurrently
	QueueLimit     int // waiting requests per tier
	MaxPreemptions int // preemptions of one request, not counting those for urgent jobs
	FloorWindow    time.Duration

	// FIFO selects the baseline policy: a single queue in order of arrival.
	FIFO bool
	// The parts of the policy, each of which can be disabled.
	Preemption   bool
	Floors       bool
	Fairness     bool
	EarlyRefusal bool
}

// Job is one request in the queue or in a slot. The caller sets the exported fields
// before Enqueue and does not change them afterwards.
type Job struct {
	ID               string
	Tier             int
	Flow             string        // team name
	Cost             float64       // expected tokens, for fairness
	Floor            float64       // minimum share of tokens guaranteed to the tier
	FirstTokenTarget time.Duration // 0: no target
	Preemptible      bool
	StartDeadline    time.Time

	arrived        time.Time
	started        time.Time // start of the current run
	seq            uint64
	startTag       float64 // fair queueing start tag
	preemptions    int
	tokens         int
	state          State
	startedByFloor bool
	orderIndex     int // in the tier's order heap, -1 if absent
	deadlineIndex  int // in the tier's deadline heap, -1 if absent
}

// State is the state of a Job.
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
	lastSeq     uint64
	tokenShares tokenShares
	// serviceTime is the mean time in a slot by tier, serviceTimeAll over all tiers.
	serviceTime      [Tiers]ewma
	serviceTimeAll   ewma
	floorStartedJobs int // running jobs that were started by a floor
	// slotReserved is set when preemption has freed a slot for the waiting job of
	// highest priority, so that floors do not take it.
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

// ServiceTime returns the mean time of a job in a slot; 0 until a job has finished.
func (q *Queue) ServiceTime() time.Duration { return q.serviceTimeAll.duration() }

// queueIndex returns the index of the tier queue for the job. FIFO uses only the first.
func (q *Queue) queueIndex(j *Job) int {
	if q.cfg.FIFO {
		return 0
	}
	return j.Tier
}

// Enqueue adds a job to the queue or refuses it. A refusal is a typed error with
// outcome NotRun and a retry delay.
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

// expectedWait estimates how long a new job in queue t would wait for a slot.
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

// RetryAfter returns the retry delay for a refused job of the tier: the time until the
// queue ahead of it has drained, estimated from the measured service times.
func (q *Queue) RetryAfter(tier int) time.Duration {
	if q.cfg.FIFO {
		tier = 0
	}
	return max(minRetryAfter, q.expectedWait(tier))
}

// Next returns the job to start now, if a slot is free and a job is waiting.
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

func (q *Queue) priorityCandidate() *Job {
	for i := range q.tiers {
		if j := q.tiers[i].head(); j != nil {
			return j
		}
	}
	return nil
}

// floorCandidate returns a job of a tier that is below its floor and gets a slot even
// though a higher tier is waiting. It must not bring a job of a higher tier close to
// its start deadline.
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

func (q *Queue) higherTierWaiting(t int) bool {
	for u := range t {
		if q.tiers[u].order.Len() > 0 {
			return true
		}
	}
	return false
}

// floorSlots returns the limit on slots held by jobs that were started by a floor.
func (q *Queue) maxFloorStartedJobs(floor float64) int {
	return max(1, int(math.Ceil(floor*float64(q.cfg.Slots))))
}

// hasSlack reports whether every waiting job above tier t would still start within
// half of its remaining time if a job of tier t took a slot now.
func (q *Queue) higherTiersHaveSlack(now time.Time, t int) bool {
	left := q.cfg.Slots - q.floorStartedJobs - 1
	for u := range t {
		if q.hasUrgentJob(now, u) {
			return false
		}
		deadline, ok := q.tiers[u].earliestDeadline()
		if !ok {
			continue
		}
		wait := q.expectedWait(u)
		if left > 0 {
			wait = wait * time.Duration(q.cfg.Slots) / time.Duration(left)
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

// Remove permanently removes a job from its slot or from the queue.
func (q *Queue) Remove(now time.Time, j *Job) {
	switch j.state {
	case Waiting:
		q.tiers[q.queueIndex(j)].remove(j)
	case Running:
		q.releaseSlot(j)
		took := now.Sub(j.started)
		q.serviceTime[q.queueIndex(j)].add(took)
		q.serviceTimeAll.add(took)
	}
	j.state = Removed
}

func (q *Queue) releaseSlot(j *Job) {
	delete(q.running, j)
	if j.startedByFloor {
		q.floorStartedJobs--
		j.startedByFloor = false
	}
}

// Expire removes and returns the jobs whose start deadline has passed. A job that has
// started once does not expire. Call Preempt first: it frees slots for jobs that are
// about to expire while a lower tier is running.
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
