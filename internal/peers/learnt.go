package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
)

// maxLearntServices limits the services whose engine figures are sent, so that a heartbeat fits
// into a datagram: a service takes about 50 of the 1,200 bytes. Services with the most
// observations come first.
const maxLearntServices = 8

// engineFigures is the performance that a gateway has measured for a service's engines, encoded in about
// 50 bytes.
type engineFigures struct {
	Service  string  `msgpack:"s"`
	Read     float32 `msgpack:"r"` // microseconds per 1,000 prompt tokens
	Pairs    float32 `msgpack:"a"` // additional microseconds per million pairs of tokens
	Latency  float32 `msgpack:"l"` // microseconds to the first event for an empty prompt
	Token    float32 `msgpack:"t"` // microseconds per generated token
	Pause    float32 `msgpack:"p"` // longest pause of a stream in microseconds
	Observed float32 `msgpack:"o"` // number of prompts observed
}

func toMicros(d time.Duration) float32 { return float32(d) / float32(time.Microsecond) }

func fromMicros(v float32) time.Duration { return time.Duration(v * float32(time.Microsecond)) }

// updateLearnt copies the desk's figures for the heartbeats. It must be called from Run's
// goroutine, which owns the desk.
func (p *Peers) updateLearnt() {
	var out []engineFigures
	for _, l := range p.desk.Stats() {
		if l.Observations > 0 {
			out = append(out, engineFigures{l.Service, toMicros(l.PrefillPer1000Tokens), toMicros(l.AttentionPerMillionPairs), toMicros(l.FirstEventLatency), toMicros(l.TokenTime), toMicros(l.MaxEventGap), float32(l.Observations)})
		}
	}
	slices.SortFunc(out, func(a, b engineFigures) int { return cmp.Compare(b.Observed, a.Observed) })
	p.mu.Lock()
	p.learnt = out[:min(len(out), maxLearntServices)]
	p.mu.Unlock()
}

// learntByPeers returns the other gateways' figures for a service's engines that are based on the
// most observations. A gateway that becomes the home of a group starts with them.
func (p *Peers) learntByPeers(service string) (enginemodel.Estimates, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best engineFigures
	for _, m := range p.members.known {
		for _, l := range m.learnt {
			if l.Service == service && l.Observed > best.Observed {
				best = l
			}
		}
	}
	return enginemodel.Estimates{PrefillPer1000Tokens: fromMicros(best.Read), AttentionPerMillionPairs: fromMicros(best.Pairs), FirstEventLatency: fromMicros(best.Latency), TokenTime: fromMicros(best.Token),
		MaxEventGap: fromMicros(best.Pause), Observations: float64(best.Observed)}, best.Observed > 0
}
