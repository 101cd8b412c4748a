// Package decisionlog writes structured log lines without blocking the caller. Lines
// are written from a bounded queue. While the queue is full, new lines are dropped and
// counted.
package decisionlog

import (
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// queueCapacity is the maximum number of lines waiting to be written. At about
// 300 bytes per line a full queue takes 150 KB.
const queueCapacity = 512

// Writer is an io.Writer whose Write never blocks. Each call of Write must pass one
// line.
type Writer struct {
	lines chan []byte   // a nil line stops the writer
	done  chan struct{} // closed when the writer has stopped
}

// NewWriter starts a goroutine that writes queued lines to dst until Close is
// called.
func NewWriter(dst io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run(dst)
	return w
}

func (w *Writer) run(dst io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		if line == nil {
			return
		}
		if _, err := dst.Write(line); err != nil {
			telemetry.Count("merlinpost_log_lines_dropped_total", "reason", "write_failed")
		}
	}
}

// Write queues a copy of the line, or drops the line if the queue is full. It
// never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		telemetry.Count("merlinpost_log_lines_dropped_total", "reason", "queue_full")
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer. Later lines are never written.
func (w *Writer) Close() {
	w.lines <- nil
	<-w.done
}

// NewLogger returns a logger that writes JSON lines to w.
func NewLogger(w *Writer) *slog.Logger {
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.LevelInfo}))
}

// Sampled reports whether the successful request with this ID is logged at a
// sampling rate of one in n. The decision depends only on the ID, so that all
// processes log the same requests.
func Sampled(id string, n uint64) bool { return n <= 1 || xxhash.Sum64String(id)%n == 0 }

const (
	// maxLinesPerSecond and maxLineBurst limit the log lines for failures of one
	// kind. Without a limit, many callers with an outdated key would use up
	// resources that are needed to serve the other callers.
	maxLinesPerSecond = 20
	maxLineBurst      = 100
)

// Limiter limits the rate of log lines of each kind. The zero value is ready to
// use. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

// Allow reports whether a line of the kind may be written now, and counts it as
// dropped if not. Kinds must come from a fixed set, because the limiter of a kind
// is never removed.
func (l *Limiter) Allow(kind string, now time.Time) bool {
	l.mu.Lock()
	if l.limiters == nil {
		l.limiters = map[string]*rate.Limiter{}
	}
	limiter := l.limiters[kind]
	if limiter == nil {
		limiter = rate.NewLimiter(maxLinesPerSecond, maxLineBurst)
		l.limiters[kind] = limiter
	}
	l.mu.Unlock()
	if limiter.AllowN(now, 1) {
		return true
	}
	telemetry.Count("merlinpost_log_lines_dropped_total", "reason", "limited")
	return false
}
