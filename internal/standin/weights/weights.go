// Package weights stands in for the platform's weight store, which is
// rate-limited: every download shares one rate.
package weights

import (
	"net/http"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/merlinpost/merlinpost/internal/standin"
)

const chunk = 64 << 10

// Store serves GET /v1/weights/{target}.
type Store struct {
	size    int
	limiter *rate.Limiter
	active  atomic.Int64
	peak    atomic.Int64
}

// New returns a store whose weights have size bytes each and that gives
// bytesPerSecond to all readers together.
func New(size, bytesPerSecond int) *Store {
	return &Store{size: size, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunk)}
}

// Handler serves the store and GET /standin/peak, the most downloads at once.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{target}", s.download)
	mux.HandleFunc("GET /standin/peak", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, map[string]int64{"peak": s.peak.Load()})
	})
	return mux
}

func (s *Store) download(w http.ResponseWriter, r *http.Request) {
	now := s.active.Add(1)
	defer s.active.Add(-1)
	for peak := s.peak.Load(); now > peak && !s.peak.CompareAndSwap(peak, now); peak = s.peak.Load() {
	}
	buf := make([]byte, chunk)
	for left := s.size; left > 0; {
		n := min(left, chunk)
		if s.limiter.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		left -= n
	}
}
