// Package decisionlog writes structured log lines without ever holding up the
// code that logs: lines go through a bounded queue and are dropped, and counted,
// when it is full.
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

// queueLines bounds the lines that wait to be written: at some 300 bytes a line
// they take 150 KB.
const queueLines = 512

// Writer is an io.Writer that never blocks. Each Write is one line.
type Writer struct {
	lines chan []byte
	done  chan struct{}
}

// NewWriter starts writing to w. Close ends it.
func NewWriter(w io.Writer) *Writer {
	q := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run(w)
	return q
}

func (q *Writer) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		if _, err := w.Write(line); err != nil {
			telemetry.Count("merlinpost_log_lines_dropped_total", "reason", "write_failed")
		}
	}
}

// Write queues a copy of the line, or drops it when the queue is full.
func (q *Writer) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		telemetry.Count("merlinpost_log_lines_dropped_total", "reason", "queue_full")
	}
	return len(line), nil
}

// Close writes what is queued. Lines that come later are dropped.
func (q *Writer) Close() {
	q.lines <- nil
	<-q.done
}

// NewLogger returns a logger of JSON lines on the writer.
func NewLogger(q *Writer) *slog.Logger {
	return slog.New(slog.NewJSONHandler(q, &slog.HandlerOptions{Level: slog.LevelInfo}))
}

// Sampled reports whether the success of the request with this ID is logged when
// one in n is. All processes keep the same requests, because the choice goes by
// the ID.
func Sampled(id string, n uint64) bool { return n <= 1 || xxhash.Sum64String(id)%n == 0 }

const (
	// failuresPerSecond and failureBurst bound the lines about failures of one
	// kind: a storm of callers with an old key must not cost what serves the others.
	failuresPerSecond = 20
	failureBurst      = 100
)

// Limiter bounds the lines of each kind. It is safe for concurrent use.
type Limiter struct {
	mu    sync.Mutex
	kinds map[string]*rate.Limiter
}

// Allow reports whether a line of the kind may be written now. One that may not is
// counted. Kinds must come from a fixed set.
func (l *Limiter) Allow(kind string, now time.Time) bool {
	l.mu.Lock()
	if l.kinds == nil {
		l.kinds = map[string]*rate.Limiter{}
	}
	k := l.kinds[kind]
	if k == nil {
		k = rate.NewLimiter(failuresPerSecond, failureBurst)
		l.kinds[kind] = k
	}
	l.mu.Unlock()
	if k.AllowN(now, 1) {
		return true
	}
	telemetry.Count("merlinpost_log_lines_dropped_total", "reason", "limited")
	return false
}
