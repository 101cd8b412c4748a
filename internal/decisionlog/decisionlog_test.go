package decisionlog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedWriter is a writer whose Write blocks until unblock is closed.
type blockedWriter struct {
	strings.Builder
	unblock chan struct{}
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.Builder.Write(p)
}

func TestLoggingNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewWriter(out)
	logger := NewLogger(w)
	for i := range 3 * queueCapacity {
		logger.Info("line", "n", i)
	}
	close(out.unblock)
	w.Close()
	lines := strings.Count(out.String(), "\n")
	g.Expect(lines).To(BeNumerically(">=", queueCapacity))
	g.Expect(lines).To(BeNumerically("<=", queueCapacity+1))
	logger.Info("after close") // must not panic
}

func TestAllProcessesSampleTheSameIDs(t *testing.T) {
	g := NewWithT(t)
	sampled := 0
	for i := range 16000 {
		if Sampled(fmt.Sprint("id", i), 16) {
			sampled++
		}
	}
	g.Expect(sampled).To(BeNumerically("~", 1000, 150))
	g.Expect(Sampled("x", 1)).To(BeTrue())
}

func TestLimiterIsIndependentPerKind(t *testing.T) {
	g := NewWithT(t)
	var l Limiter
	now, written := time.Unix(0, 0), 0
	for range 10000 {
		if l.Allow("unauthorized", now) {
			written++
		}
	}
	g.Expect(written).To(Equal(maxLineBurst))
	g.Expect(l.Allow("link_lost", now)).To(BeTrue())
	g.Expect(l.Allow("unauthorized", now.Add(time.Second))).To(BeTrue())
}

func BenchmarkLine(b *testing.B) {
	w := NewWriter(&strings.Builder{})
	logger := NewLogger(w)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		logger.Info("request answered", "id", "9c41d07be2a35f68", "took", i, "route", "r-1", "status", 200)
	}
}
