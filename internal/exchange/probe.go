package exchange

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// probeTimeout bounds a probe. A connection between failure domains opens within a few ms, and a
// caller's next attempt waits for the probe.
const probeTimeout = 100 * time.Millisecond

// Refused reports whether the address refuses connections: its host is up, but the process has ended.
// It is false if a connection opens or nothing comes back.
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
