// Package logservice is a stand-in for the platform's append-only log service.
// It speaks the same protocol, keeps its records in memory and optionally in a
// file, and simulates faults that are switched on by tests or in demos.
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
	maxRecordBytes = 1 << 20
	maxReadBytes   = 8 << 20
)

// Faults are the failures that the stand-in simulates.
type Faults struct {
	// Unavailable rejects every call with status 503.
	Unavailable bool `json:"down"`
	// Unresponsive accepts calls and never responds to them.
	Unresponsive bool `json:"silent"`
	// DropResponses closes the connection after a record has been appended,
	// without a response.
	DropResponses bool `json:"lose_answers"`
	// DelayMS is the delay of every response, in milliseconds.
	DelayMS int `json:"slow_ms"`
	// RetainedRecords is the maximum number of records retained per stream; 0
	// retains all.
	RetainedRecords int `json:"keep"`
}

// stream is one append-only sequence of records.
type stream struct {
	firstOffset uint64 // offset of the oldest retained record
	records     [][]byte
	appended    chan struct{} // closed and replaced at each append
}

// Service is the log. The zero value is not usable; call New.
type Service struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	file    *os.File // nil if the log is in memory only
}

// New returns an empty log.
func New() *Service { return &Service{streams: map[string]*stream{}} }

// SetFaults replaces the simulated faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		st.trim(f.RetainedRecords)
	}
}

// stream returns the named stream and creates it if needed. The caller holds mu.
func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{firstOffset: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// trim drops the oldest records beyond maxRecords; 0 means no limit.
func (st *stream) trim(maxRecords int) {
	if maxRecords > 0 && len(st.records) > maxRecords {
		drop := len(st.records) - maxRecords
		st.firstOffset += uint64(drop)
		st.records = append([][]byte(nil), st.records[drop:]...)
	}
}

// Append adds a record and returns its offset.
func (s *Service) Append(name string, data []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset := st.firstOffset + uint64(len(st.records))
	if err := s.persist(name, offset, data); err != nil {
		return 0, err
	}
	st.records = append(st.records, data)
	st.trim(s.faults.RetainedRecords)
	close(st.appended)
	st.appended = make(chan struct{})
	return offset, nil
}

// read returns a batch that starts at offset from, whether that offset has been
// trimmed, and a channel that is closed at the next append.
func (s *Service) readBatch(name string, from uint64) (configlog.Batch, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	b := configlog.Batch{First: st.firstOffset, Next: st.firstOffset + uint64(len(st.records)), Entries: []configlog.Entry{}}
	if from < st.firstOffset {
		return b, true, nil
	}
	size := 0
	for i := from; i < b.Next && size < maxReadBytes; i++ {
		data := st.records[i-st.firstOffset]
		size += len(data)
		b.Entries = append(b.Entries, configlog.Entry{Offset: i, Data: data})
	}
	return b, false, st.appended
}

// Handler serves the log service's protocol and PUT /standin/faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.withFaults(s.handleAppend))
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.withFaults(s.handleRead))
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if standin.ReadJSON(w, r, &f) {
			s.SetFaults(f)
		}
	})
	return mux
}

// withFaults applies the simulated faults before it calls next.
func (s *Service) withFaults(next http.HandlerFunc) http.HandlerFunc {
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
			http.Error(w, "log service unavailable (simulated fault)", http.StatusServiceUnavailable)
			return
		}
		next(w, r)
	}
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
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
	dropResponse := s.faults.DropResponses
	s.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	standin.WriteJSON(w, http.StatusOK, map[string]uint64{"offset": offset})
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter from: not an unsigned integer", http.StatusBadRequest)
		return
	}
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	for {
		b, trimmed, appended := s.readBatch(r.PathValue("stream"), from)
		if trimmed {
			standin.WriteJSON(w, http.StatusGone, b)
			return
		}
		if len(b.Entries) > 0 || waitMS <= 0 {
			standin.WriteJSON(w, http.StatusOK, b)
			return
		}
		select {
		case <-appended:
		case <-deadline.C:
			standin.WriteJSON(w, http.StatusOK, b)
			return
		case <-r.Context().Done():
			return
		}
	}
}
