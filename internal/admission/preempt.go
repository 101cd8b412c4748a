package admission

import "time"

// deadlineMargin is how long before its start deadline a waiting job becomes urgent. It
// is long enough for a few ticks of the agent's timer.
const deadlineMargin = 50 * time.Millisecond

// Preempt moves one running job of a lower tier back to the front of its tier's queue,
// to free a slot for a waiting job of a higher tier, and returns the preempted job. The
// caller must stop that job at the backend server and call Next, and repeat both calls
// until Preempt returns nil because there is nothing to preempt.
func (q *Queue) Preempt(now time.Time) *Job {
	if !q.cfg.Preemption || q.cfg.FIFO || len(q.running) < q.cfg.Slots {
		return nil
	}
	waitingAhead := 0
	for t := range q.tiers {
		head := q.tiers[t].head()
		if head == nil {
			continue
		}
		waitingAhead += q.tiers[t].order.Len()
		if victim := q.victimForTier(now, t, head, waitingAhead); victim != nil {
			q.requeue(victim)
			q.slotReserved = true
			return victim
		}
	}
	return nil
}

// victimForTier returns the running job to preempt for tier t, whose first waiting job is
// head. It returns nil if the tier need not or cannot preempt a job. waitingAhead is the
// number of jobs that wait in tier t and above.
func (q *Queue) victimForTier(now time.Time, t int, head *Job, waitingAhead int) *Job {
	urgent := q.hasUrgentJob(now, t)
	if !urgent && !q.willMissFirstToken(now, head, waitingAhead) {
		return nil
	}
	return q.selectVictim(t, urgent)
}

// hasUrgentJob reports whether a job of tier t is about to be shed, because its start
// deadline is near or the tier's queue is over its limit.
func (q *Queue) hasUrgentJob(now time.Time, t int) bool {
	deadline, ok := q.tiers[t].earliestDeadline()
	return (ok && deadline.Sub(now) < deadlineMargin) || q.tiers[t].order.Len() > q.cfg.QueueLimit
}

// willMissFirstToken reports whether the job head would wait longer than half of its
// first-token target for a slot to become free without preemption.
func (q *Queue) willMissFirstToken(now time.Time, head *Job, waitingAhead int) bool {
	if head.FirstTokenTarget <= 0 {
		return false
	}
	untilFree := time.Duration(waitingAhead) * q.serviceTimeAll.duration() / time.Duration(q.cfg.Slots)
	return now.Sub(head.arrived)+untilFree > head.FirstTokenTarget/2
}

// selectVictim chooses the running job to preempt for tier t: in the lowest tier with a
// preemptible job, the one that has generated the fewest tokens. A job that was started
// by its floor or has reached MaxPreemptions is preempted only for an urgent job. The
// result is nil if no job can be preempted.
func (q *Queue) selectVictim(t int, urgent bool) *Job {
	var victim *Job
	for j := range q.running {
		if j.Tier <= t || !j.Preemptible {
			continue
		}
		if !urgent && (j.startedByFloor || j.preemptions >= q.cfg.MaxPreemptions) {
			continue
		}
		if victim == nil || j.Tier > victim.Tier ||
			(j.Tier == victim.Tier && (j.tokens < victim.tokens || (j.tokens == victim.tokens && j.seq > victim.seq))) {
			victim = j
		}
	}
	return victim
}

// countVictims counts the running jobs that an urgent job of tier t may preempt.
func (q *Queue) countVictims(t int) int {
	if !q.cfg.Preemption || q.cfg.FIFO {
		return 0
	}
	n := 0
	for j := range q.running {
		if j.Tier > t && j.Preemptible {
			n++
		}
	}
	return n
}

// requeue moves a running job back to the front of its tier's queue.
func (q *Queue) requeue(j *Job) {
	q.releaseSlot(j)
	j.state = Waiting
	j.preemptions++
	j.StartDeadline = time.Time{} // a job that has started once does not expire
	j.startTag = preemptedTag
	q.tiers[j.Tier].insert(j)
}
