// Package link runs one TCP connection of the wire protocol: the exchange of
// Hello, a writer goroutine fed by a bounded ring, heartbeats, and the end of
// a link that went silent.
package link

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/telemetry"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// ringSize is how many messages wait for the writer. Chunks leave reserved
// places free for the messages that must not be dropped.
const (
	ringSize = 2048
	reserved = 512
)

// idleFactor is how much rarer the heartbeats of a link without requests are:
// nobody waits for an answer on it, and an offer finds out by itself.
const idleFactor = 20

// Options is the timing of a link.
type Options struct {
	// Heartbeat is the longest time that a link with requests on it sends
	// nothing, Silent the longest that it may bring nothing.
	HeartbeatInterval time.Duration
	PeerTimeout       time.Duration
	// Beat makes the heartbeat; the link fills in NextMS.
	NewHeartbeat func() *wire.Heartbeat
}

// Conn is a link after the exchange of Hello.
type Conn struct {
	peer wire.Hello
	nc   *countingConn
	r    *wire.Reader
	w    *wire.Writer
	opts Options
	ring chan wire.Message
	once sync.Once
	done chan struct{}
	// open counts the requests on the link; peerBusy is what the peer's last
	// heartbeat implied of its own count.
	open     atomic.Int64
	peerBusy atomic.Bool
	wake     chan struct{} // a heartbeat is due at once
	// announced is the time to the next message that the peer was told; it
	// belongs to the writer.
	announced time.Duration
}

// countingConn counts the bytes of all links of the process.
type countingConn struct{ net.Conn }

// bytesIn and bytesOut count the bytes of all links.
var bytesIn, bytesOut atomic.Uint64

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesIn.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesOut.Add(uint64(n))
	return n, err
}

var (
	_ = metrics.NewGauge(`merlinpost_link_bytes{direction="in"}`, func() float64 { return float64(bytesIn.Load()) })
	_ = metrics.NewGauge(`merlinpost_link_bytes{direction="out"}`, func() float64 { return float64(bytesOut.Load()) })
)

// Open exchanges Hello with the peer. It closes nc on failure.
func Open(nc net.Conn, self wire.Hello, opts Options) (*Conn, error) {
	c := &Conn{nc: &countingConn{nc}, opts: opts, ring: make(chan wire.Message, ringSize), done: make(chan struct{}),
		wake: make(chan struct{}, 1)}
	c.r, c.w = wire.NewReader(c.nc), wire.NewWriter(c.nc)
	self.Version = wire.Version
	if err := c.handshake(&self); err != nil {
		_ = nc.Close() // the handshake's error is the one to report
		return nil, err
	}
	return c, nil
}

func (c *Conn) handshake(self *wire.Hello) error {
	if err := c.nc.SetDeadline(time.Now().Add(c.opts.PeerTimeout)); err != nil {
		return fault.New(fault.LinkLost, "set deadline: %w", err)
	}
	if err := c.w.Write(self); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return fault.New(fault.LinkLost, "send hello: %w", err)
	}
	m, err := c.r.Read()
	if err != nil {
		return fault.New(fault.LinkLost, "read hello: %w", err)
	}
	hello, ok := m.(*wire.Hello)
	if !ok {
		return fault.New(fault.BadFrame, "the first message has type %d, not hello", m.Type())
	}
	if hello.Version != wire.Version {
		return fault.New(fault.BadVersion, "peer %q speaks version %d, this process %d", hello.Name, hello.Version, wire.Version)
	}
	c.peer = *hello
	if err := c.nc.SetDeadline(time.Time{}); err != nil {
		return fault.New(fault.LinkLost, "clear deadline: %w", err)
	}
	return nil
}

// Peer returns the other end's Hello.
func (c *Conn) Peer() wire.Hello { return c.peer }

// Use counts n requests onto the link or, if negative, off it.
func (c *Conn) AddRequests(n int64) {
	if now := c.open.Add(n); n > 0 && now == n {
		c.TriggerHeartbeat()
		// The peer's next message is due soon now.
		_ = c.nc.SetReadDeadline(time.Now().Add(c.opts.PeerTimeout)) // a closed link ends by itself
	}
}

// Poke sends a heartbeat at once, because what it says has changed.
func (c *Conn) TriggerHeartbeat() {
	select {
	case c.wake <- struct{}{}:
	default: // one is due already
	}
}

// beatEvery returns the present time between heartbeats.
func (c *Conn) beatEvery() time.Duration {
	if c.open.Load() > 0 {
		return c.opts.HeartbeatInterval
	}
	return idleFactor * c.opts.HeartbeatInterval
}

// silentFor returns how long the link may bring nothing.
func (c *Conn) silentFor() time.Duration {
	if c.open.Load() > 0 || c.peerBusy.Load() {
		return c.opts.PeerTimeout
	}
	return idleFactor * c.opts.PeerTimeout
}

// Done is closed when the link is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Send queues a message without blocking. A chunk that finds no room is
// refused and can be sent later. Any other message that finds no room closes
// the link: its state is settled again over the next one.
func (c *Conn) Send(m wire.Message) bool {
	if _, isChunk := m.(*wire.Chunk); isChunk && len(c.ring) >= ringSize-reserved {
		return false
	}
	select {
	case <-c.done:
		return false
	case c.ring <- m:
		return true
	default:
		telemetry.Count("merlinpost_links_overrun_total")
		c.Close()
		return false
	}
}

// Close ends the link.
func (c *Conn) Close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.nc.Close() // there is nothing to do about a failed close
	})
}

// Run reads messages until the link ends and gives each to handle, but for
// heartbeats of no load. It starts the writer and waits for it.
func (c *Conn) Run(ctx context.Context, handle func(wire.Message)) error {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	var writer sync.WaitGroup
	writer.Go(c.write)
	err := c.read(handle)
	c.Close()
	writer.Wait()
	return err
}

func (c *Conn) read(handle func(wire.Message)) error {
	for {
		if err := c.nc.SetReadDeadline(time.Now().Add(c.silentFor())); err != nil {
			return fault.New(fault.LinkLost, "set deadline: %w", err)
		}
		m, err := c.r.Read()
		if err != nil {
			return readError(err)
		}
		if b, ok := m.(*wire.Heartbeat); ok {
			c.peerBusy.Store(b.NextMS <= c.opts.HeartbeatInterval.Milliseconds())
		}
		handle(m)
	}
}

func readError(err error) error {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		telemetry.Count("merlinpost_links_silent_total")
		return fault.New(fault.LinkLost, "the link went silent: %w", err)
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return fault.New(fault.LinkLost, "the link was closed: %w", err)
	}
	return err
}

// write sends the ring's messages, many to a flush, and a heartbeat when there
// was nothing to send for the time announced to the peer. A heartbeat is the
// only place where that time changes, so the peer always knows it.
func (c *Conn) write() {
	c.announced = c.beatEvery()
	timer := time.NewTimer(c.announced)
	defer timer.Stop()
	defer c.Close()
	for {
		var m wire.Message
		select {
		case m = <-c.ring:
		case <-timer.C:
			m = c.opts.NewHeartbeat()
		case <-c.wake:
			m = c.opts.NewHeartbeat()
		case <-c.done:
			return
		}
		if c.writeBatch(m) != nil {
			return
		}
		timer.Reset(c.announced)
	}
}

// writeBatch writes m and what else waits, then flushes.
func (c *Conn) writeBatch(m wire.Message) error {
	if err := c.nc.SetWriteDeadline(time.Now().Add(c.opts.PeerTimeout)); err != nil {
		return err
	}
	for {
		if b, ok := m.(*wire.Heartbeat); ok {
			c.announced = c.beatEvery()
			b.NextMS = c.announced.Milliseconds()
		}
		if err := c.w.Write(m); err != nil {
			return err
		}
		select {
		case m = <-c.ring:
			continue
		default:
		}
		return c.w.Flush()
	}
}
