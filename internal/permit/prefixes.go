package permit

import (
	"time"
)

const (
	// prefixTTL is how long an engine is assumed to cache a prefix after using it. If the prefix
	// is already gone, the cost is a failed fetch or a prefill. A late first event is not taken
	// as a sign of that: under load first events are late for other reasons.
	prefixTTL = 20 * time.Second
	// pruneInterval is the time between two sweeps for expired prefixes.
	pruneInterval = 5 * time.Second
)

// prefixIndex tracks which engines of the group cache which shared prefixes, based on granted
// requests. It does not need cache events, which are late and incomplete.
type prefixIndex struct {
	lastUse  map[string]map[string]time.Time // by prefix and engine
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
	at, ok := p.lastUse[prefix][engine]
	return ok && now.Sub(at) <= prefixTTL
}

// source returns the engine that used a prefix most recently among those that mayGive accepts;
// empty for none.
func (p *prefixIndex) source(prefix string, mayGive func(engine string) bool, now time.Time) string {
	var (
		best string
		last time.Time
	)
	for engine, at := range p.lastUse[prefix] {
		if now.Sub(at) > prefixTTL || !mayGive(engine) {
			continue
		}
		if best == "" || at.After(last) || (at.Equal(last) && engine < best) {
			best, last = engine, at
		}
	}
	return best
}

// prune deletes expired entries.
func (p *prefixIndex) prune(now time.Time) {
	if now.Sub(p.prunedAt) < pruneInterval {
		return
	}
	p.prunedAt = now
	for prefix, engines := range p.lastUse {
		for engine, at := range engines {
			if now.Sub(at) > prefixTTL {
				delete(engines, engine)
			}
		}
		if len(engines) == 0 {
			delete(p.lastUse, prefix)
		}
	}
}
