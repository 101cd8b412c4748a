package exchange

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

const (
	// probeTimeout limits the time to open a connection for a probe, as a caller's next attempt waits for it.
	// Connecting to a server in another failure domain takes a few ms.
	probeTimeout = 100 * time.Millisecond
	// probeSettleTime is how long a connection must stay open to show that the process is running. While a
	// process exits, its listener still accepts connections after its other connections have been closed.
	probeSettleTime = 2 * time.Millisecond
	// maxProbeConnections limits the connections of a probe. A listener that is being closed resets the first.
	maxProbeConnections = 2
)

// RefusesConnections probes whether an address refuses connections, which means that its host is up but
// the server's process has ended. It returns false if a connection opens and stays open for probeSettleTime,
// or if there is no reply.
func (p *Pool) RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for range maxProbeConnections {
		p.onDial()
		c, err := p.dial(ctx, "tcp", address)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case err == nil && staysOpen(c):
			return false
		case err != nil && !errors.Is(err, syscall.ECONNRESET):
			return false
		}
	}
	return false // a running server that closes new connections, for example because it has too many
}

// staysOpen reports whether the peer keeps a connection open for probeSettleTime, and closes it.
func staysOpen(c net.Conn) bool {
	defer func() { _ = c.Close() }() // nothing was sent
	if err := c.SetReadDeadline(time.Now().Add(probeSettleTime)); err != nil {
		return false
	}
	n, err := c.Read(make([]byte, 1))
	return n > 0 || errors.Is(err, os.ErrDeadlineExceeded)
}
