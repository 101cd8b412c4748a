// Package plain stands in for a plain service beside the model engines, such
// as one that prints receipts or sends alerts. It keeps its own record of what
// it ran, so that a test can count runs.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin"
)

// Faults are the failures that the stand-in acts out.
type Faults struct {
	// SlowMS delays each call after it took effect, milliseconds.
	DelayMS int `json:"slow_ms"`
	// LoseAnswers closes the connection after a call took effect.
	DropResponses bool `json:"lose_answers"`
}

// Service echoes each call with a run number.
type Service struct {
	mu     sync.Mutex
	name   string
	runs   map[string]int // by body
	total  int
	faults Faults
}

// New returns a service with an empty record.
func New(name string) *Service { return &Service{name: name, runs: map[string]int{}} }

// Reply is the answer to a call.
type Response struct {
	Service string `json:"service"`
	Run     int    `json:"run"` // how often this body was run
	Echo    string `json:"echo"`
}

// Handler serves POST on any path, PUT /standin/faults and GET /standin/runs.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if standin.ReadJSON(w, r, &f) {
			s.mu.Lock()
			s.faults = f
			s.mu.Unlock()
		}
	})
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("POST /", s.call)
	return mux
}

// Runs returns how often each body was run.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.runs[string(data)]++
	s.total++
	run, f := s.runs[string(data)], s.faults
	s.mu.Unlock()
	if !standin.SleepContext(r.Context(), time.Duration(f.DelayMS)*time.Millisecond) {
		return
	}
	if f.DropResponses {
		panic(http.ErrAbortHandler)
	}
	reply, err := json.Marshal(Response{s.name, run, string(data)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(reply)
}
