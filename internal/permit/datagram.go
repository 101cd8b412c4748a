package permit

import (
	"net"
	"net/netip"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// maxDatagram is above any message, in bytes.
const maxDatagram = 1024

// datagram is one message: an ask, an answer, or a notice of a gateway. Exactly
// one field is set.
type datagram struct {
	Ask        *Ask    `msgpack:"a,omitempty"`
	Answer     *Answer `msgpack:"v,omitempty"`
	FirstToken string  `msgpack:"f,omitempty"` // ID of the request
	End        string  `msgpack:"e,omitempty"`
}

// send sends a datagram. One that can't be sent counts as lost; both ends bear
// lost datagrams.
func send(conn *net.UDPConn, d datagram, to netip.AddrPort) {
	data, err := msgpack.Marshal(d)
	if err == nil {
		_, err = conn.WriteToUDPAddrPort(data, to)
	}
	if err != nil {
		telemetry.Count("merlinpost_permit_unsent_total")
	}
}

// receive gives each datagram to take until the socket is closed.
func receive(conn *net.UDPConn, closed func() bool, take func(datagram, netip.AddrPort)) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if closed() {
			return
		}
		if err != nil {
			continue // an earlier datagram met a closed port
		}
		var d datagram
		if msgpack.Unmarshal(buf[:n], &d) != nil {
			telemetry.Count("merlinpost_permit_broken_total")
			continue
		}
		take(d, from)
	}
}
