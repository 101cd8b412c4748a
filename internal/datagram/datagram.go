// Package datagram carries small messages among processes of the system, one msgpack
// message a datagram. Whatever goes wrong with one counts as its loss, which those who
// use it must bear: they ask again, or do without.
package datagram

import (
	"context"
	"net"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// maxSize is above any message, in bytes, and below what a link carries in one piece.
const maxSize = 1200

// PacketConn is what a Socket needs of a *net.UDPConn.
type PacketConn interface {
	ReadFromUDPAddrPort([]byte) (int, netip.AddrPort, error)
	WriteToUDPAddrPort([]byte, netip.AddrPort) (int, error)
	LocalAddr() net.Addr
	Close() error
}

// Socket sends and receives messages of type T. It is safe for concurrent use.
type Socket[T any] struct {
	conn   PacketConn
	metric string
}

// Open listens on an IP address and port. Metric begins the names of the counters of
// broken and unsent messages. Errors have code BadSettings and name the field
// peers.listen.
func Open[T any](address, metric string) (*Socket[T], error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fault.New(fault.BadSettings, "%w", err).WithField("peers.listen")
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fault.New(fault.BadSettings, "%w", err).WithField("peers.listen")
	}
	return New[T](conn, metric), nil
}

// New returns a socket on conn, which it owns.
func New[T any](conn PacketConn, metric string) *Socket[T] { return &Socket[T]{conn, metric} }

// Address returns the address in use.
func (s *Socket[T]) Address() netip.AddrPort { return s.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Receive hands each message and its sender to take until ctx ends, which closes the
// socket.
func (s *Socket[T]) Receive(ctx context.Context, take func(T, netip.AddrPort)) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() }) // ends the read
	defer stop()
	buf := make([]byte, maxSize)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			continue // an earlier datagram met a closed port
		}
		var message T
		if msgpack.Unmarshal(buf[:n], &message) != nil {
			telemetry.Count(s.metric + "_broken_total")
			continue
		}
		take(message, from)
	}
}

// Send sends a message.
func (s *Socket[T]) Send(message T, to netip.AddrPort) {
	data, err := msgpack.Marshal(message)
	if err == nil {
		_, err = s.conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		telemetry.Count(s.metric + "_unsent_total")
	}
}
