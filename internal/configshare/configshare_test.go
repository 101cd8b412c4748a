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

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// table is a version with so many routes; the first ones are the same in each version.
func table(version int64, routes int) *routing.Table {
	c := routing.Contents{Version: version, Teams: map[string]*routing.Team{}}
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

// pair is a gateway that serves and one that asks, on links of so many bits a second.
type pair struct {
	net           *memnet.Network
	at, asker     *memnet.Host
	server, asks  *Share
	serving       sync.WaitGroup
	stop          context.CancelFunc
	serverContext context.Context
}

// newPair must be called in a synctest bubble; end ends it.
func newPair(rate float64) (p *pair, end func()) {
	p = &pair{net: memnet.New(time.Millisecond)}
	p.at, p.asker = p.net.Host(rate), p.net.Host(rate)
	p.server, p.asks = New(p.at.DialContext, rate/1e6, quiet()), New(p.asker.DialContext, rate/1e6, quiet())
	p.serverContext, p.stop = context.WithCancel(context.Background())
	listener := p.at.Listen(port)
	p.serving.Go(func() { p.server.Serve(p.serverContext, listener) })
	return p, func() {
		p.stop()
		p.serving.Wait()
		p.net.Close()
		time.Sleep(2 * silence) // connections that were being opened
	}
}

func (p *pair) fetch(have *routing.Table) (Version, int, error) {
	return p.asks.Fetch(context.Background(), p.at.Address(port), have)
}

func TestWhatDiffersIsHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p, end := newPair(10e6)
		defer end()
		_, _, err := p.fetch(nil)
		g.Expect(fault.Is(err, fault.LinkBusy)).To(BeTrue()) // it has none itself

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

		v, whole, err := p.fetch(table(1, 10)) // a version that the other never had
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Table.Digest()).To(Equal(next.Digest()))
		g.Expect(fromOld).To(BeNumerically("<", whole/2))

		_, _, err = p.fetch(next)
		g.Expect(fault.Is(err, fault.LinkBusy)).To(BeTrue())
	})
}

// What a gateway hands on may take its link for 0.3 s; others then read the store.
func TestAGatewayThatSendsMuchSaysSo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p, end := newPair(2e6)
		defer end()
		p.server.Put(Version{Table: table(5, 4200), Next: logposition.Position{Offset: 9}})
		_, bytes, err := p.fetch(nil)
		g.Expect(err).NotTo(HaveOccurred())
		const asking = 8
		room := int(queue.Seconds() * 2e6 / 8 / float64(bytes))
		g.Expect(room).To(BeNumerically("<", asking))
		results := make(chan error, asking)
		for range asking {
			go func() {
				_, _, err := p.fetch(nil)
				results <- err
			}()
		}
		fetched := 0
		for range asking {
			if err := <-results; err == nil {
				fetched++
			} else {
				g.Expect(fault.Is(err, fault.LinkBusy)).To(BeTrue(), "%v", err)
			}
		}
		g.Expect(fetched).To(Equal(room))
		_, _, err = p.fetch(nil) // what was sent no longer counts
		g.Expect(err).NotTo(HaveOccurred())
	})
}

// A gateway that is cut off while it sends is given up after 0.3 s of silence; one over a slow
// link is not.
func TestSilenceEndsAFetchAndSlownessDoesNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p, end := newPair(0.5e6)
		defer end()
		p.server.linkMbps = 0 // takes any
		p.server.Put(Version{Table: table(5, 4200), Next: logposition.Position{Offset: 9}})
		start := time.Now()
		_, _, err := p.fetch(nil)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Since(start)).To(BeNumerically(">", 2*silence))

		time.AfterFunc(100*time.Millisecond, func() { p.net.SetPartitioned(p.at, p.asker, true) })
		start = time.Now()
		_, _, err = p.fetch(nil)
		g.Expect(fault.Is(err, fault.LinkLost)).To(BeTrue())
		g.Expect(time.Since(start)).To(BeNumerically("<", 100*time.Millisecond+2*silence))

		_, _, err = p.fetch(nil) // it can't even be dialled
		g.Expect(fault.Is(err, fault.LinkLost)).To(BeTrue())
	})
}

func TestOtherMessagesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New(time.Millisecond)
		odd, asker := network.Host(0), network.Host(0)
		listener := odd.Listen(port)
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
			_, _, err := New(asker.DialContext, 0, quiet()).Fetch(context.Background(), odd.Address(port), nil)
			g.Expect(fault.Is(err, fault.BadFrame)).To(BeTrue(), "%v", err)
		}
		network.Close()
		time.Sleep(2 * silence)
	})
}

// failing is a listener of which each other connection can't be taken.
type failing struct {
	net.Listener
	calls int
}

func (f *failing) Accept() (net.Conn, error) {
	f.calls++
	if f.calls%2 == 1 {
		return nil, errors.New("too many open files")
	}
	return f.Listener.Accept()
}

func TestServingGoesOnAfterAConnectionThatCouldNotBeTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		network := memnet.New(time.Millisecond)
		at, asker := network.Host(0), network.Host(0)
		share := New(at.DialContext, 0, quiet())
		share.Put(Version{Table: table(5, 1)})
		ctx, stop := context.WithCancel(context.Background())
		listener := &failing{Listener: at.Listen(port)}
		go share.Serve(ctx, listener)
		for range 3 {
			_, _, err := New(asker.DialContext, 0, quiet()).Fetch(context.Background(), at.Address(port), nil)
			g.Expect(err).NotTo(HaveOccurred())
		}
		stop()
		network.Close()
		time.Sleep(2 * silence)
	})
}

func TestServingEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		New(nil, 0, quiet()).Serve(ctx, listener)
		close(done)
	}()
	idle, err := net.Dial("tcp", listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = idle.Close() }()
	stop()
	g.Eventually(done).Should(BeClosed())
}

func TestAnyChangeIsDecodedOrRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if _, err := unpack(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")); err != nil && !fault.Is(err, fault.BadFrame) {
			t.Fatalf("untyped error %v", err)
		}
		packed, err := pack(routing.Diff(nil, table(1, 3)))
		if err != nil {
			t.Fatal(err)
		}
		packed[rapid.IntRange(0, len(packed)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		c, err := unpack(packed)
		if err != nil {
			return
		}
		if made, err := (*routing.Table)(nil).Apply(c); err == nil && made.Digest() != table(1, 3).Digest() {
			t.Fatal("a change that was garbled is applied")
		}
	})
}

// 1,400 routes and keys more than 2,800: 13 KB, 7.3 ms to make for all who ask, 7.6 ms to take
// over.
func BenchmarkHandingOn(b *testing.B) {
	old, next := table(1, 2800), table(2, 4200)
	packed, err := pack(routing.Diff(old, next))
	if err != nil {
		b.Fatal(err)
	}
	b.Run("make", func(b *testing.B) {
		for b.Loop() {
			packed, _ = pack(routing.Diff(old, next))
		}
		b.ReportMetric(float64(len(packed)), "bytes")
	})
	b.Run("take over", func(b *testing.B) {
		for b.Loop() {
			c, err := unpack(packed)
			if err == nil {
				_, err = old.Apply(c)
			}
			if err != nil {
				b.Fatal(err)
			}
		}
	})
}
