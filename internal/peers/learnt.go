package peers

import (
	"cmp"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
)

// maxLearnt bounds the services whose engines are told of, those observed most first, so
// that a heartbeat stays a datagram: about 50 bytes each, of 1,200.
const maxLearnt = 8

// learnt is what a gateway has learnt of a service's engines, about 50 bytes.
type learnt struct {
	Service                  string  `msgpack:"s"`
	PrefillPer1000Tokens     float32 `msgpack:"r"` // microseconds for 1,000 prompt tokens
	AttentionPerMillionPairs float32 `msgpack:"a"` // microseconds more for each million pairs of tokens
	FirstEventLatency        float32 `msgpack:"l"` // microseconds to the first event of an empty prompt
	TokenTime                float32 `msgpack:"t"` // microseconds for a generated token
	MaxEventGap              float32 `msgpack:"p"` // microseconds, the longest of a stream
	Observations             float32 `msgpack:"o"` // prompts
}

func us(d time.Duration) float32 { return float32(d) / float32(time.Microsecond) }

func fromUs(v float32) time.Duration { return time.Duration(v * float32(time.Microsecond)) }

// takeLearnt notes what the desk has learnt, to be told in heartbeats. It is called by
// Run's goroutine.
func (p *Peers) takeLearnt() {
	var out []learnt
	for _, l := range p.desk.Stats() {
		if l.Observations > 0 {
			out = append(out, learnt{l.Service, us(l.PrefillPer1000Tokens), us(l.AttentionPerMillionPairs), us(l.FirstEventLatency), us(l.TokenTime), us(l.MaxEventGap), float32(l.Observations)})
		}
	}
	slices.SortFunc(out, func(a, b learnt) int { return cmp.Compare(b.Observations, a.Observations) })
	p.mu.Lock()
	p.learnt = out[:min(len(out), maxLearnt)]
	p.mu.Unlock()
}

// told returns what the others have told of a service's engines: the figures that rest on
// most observations. A gateway that begins to decide starts with them.
func (p *Peers) told(service string) (enginemodel.Estimates, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best learnt
	for _, m := range p.members.known {
		for _, l := range m.learnt {
			if l.Service == service && l.Observations > best.Observations {
				best = l
			}
		}
	}
	return enginemodel.Estimates{PrefillPer1000Tokens: fromUs(best.PrefillPer1000Tokens), AttentionPerMillionPairs: fromUs(best.AttentionPerMillionPairs), FirstEventLatency: fromUs(best.FirstEventLatency), TokenTime: fromUs(best.TokenTime),
		MaxEventGap: fromUs(best.MaxEventGap), Observations: float64(best.Observations)}, best.Observations > 0
}
