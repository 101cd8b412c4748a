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

// Options is the timing of a link.
type Options struct {
	Heartbeat time.Duration
	Silent    time.Duration
	// Beat makes the heartbeat.
	Beat func() *wire.Beat
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

// Bytes returns the bytes read from and written to all links so far.
func Bytes() (in, out uint64) { return bytesIn.Load(), bytesOut.Load() }

// Open exchanges Hello with the peer. It closes nc on failure.
func Open(nc net.Conn, self wire.Hello, opts Options) (*Conn, error) {
	c := &Conn{nc: &countingConn{nc}, opts: opts, ring: make(chan wire.Message, ringSize), done: make(chan struct{})}
	c.r, c.w = wire.NewReader(c.nc), wire.NewWriter(c.nc)
	self.Version = wire.Version
	if err := c.handshake(&self); err != nil {
		_ = nc.Close() // the handshake's error is the one to report
		return nil, err
	}
	return c, nil
}

func (c *Conn) handshake(self *wire.Hello) error {
	if err := c.nc.SetDeadline(time.Now().Add(c.opts.Silent)); err != nil {
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
		if err := c.nc.SetReadDeadline(time.Now().Add(c.opts.Silent)); err != nil {
			return fault.New(fault.LinkLost, "set deadline: %w", err)
		}
		m, err := c.r.Read()
		if err != nil {
			return readError(err)
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

// write sends the ring's messages, many to a flush, and heartbeats.
func (c *Conn) write() {
	beat := time.NewTicker(c.opts.Heartbeat)
	defer beat.Stop()
	defer c.Close()
	for {
		var m wire.Message
		select {
		case m = <-c.ring:
		case <-beat.C:
			m = c.opts.Beat()
		case <-c.done:
			return
		}
		if c.writeBatch(m) != nil {
			return
		}
	}
}

// writeBatch writes m and what else waits, then flushes.
func (c *Conn) writeBatch(m wire.Message) error {
	if err := c.nc.SetWriteDeadline(time.Now().Add(c.opts.Silent)); err != nil {
		return err
	}
	for {
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
