package lease

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/configlog"
	"github.com/merlinpost/merlinpost/internal/standin"
	"github.com/merlinpost/merlinpost/internal/standin/logservice"
)

// logClient starts a stand-in log and returns a client of it.
func logClient(t *testing.T) (*logservice.Service, configlog.Log) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := logservice.New()
	address, err := standin.Serve(ctx, "127.0.0.1:0", s.Handler())
	if err != nil {
		t.Fatal(err)
	}
	return s, configlog.NewClient(address, time.Second)
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// hold takes a lease and returns a channel that is closed when it is lost.
func hold(t *testing.T, g Gomega, log configlog.Log, incarnation string) (*Lease, <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := New(log, "agent", incarnation, time.Hour, quiet())
	lost := make(chan struct{})
	go l.Run(ctx, func() { close(lost) })
	g.Eventually(l.Held()).Should(BeClosed())
	return l, lost
}

func TestALaterProcessTakesOver(t *testing.T) {
	g := NewWithT(t)
	_, log := logClient(t)
	first, lost := hold(t, g, log, "one")
	g.Expect(first.FirstHolder()).To(BeTrue())
	g.Expect(first.VerifyHeld(context.Background())).To(BeTrue())
	second, _ := hold(t, g, log, "two")
	g.Expect(second.FirstHolder()).To(BeFalse())
	g.Expect(second.FencingToken()).To(BeNumerically(">", first.FencingToken()))
	g.Eventually(lost).Should(BeClosed())
	g.Expect(first.Superseded()).To(BeTrue())
	g.Expect(first.VerifyHeld(context.Background())).To(BeFalse())
	g.Expect(second.VerifyHeld(context.Background())).To(BeTrue())
}

// A lost answer does not make a second lease of the same process.
func TestALostAnswerIsSettledByReading(t *testing.T) {
	g := NewWithT(t)
	s, log := logClient(t)
	s.SetFaults(logservice.Faults{DropResponses: true})
	l, _ := hold(t, g, log, "one")
	g.Expect(l.FencingToken()).To(Equal(uint64(1)))
	_, _, err := configlog.ReadAll(context.Background(), log, configlog.LeaseStream("agent"), func(e configlog.Entry) {
		g.Expect(e.Offset).To(Equal(uint64(1)))
	})
	g.Expect(err).NotTo(HaveOccurred())
}

// While the log is out nothing is current: no order is given.
func TestNothingIsCurrentDuringAnOutage(t *testing.T) {
	g := NewWithT(t)
	s, log := logClient(t)
	l, _ := hold(t, g, log, "one")
	s.SetFaults(logservice.Faults{Unavailable: true})
	g.Expect(l.VerifyHeld(context.Background())).To(BeFalse())
}
