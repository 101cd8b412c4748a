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
	heartbeat = 20 * time.Millisecond
	silent    = 100 * time.Millisecond
)

// pair opens a link between two ends over a socket on the loopback.
func pair(g Gomega) (*Conn, *Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	opts := Options{HeartbeatInterval: heartbeat, PeerTimeout: silent, NewHeartbeat: func() *wire.Heartbeat { return &wire.Heartbeat{} }}
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

// A link stays up while it is idle, becomes busy, and is idle again, although
// its two ends then expect heartbeats at different times.
func TestLinkSurvivesChangesOfUse(t *testing.T) {
	g := NewWithT(t)
	a, b := pair(g)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var beats atomic.Int64
	ended := make(chan error, 2)
	go func() { ended <- a.Run(ctx, func(wire.Message) { beats.Add(1) }) }()
	go func() { ended <- b.Run(ctx, func(wire.Message) {}) }()
	b.Send(&wire.Heartbeat{}) // as an agent does at once
	for _, use := range []int64{1, -1, 1, 1, -2} {
		a.AddRequests(use)
		b.AddRequests(use)
		g.Consistently(func() int { return len(ended) }, 3*silent, heartbeat).Should(BeZero())
	}
	g.Eventually(beats.Load).Should(BeNumerically(">", 5))
}

// A link whose peer goes silent for good ends, soon if there are requests on it.
func TestSilentLinkEnds(t *testing.T) {
	g := NewWithT(t)
	a, b := pair(g) // b never runs: it reads and sends nothing
	defer b.Close()
	a.AddRequests(1)
	err := a.Run(context.Background(), func(wire.Message) {})
	g.Expect(fault.Is(err, fault.LinkLost)).To(BeTrue(), "%v", err)
}

func TestOtherVersionIsRefused(t *testing.T) {
	g := NewWithT(t)
	here, there := net.Pipe()
	go func() {
		w := wire.NewWriter(there)
		_ = w.Write(&wire.Hello{Version: wire.Version + 1, Name: "newer"}) // the reader's error is what is tested
		_ = w.Flush()
	}()
	go func() { _, _ = wire.NewReader(there).Read() }() // takes the other hello off the pipe
	_, err := Open(here, wire.Hello{Name: "a"}, Options{HeartbeatInterval: heartbeat, PeerTimeout: time.Second})
	g.Expect(fault.Is(err, fault.BadVersion)).To(BeTrue(), "%v", err)
}
