package peers

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/placement"
)

// Demand is what a gateway has measured of the demand for a service.
type Demand struct {
	Service string
	placement.Measured
}

// Demands returns what the other live gateways said of the demand for a service.
func (p *Peers) Demands(service string) []placement.Measured {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []placement.Measured
	for _, m := range p.members.known {
		if !p.members.isLive(m, now) {
			continue
		}
		for _, d := range m.demands {
			if d.Service == service {
				out = append(out, d.Measured)
			}
		}
	}
	return out
}
