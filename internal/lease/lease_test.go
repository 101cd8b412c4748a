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

// startLog starts a fake log service and returns it together with a client for it.
func startLog(t *testing.T) (*logservice.Service, configlog.Log) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := logservice.New()
	address, err := standin.Serve(ctx, "127.0.0.1:0", s.Handler())
	if err != nil {
		t.Fatal(err)
	}
	return s, configlog.NewClient(address, time.Second)
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// acquireLease starts a Lease, waits until it is held and returns it with a channel that
// is closed when the lease is lost.
func acquireLease(t *testing.T, g Gomega, log configlog.Log, incarnation string) (*Lease, <-chan struct{}) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := New(log, "agent", incarnation, time.Hour, discardLogger())
	lost := make(chan struct{})
	go l.Run(ctx, func() { close(lost) })
	g.Eventually(l.Held()).Should(BeClosed())
	return l, lost
}

func TestLaterProcessTakesOver(t *testing.T) {
	g := NewWithT(t)
	_, log := startLog(t)
	first, lost := acquireLease(t, g, log, "one")
	g.Expect(first.FirstHolder()).To(BeTrue())
	g.Expect(first.VerifyHeld(context.Background())).To(BeTrue())
	second, _ := acquireLease(t, g, log, "two")
	g.Expect(second.FirstHolder()).To(BeFalse())
	g.Expect(second.FencingToken()).To(BeNumerically(">", first.FencingToken()))
	g.Eventually(lost).Should(BeClosed())
	g.Expect(first.Superseded()).To(BeTrue())
	g.Expect(first.VerifyHeld(context.Background())).To(BeFalse())
	g.Expect(second.VerifyHeld(context.Background())).To(BeTrue())
}

// If the response to its append is lost, a process finds its record by reading the log
// and does not append a second one.
func TestLostAppendResponseCreatesNoSecondRecord(t *testing.T) {
	g := NewWithT(t)
	s, log := startLog(t)
	s.SetFaults(logservice.Faults{DropResponses: true})
	l, _ := acquireLease(t, g, log, "one")
	g.Expect(l.FencingToken()).To(Equal(uint64(1)))
	_, _, err := configlog.ReadAll(context.Background(), log, configlog.LeaseStream("agent"), func(e configlog.Entry) {
		g.Expect(e.Offset).To(Equal(uint64(1)))
	})
	g.Expect(err).NotTo(HaveOccurred())
}

// While the log is unavailable, the lease cannot be verified, so VerifyHeld returns false
// and no command is sent.
func TestVerifyHeldFailsDuringLogOutage(t *testing.T) {
	g := NewWithT(t)
	s, log := startLog(t)
	l, _ := acquireLease(t, g, log, "one")
	s.SetFaults(logservice.Faults{Unavailable: true})
	g.Expect(l.VerifyHeld(context.Background())).To(BeFalse())
}
