// Package link runs one TCP connection of the wire protocol: the Hello handshake, a
// writer goroutine with a bounded send queue, heartbeats, and the detection of a peer
// that no longer sends.
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

// sendQueueSize is the number of messages that can wait for the writer. Chunks leave
// reservedSlots of it free for messages that must not be dropped.
const (
	sendQueueSize  = 2048
	controlReserve = 512
)

// idleIntervalFactor lengthens the heartbeat interval and the peer timeout of a link
// without requests. No caller waits for an answer on such a link, and the next offer
// detects a broken one.
const idleTimeFactor = 20

// Options configures a link.
type Options struct {
	// HeartbeatInterval is the longest time without a sent message on a link with
	// requests. PeerTimeout is the longest time without a received message before the
	// link is closed; it also limits the handshake and each write.
	HeartbeatInterval time.Duration
	PeerTimeout       time.Duration
	// NewHeartbeat returns the next heartbeat to send; the link sets NextMS.
	NewHeartbeat func() *wire.Heartbeat
}

// Conn is a link after a successful handshake.
type Conn struct {
	peer      wire.Hello
	netConn   *countingConn
	reader    *wire.Reader
	writer    *wire.Writer
	opts      Options
	sendQueue chan wire.Message
	closeOnce sync.Once
	done      chan struct{}
	// inFlight counts the requests on the link. peerBusy reports whether, by its last
	// heartbeat, the peer has requests on the link.
	activeRequests   atomic.Int64
	peerHasRequests  atomic.Bool
	heartbeatTrigger chan struct{} // signals the writer to send a heartbeat immediately
	// announcedInterval is the time until the next message that the last heartbeat
	// announced to the peer. Only the writer goroutine uses it.
	announcedInterval time.Duration
}

// countingConn adds the bytes that it reads and writes to bytesIn and bytesOut.
type countingConn struct{ net.Conn }

// bytesIn and bytesOut count the bytes of all links of the process.
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

// Open performs the handshake with the peer. It closes nc on failure.
func Open(nc net.Conn, self wire.Hello, opts Options) (*Conn, error) {
	c := &Conn{netConn: &countingConn{nc}, opts: opts, sendQueue: make(chan wire.Message, sendQueueSize), done: make(chan struct{}),
		heartbeatTrigger: make(chan struct{}, 1)}
	c.reader, c.writer = wire.NewReader(c.netConn), wire.NewWriter(c.netConn)
	self.Version = wire.Version
	if err := c.handshake(&self); err != nil {
		_ = nc.Close() // the handshake error is the one to report
		return nil, err
	}
	return c, nil
}

func (c *Conn) handshake(self *wire.Hello) error {
	if err := c.netConn.SetDeadline(time.Now().Add(c.opts.PeerTimeout)); err != nil {
		return fault.New(fault.LinkLost, "set deadline: %w", err)
	}
	if err := c.writer.Write(self); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return fault.New(fault.LinkLost, "send hello: %w", err)
	}
	m, err := c.reader.Read()
	if err != nil {
		return fault.New(fault.LinkLost, "read hello: %w", err)
	}
	hello, ok := m.(*wire.Hello)
	if !ok {
		return fault.New(fault.BadFrame, "first message has type %d, want hello", m.Type())
	}
	if hello.Version != wire.Version {
		return fault.New(fault.BadVersion, "peer %q uses protocol version %d, this process uses %d", hello.Name, hello.Version, wire.Version)
	}
	c.peer = *hello
	if err := c.netConn.SetDeadline(time.Time{}); err != nil {
		return fault.New(fault.LinkLost, "clear deadline: %w", err)
	}
	return nil
}

// Peer returns the Hello message of the peer.
func (c *Conn) Peer() wire.Hello { return c.peer }

// AddRequests adds n, which may be negative, to the number of requests on the link.
func (c *Conn) AddRequests(n int64) {
	if now := c.activeRequests.Add(n); n > 0 && now == n {
		c.TriggerHeartbeat()
		// A link with requests has a shorter timeout, so replace the pending read deadline.
		_ = c.netConn.SetReadDeadline(time.Now().Add(c.opts.PeerTimeout)) // fails only on a closed link, which ends by itself
	}
}

// TriggerHeartbeat sends a heartbeat immediately, because its content has changed.
func (c *Conn) TriggerHeartbeat() {
	select {
	case c.heartbeatTrigger <- struct{}{}:
	default: // a heartbeat is already pending
	}
}

// heartbeatInterval returns the current time between heartbeats.
func (c *Conn) heartbeatInterval() time.Duration {
	if c.activeRequests.Load() > 0 {
		return c.opts.HeartbeatInterval
	}
	return idleTimeFactor * c.opts.HeartbeatInterval
}

// readTimeout returns how long to wait for a message before closing the link.
func (c *Conn) readTimeout() time.Duration {
	if c.activeRequests.Load() > 0 || c.peerHasRequests.Load() {
		return c.opts.PeerTimeout
	}
	return idleTimeFactor * c.opts.PeerTimeout
}

// Done is closed when the link is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Send queues a message without blocking and reports whether it was queued. If the queue
// has no room for a chunk, the caller can send it later. If it has no room for any other
// message, the link is closed, and the peers resynchronize over the next link.
func (c *Conn) Send(m wire.Message) bool {
	if _, isChunk := m.(*wire.Chunk); isChunk && len(c.sendQueue) >= sendQueueSize-controlReserve {
		return false
	}
	select {
	case <-c.done:
		return false
	case c.sendQueue <- m:
		return true
	default:
		telemetry.Count("merlinpost_links_overrun_total")
		c.Close()
		return false
	}
}

func (c *Conn) Close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.netConn.Close() // nothing can be done about a failed close
	})
}

// Run starts the writer and passes each received message, including heartbeats, to handle
// until the link ends. It returns when the writer has ended too.
func (c *Conn) Run(ctx context.Context, handle func(wire.Message)) error {
	stop := context.AfterFunc(ctx, c.Close)
	defer stop()
	var writer sync.WaitGroup
	writer.Go(c.writeLoop)
	err := c.readLoop(handle)
	c.Close()
	writer.Wait()
	return err
}

func (c *Conn) readLoop(handle func(wire.Message)) error {
	for {
		if err := c.netConn.SetReadDeadline(time.Now().Add(c.readTimeout())); err != nil {
			return fault.New(fault.LinkLost, "set deadline: %w", err)
		}
		m, err := c.reader.Read()
		if err != nil {
			return classifyReadError(err)
		}
		if b, ok := m.(*wire.Heartbeat); ok {
			c.peerHasRequests.Store(b.NextMS <= c.opts.HeartbeatInterval.Milliseconds())
		}
		handle(m)
	}
}

func classifyReadError(err error) error {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		telemetry.Count("merlinpost_links_silent_total")
		return fault.New(fault.LinkLost, "no message from peer within the read timeout: %w", err)
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return fault.New(fault.LinkLost, "connection closed: %w", err)
	}
	return err
}

// write sends queued messages in batches, and a heartbeat if nothing was sent for the
// interval announced to the peer. The interval changes only with a heartbeat that
// announces the new one, so the peer always knows it.
func (c *Conn) writeLoop() {
	c.announcedInterval = c.heartbeatInterval()
	timer := time.NewTimer(c.announcedInterval)
	defer timer.Stop()
	defer c.Close()
	for {
		var m wire.Message
		select {
		case m = <-c.sendQueue:
		case <-timer.C:
			m = c.opts.NewHeartbeat()
		case <-c.heartbeatTrigger:
			m = c.opts.NewHeartbeat()
		case <-c.done:
			return
		}
		if c.writeBatch(m) != nil {
			return
		}
		timer.Reset(c.announcedInterval)
	}
}

// writeBatch writes m and all queued messages, then flushes.
func (c *Conn) writeBatch(m wire.Message) error {
	if err := c.netConn.SetWriteDeadline(time.Now().Add(c.opts.PeerTimeout)); err != nil {
		return err
	}
	for {
		if b, ok := m.(*wire.Heartbeat); ok {
			c.announcedInterval = c.heartbeatInterval()
			b.NextMS = c.announcedInterval.Milliseconds()
		}
		if err := c.writer.Write(m); err != nil {
			return err
		}
		select {
		case m = <-c.sendQueue:
			continue
		default:
		}
		return c.writer.Flush()
	}
}
