package quarantine

import (
	"slices"
	"time"
)

// evaluate quarantines the request if its crashes are conclusive. It does nothing before evaluateAt, so
// that the other gateways have time to report which requests ran on the last crashed server.
func (t *Tracker) evaluate(id ID, e *entry, now time.Time) {
	if t.parts {
		t.evaluatePart(id, e, now)
		return
	}
	if e.verdict != nil || len(e.crashes) < minCrashes || now.Before(e.evaluateAt) {
		return
	}
	if now.Sub(t.longerObserverSeenAt) < recentCrashWindow && t.observedFor(now) < recentCrashWindow {
		// Another gateway has observed crash rates for longer and evaluates the same crashes.
		return
	}
	t.updateCrashRates(e, now)
	if !conclusive(e.crashes, t.requiredCrashes(id, e, now)) || t.ambiguous(id, e) {
		return
	}
	e.verdict = newVerdict(e.crashes, now)
	t.emit(Event{Kind: EventQuarantined, ID: id, Crashes: slices.Clone(e.crashes), Verdict: cloneVerdict(e.verdict)})
	t.explainAll(id, e, now)
	t.notifyChange(e, true, now)
}

// evaluateDue evaluates the entries whose evaluateAt has passed, and schedules the evaluation of the others.
func (t *Tracker) evaluateDue(now time.Time) {
	for id, e := range t.entries {
		switch {
		case e.evaluateAt.IsZero():
		case now.Before(e.evaluateAt):
			t.scheduleBy(e.evaluateAt)
		default:
			t.evaluate(id, e, now)
			e.evaluateAt = time.Time{}
		}
	}
}

// ambiguous reports whether another suspect ran on all of the same crashed servers, so that either may
// be the cause. Strong suspects are sent to different servers, so that the next crash identifies the cause.
// After two crashes more than minCrashes, ambiguity no longer prevents a verdict.
func (t *Tracker) ambiguous(id ID, e *entry) bool {
	if len(independentCrashes(e.crashes)) >= minCrashes+2 {
		return false
	}
	for otherID, other := range t.entries {
		if otherID == id || len(other.crashes) < len(e.crashes) {
			continue
		}
		shared := func(crash Crash) bool {
			return slices.ContainsFunc(other.crashes, func(c Crash) bool { return c.Server == crash.Server })
		}
		if !slices.ContainsFunc(e.crashes, func(crash Crash) bool { return !shared(crash) }) {
			return true
		}
	}
	return false
}

// requiredCrashes returns the number of independent crashes required to quarantine the request.
func (t *Tracker) requiredCrashes(id ID, e *entry, now time.Time) int {
	n := minCrashes + min(len(t.otherCrashes(now, recentCrashWindow, t.ownOrExplained(e))), maxExtraCrashes)
	if t.hadCoRunner(id, e) {
		n += coRunnerExtraCrashes
	}
	return n
}

// hadCoRunner reports whether another request ran on all crashed servers but the last. Requests that
// have been cleared since are included.
func (t *Tracker) hadCoRunner(id ID, e *entry) bool {
	counted := independentCrashes(e.crashes)
	if len(counted) < minCrashes {
		return false
	}
	common := t.requestsAtCrash[counted[0].Server]
	for _, crash := range counted[1 : len(counted)-1] {
		ids := t.requestsAtCrash[crash.Server]
		common = slices.DeleteFunc(slices.Clone(common), func(other ID) bool { return !slices.Contains(ids, other) })
	}
	return slices.ContainsFunc(common, func(other ID) bool { return other != id })
}

// ownOrExplained returns a predicate for server instances that crashed while running the request, or
// whose crash is attributed to a quarantined request.
func (t *Tracker) ownOrExplained(e *entry) func(instance string) bool {
	return func(instance string) bool {
		_, explained := t.explainedCrashes[instance]
		return explained || slices.ContainsFunc(e.crashes, func(crash Crash) bool { return crash.Server == instance })
	}
}

// otherCrashes returns the server instances that crashed within the given time before now, as reported
// by any gateway or the server list. It omits those for which skip returns true.
func (t *Tracker) otherCrashes(now time.Time, within time.Duration, skip func(instance string) bool) (instances []string) {
	for instance, at := range t.crashedServers {
		if now.Sub(at) < within && !skip(instance) {
			instances = append(instances, instance)
		}
	}
	return instances
}

// serverCrashRate returns the crash rate in crashes per server and second. It complements the hazard
// estimate, which observes no other crashes if the request is the only traffic.
func (t *Tracker) serverCrashRate(now time.Time, skip func(instance string) bool) float64 {
	highest := 0.0
	for _, window := range hazardWindowBuckets {
		span := time.Duration(window) * hazardBucketDuration
		highest = max(highest, float64(len(t.otherCrashes(now, span, skip)))/span.Seconds()/float64(max(t.serverCount, 1)))
	}
	return highest
}

// updateCrashRates raises the rates stored with a request's recent crashes to the current crash rate
// of other servers.
func (t *Tracker) updateCrashRates(e *entry, now time.Time) {
	own := t.ownOrExplained(e)
	rate := max(t.hazard.rate(now, own), t.serverCrashRate(now, own))
	for i := range e.crashes {
		if now.Sub(e.crashes[i].At) < recentCrashWindow {
			e.crashes[i].rate = max(e.crashes[i].rate, rate)
		}
	}
}

// observedFor returns how long this gateway has observed crash rates, at most recentCrashWindow.
func (t *Tracker) observedFor(now time.Time) time.Duration {
	if t.hazard.startedAt.IsZero() {
		return 0
	}
	return min(now.Sub(t.hazard.startedAt), recentCrashWindow)
}

// explainAll attributes the crashes of a quarantined request to it.
func (t *Tracker) explainAll(id ID, e *entry, now time.Time) {
	for _, crash := range e.crashes {
		if t.attributable(e, crash) {
			t.explain(id, crash.Server, now)
		}
	}
	for _, instance := range e.verdict.Servers {
		t.explain(id, instance, now)
	}
}

// explain attributes the crash of a server instance to a quarantined request. The crash no longer
// counts as evidence against other requests.
func (t *Tracker) explain(by ID, instance string, now time.Time) {
	t.recordCrashTime(t.explainedCrashes, instance, now)
	for id, e := range t.entries {
		if id == by {
			continue
		}
		if e.verdict != nil {
			t.liftIfExplained(id, e, t.entries[by], now)
			continue
		}
		before := len(e.crashes)
		e.crashes = slices.DeleteFunc(e.crashes, func(crash Crash) bool { return crash.Server == instance })
		if len(e.crashes) < before {
			t.notifyChange(e, false, now)
			t.removeIfEmpty(id, e)
		}
	}
}

// liftIfExplained lifts the quarantine of a request whose crashes are a proper subset of those of
// another quarantined request. This occurs when gateways that can't reach each other quarantine both
// the cause and a request that ran on the same servers.
func (t *Tracker) liftIfExplained(id ID, e, other *entry, now time.Time) {
	if other == nil || other.verdict == nil || e.verdict.Trials > 0 || slices.Contains(other.verdict.Companions, id) || len(e.crashes) == 0 || len(other.crashes) <= len(e.crashes) {
		return
	}
	for _, crash := range e.crashes {
		if !slices.ContainsFunc(other.crashes, func(c Crash) bool { return c.Server == crash.Server }) {
			return
		}
	}
	t.emit(Event{Kind: EventLifted, ID: id, Cause: CauseExplained, Part: e.name, Crashes: slices.Clone(e.crashes), Verdict: cloneVerdict(e.verdict)})
	e.clear(now)
	t.notifyChange(e, true, now)
}
