// Package memnet is a network in memory: datagrams and connections among hosts whose links
// have a rate and a delay and can be cut. It waits on channels and timers alone, so that
// it works inside a testing/synctest bubble, where time passes only while all wait.
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
	// piece is how many bytes of a connection cross a link at once.
	piece = 2 << 10
	// ring is how many datagrams and connections wait at a host.
	ring = 1024
)

// Network joins hosts. It is safe for concurrent use.
type Network struct {
	delay time.Duration

	mu        sync.Mutex
	hosts     []*Host
	packets   map[netip.AddrPort]*PacketConn
	listeners map[netip.AddrPort]*listener
	cuts      map[[2]*Host]bool
	mended    chan struct{} // closed and replaced when a cut ends
	conns     []*conn
	closed    bool
}

// New returns a network without hosts; each message takes delay beside its time on the
// links.
func New(delay time.Duration) *Network {
	return &Network{delay: delay, packets: map[netip.AddrPort]*PacketConn{}, listeners: map[netip.AddrPort]*listener{},
		cuts: map[[2]*Host]bool{}, mended: make(chan struct{})}
}

// Close closes all connections and refuses further ones.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, c := range n.conns {
		_ = c.Close() // a pipe's end
	}
}

// join enters the ends of a connection; false when the network is closed.
func (n *Network) join(ends ...*conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, ends...)
	return !n.closed
}

// Host is a host of the network.
type Host struct {
	net       *Network
	ip        netip.Addr
	rate      float64   // bits a second; 0 for a link that takes no time
	busyUntil time.Time // of the link towards the host
	received  int
}

// Host adds a host with a link of so many bits a second, 0 for one that takes no time.
func (n *Network) Host(bitsPerSecond float64) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &Host{net: n, ip: netip.AddrFrom4([4]byte{10, 0, byte(len(n.hosts) / 250), byte(1 + len(n.hosts)%250)}), rate: bitsPerSecond}
	n.hosts = append(n.hosts, h)
	return h
}

// Address returns the host's address with a port.
func (h *Host) Address(port uint16) netip.AddrPort { return netip.AddrPortFrom(h.ip, port) }

// Received returns how many bytes connections have brought to the host.
func (h *Host) Received() int {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	return h.received
}

// Cut cuts the path between two hosts, or mends it. What is on its way in a connection is
// held up; datagrams are lost.
func (n *Network) SetPartitioned(a, b *Host, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]*Host{a, b}], n.cuts[[2]*Host{b, a}] = cut, cut
	if !cut {
		close(n.mended)
		n.mended = make(chan struct{})
	}
}

// path returns a channel to wait for while the path between two hosts is cut, nil if it is
// not.
func (n *Network) path(from, to *Host) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[[2]*Host{from, to}] {
		return n.mended
	}
	return nil
}

// reserve takes the link towards a host for some bytes and returns when they are through.
func (n *Network) reserve(from, to *Host, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	to.received += bytes
	now := time.Now()
	if to.busyUntil.Before(now) {
		to.busyUntil = now
	}
	rate := to.rate
	if from.rate > 0 && (rate == 0 || from.rate < rate) {
		rate = from.rate
	}
	if rate > 0 {
		to.busyUntil = to.busyUntil.Add(time.Duration(float64(8*bytes) / rate * float64(time.Second)))
	}
	return to.busyUntil
}

// Packets sends and receives datagrams at an address of a host.
type PacketConn struct {
	host   *Host
	at     netip.AddrPort
	in     chan packet
	closed chan struct{}
	once   sync.Once
}

type packet struct {
	data []byte
	from netip.AddrPort
}

// Packets opens a port of the host for datagrams.
func (h *Host) ListenPacket(port uint16) *PacketConn {
	p := &PacketConn{host: h, at: h.Address(port), in: make(chan packet, ring), closed: make(chan struct{})}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.packets[p.at] = p
	return p
}

// ReadFromUDPAddrPort waits for a datagram.
func (p *PacketConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case m := <-p.in:
		return copy(b, m.data), m.from, nil
	case <-p.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDPAddrPort sends a datagram; one to nobody, or over a path that is cut, is lost.
func (p *PacketConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n := p.host.net
	n.mu.Lock()
	receiver := n.packets[to]
	lost := receiver == nil || n.cuts[[2]*Host{p.host, receiver.host}]
	n.mu.Unlock()
	if !lost {
		m := packet{append([]byte(nil), b...), p.at}
		time.AfterFunc(n.delay, func() {
			select {
			case receiver.in <- m:
			default: // the receiver's buffer is full
			}
		})
	}
	return len(b), nil
}

// LocalAddr returns the address.
func (p *PacketConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.at) }

// Close ends receiving.
func (p *PacketConn) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

type listener struct {
	host   *Host
	at     netip.AddrPort
	in     chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Listen opens a port of the host for connections.
func (h *Host) Listen(port uint16) net.Listener {
	l := &listener{host: h, at: h.Address(port), in: make(chan net.Conn, ring), closed: make(chan struct{})}
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.listeners[l.at] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.in:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.at) }

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// errRefused is what a port without a listener answers.
var errRefused = &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}

// DialContext opens a connection to an IP:PORT. Over a path that is cut it waits until ctx
// ends.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	h.net.mu.Lock()
	l := h.net.listeners[to]
	h.net.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	for cut := h.net.path(h, l.host); cut != nil; cut = h.net.path(h, l.host) {
		select {
		case <-cut:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	select {
	case <-l.closed:
		return nil, errRefused
	default:
	}
	near, far := net.Pipe()
	shared := &ending{closed: make(chan struct{})}
	here, there := &conn{Conn: near, ending: shared, from: h, to: l.host}, &conn{Conn: far, ending: shared, from: l.host, to: h}
	if !h.net.join(here, there) {
		return nil, errRefused
	}
	select {
	case l.in <- there:
		return here, nil
	case <-l.closed:
		return nil, errRefused
	}
}

// ending tells both ends of a connection that it is closed.
type ending struct {
	closed chan struct{}
	once   sync.Once
}

// conn is one end of a connection.
type conn struct {
	net.Conn
	*ending
	from, to *Host
}

// Write sends at the pace of the slower link.
func (c *conn) Write(b []byte) (sent int, err error) {
	timer := time.NewTimer(c.from.net.delay)
	defer timer.Stop()
	for len(b) > 0 {
		if err := await(c, timer.C); err != nil {
			return sent, err
		}
		for cut := c.from.net.path(c.from, c.to); cut != nil; cut = c.from.net.path(c.from, c.to) {
			if err := await(c, cut); err != nil {
				return sent, err
			}
		}
		n := min(len(b), piece)
		timer.Reset(time.Until(c.from.net.reserve(c.from, c.to, n)))
		if err := await(c, timer.C); err != nil {
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

// await waits for a channel unless the connection is closed before.
func await[T any](c *conn, ch <-chan T) error {
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
