package lending

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/merlinpost/merlinpost/internal/quota"
)

// fakeHome is a Home that responds to grant requests with the result of a function.
type fakeHome func(quota.GrantRequest) quota.GrantResponse

func (h fakeHome) Acquire(req quota.GrantRequest) quota.GrantResponse { return h(req) }
func (fakeHome) Release(quota.ReleaseNotice)                          {}
func (fakeHome) MarkReachable(string)                                 {}

func startTransport(t *testing.T, acquire fakeHome) *Transport { return startTransportOf(t, acquire) }

func startTransportOf(t *testing.T, home Home) *Transport {
	transport, err := Open("127.0.0.1:0", home)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { transport.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return transport
}

func TestAcquireReturnsResponseOfHome(t *testing.T) {
	g := NewWithT(t)
	home := startTransport(t, func(req quota.GrantRequest) quota.GrantResponse {
		return quota.GrantResponse{Seq: req.Seq, Granted: req.Team == "known", RetryAfterMS: 7}
	})
	router := startTransport(t, nil)
	resp, ok := router.Acquire(context.Background(), home.Address(), quota.GrantRequest{Seq: 1, Team: "known", Router: "r"})
	g.Expect(ok && resp.Granted).To(BeTrue())
	resp, ok = router.Acquire(context.Background(), home.Address(), quota.GrantRequest{Seq: 2, Team: "other", Router: "r"})
	g.Expect(ok).To(BeTrue())
	g.Expect(resp.Granted).To(BeFalse())
	g.Expect(resp.RetryAfterMS).To(BeEquivalentTo(7))
}

// orderedHome is a Home that records the order of its calls. Its first Acquire call blocks until proceed is closed.
type orderedHome struct {
	proceed chan struct{}
	calls   chan string
}

func (h orderedHome) Acquire(req quota.GrantRequest) quota.GrantResponse {
	<-h.proceed
	h.calls <- fmt.Sprint("acquire ", req.Seq)
	return quota.GrantResponse{Seq: req.Seq, Granted: true}
}

func (h orderedHome) Release(n quota.ReleaseNotice) { h.calls <- fmt.Sprint("release ", n.Seqs) }
func (orderedHome) MarkReachable(string)            {}

// Guards against grants that are never released: a router that has given up on a stalled home sends it the release
// notice after the request, and the home processed the notice first.
func TestReleaseDoesNotOvertakeItsRequest(t *testing.T) {
	g := NewWithT(t)
	home := orderedHome{make(chan struct{}), make(chan string, 10)}
	transport := startTransportOf(t, home)
	proceed := sync.OnceFunc(func() { close(home.proceed) })
	t.Cleanup(proceed)
	router := startTransport(t, nil)
	for seq := range uint64(2) {
		_, ok := router.Acquire(context.Background(), transport.Address(), quota.GrantRequest{Seq: seq, Team: "t"})
		g.Expect(ok).To(BeFalse())
		router.Release(transport.Address(), quota.ReleaseNotice{Team: "t", Seqs: []uint64{seq}})
	}
	g.Consistently(home.calls, 100*time.Millisecond).ShouldNot(Receive(), "the first request has not been decided")
	proceed()
	for _, call := range []string{"acquire 0", "release [0]", "acquire 1", "release [1]"} {
		g.Eventually(home.calls).Should(Receive(Equal(call)))
	}
}

// Guards against a home that stops responding after a malformed datagram, and against
// leaking the state of a request that times out.
func TestAcquireSurvivesMalformedDatagramsAndTimesOut(t *testing.T) {
	g := NewWithT(t)
	home := startTransport(t, func(req quota.GrantRequest) quota.GrantResponse {
		return quota.GrantResponse{Seq: req.Seq, Granted: true}
	})
	router := startTransport(t, nil)
	conn, err := net.Dial("udp", home.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = conn.Write([]byte{0xc1, 0xff, 0x00})
	g.Expect(err).NotTo(HaveOccurred())
	_, ok := router.Acquire(context.Background(), home.Address(), quota.GrantRequest{Seq: 3, Team: "t"})
	g.Expect(ok).To(BeTrue())
	_, ok = router.Acquire(context.Background(), "127.0.0.1:1", quota.GrantRequest{Seq: 4, Team: "t"})
	g.Expect(ok).To(BeFalse())
	g.Expect(router.pendingResponses).To(BeEmpty())
}

// Datagrams are encoded by field name. A renamed field without a tag would make routers of
// different releases ignore each other's messages.
func TestFieldNamesInDatagramsAreStable(t *testing.T) {
	g := NewWithT(t)
	data, err := msgpack.Marshal(message{Request: &quota.GrantRequest{}, Response: &quota.GrantResponse{},
		Release: &quota.ReleaseNotice{}})
	g.Expect(err).NotTo(HaveOccurred())
	var fields map[string]any
	g.Expect(msgpack.Unmarshal(data, &fields)).To(Succeed())
	g.Expect(fields).To(And(HaveLen(4), HaveKeyWithValue("Ping", "")))
	g.Expect(fields["Ask"]).To(And(HaveLen(3), HaveKey("Seq"), HaveKey("Team"), HaveKey("Router")))
	g.Expect(fields["Lent"]).To(And(HaveLen(4), HaveKey("Seq"), HaveKey("Granted"), HaveKey("Rate"), HaveKey("WaitMS")))
	g.Expect(fields["Closed"]).To(And(HaveLen(3), HaveKey("Team"), HaveKey("Router"), HaveKey("Seqs")))
}
