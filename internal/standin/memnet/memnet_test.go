package memnet

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

const delay = time.Millisecond

// Two connections to a host share the bandwidth of its link, and the slower of the two hosts'
// links limits their rate.
func TestConnectionsShareLinkBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := New(delay)
		defer n.Close()
		slow, fast := n.Host(1e6), n.Host(10e6)
		listener := fast.Listen(80)
		start := time.Now()
		done := make(chan time.Duration)
		for range 2 {
			conn, err := slow.DialContext(context.Background(), "tcp", fast.Address(80).String())
			g.Expect(err).NotTo(HaveOccurred())
			sender, err := listener.Accept()
			g.Expect(err).NotTo(HaveOccurred())
			go func() {
				_, _ = sender.Write(make([]byte, 62_500)) // takes 0.5 s if it has the link to itself
				_ = sender.Close()
			}()
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				done <- time.Since(start)
			}()
		}
		g.Expect(max(<-done, <-done)).To(BeNumerically("~", time.Second+delay, 20*time.Millisecond))
	})
}

// A partition delays connections and drops datagrams.
func TestPartitionDelaysConnectionsAndDropsDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		n := New(delay)
		defer n.Close()
		a, b := n.Host(0), n.Host(0)
		listener := b.Listen(80)
		conn, err := a.DialContext(context.Background(), "tcp", b.Address(80).String())
		g.Expect(err).NotTo(HaveOccurred())
		remote, err := listener.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		from, to := a.ListenPacket(81), b.ListenPacket(81)

		n.SetPartitioned(a, b, true)
		_, err = from.WriteToUDPAddrPort([]byte("lost"), b.Address(81))
		g.Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err = a.DialContext(ctx, "tcp", b.Address(80).String())
		g.Expect(err).To(MatchError(context.DeadlineExceeded))

		time.AfterFunc(time.Second, func() { n.SetPartitioned(a, b, false) })
		start := time.Now()
		go func() { _, _ = conn.Write([]byte("delayed")) }()
		buf := make([]byte, 7)
		_, err = io.ReadFull(remote, buf)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(buf)).To(Equal("delayed"))
		g.Expect(time.Since(start)).To(BeNumerically(">=", time.Second))

		_, err = from.WriteToUDPAddrPort([]byte("next"), b.Address(81))
		g.Expect(err).NotTo(HaveOccurred())
		got, sender, err := to.ReadFromUDPAddrPort(buf)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(buf[:got])).To(Equal("next"))
		g.Expect(sender).To(Equal(a.Address(81)))

		_, err = a.DialContext(context.Background(), "tcp", b.Address(82).String())
		g.Expect(err).To(MatchError(errConnRefused))
	})
}
