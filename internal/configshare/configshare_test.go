package configshare

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/logposition"
	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/standin/memnet"
	"github.com/merlinpost/merlinpost/internal/wire"
)

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// table returns a version with the given number of routes. The first routes are the same in all
// versions.
func table(version int64, routes int) *routing.Table {
	c := routing.Config{Version: version, Teams: map[string]*routing.Team{}}
	for i := range routes {
		c.Routes = append(c.Routes, routing.Route{Name: fmt.Sprint("r-", i), Host: fmt.Sprintf("%d.example", i*7919%10007), PathPrefix: "/a/",
			Timeout: time.Second, Targets: []routing.Target{{Service: "s1", Weight: 1}}})
		c.Teams[fmt.Sprint("key-", i)] = &routing.Team{Name: fmt.Sprint("team-", i%20)}
	}
	t, err := routing.New(c)
	if err != nil {
		panic(err)
	}
	return t
}

const port = 7340

// pair is a gateway that serves its configuration and a client, on links with the same rate.
type pair struct {
	network                *memnet.Network
	serverHost, clientHost *memnet.Host
	server, client         *Share
	serving                sync.WaitGroup
	stop                   context.CancelFunc
	serverCtx              context.Context
}

// newPair starts a pair with links of the given rate in bit/s. It must be called in a synctest
// bubble; end stops the pair.
func newPair(rate float64) (p *pair, end func()) {
	p = &pair{network: memnet.New(time.Millisecond)}
	p.serverHost, p.clientHost = p.network.Host(rate), p.network.Host(rate)
	p.server, p.client = New(p.serverHost.DialContext, rate/1e6, discardLogger()), New(p.clientHost.DialContext, rate/1e6, discardLogger())
	p.serverCtx, p.stop = context.WithCancel(context.Background())
	listener := p.serverHost.Listen(port)
	p.serving.Go(func() { p.server.Serve(p.serverCtx, listener) })
	return p, func() {
		p.stop()
		p.serving.Wait()
		p.network.Close()
		time.Sleep(2 * idleTimeout) // for connections that were being opened
	}
}

func (p *pair) fetch(have *routing.Table) (Version, int, error) {
	return p.client.Fetch(context.Background(), p.serverHost.Address(port), have)
}

func TestFetchTransfersDifference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p, end := newPair(10e6)
		defer end()
		_, _, err := p.fetch(nil)
		g.Expect(fault.Is(err, fault.LinkBusy)).To(BeTrue()) // the server has no version yet

		old, next := table(3, 2800), table(5, 4200)
		p.server.Put(Version{Table: old, Next: logposition.Position{Offset: 7}, Bytes: 600_000})
		p.server.Put(Version{Table: next, Next: logposition.Position{Offset: 9}, Bytes: 900_000})
		start := time.Now()
		v, fromOld, err := p.fetch(old)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Table.Digest()).To(Equal(next.Digest()))
		g.Expect(v.Next.Offset).To(BeEquivalentTo(9))
		g.Expect(v.Bytes).To(Equal(900_000))
		g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond))

		v, whole, err := p.fetch(table(1, 10)) // a version that the server never had
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Table.Digest()).To(Equal(next.Digest()))
		g.Expect(fromOld).To(BeNumerically("<", whole/2))

		_, _, err = p.fetch(next)
		g.Expect(fault.Is(err, fault.LinkBusy)).To(BeTrue())
	})
}

// Replies may occupy a gateway's link for 0.3 s. Further peers are told that it is busy.
func TestBusyReplyIfSendBacklogIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p, end := newPair(2e6)
		defer end()
		p.server.Put(Version{Table: table(5, 4200), Next: logposition.Position{Offset: 9}})
		_, bytes, err := p.fetch(nil)
		g.Expect(err).NotTo(HaveOccurred())
		const clients = 8
		capacity := int(maxSendBacklog.Seconds() * 2e6 / 8 / float64(bytes))
		g.Expect(capacity).To(BeNumerically("<", clients))
		results := make(chan error, clients)
		for range clients {
			go func() {
				_, _, err := p.fetch(nil)
				results <- err
			}()
		}
		fetched := 0
		for range clients {
			if err := <-results; err == nil {
				fetched++
			} else {
				g.Expect(fault.Is(err, fault.LinkBusy)).To(BeTrue(), "%v", err)
			}
		}
		g.Expect(fetched).To(Equal(capacity))
		_, _, err = p.fetch(nil) // the replies are no longer in flight
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// A fetch fails after 0.3 s without data if the server is disconnected while it sends. A slow link
// does not make it fail.
func TestFetchEndsOnIdleTimeoutButNotOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p, end := newPair(0.5e6)
		defer end()
		p.server.linkMbps = 0 // no backlog limit
		p.server.Put(Version{Table: table(5, 4200), Next: logposition.Position{Offset: 9}})
		start := time.Now()
		_, _, err := p.fetch(nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(BeNumerically(">", 2*idleTimeout))

		time.AfterFunc(100*time.Millisecond, func() { p.network.SetPartitioned(p.serverHost, p.clientHost, true) })
		start = time.Now()
		_, _, err = p.fetch(nil)
		g.Expect(fault.Is(err, fault.LinkLost)).To(BeTrue())
		g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond+2*idleTimeout))

		_, _, err = p.fetch(nil) // the server can't be dialed
		g.Expect(fault.Is(err, fault.LinkLost)).To(BeTrue())
	})
}

func TestUnexpectedReplyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New(time.Millisecond)
		server, client := network.Host(0), network.Host(0)
		listener := server.Listen(port)
		replies := []wire.Message{&wire.Cancel{}, &wire.ConfigDeltaResponse{Delta: []byte("no change")}}
		go func() {
			for _, reply := range replies {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = read[*wire.ConfigDeltaRequest](conn)
				_ = send(conn, reply)
				_ = conn.Close()
			}
		}()
		for range replies {
			_, _, err := New(client.DialContext, 0, discardLogger()).Fetch(context.Background(), server.Address(port), nil)
			g.Expect(fault.Is(err, fault.BadFrame)).To(BeTrue(), "%v", err)
		}
		network.Close()
		time.Sleep(2 * idleTimeout)
	})
}

// failing is a listener for which every second Accept fails.
type failingListener struct {
	net.Listener
	calls int
}

func (f *failingListener) Accept() (net.Conn, error) {
	f.calls++
	if f.calls%2 == 1 {
		return nil, errors.New("too many open files")
	}
	return f.Listener.Accept()
}

func TestServeContinuesAfterAcceptError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New(time.Millisecond)
		server, client := network.Host(0), network.Host(0)
		share := New(server.DialContext, 0, discardLogger())
		share.Put(Version{Table: table(5, 1)})
		ctx, stop := context.WithCancel(context.Background())
		listener := &failingListener{Listener: server.Listen(port)}
		go share.Serve(ctx, listener)
		for range 3 {
			_, _, err := New(client.DialContext, 0, discardLogger()).Fetch(context.Background(), server.Address(port), nil)
			g.Expect(err).NotTo(HaveOccurred())
		}
		stop()
		network.Close()
		time.Sleep(2 * idleTimeout)
	})
}

func TestServeEndsWithContext(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		New(nil, 0, discardLogger()).Serve(ctx, listener)
		close(done)
	}()
	idle, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = idle.Close() }()
	stop()
	g.Eventually(done).Should(BeClosed())
}

func TestArbitraryChangeIsDecodedOrRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if _, err := decodeChange(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")); err != nil && !fault.Is(err, fault.BadFrame) {
			t.Fatalf("untyped error %v", err)
		}
		encoded, err := encodeChange(routing.Diff(nil, table(1, 3)))
		if err != nil {
			t.Fatal(err)
		}
		encoded[rapid.IntRange(0, len(encoded)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		c, err := decodeChange(encoded)
		if err != nil {
			return
		}
		if applied, err := (*routing.Table)(nil).Apply(c); err == nil && applied.Digest() != table(1, 3).Digest() {
			t.Fatal("a corrupted change was applied as a different table")
		}
	})
}

// The difference for 1,400 routes and keys more than 2,800: 13 KB, 7.3 ms to encode once for all
// peers, 7.6 ms to decode and apply.
func BenchmarkHandingOn(b *testing.B) {
	old, next := table(1, 2800), table(2, 4200)
	encoded, err := encodeChange(routing.Diff(old, next))
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			encoded, _ = encodeChange(routing.Diff(old, next))
		}
		b.ReportMetric(float64(len(encoded)), "bytes")
	})
	b.Run("decode and apply", func(b *testing.B) {
		for b.Loop() {
			c, err := decodeChange(encoded)
			if err == nil {
				_, err = old.Apply(c)
			}
			if err != nil {
				b.Fatal(err)
			}
		}
	})
}
