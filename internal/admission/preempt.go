package admission

import "time"

// deadlineMargin is how long before its start deadline a waiting job becomes
// urgent. It covers a few ticks of the agent's timer.
const deadlineMargin = 50 * time.Millisecond

// Preempt moves one running job of a lower tier back to the front of its queue
// to free a slot for a waiting job of a higher tier, and returns the preempted job.
// The caller stops that job at the backend server and calls Next. Preempt returns nil
// when there is nothing to preempt; the caller repeats both calls until then.
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
		if v := q.victimForTier(now, t, head, waitingAhead); v != nil {
			q.requeue(v)
			q.slotReserved = true
			return v
		}
	}
	return nil
}

func (q *Queue) victimForTier(now time.Time, t int, head *Job, waitingAhead int) *Job {
	urgent := q.hasUrgentJob(now, t)
	if !urgent && !q.willMissFirstToken(now, head, waitingAhead) {
		return nil
	}
	return q.selectVictim(t, urgent)
}

// urgent reports whether a job of tier t is about to be shed: its start deadline
// is near, or its queue is over the limit.
func (q *Queue) hasUrgentJob(now time.Time, t int) bool {
	deadline, ok := q.tiers[t].earliestDeadline()
	return (ok && deadline.Sub(now) < deadlineMargin) || q.tiers[t].order.Len() > q.cfg.QueueLimit
}

// willMissFirstToken reports whether the head job would wait for more than half of its
// first-token target before a slot becomes free without preemption.
func (q *Queue) willMissFirstToken(now time.Time, head *Job, waitingAhead int) bool {
	if head.FirstTokenTarget <= 0 {
		return false
	}
	untilFree := time.Duration(waitingAhead) * q.serviceTimeAll.duration() / time.Duration(q.cfg.Slots)
	return now.Sub(head.arrived)+untilFree > head.FirstTokenTarget/2
}

// selectVictim chooses the running job to preempt for tier t: in the lowest tier, the
// job that has generated the fewest tokens. A job that was started by its floor, or
// that has reached MaxPreemptions, is preempted only for an urgent job.
func (q *Queue) selectVictim(t int, urgent bool) *Job {
	var best *Job
	for j := range q.running {
		if j.Tier <= t || !j.Preemptible {
			continue
		}
		if !urgent && (j.startedByFloor || j.preemptions >= q.cfg.MaxPreemptions) {
			continue
		}
		if best == nil || j.Tier > best.Tier ||
			(j.Tier == best.Tier && (j.tokens < best.tokens || (j.tokens == best.tokens && j.seq > best.seq))) {
			best = j
		}
	}
	return best
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

func (q *Queue) requeue(j *Job) {
	q.releaseSlot(j)
	j.state = Waiting
	j.preemptions++
	j.StartDeadline = time.Time{} // a job that has started once does not expire
	j.startTag = preemptedTag
	q.tiers[j.Tier].insert(j)
}
