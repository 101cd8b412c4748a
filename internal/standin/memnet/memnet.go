// Package memnet is an in-memory network with datagrams and connections between hosts. Links
// have a bandwidth and a delay, and paths can be interrupted to simulate partitions. It
// blocks only on channels and timers, so that it works in a testing/synctest bubble, where
// time advances only while all goroutines are blocked.
package memnet

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// segmentBytes is the maximum number of bytes of a connection that cross a link at once.
	segmentBytes = 2 << 10
	// queueLength is the capacity of the receive queue of a PacketConn and of a listener's backlog.
	queueLength = 1024
)

// Network connects hosts. It is safe for concurrent use.
type Network struct {
	delay time.Duration

	mu             sync.Mutex
	hosts          []*Host
	packetConns    map[netip.AddrPort]*PacketConn
	listeners      map[netip.AddrPort]*listener
	partitioned    map[[2]*Host]bool
	partitionEnded chan struct{} // closed and replaced when a partition ends
	conns          []*conn
	closed         bool
}

// New returns a network without hosts. Each message takes delay in addition to its
// transmission time on the links.
func New(delay time.Duration) *Network {
	return &Network{delay: delay, packetConns: map[netip.AddrPort]*PacketConn{}, listeners: map[netip.AddrPort]*listener{},
		partitioned: map[[2]*Host]bool{}, partitionEnded: make(chan struct{})}
}

// Close closes all connections and rejects new ones.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, c := range n.conns {
		_ = c.Close() // closing a net.Pipe does not fail
	}
}

// addConns registers both ends of a connection. It returns false if the network is closed.
func (n *Network) registerConns(ends ...*conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, ends...)
	return !n.closed
}

// Host is a host of the network.
type Host struct {
	network       *Network
	ip            netip.Addr
	bitsPerSecond float64   // of the link; 0 means unlimited
	busyUntil     time.Time // end of the current transmission to the host
	receivedBytes int
}

// Host adds a host whose link has the given bandwidth; 0 means unlimited.
func (n *Network) Host(bitsPerSecond float64) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &Host{network: n, ip: netip.AddrFrom4([4]byte{10, 0, byte(len(n.hosts) / 250), byte(1 + len(n.hosts)%250)}), bitsPerSecond: bitsPerSecond}
	n.hosts = append(n.hosts, h)
	return h
}

// Address returns the host's IP address with the given port.
func (h *Host) Address(port uint16) netip.AddrPort { return netip.AddrPortFrom(h.ip, port) }

// Received returns the number of bytes that the host has received over connections.
func (h *Host) ReceivedBytes() int {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return h.receivedBytes
}

// SetPartitioned interrupts the path between two hosts or restores it. While it is
// interrupted, data on connections is delayed and datagrams are lost.
func (n *Network) SetPartitioned(a, b *Host, interrupted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]*Host{a, b}], n.partitioned[[2]*Host{b, a}] = interrupted, interrupted
	if !interrupted {
		close(n.partitionEnded)
		n.partitionEnded = make(chan struct{})
	}
}

// partitionHealed returns a channel that is closed when a partition ends, or nil if the path
// between the two hosts is not interrupted. Any partition's end closes the channel, so
// callers must check again.
func (n *Network) partitionEnd(from, to *Host) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitioned[[2]*Host{from, to}] {
		return n.partitionEnded
	}
	return nil
}

// reserveLink reserves the link to a host for a number of bytes and returns the time at which
// their transmission ends. The slower of the two hosts' links determines the bandwidth.
func (n *Network) reserveLink(from, to *Host, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	to.receivedBytes += bytes
	now := time.Now()
	if to.busyUntil.Before(now) {
		to.busyUntil = now
	}
	bandwidth := to.bitsPerSecond
	if from.bitsPerSecond > 0 && (bandwidth == 0 || from.bitsPerSecond < bandwidth) {
		bandwidth = from.bitsPerSecond
	}
	if bandwidth > 0 {
		to.busyUntil = to.busyUntil.Add(time.Duration(float64(8*bytes) / bandwidth * float64(time.Second)))
	}
	return to.busyUntil
}

// PacketConn sends and receives datagrams at an address of a host.
type PacketConn struct {
	host         *Host
	address      netip.AddrPort
	receiveQueue chan datagram
	closed       chan struct{}
	once         sync.Once
}

type datagram struct {
	data []byte
	from netip.AddrPort
}

// ListenPacket opens a port of the host for datagrams.
func (h *Host) ListenPacket(port uint16) *PacketConn {
	p := &PacketConn{host: h, address: h.Address(port), receiveQueue: make(chan datagram, queueLength), closed: make(chan struct{})}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.packetConns[p.address] = p
	return p
}

// ReadFromUDPAddrPort waits for a datagram.
func (p *PacketConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case m := <-p.receiveQueue:
		return copy(b, m.data), m.from, nil
	case <-p.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort sends a datagram. It is lost without an error if nothing listens at the
// destination, the path is interrupted, or the receive queue is full.
func (p *PacketConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n := p.host.network
	n.mu.Lock()
	receiver := n.packetConns[to]
	lost := receiver == nil || n.partitioned[[2]*Host{p.host, receiver.host}]
	n.mu.Unlock()
	if !lost {
		m := datagram{append([]byte(nil), b...), p.address}
		time.AfterFunc(n.delay, func() {
			select {
			case receiver.receiveQueue <- m:
			default: // the receive queue is full
			}
		})
	}
	return len(b), nil
}

func (p *PacketConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.address) }

// Close makes pending and future reads return net.ErrClosed.
func (p *PacketConn) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

type listener struct {
	host    *Host
	address netip.AddrPort
	backlog chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Listen opens a port of the host for connections.
func (h *Host) Listen(port uint16) net.Listener {
	l := &listener{host: h, address: h.Address(port), backlog: make(chan net.Conn, queueLength), closed: make(chan struct{})}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.listeners[l.address] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// errConnRefused is the error for a dial to a port without a listener.
var errConnRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

// DialContext opens a connection to an IP:PORT. While the path is interrupted, it waits for
// its restoration or the end of ctx.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	h.network.mu.Lock()
	l := h.network.listeners[to]
	h.network.mu.Unlock()
	if l == nil {
		return nil, errConnRefused
	}
	for healed := h.network.partitionEnd(h, l.host); healed != nil; healed = h.network.partitionEnd(h, l.host) {
		select {
		case <-healed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	select {
	case <-l.closed:
		return nil, errConnRefused
	default:
	}
	localPipe, remotePipe := net.Pipe()
	shared := &closeSignal{closed: make(chan struct{})}
	local, remote := &conn{Conn: localPipe, closeSignal: shared, from: h, to: l.host}, &conn{Conn: remotePipe, closeSignal: shared, from: l.host, to: h}
	if !h.network.registerConns(local, remote) {
		return nil, errConnRefused
	}
	select {
	case l.backlog <- remote:
		return local, nil
	case <-l.closed:
		return nil, errConnRefused
	}
}

// closeSignal is shared by both ends of a connection and signals that it is closed.
type closeSignal struct {
	closed chan struct{}
	once   sync.Once
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	*closeSignal
	from, to *Host
}

// Write sends b in segments, after the network's delay and at the bandwidth of the slower
// link.
func (c *conn) Write(b []byte) (sent int, err error) {
	timer := time.NewTimer(c.from.network.delay)
	defer timer.Stop()
	for len(b) > 0 {
		if err := waitFor(c, timer.C); err != nil {
			return sent, err
		}
		for healed := c.from.network.partitionEnd(c.from, c.to); healed != nil; healed = c.from.network.partitionEnd(c.from, c.to) {
			if err := waitFor(c, healed); err != nil {
				return sent, err
			}
		}
		n := min(len(b), segmentBytes)
		timer.Reset(time.Until(c.from.network.reserveLink(c.from, c.to, n)))
		if err := waitFor(c, timer.C); err != nil {
			return sent, err
		}
		if _, err := c.Conn.Write(b[:n]); err != nil {
			return sent, err
		}
		sent, b = sent+n, b[n:]
		timer.Reset(0)
	}
	return sent, nil
}

// waitFor waits for ch. It returns os.ErrClosed if the connection is closed before that.
func waitFor[T any](c *conn, ch <-chan T) error {
	select {
	case <-ch:
		return nil
	case <-c.closed:
		return os.ErrClosed
	}
}

// Close closes both ends.
func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
