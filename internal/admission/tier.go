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
	order orderHeap
	due   dueHeap
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
	if !j.StartBy.IsZero() {
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

func (t *tier) head() *Job {
	if len(t.order) == 0 {
		return nil
	}
	return t.order[0]
}

// earliest returns the first start bound of the waiting jobs.
func (t *tier) earliest() (time.Time, bool) {
	if len(t.due) == 0 {
		return time.Time{}, false
	}
	return t.due[0].StartBy, true
}

// orderHeap orders jobs by fair tag, then arrival.
type orderHeap []*Job

func (h orderHeap) Len() int { return len(h) }
func (h orderHeap) Less(i, j int) bool {
	return h[i].tag < h[j].tag || (h[i].tag == h[j].tag && h[i].seq < h[j].seq)
}
func (h orderHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].orderPos, h[j].orderPos = i, j
}

// Push implements heap.Interface.
func (h *orderHeap) Push(x any) {
	j := x.(*Job)
	j.orderPos = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *orderHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.orderPos = -1
	return j
}

// dueHeap orders jobs by start bound.
type dueHeap []*Job

func (h dueHeap) Len() int           { return len(h) }
func (h dueHeap) Less(i, j int) bool { return h[i].StartBy.Before(h[j].StartBy) }
func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].duePos, h[j].duePos = i, j
}

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) {
	j := x.(*Job)
	j.duePos = len(*h)
	*h = append(*h, j)
}

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	j.duePos = -1
	return j
}
