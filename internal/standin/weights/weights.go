// Package weights is a stand-in for the platform's store of model weights. Like the
// real store it limits the total bandwidth of all downloads.
package weights

import (
	"net/http"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/merlinpost/merlinpost/internal/standin"
)

// chunkBytes is the size of one write and the burst size of the bandwidth limit.
const chunkBytes = 64 << 10

// Store is the stand-in. The weights of all targets consist of zero bytes.
type Store struct {
	size    int
	limiter *rate.Limiter
	active  atomic.Int64 // downloads in progress
	peak    atomic.Int64 // highest value of active so far
}

// New returns a store in which the weights of every target have size bytes. All
// downloads together are limited to bytesPerSecond.
func New(size, bytesPerSecond int) *Store {
	return &Store{size: size, limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), chunkBytes)}
}

// Handler serves GET /v1/weights/{target} and GET /standin/peak, which returns the
// highest number of concurrent downloads so far.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{target}", s.download)
	mux.HandleFunc("GET /standin/peak", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, map[string]int64{"peak": s.peak.Load()})
	})
	return mux
}

func (s *Store) download(w http.ResponseWriter, r *http.Request) {
	active := s.active.Add(1)
	defer s.active.Add(-1)
	for peak := s.peak.Load(); active > peak && !s.peak.CompareAndSwap(peak, active); peak = s.peak.Load() {
	}
	buf := make([]byte, chunkBytes)
	for remaining := s.size; remaining > 0; {
		n := min(remaining, chunkBytes)
		if s.limiter.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(buf[:n]); err != nil {
			return
		}
		remaining -= n
	}
}
