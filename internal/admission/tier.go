package admission

import (
	"container/heap"
	"math"
	"time"
)

// preemptedTag puts a preempted job before all others of its tier.
const preemptedTag = -1

// flow is one team's place in a tier's fair order.
type flow struct {
	finish  float64 // tag at which its last job is served
	waiting int
}

// tier holds the waiting jobs of one tier.
type tier struct {
	order jobHeap
	due   jobHeap
	flows map[string]*flow
	now   float64 // virtual time: start tag of the job last taken
}

// push gives the job its fair tag and inserts it.
func (t *tier) push(j *Job, cfg Config) {
	if cfg.Fairness && !cfg.FIFO {
		f := t.flows[j.Flow]
		if f == nil {
			f = &flow{}
			t.flows[j.Flow] = f
		}
		j.tag = math.Max(t.now, f.finish)
		f.finish = j.tag + math.Max(1, j.Cost)
	} else {
		j.tag = 0 // order of arrival
	}
	t.insert(j)
}

func (t *tier) insert(j *Job) {
	if f := t.flows[j.Flow]; f != nil {
		f.waiting++
	}
	heap.Push(&t.order, j)
	j.duePos = -1
	if !j.StartDeadline.IsZero() {
		heap.Push(&t.due, j)
	}
}

// remove takes the job out; a flow with nothing waiting whose turn has passed
// is forgotten, so that the map holds only active teams.
func (t *tier) remove(j *Job) {
	heap.Remove(&t.order, j.orderPos)
	if j.duePos >= 0 {
		heap.Remove(&t.due, j.duePos)
	}
	t.now = math.Max(t.now, j.tag)
	f := t.flows[j.Flow]
	if f == nil {
		return
	}
	f.waiting--
	if f.waiting <= 0 && (f.finish <= t.now || t.order.Len() == 0) {
		delete(t.flows, j.Flow)
	}
}

func (t *tier) head() *Job { return t.order.first() }

// earliest returns the first start bound of the waiting jobs.
func (t *tier) earliest() (time.Time, bool) {
	if j := t.due.first(); j != nil {
		return j.StartDeadline, true
	}
	return time.Time{}, false
}

// jobHeap is a heap of jobs that know their place in it, so that any of them can
// be taken out.
type jobHeap struct {
	jobs []*Job
	less func(a, b *Job) bool
	// pos returns where a job keeps its place in this heap.
	pos func(*Job) *int
}

// newOrder orders jobs by fair tag, then arrival.
func newOrder() jobHeap {
	return jobHeap{less: func(a, b *Job) bool { return a.tag < b.tag || (a.tag == b.tag && a.seq < b.seq) },
		pos: func(j *Job) *int { return &j.orderPos }}
}

// newDue orders jobs by start bound.
func newDue() jobHeap {
	return jobHeap{less: func(a, b *Job) bool { return a.StartDeadline.Before(b.StartDeadline) }, pos: func(j *Job) *int { return &j.duePos }}
}

// Len implements heap.Interface.
func (h *jobHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface.
func (h *jobHeap) Less(i, j int) bool { return h.less(h.jobs[i], h.jobs[j]) }

// Swap implements heap.Interface.
func (h *jobHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	*h.pos(h.jobs[i]), *h.pos(h.jobs[j]) = i, j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*Job)
	*h.pos(j) = len(h.jobs)
	h.jobs = append(h.jobs, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	n := len(h.jobs) - 1
	j := h.jobs[n]
	h.jobs[n] = nil
	h.jobs = h.jobs[:n]
	*h.pos(j) = -1
	return j
}

// first returns the job at the top; nil if there is none.
func (h *jobHeap) first() *Job {
	if len(h.jobs) == 0 {
		return nil
	}
	return h.jobs[0]
}
