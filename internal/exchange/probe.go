package exchange

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// probeTimeout limits the duration of a probe, as a caller's next attempt waits for it. Connecting to a
// server in another failure domain takes a few ms.
const probeTimeout = 100 * time.Millisecond

// RefusesConnections probes whether an address refuses connections, which means that its host is up but
// the server's process has ended. It returns false if the connection opens or there is no reply.
func (p *Pool) RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p.onDial()
	c, err := p.dial(ctx, "tcp", address)
	if err == nil {
		_ = c.Close() // nothing was sent
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
