package permit

import (
	"time"
)

const (
	// firstHold is how long an engine is taken to keep a part that it has read or used,
	// until reading times tell. Engines of two users' size that read without pause keep one
	// for about 12 s. leastHold and mostHold bound what is learnt.
	firstHold           = 20 * time.Second
	leastHold, mostHold = 2 * time.Second, 60 * time.Second
	// holdDown is the weight with which the time follows an age at which a part was gone,
	// and holdUp the factor by which one that was there near its end lengthens it.
	holdDown, holdUp = 0.2, 1.02
	// holdEnd is the part of the time from which one that was there says that parts are
	// kept for longer.
	holdEnd = 0.75
	// pruneEvery is the pause between two looks for parts that nobody holds any more.
	pruneEvery = 5 * time.Second
)

// prefixes knows which engines of the group hold which shared parts, from what was
// read under permits. Cache events, which come late and with gaps, are not needed.
type prefixes struct {
	held   map[string]map[string]time.Time // last use by part and engine
	hold   time.Duration                   // how long parts are taken to be kept
	pruned time.Time
}

func newPrefixes() prefixes {
	return prefixes{held: map[string]map[string]time.Time{}, hold: firstHold}
}

// age returns how long ago an engine used a part; 0 if that is not known.
func (p *prefixes) age(part, engine string, now time.Time) time.Duration {
	at, ok := p.held[part][engine]
	if !ok {
		return 0
	}
	return now.Sub(at)
}

// found and gone take in whether a part that was taken to be held for a while was there.
func (p *prefixes) found(age time.Duration) {
	if float64(age) > holdEnd*float64(p.hold) {
		p.hold = min(time.Duration(holdUp*float64(p.hold)), mostHold)
	}
}

func (p *prefixes) gone(age time.Duration) {
	if age > 0 && age < p.hold {
		p.hold = max(p.hold-time.Duration(holdDown*float64(p.hold-age)), leastHold)
	}
}

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
	return ok && now.Sub(at) <= p.hold
}

// source returns the engine that used a part last among those that may give it;
// empty for none.
func (p *prefixes) source(part string, mayGive func(engine string) bool, now time.Time) string {
	var (
		best string
		last time.Time
	)
	for engine, at := range p.held[part] {
		if now.Sub(at) > p.hold || !mayGive(engine) {
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
			if now.Sub(at) > p.hold {
				delete(engines, engine)
			}
		}
		if len(engines) == 0 {
			delete(p.held, part)
		}
	}
}
