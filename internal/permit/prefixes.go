package permit

import (
	"time"
)

const (
	// holdFor is how long an engine is taken to keep a part that it has read or used.
	// A part that is gone costs a fetch in vain, or its reading. It is not learnt from first
	// events that come late: under load they do so for other reasons.
	holdFor = 20 * time.Second
	// pruneEvery is the pause between two looks for parts that nobody holds any more.
	pruneEvery = 5 * time.Second
)

// prefixes knows which engines of the group hold which shared parts, from what was
// read under permits. Cache events, which come late and with gaps, are not needed.
type prefixes struct {
	held   map[string]map[string]time.Time // last use by part and engine
	pruned time.Time
}

func newPrefixes() prefixes { return prefixes{held: map[string]map[string]time.Time{}} }

// use records that an engine has read a part or used it.
func (p *prefixes) use(part, engine string, now time.Time) {
	if part == "" {
		return
	}
	if p.held[part] == nil {
		p.held[part] = map[string]time.Time{}
	}
	p.held[part][engine] = now
}

// holds reports whether an engine is taken to hold a part.
func (p *prefixes) holds(part, engine string, now time.Time) bool {
	at, ok := p.held[part][engine]
	return ok && now.Sub(at) <= holdFor
}

// source returns the engine that used a part last among those that may give it;
// empty for none.
func (p *prefixes) source(part string, mayGive func(engine string) bool, now time.Time) string {
	var (
		best string
		last time.Time
	)
	for engine, at := range p.held[part] {
		if now.Sub(at) > holdFor || !mayGive(engine) {
			continue
		}
		if best == "" || at.After(last) || (at.Equal(last) && engine < best) {
			best, last = engine, at
		}
	}
	return best
}

// prune forgets what is held no more.
func (p *prefixes) prune(now time.Time) {
	if now.Sub(p.pruned) < pruneEvery {
		return
	}
	p.pruned = now
	for part, engines := range p.held {
		for engine, at := range engines {
			if now.Sub(at) > holdFor {
				delete(engines, engine)
			}
		}
		if len(engines) == 0 {
			delete(p.held, part)
		}
	}
}
