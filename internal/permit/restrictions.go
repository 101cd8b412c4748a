package permit

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// never is the wait for an engine that a request can't use at all.
const never = time.Duration(math.MaxInt64)

// restrictions are the engines that the gateway of a request can't use, with the time from which it may use each,
// or the zero time if the request can't use the engine at all. Most requests have none.
type restrictions map[string]time.Time

// newRestrictions returns the restrictions that a request states.
func newRestrictions(req Ask, now time.Time) restrictions {
	if len(req.ExcludedEngines) == 0 {
		return nil
	}
	r := make(restrictions, len(req.ExcludedEngines))
	for i, id := range req.ExcludedEngines {
		r[id] = time.Time{}
		if i < len(req.ExcludedFor) && req.ExcludedFor[i] > 0 {
			r[id] = now.Add(req.ExcludedFor[i])
		}
	}
	return r
}

// wait returns the time until the gateway may use an engine: 0 if it may now, or never.
func (r restrictions) wait(engine string, now time.Time) time.Duration {
	usableFrom, restricted := r[engine]
	switch {
	case !restricted:
		return 0
	case usableFrom.IsZero():
		return never
	}
	return max(usableFrom.Sub(now), 0)
}

// restrictionsKeyPrecision is the precision of the times in restrictions.key. It is the interval of the checks for
// which the key is used.
const restrictionsKeyPrecision = sweepInterval

// key returns a key that is the same for restrictions with about the same effect on expected waits.
func (r restrictions) key(now time.Time) string {
	var parts []string
	for engine, usableFrom := range r {
		switch wait := r.wait(engine, now); wait {
		case 0:
		case never:
			parts = append(parts, engine)
		default:
			parts = append(parts, engine+" "+strconv.FormatInt(usableFrom.UnixNano()/int64(restrictionsKeyPrecision), 10))
		}
	}
	slices.Sort(parts)
	return strings.Join(parts, ",")
}

// mayUse reports whether the gateway of a request may use an engine now.
func (e *entry) mayUse(g *engine, now time.Time) bool { return e.restrictions.wait(g.ID, now) == 0 }

// mayUseAny reports whether the request may be granted on any of the engines now.
func (e *entry) mayUseAny(engines []*engine, now time.Time) bool {
	for _, g := range engines {
		if e.mayUse(g, now) {
			return true
		}
	}
	return false
}
