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

// restrictions are the engines that the gateway of a request can't use, or may use only to a limited extent,
// with the time from which it may use each, or the zero time if the request can't use the engine at all. Most
// requests have none.
type restrictions map[string]time.Time

// newRestrictions returns the restrictions that a request states.
func newRestrictions(req Ask, now time.Time) restrictions {
	if len(req.ExcludedEngines) == 0 && len(req.RecoveringEngines) == 0 {
		return nil
	}
	r := make(restrictions, len(req.ExcludedEngines)+len(req.RecoveringEngines))
	for _, id := range req.RecoveringEngines {
		r[id] = now
	}
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

// endedAt returns when the gateway's pause for an engine ended, and false if there was none or it has not ended.
func (r restrictions) endedAt(engine string, now time.Time) (time.Time, bool) {
	usableFrom, restricted := r[engine]
	return usableFrom, restricted && !usableFrom.IsZero() && !now.Before(usableFrom)
}

// mayUse reports whether the request may be granted on an engine now: its gateway does not exclude the engine, and
// after a pause the engine has responded to a request or slow start permits another one.
func (e *entry) mayUse(g *engine, now time.Time) bool {
	if len(e.restrictions) == 0 {
		return true
	}
	return e.restrictions.wait(g.ID, now) == 0 && (!g.awaitsResponse(e.restrictions, now) || g.ramp.Wait(now) == 0)
}

// mayUseAny reports whether the request may be granted on any of the engines now.
func (e *entry) mayUseAny(engines []*engine, now time.Time) bool {
	for _, g := range engines {
		if e.mayUse(g, now) {
			return true
		}
	}
	return false
}

// awaitsResponse reports whether the engine has not responded to any request that was granted since the pause of a
// gateway with these restrictions ended.
func (g *engine) awaitsResponse(r restrictions, now time.Time) bool {
	since, ended := r.endedAt(g.ID, now)
	return ended && g.respondedTo.Before(since)
}

// recordResponse records that the engine has responded to a granted request.
func (g *engine) recordResponse(granted *entry) {
	if granted.grantedAt.After(g.respondedTo) {
		g.respondedTo = granted.grantedAt
	}
	g.ramp.End(granted.grantedAt)
}
