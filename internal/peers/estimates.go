package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
)

// maxEstimatedServices limits the services whose engine estimates are sent, so that a heartbeat fits
// into a datagram: a service takes about 50 of the 1,200 bytes. Services with the most
// observations come first.
const maxEstimatedServices = 8

// engineEstimates are a gateway's enginemodel.Estimates for a service's engines, encoded in about 50 bytes.
type engineEstimates struct {
	Service                  string  `msgpack:"s"`
	PrefillPer1000Tokens     float32 `msgpack:"r"` // microseconds per 1,000 prompt tokens
	AttentionPerMillionPairs float32 `msgpack:"a"` // additional microseconds per million pairs of tokens
	FirstEventLatency        float32 `msgpack:"l"` // microseconds to the first event for an empty prompt
	TokenTime                float32 `msgpack:"t"` // microseconds per generated token
	MaxEventGap              float32 `msgpack:"p"` // longest pause of a stream in microseconds
	Observations             float32 `msgpack:"o"` // number of prompts observed
}

func toMicros(d time.Duration) float32 { return float32(d) / float32(time.Microsecond) }

func fromMicros(v float32) time.Duration { return time.Duration(v * float32(time.Microsecond)) }

// updateEstimates copies the scheduler's estimates for the heartbeats. It must be called from Run's
// goroutine, which owns the scheduler.
func (p *Peers) updateEstimates() {
	var out []engineEstimates
	for _, s := range p.scheduler.Stats() {
		if s.Observations > 0 {
			out = append(out, engineEstimates{s.Service, toMicros(s.PrefillPer1000Tokens), toMicros(s.AttentionPerMillionPairs), toMicros(s.FirstEventLatency), toMicros(s.TokenTime), toMicros(s.MaxEventGap), float32(s.Observations)})
		}
	}
	slices.SortFunc(out, func(a, b engineEstimates) int { return cmp.Compare(b.Observations, a.Observations) })
	p.mu.Lock()
	p.estimates = out[:min(len(out), maxEstimatedServices)]
	p.mu.Unlock()
}

// peerEstimates returns the other gateways' estimates for a service's engines that are based on the
// most observations. A gateway that becomes the home of a group starts with them.
func (p *Peers) peerEstimates(service string) (enginemodel.Estimates, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best engineEstimates
	for _, m := range p.members.peers {
		for _, e := range m.estimates {
			if e.Service == service && e.Observations > best.Observations {
				best = e
			}
		}
	}
	return enginemodel.Estimates{PrefillPer1000Tokens: fromMicros(best.PrefillPer1000Tokens), AttentionPerMillionPairs: fromMicros(best.AttentionPerMillionPairs), FirstEventLatency: fromMicros(best.FirstEventLatency), TokenTime: fromMicros(best.TokenTime),
		MaxEventGap: fromMicros(best.MaxEventGap), Observations: float64(best.Observations)}, best.Observations > 0
}
