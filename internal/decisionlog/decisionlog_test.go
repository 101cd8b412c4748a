package decisionlog

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stuck is a writer that does not return before it is let go.
type stuck struct {
	strings.Builder
	free chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return s.Builder.Write(p)
}

func TestLoggingNeverBlocks(t *testing.T) {
	g := NewWithT(t)
	out := &stuck{free: make(chan struct{})}
	w := NewWriter(out)
	logger := NewLogger(w)
	for i := range 3 * queueLines {
		logger.Info("line", "n", i)
	}
	close(out.free)
	w.Close()
	lines := strings.Count(out.String(), "\n")
	g.Expect(lines).To(BeNumerically(">=", queueLines))
	g.Expect(lines).To(BeNumerically("<=", queueLines+1))
	logger.Info("after the end") // is dropped, not a panic
}

func TestAllProcessesSampleTheSameIDs(t *testing.T) {
	g := NewWithT(t)
	kept := 0
	for i := range 16000 {
		if Sampled(fmt.Sprint("id", i), 16) {
			kept++
		}
	}
	g.Expect(kept).To(BeNumerically("~", 1000, 150))
	g.Expect(Sampled("x", 1)).To(BeTrue())
}

func TestAStormOfOneFailureDoesNotSilenceOthers(t *testing.T) {
	g := NewWithT(t)
	var l Limiter
	now, written := time.Unix(0, 0), 0
	for range 10000 {
		if l.Allow("unauthorized", now) {
			written++
		}
	}
	g.Expect(written).To(Equal(failureBurst))
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
