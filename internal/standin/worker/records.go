package worker

import (
	"net/http"
	"slices"
	"time"
)

// Execution is a request that the worker has started to process.
type Execution struct {
	ID     string
	Method string
	Target string // path and query of the request
	Body   string
	Header http.Header
	// LastEventID is the request's Last-Event-Id, 0 if absent. A stream starts
	// with the event after it.
	LastEventID int
	At          time.Time
}

// Arrival is a received request, whether executed or rejected.
type Arrival struct {
	ID string
	At time.Time
}

// Executions returns the requests executed so far.
func (w *Worker) Executions() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Execution(nil), w.executions...)
}

// DisconnectCount returns the number of callers that disconnected before their response
// was complete.
func (w *Worker) DisconnectCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.disconnectCount
}

// ConnectionCount returns the number of connections accepted so far.
func (w *Worker) ConnectionCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.connectionCount
}

// RequestCount returns the number of requests received so far, including rejected ones.
func (w *Worker) RequestCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.arrivals)
}

// Arrivals returns the requests received so far, including rejected ones.
func (w *Worker) Arrivals() []Arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Arrival(nil), w.arrivals...)
}

// Retries returns the times at which requests reached the workers again, in any order of the workers: the times of
// all arrivals but the earliest with each ID.
func Retries(workers []*Worker) []time.Time {
	var arrivals []Arrival
	for _, w := range workers {
		arrivals = append(arrivals, w.Arrivals()...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	var out []time.Time
	for _, a := range arrivals {
		if seen[a.ID] {
			out = append(out, a.At)
		}
		seen[a.ID] = true
	}
	return out
}
