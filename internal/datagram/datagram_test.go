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
	var receiving sync.WaitGroup
	receiving.Go(func() {
		a.Receive(ctx, func(m message, from netip.AddrPort) {
			g.Expect(from.IsValid()).To(BeTrue())
			got <- m
		})
	})
	other.Send(7, a.Address()) // not a message of the receiver's type
	a.Send(message{"hello"}, a.Address())
	g.Eventually(got, 5*time.Second).Should(Receive(Equal(message{"hello"})))
	cancel()
	receiving.Wait()
	g.Expect(got).To(BeEmpty())
	a.Send(message{"late"}, other.Address()) // the socket is closed: the message is dropped
}

func TestInvalidAddressIsReported(t *testing.T) {
	g := NewWithT(t)
	for _, address := range []string{"", "nowhere", "300.1.1.1:1"} {
		_, err := Open[message](address, "test")
		g.Expect(fault.Is(err, fault.BadSettings)).To(BeTrue())
		g.Expect(err.Error()).To(ContainSubstring("peers.listen"))
	}
}

// Guards against incompatible releases: a decoder ignores unknown fields and leaves missing ones zero.
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
