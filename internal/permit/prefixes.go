package permit

import (
	"time"
)

const (
	// prefixTTL is how long an engine is assumed to cache a prefix after using it. If the
	// engine has evicted the prefix earlier, this costs a failed fetch or a prefill. A late first
	// event is not treated as evidence of eviction, because load delays first events as well.
	prefixTTL = 20 * time.Second
	// pruneInterval is the minimum time between two removals of expired prefixes.
	pruneInterval = 5 * time.Second
)

// prefixIndex tracks which engines of the group cache which shared prefixes. It infers this from granted
// requests, because the engines' cache events are late and incomplete.
type prefixIndex struct {
	lastUse  map[string]map[string]time.Time // by prefix ID and engine ID
	prunedAt time.Time
}

func newPrefixIndex() prefixIndex { return prefixIndex{lastUse: map[string]map[string]time.Time{}} }

// recordUse records that an engine has prefilled or used a prefix.
func (p *prefixIndex) recordUse(prefix, engine string, now time.Time) {
	if prefix == "" {
		return
	}
	if p.lastUse[prefix] == nil {
		p.lastUse[prefix] = map[string]time.Time{}
	}
	p.lastUse[prefix][engine] = now
}

// holds reports whether an engine is assumed to cache a prefix.
func (p *prefixIndex) holds(prefix, engine string, now time.Time) bool {
	usedAt, ok := p.lastUse[prefix][engine]
	return ok && now.Sub(usedAt) <= prefixTTL
}

// source returns the eligible engine that used a prefix most recently, or the empty string if there is
// none.
func (p *prefixIndex) source(prefix string, eligible func(engine string) bool, now time.Time) string {
	var (
		best       string
		bestUsedAt time.Time
	)
	for engine, usedAt := range p.lastUse[prefix] {
		if now.Sub(usedAt) > prefixTTL || !eligible(engine) {
			continue
		}
		if best == "" || usedAt.After(bestUsedAt) || (usedAt.Equal(bestUsedAt) && engine < best) {
			best, bestUsedAt = engine, usedAt
		}
	}
	return best
}

// prune removes expired prefixes, at most once per pruneInterval.
func (p *prefixIndex) prune(now time.Time) {
	if now.Sub(p.prunedAt) < pruneInterval {
		return
	}
	p.prunedAt = now
	for prefix, engines := range p.lastUse {
		for engine, usedAt := range engines {
			if now.Sub(usedAt) > prefixTTL {
				delete(engines, engine)
			}
		}
		if len(engines) == 0 {
			delete(p.lastUse, prefix)
		}
	}
}
