package scripted

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// RejectionStatuses are statuses with which servers reject requests, FailureStatuses those of runs that failed.
var (
	RejectionStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout, http.StatusBadRequest}
	FailureStatuses   = []int{http.StatusInternalServerError, http.StatusGatewayTimeout, http.StatusServiceUnavailable, http.StatusTooManyRequests,
		http.StatusRequestTimeout, http.StatusBadRequest}
)

// Draw draws what servers do with requests. It is safe for concurrent use.
type Draw struct {
	// EventsOf returns the number of events of the streamed response to a request, 0 for a plain one.
	EventsOf func(id string) int

	mu   sync.Mutex
	rand *rand.Rand
	// rejects, copies and fails are the shares of requests that are rejected, of responses that are sent again, and of
	// exchanges that fail.
	rejects, copies, fails float64
}

// NewDraw returns a Draw whose shares are drawn as well.
func NewDraw(seed uint64, eventsOf func(id string) int) *Draw {
	d := &Draw{EventsOf: eventsOf, rand: rand.New(rand.NewPCG(seed, 0))}
	d.rejects, d.copies, d.fails = d.rand.Float64()*0.5, d.rand.Float64(), d.rand.Float64()*0.3
	return d
}

// IntN returns a random number from 0 to n-1.
func (d *Draw) IntN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rand.IntN(n)
}

// Step implements Script.
func (d *Draw) Step(a Arrival) Step {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.rand
	s := Step{Runs: true, Status: http.StatusOK, Delay: time.Duration(r.IntN(3000)) * time.Microsecond, Events: d.EventsOf(a.ID)}
	switch p := r.Float64(); {
	case p < d.rejects:
		s.Runs, s.Status, s.NotExecuted = false, RejectionStatuses[r.IntN(len(RejectionStatuses))], true
		if s.Status == http.StatusMisdirectedRequest {
			s.NotExecuted = r.IntN(2) == 0
		}
	case p < d.rejects+d.fails:
		d.failure(&s)
	}
	for r.Float64() < d.copies && len(s.Copies) < 3 {
		s.Copies = append(s.Copies, d.copy())
	}
	return s
}

// failure makes an exchange fail, before or after the run.
func (d *Draw) failure(s *Step) {
	switch r := d.rand; r.IntN(8) {
	case 0:
		s.Status, s.Unsealed = FailureStatuses[r.IntN(len(FailureStatuses))], r.IntN(2) == 0
	case 1:
		s.Runs, s.Status, s.Ending = r.IntN(2) == 0, 0, []Ending{Close, Reset}[r.IntN(2)]
	case 2:
		s.Ending = []Ending{Close, Reset}[r.IntN(2)] // after the answer
	case 3:
		s.CutAfter = 1 + r.IntN(max(s.Events, 1))
	case 4:
		s.OmitID = true
	case 5:
		s.Runs, s.Status, s.NotExecuted, s.OmitID = false, http.StatusServiceUnavailable, true, true
	case 6:
		if r.IntN(20) == 0 {
			s.Ending = Silence
		}
	case 7:
		d.endless(s)
	}
}

// endless makes a server work until its caller disconnects, on a run whose answer can't be delivered.
func (d *Draw) endless(s *Step) {
	s.Ending = []Ending{WorkOn, Garble}[d.rand.IntN(2)]
	switch d.rand.IntN(3) {
	case 0:
		s.Status = FailureStatuses[d.rand.IntN(len(FailureStatuses))]
	case 1:
		s.Unsealed = true
	case 2:
		s.Ending, s.CutAfter = Garble, 1+d.rand.IntN(max(s.Events, 1))
	}
}

func (d *Draw) copy() Copy {
	r := d.rand
	out := Copy{ID: []IDMode{SameID, SameID, NoID, OtherID}[r.IntN(4)], AnnounceClose: r.IntN(8) == 0,
		AfterInformational: r.IntN(8) == 0, NotExecuted: r.IntN(2) == 0, WithBody: r.IntN(8) == 0, Chunked: r.IntN(8) == 0}
	if r.IntN(3) == 0 {
		out.Status = RejectionStatuses[r.IntN(len(RejectionStatuses))]
	}
	if r.IntN(4) == 0 {
		out.When = []When{WithAnswer, Split, FirstHalfBeforeNext}[r.IntN(3)]
	}
	return out
}
