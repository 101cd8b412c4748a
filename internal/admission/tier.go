package admission

import (
	"container/heap"
	"math"
	"time"
)

// preemptedTag sorts a preempted job before all other jobs of its tier.
const preemptedTag = -1

// flow is the fair queueing state of one team in a tier.
type flowState struct {
	finishTag float64 // finish tag of its last job
	waiting   int
}

// tier holds the waiting jobs of one tier.
type tierQueue struct {
	order       jobHeap
	deadlines   jobHeap
	flows       map[string]*flowState
	virtualTime float64 // highest start tag of the jobs taken so far
}

// push assigns the job its start tag and inserts it.
func (t *tierQueue) push(j *Job, cfg Config) {
	if cfg.Fairness && !cfg.FIFO {
		f := t.flows[j.Flow]
		if f == nil {
			f = &flowState{}
			t.flows[j.Flow] = f
		}
		j.startTag = math.Max(t.virtualTime, f.finishTag)
		f.finishTag = j.startTag + math.Max(1, j.Cost)
	} else {
		j.startTag = 0 // jobs with equal tags keep their order of arrival
	}
	t.insert(j)
}

func (t *tierQueue) insert(j *Job) {
	if f := t.flows[j.Flow]; f != nil {
		f.waiting++
	}
	heap.Push(&t.order, j)
	j.deadlineIndex = -1
	if !j.StartDeadline.IsZero() {
		heap.Push(&t.deadlines, j)
	}
}

// remove takes the job out. A flow with no waiting jobs whose finish tag has passed is
// deleted, so that the map holds only active teams.
func (t *tierQueue) remove(j *Job) {
	heap.Remove(&t.order, j.orderIndex)
	if j.deadlineIndex >= 0 {
		heap.Remove(&t.deadlines, j.deadlineIndex)
	}
	t.virtualTime = math.Max(t.virtualTime, j.startTag)
	f := t.flows[j.Flow]
	if f == nil {
		return
	}
	f.waiting--
	if f.waiting <= 0 && (f.finishTag <= t.virtualTime || t.order.Len() == 0) {
		delete(t.flows, j.Flow)
	}
}

func (t *tierQueue) head() *Job { return t.order.first() }

// earliestDeadline returns the earliest start deadline of the waiting jobs.
func (t *tierQueue) earliestDeadline() (time.Time, bool) {
	if j := t.deadlines.first(); j != nil {
		return j.StartDeadline, true
	}
	return time.Time{}, false
}

// jobHeap is a heap of jobs that store their index in it, so that any job can be
// removed.
type jobHeap struct {
	jobs []*Job
	less func(a, b *Job) bool
	// index returns the field that holds a job's index in this heap.
	index func(*Job) *int
}

// newOrderHeap orders jobs by start tag, then by arrival.
func newOrderHeap() jobHeap {
	return jobHeap{less: func(a, b *Job) bool { return a.startTag < b.startTag || (a.startTag == b.startTag && a.seq < b.seq) },
		index: func(j *Job) *int { return &j.orderIndex }}
}

// newDeadlineHeap orders jobs by start deadline.
func newDeadlineHeap() jobHeap {
	return jobHeap{less: func(a, b *Job) bool { return a.StartDeadline.Before(b.StartDeadline) }, index: func(j *Job) *int { return &j.deadlineIndex }}
}

// Len implements heap.Interface.
func (h *jobHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface.
func (h *jobHeap) Less(i, j int) bool { return h.less(h.jobs[i], h.jobs[j]) }

// Swap implements heap.Interface.
func (h *jobHeap) Swap(i, j int) {
	h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i]
	*h.index(h.jobs[i]), *h.index(h.jobs[j]) = i, j
}

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) {
	j := x.(*Job)
	*h.index(j) = len(h.jobs)
	h.jobs = append(h.jobs, j)
}

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	n := len(h.jobs) - 1
	j := h.jobs[n]
	h.jobs[n] = nil
	h.jobs = h.jobs[:n]
	*h.index(j) = -1
	return j
}

// first returns the first job, or nil if the heap is empty.
func (h *jobHeap) first() *Job {
	if len(h.jobs) == 0 {
		return nil
	}
	return h.jobs[0]
}
