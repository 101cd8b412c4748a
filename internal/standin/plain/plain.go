// Package plain is a stand-in for an HTTP service that is not a model engine,
// such as one that prints receipts or sends alerts. It records every call that
// it executes, so that a test can detect duplicate executions.
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin"
)

// Faults are the failures that the stand-in simulates.
type Faults struct {
	// DelayMS is the delay, in milliseconds, between executing a call and
	// responding to it.
	ResponseDelayMS int `json:"slow_ms"`
	// DropResponses closes the connection after a call has been executed,
	// without a response.
	DropResponses bool `json:"lose_answers"`
}

// Service responds to each call with the request body and the number of times
// this body has been executed.
type Service struct {
	mu         sync.Mutex
	name       string
	executions map[string]int // executions by request body
	total      int
	faults     Faults
}

// New returns a service that has executed no calls.
func New(name string) *Service { return &Service{name: name, executions: map[string]int{}} }

// Response is the response to a call.
type Response struct {
	Service         string `json:"service"`
	ExecutionNumber int    `json:"run"` // number of executions of this body so far
	Echo            string `json:"echo"`
}

// Handler serves POST on any path, PUT /standin/faults and GET /standin/runs,
// which returns the executions by request body.
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
		standin.WriteJSON(w, http.StatusOK, s.Executions())
	})
	mux.HandleFunc("POST /", s.handleCall)
	return mux
}

// Runs returns the number of executions by request body.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.executions))
	for k, n := range s.executions {
		out[k] = n
	}
	return out
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.executions[string(data)]++
	s.total++
	run, f := s.executions[string(data)], s.faults
	s.mu.Unlock()
	if !standin.SleepContext(r.Context(), time.Duration(f.ResponseDelayMS)*time.Millisecond) {
		return
	}
	if f.DropResponses {
		panic(http.ErrAbortHandler)
	}
	response, err := json.Marshal(Response{s.name, run, string(data)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(response)
}
