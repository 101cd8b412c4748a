package datagram

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/merlinpost/merlinpost/internal/fault"
)

type message struct{ Text string }

func TestMalformedMessagesAreDropped(t *testing.T) {
	g := NewWithT(t)
	a, err := Open[message]("127.0.0.1:0", "test_a")
	g.Expect(err).NotTo(HaveOccurred())
	other, err := Open[int]("127.0.0.1:0", "test_b")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	got := make(chan message, 10)
	var duty sync.WaitGroup
	duty.Go(func() {
		a.Receive(ctx, func(m message, from netip.AddrPort) {
			g.Expect(from.IsValid()).To(BeTrue())
			got <- m
		})
	})
	other.Send(7, a.Address()) // no message
	a.Send(message{"hello"}, a.Address())
	g.Eventually(got, 5*time.Second).Should(Receive(Equal(message{"hello"})))
	cancel()
	duty.Wait()
	g.Expect(got).To(BeEmpty())
	a.Send(message{"late"}, other.Address()) // the socket is closed: lost, no more
}

func TestInvalidAddressIsReported(t *testing.T) {
	g := NewWithT(t)
	for _, address := range []string{"", "nowhere", "300.1.1.1:1"} {
		_, err := Open[message](address, "test")
		g.Expect(fault.Is(err, fault.BadSettings)).To(BeTrue())
		g.Expect(err.Error()).To(ContainSubstring("peers.listen"))
	}
}

// Processes of two versions understand each other while fields keep their names.
func TestVersionsWithDifferentFieldsAreCompatible(t *testing.T) {
	g := NewWithT(t)
	type newer struct {
		Text  string
		Count int
	}
	data, err := msgpack.Marshal(newer{"a", 7})
	g.Expect(err).NotTo(HaveOccurred())
	var old message
	g.Expect(msgpack.Unmarshal(data, &old)).To(Succeed())
	g.Expect(old.Text).To(Equal("a"))
	data, err = msgpack.Marshal(message{"b"})
	g.Expect(err).NotTo(HaveOccurred())
	var now newer
	g.Expect(msgpack.Unmarshal(data, &now)).To(Succeed())
	g.Expect(now).To(Equal(newer{Text: "b"}))
}
