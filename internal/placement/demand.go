package placement

import (
	"math"
	"sync"
	"time"
)

const (
	// demandMemory is the time constant over which demand is measured: long
	// enough for some tens of requests at a gateway, short against the bursts of
	// 5 to 10 s that move the parts.
	demandMemory = 4 * time.Second
	// outputMs is the engine time of one generated token in a batch of about 30:
	// a step of 6 ms shared by 30 requests.
	outputMs = 0.2
	// interactiveLoad and batchLoad are the shares of its time to which a server
	// of each part is to be used. Waits of interactive requests are short only
	// far from full use.
	interactiveLoad = 0.5
	batchLoad       = 0.8
	// Bounds of the part for interactive requests. Above minShare, demand decides
	// up to maxDemandShare and late first tokens up to maxShare: interactive
	// requests go first, but some engines always read long prompts.
	minShare       = 0.2
	maxDemandShare = 0.6
	maxShare       = 0.85
	// lateStep and onTimeStep are how far one late or one timely first token moves
	// the pressure, which is 0 to 1. A gateway that sees 15 interactive requests a
	// second, all late, gives them the most within two seconds, and takes it back
	// over five times as long.
	lateStep, onTimeStep = 0.06, 0.02
)

// Measured is what one gateway has measured of the demand for a service.
type Measured struct {
	// InteractiveMs and BatchMs are the engine time in ms that each kind of request
	// asked for lately.
	InteractiveMs, BatchMs float64
	// Pressure says how late interactive first tokens are, 0 to 1.
	Pressure float64
}

// Demand measures the engine time that each kind of request asks for at this
// gateway, and how late interactive ones are. It is safe for concurrent use.
type Demand struct {
	mu       sync.Mutex
	measured Measured
	at       time.Time
}

// Add counts a request.
func (d *Demand) Add(p Prompt, interactive bool, now time.Time) {
	_, shared := p.Shared()
	ms := float64(p.Tokens-shared)/tokensPerMs + outputMs*float64(p.Output)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(now)
	if interactive {
		d.measured.InteractiveMs += ms
	} else {
		d.measured.BatchMs += ms
	}
}

// FirstToken counts the first token of an interactive request.
func (d *Demand) FirstToken(late bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if late {
		d.measured.Pressure = min(1, d.measured.Pressure+lateStep)
	} else {
		d.measured.Pressure = max(0, d.measured.Pressure-onTimeStep)
	}
}

// Measured returns what was measured.
func (d *Demand) Measured(now time.Time) Measured {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forget(now)
	return d.measured
}

func (d *Demand) forget(now time.Time) {
	keep := math.Exp(-float64(now.Sub(d.at)) / float64(demandMemory))
	d.measured.InteractiveMs *= keep
	d.measured.BatchMs *= keep
	d.at = now
}

// Share returns the share of the servers that interactive requests need, from what
// all gateways have measured. Gateways that know the same of each other come to the
// same share; those that do not send both kinds of requests to the same servers.
func Share(all []Measured) float64 {
	var sum Measured
	for _, m := range all {
		sum.InteractiveMs += m.InteractiveMs
		sum.BatchMs += m.BatchMs
		sum.Pressure += m.Pressure * m.InteractiveMs
	}
	need, rest := sum.InteractiveMs/interactiveLoad, sum.BatchMs/batchLoad
	share := minShare
	if need+rest > 0 {
		share = min(max(need/(need+rest), minShare), maxDemandShare)
	}
	if sum.InteractiveMs > 0 {
		share += sum.Pressure / sum.InteractiveMs * (maxShare - share)
	}
	return share
}
