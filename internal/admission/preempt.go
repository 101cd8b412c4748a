package admission

import "time"

// urgentMargin is how long before its start bound a waiting job becomes
// urgent. It covers a few ticks of the agent's clock.
const urgentMargin = 50 * time.Millisecond

// Preempt moves one running job of a lower tier back to the front of its queue
// to make room for a waiting one, and returns it. The caller stops it at the
// backend server and calls Next. It returns nil when nothing is to be
// preempted; call it until then.
func (q *Queue) Preempt(now time.Time) *Job {
	if !q.cfg.Preemption || q.cfg.FIFO || len(q.running) < q.cfg.Slots {
		return nil
	}
	ahead := 0
	for t := range q.tiers {
		head := q.tiers[t].head()
		if head == nil {
			continue
		}
		ahead += q.tiers[t].order.Len()
		if v := q.victimFor(now, t, head, ahead); v != nil {
			q.putBack(v)
			q.claimed = true
			return v
		}
	}
	return nil
}

func (q *Queue) victimFor(now time.Time, t int, head *Job, ahead int) *Job {
	urgent := q.urgent(now, t)
	if !urgent && !q.misses(now, head, ahead) {
		return nil
	}
	return q.victim(t, urgent)
}

// urgent reports whether a job of tier t is about to be shed: its start bound
// is near, or its queue is over the limit.
func (q *Queue) urgent(now time.Time, t int) bool {
	due, ok := q.tiers[t].earliest()
	return (ok && due.Sub(now) < urgentMargin) || q.tiers[t].order.Len() > q.cfg.QueueLimit
}

// misses reports whether the head would use up half of its first-token target
// before a slot falls free by itself.
func (q *Queue) misses(now time.Time, head *Job, ahead int) bool {
	if head.FirstTokenTarget <= 0 {
		return false
	}
	natural := time.Duration(ahead) * q.serviceAll.duration() / time.Duration(q.cfg.Slots)
	return now.Sub(head.arrived)+natural > head.FirstTokenTarget/2
}

// victim chooses the running job that gives way to tier t: of the lowest tier,
// the one that made the fewest tokens. A job that its floor started, or that
// was preempted often enough, gives way only to urgent need.
func (q *Queue) victim(t int, urgent bool) *Job {
	var best *Job
	for j := range q.running {
		if j.Tier <= t || !j.Preemptible {
			continue
		}
		if !urgent && (j.floorRun || j.preemptions >= q.cfg.MaxPreemptions) {
			continue
		}
		if best == nil || j.Tier > best.Tier ||
			(j.Tier == best.Tier && (j.tokens < best.tokens || (j.tokens == best.tokens && j.seq > best.seq))) {
			best = j
		}
	}
	return best
}

// victims counts the running jobs that an urgent job of tier t may displace.
func (q *Queue) victims(t int) int {
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

func (q *Queue) putBack(j *Job) {
	q.leaveSlot(j)
	j.state = Waiting
	j.preemptions++
	j.StartDeadline = time.Time{} // it has started: it does not expire any more
	j.tag = preemptedTag
	q.tiers[j.Tier].insert(j)
}
