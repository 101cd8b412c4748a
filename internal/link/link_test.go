package link

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/wire"
)

const (
	heartbeatInterval = 20 * time.Millisecond
	peerTimeout       = 100 * time.Millisecond
)

// pair opens a link over the loopback interface and returns both ends.
func openPair(g Gomega) (*Conn, *Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	opts := Options{HeartbeatInterval: heartbeatInterval, PeerTimeout: peerTimeout, NewHeartbeat: func() *wire.Heartbeat { return &wire.Heartbeat{} }}
	type opened struct {
		c   *Conn
		err error
	}
	other := make(chan opened, 1)
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			other <- opened{nil, err}
			return
		}
		c, err := Open(nc, wire.Hello{Name: "b"}, opts)
		other <- opened{c, err}
	}()
	nc, err := net.Dial("tcp", ln.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	a, err := Open(nc, wire.Hello{Name: "a"}, opts)
	g.Expect(err).NotTo(HaveOccurred())
	b := <-other
	g.Expect(b.err).NotTo(HaveOccurred())
	return a, b.c
}

// A link stays up when it changes between idle and busy, although its two ends change
// their heartbeat intervals and timeouts at different times.
func TestLinkSurvivesIdleAndBusyPhases(t *testing.T) {
	g := NewWithT(t)
	a, b := openPair(g)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var received atomic.Int64
	ended := make(chan error, 2)
	go func() { ended <- a.Run(ctx, func(wire.Message) { received.Add(1) }) }()
	go func() { ended <- b.Run(ctx, func(wire.Message) {}) }()
	b.Send(&wire.Heartbeat{}) // an agent sends a heartbeat immediately
	for _, change := range []int64{1, -1, 1, 1, -2} {
		a.AddRequests(change)
		b.AddRequests(change)
		g.Consistently(func() int { return len(ended) }, 3*peerTimeout, heartbeatInterval).Should(BeZero())
	}
	g.Eventually(received.Load).Should(BeNumerically(">", 5))
}

// A link with requests ends within the peer timeout when the peer stops sending.
func TestLinkEndsWhenPeerStopsSending(t *testing.T) {
	g := NewWithT(t)
	a, b := openPair(g) // b does not run, so it neither reads nor sends
	defer b.Close()
	a.AddRequests(1)
	err := a.Run(context.Background(), func(wire.Message) {})
	g.Expect(fault.Is(err, fault.LinkLost)).To(BeTrue(), "%v", err)
}

func TestOtherProtocolVersionIsRejected(t *testing.T) {
	g := NewWithT(t)
	here, there := net.Pipe()
	go func() {
		w := wire.NewWriter(there)
		_ = w.Write(&wire.Hello{Version: wire.Version + 1, Name: "newer"}) // the test checks the error of the reader
		_ = w.Flush()
	}()
	go func() { _, _ = wire.NewReader(there).Read() }() // unblocks the Hello sent by Open
	_, err := Open(here, wire.Hello{Name: "a"}, Options{HeartbeatInterval: heartbeatInterval, PeerTimeout: time.Second})
	g.Expect(fault.Is(err, fault.BadVersion)).To(BeTrue(), "%v", err)
}
