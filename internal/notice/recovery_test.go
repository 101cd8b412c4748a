package notice

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/slowstart"
)

// recoveringRegistry returns a registry with a server whose backoff ends 1 s after its begin.
func recoveringRegistry() *testRegistry {
	r := newTestRegistry()
	r.RecordResponse(server, ResponseNotices{Backoff: time.Second}, at(-10), at(0))
	return r
}

// Guards against a burst to a server that has not responded since its backoff.
func TestServerRecoversBySlowStart(t *testing.T) {
	g := NewWithT(t)
	r := recoveringRegistry()
	g.Expect(r.Recovering(server, at(999))).To(BeFalse())
	ok, wait := r.BeginSend(server, at(999))
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeNil(), "the server is backing off")

	g.Expect(r.Recovering(server, at(1000))).To(BeTrue())
	ok, _ = r.BeginSend(server, at(1000))
	g.Expect(ok).To(BeTrue())
	ok, wait = r.BeginSend(server, at(1010))
	g.Expect(ok).To(BeFalse())
	g.Expect(wait.Max).To(Equal(slowstart.DoublingTime - 10*time.Millisecond))
	r.RecordResponse(server, ResponseNotices{}, at(990), at(1020)) // to a request that was sent during the backoff
	g.Expect(wait.Changed).NotTo(BeClosed())
	r.RecordResponse(server, ResponseNotices{}, at(1000), at(1030))
	g.Expect(wait.Changed).To(BeClosed())
	g.Expect(r.Recovering(server, at(1030))).To(BeFalse())
	for range 100 {
		ok, _ = r.BeginSend(server, at(1030))
		g.Expect(ok).To(BeTrue())
	}
}

// Guards against servers that stay idle because the first request after a backoff got no response.
func TestFailedSendLetsTheNextOneProceed(t *testing.T) {
	g := NewWithT(t)
	r := recoveringRegistry()
	ok, _ := r.BeginSend(server, at(1000))
	g.Expect(ok).To(BeTrue())
	_, wait := r.BeginSend(server, at(1001))
	r.EndSend(server, at(1000))
	g.Expect(wait.Changed).To(BeClosed())
	ok, _ = r.BeginSend(server, at(1002))
	g.Expect(ok).To(BeTrue())
}

func TestRepeatedBackoffStopsWaitingRequests(t *testing.T) {
	g := NewWithT(t)
	r := recoveringRegistry()
	ok, _ := r.BeginSend(server, at(1000))
	g.Expect(ok).To(BeTrue())
	_, wait := r.BeginSend(server, at(1001))
	r.RecordResponse(server, ResponseNotices{Backoff: time.Second}, at(1000), at(1010))
	g.Expect(wait.Changed).To(BeClosed())
	ok, wait = r.BeginSend(server, at(1011))
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(BeNil())
}

// Guards against keeping the state of servers that receive no requests or have terminated.
func TestRecoveryOfUnusedServersEnds(t *testing.T) {
	g := NewWithT(t)
	r := recoveringRegistry()
	listed := func(string) bool { return true }
	r.Sweep(listed, at(1000).Add(recoveryTTL))
	g.Expect(r.Recovering(server, at(2000))).To(BeTrue())
	r.Sweep(listed, at(1001).Add(recoveryTTL))
	g.Expect(r.Recovering(server, at(2000))).To(BeFalse())
	g.Expect(r.recoveries.empty()).To(BeTrue())
}
