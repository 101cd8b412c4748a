package lending

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/quota"
)

// home is a fake ledger.
type home func(quota.Ask) quota.Lent

func (h home) Lend(a quota.Ask) quota.Lent { return h(a) }
func (home) Close(quota.Closed)            {}
func (home) Heard(string)                  {}

func open(t *testing.T, lend home) *Post {
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
	home := open(t, func(a quota.Ask) quota.Lent { return quota.Lent{Seq: a.Seq, Granted: a.Team == "known", WaitMS: 7} })
	router := open(t, nil)
	lent, ok := router.Ask(context.Background(), home.Address(), quota.Ask{Seq: 1, Team: "known", Router: "r"})
	g.Expect(ok && lent.Granted).To(BeTrue())
	lent, ok = router.Ask(context.Background(), home.Address(), quota.Ask{Seq: 2, Team: "other", Router: "r"})
	g.Expect(ok).To(BeTrue())
	g.Expect(lent.Granted).To(BeFalse())
	g.Expect(lent.WaitMS).To(BeEquivalentTo(7))
}

func TestALostHomeGivesNoAnswerAndBrokenDatagramsNoHarm(t *testing.T) {
	g := NewWithT(t)
	home := open(t, func(a quota.Ask) quota.Lent { return quota.Lent{Seq: a.Seq, Granted: true} })
	router := open(t, nil)
	conn, err := net.Dial("udp", home.Address())
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = conn.Write([]byte{0xc1, 0xff, 0x00})
	g.Expect(err).NotTo(HaveOccurred())
	_, ok := router.Ask(context.Background(), home.Address(), quota.Ask{Seq: 3, Team: "t"})
	g.Expect(ok).To(BeTrue())
	_, ok = router.Ask(context.Background(), "127.0.0.1:1", quota.Ask{Seq: 4, Team: "t"})
	g.Expect(ok).To(BeFalse())
	g.Expect(router.waiting).To(BeEmpty())
}
