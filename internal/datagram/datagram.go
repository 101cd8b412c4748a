// Package datagram exchanges small messages between processes of the system over UDP, with one
// msgpack message per datagram. Delivery is not guaranteed: a message is dropped on any error, and
// callers must resend it or tolerate its loss.
package datagram

import (
	"context"
	"net"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// maxMessageBytes is the size of the receive buffer. It exceeds the size of every message; messages are
// small enough to avoid IP fragmentation.
const maxMessageBytes = 1200

// PacketConn is the subset of *net.UDPConn that a Socket uses.
type PacketConn interface {
	ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort([]byte, netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Socket sends and receives messages of type T. It is safe for concurrent use.
type Socket[T any] struct {
	conn         PacketConn
	metricPrefix string
}

// Open returns a socket that listens on an IP address and port. MetricPrefix is the name prefix of the
// counters of malformed and unsent messages. Errors have the code BadSettings and the field peers.listen.
func Open[T any](address, metricPrefix string) (*Socket[T], error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fault.New(fault.BadSettings, "%w", err).WithField("peers.listen")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fault.New(fault.BadSettings, "%w", err).WithField("peers.listen")
	}
	return New[T](conn, metricPrefix), nil
}

// New returns a socket on conn, and takes ownership of conn.
func New[T any](conn PacketConn, metricPrefix string) *Socket[T] {
	return &Socket[T]{conn, metricPrefix}
}

// Address returns the local address.
func (s *Socket[T]) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Receive calls handle with each message and its sender until ctx is done, and then closes the socket.
func (s *Socket[T]) Receive(ctx context.Context, handle func(T, netip.AddrPort)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() }) // unblocks the pending read
	defer stop()
	buf := make([]byte, maxMessageBytes)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // e.g. an ICMP error for a datagram that was sent to a closed port
		}
		var message T
		if msgpack.Unmarshal(buf[:n], &message) != nil {
			telemetry.Count(s.metricPrefix + "_broken_total")
			continue
		}
		handle(message, from)
	}
}

// Send sends a message. If that fails, it drops the message and counts it as unsent.
func (s *Socket[T]) Send(message T, to netip.AddrPort) {
	data, err := msgpack.Marshal(message)
	if err == nil {
		_, err = s.conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		telemetry.Count(s.metricPrefix + "_unsent_total")
	}
}
