// Package logservice stands in for the platform's append-only log service: the
// same protocol, in memory, with faults that a test or an operator of a demo
// can switch on.
package logservice

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/configlog"
	"github.com/merlinpost/merlinpost/internal/standin"
)

const (
	maxRecord    = 1 << 20
	maxReadBytes = 8 << 20
)

// Faults are the failures that the stand-in acts out.
type Faults struct {
	// Down refuses every call with status 503.
	Unavailable bool `json:"down"`
	// Silent accepts calls and never answers them.
	Unresponsive bool `json:"silent"`
	// LoseAnswers closes the connection after an append took effect.
	DropResponses bool `json:"lose_answers"`
	// SlowMS delays every answer, milliseconds.
	DelayMS int `json:"slow_ms"`
	// Keep bounds the records kept of each stream; 0 keeps all.
	RetainedRecords int `json:"keep"`
}

type stream struct {
	first   uint64
	records [][]byte
	grown   chan struct{}
}

// Service is the log. The zero value is not usable; call New.
type Service struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	file    *os.File // nil: in memory only
}

// New returns an empty log.
func New() *Service { return &Service{streams: map[string]*stream{}} }

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		st.trim(f.RetainedRecords)
	}
}

func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{first: 1, grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (st *stream) trim(keep int) {
	if keep > 0 && len(st.records) > keep {
		drop := len(st.records) - keep
		st.first += uint64(drop)
		st.records = append([][]byte(nil), st.records[drop:]...)
	}
}

// Append adds a record and returns its offset.
func (s *Service) Append(name string, data []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset := st.first + uint64(len(st.records))
	if err := s.keep(name, offset, data); err != nil {
		return 0, err
	}
	st.records = append(st.records, data)
	st.trim(s.faults.RetainedRecords)
	close(st.grown)
	st.grown = make(chan struct{})
	return offset, nil
}

// read returns a batch, whether the offset is gone, and a channel that is
// closed at the next append.
func (s *Service) read(name string, from uint64) (configlog.Batch, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	b := configlog.Batch{First: st.first, Next: st.first + uint64(len(st.records)), Entries: []configlog.Entry{}}
	if from < st.first {
		return b, true, nil
	}
	size := 0
	for i := from; i < b.Next && size < maxReadBytes; i++ {
		data := st.records[i-st.first]
		size += len(data)
		b.Entries = append(b.Entries, configlog.Entry{Offset: i, Data: data})
	}
	return b, false, st.grown
}

// Handler serves the log's protocol and PUT /standin/faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.guard(s.handleAppend))
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.guard(s.handleRead))
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if standin.ReadJSON(w, r, &f) {
			s.SetFaults(f)
		}
	})
	return mux
}

func (s *Service) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		if f.Unresponsive {
			<-r.Context().Done()
			return
		}
		if !standin.SleepContext(r.Context(), time.Duration(f.DelayMS)*time.Millisecond) {
			return
		}
		if f.Unavailable {
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	offset, err := s.Append(r.PathValue("stream"), data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	lose := s.faults.DropResponses
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	standin.WriteJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: not an offset", http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		b, gone, grown := s.read(r.PathValue("stream"), from)
		if gone {
			standin.WriteJSON(w, http.StatusGone, b)
			return
		}
		if len(b.Entries) > 0 || waitMS <= 0 {
			standin.WriteJSON(w, http.StatusOK, b)
			return
		}
		select {
		case <-grown:
		case <-deadline.C:
			standin.WriteJSON(w, http.StatusOK, b)
			return
		case <-r.Context().Done():
			return
		}
	}
}
