package exchange

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// probeTimeout bounds a probe: a connection opens in a few ms between failure domains, and what
// waits for the probe is a caller's next send.
const probeTimeout = 100 * time.Millisecond

// Refused reports whether nobody listens at an address: the host answers and the process behind
// the address has ended. It is false where the connection opens or nothing comes back.
func (p *Pool) Refused(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p.opened()
	c, err := p.dial(ctx, "tcp", address)
	if err == nil {
		_ = c.Close() // nothing was sent
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
