package lending

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/merlinpost/merlinpost/internal/quota"
)

// fakeHome answers grant requests with a function.
type fakeHome func(quota.GrantRequest) quota.GrantResponse

func (h fakeHome) Acquire(req quota.GrantRequest) quota.GrantResponse { return h(req) }
func (fakeHome) Release(quota.ReleaseNotice)                          {}
func (fakeHome) MarkReachable(string)                                 {}

func startTransport(t *testing.T, acquire fakeHome) *Transport {
	p, err := Open("127.0.0.1:0", acquire)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return p
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

// A home that receives a malformed datagram still answers the next request, and a request
// to an unreachable home times out without leaving state behind.
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
