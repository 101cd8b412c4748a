package lending

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/quota"
)

// home is a fake ledger.
type home func(quota.GrantRequest) quota.GrantResponse

func (h home) Acquire(a quota.GrantRequest) quota.GrantResponse { return h(a) }
func (home) Release(quota.ReleaseNotice)                        {}
func (home) MarkReachable(string)                               {}

func open(t *testing.T, lend home) *Transport {
	p, err := Open("127.0.0.1:0", lend)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { p.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return p
}

func TestAskIsAnsweredByTheHome(t *testing.T) {
	g := NewWithT(t)
	home := open(t, func(a quota.GrantRequest) quota.GrantResponse {
		return quota.GrantResponse{Seq: a.Seq, Granted: a.Team == "known", RetryAfterMS: 7}
	})
	router := open(t, nil)
	lent, ok := router.Acquire(context.Background(), home.Address(), quota.GrantRequest{Seq: 1, Team: "known", Router: "r"})
	g.Expect(ok && lent.Granted).To(BeTrue())
	lent, ok = router.Acquire(context.Background(), home.Address(), quota.GrantRequest{Seq: 2, Team: "other", Router: "r"})
	g.Expect(ok).To(BeTrue())
	g.Expect(lent.Granted).To(BeFalse())
	g.Expect(lent.RetryAfterMS).To(BeEquivalentTo(7))
}

func TestALostHomeGivesNoAnswerAndBrokenDatagramsNoHarm(t *testing.T) {
	g := NewWithT(t)
	home := open(t, func(a quota.GrantRequest) quota.GrantResponse { return quota.GrantResponse{Seq: a.Seq, Granted: true} })
	router := open(t, nil)
	conn, err := net.Dial("udp", home.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = conn.Write([]byte{0xc1, 0xff, 0x00})
	g.Expect(err).NotTo(HaveOccurred())
	_, ok := router.Acquire(context.Background(), home.Address(), quota.GrantRequest{Seq: 3, Team: "t"})
	g.Expect(ok).To(BeTrue())
	_, ok = router.Acquire(context.Background(), "127.0.0.1:1", quota.GrantRequest{Seq: 4, Team: "t"})
	g.Expect(ok).To(BeFalse())
	g.Expect(router.waiting).To(BeEmpty())
}
