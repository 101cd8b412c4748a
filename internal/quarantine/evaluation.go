package quarantine

import (
	"slices"
	"time"
)

// evaluate quarantines the request if its crashes are conclusive. It waits until evaluateAt, so that
// the other gateways can report what else ran on the last server.
func (t *Tracker) evaluate(id ID, e *entry, now time.Time) {
	if e.verdict != nil || len(e.crashes) < minCrashes || now.Before(e.evaluateAt) {
		return
	}
	if now.Sub(t.longerObserverSeenAt) < recentCrashWindow && t.observedFor(now) < recentCrashWindow {
		return // gateways with a longer observation know the crash rate better and evaluate the same crashes
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

// evaluateDue evaluates the entries whose time has come.
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

// ambiguous reports whether another suspect ran on all the same crashed servers, so that either may be
// the cause. Strong suspects run on separate servers, so the next crash tells them apart; after two
// more crashes this is taken for granted.
func (t *Tracker) ambiguous(id ID, e *entry) bool {
	if len(independentCrashes(e.crashes)) >= minCrashes+2 {
		return false
	}
	for other, o := range t.entries {
		if other == id || len(o.crashes) < len(e.crashes) {
			continue
		}
		shared := func(crash Crash) bool {
			return slices.ContainsFunc(o.crashes, func(c Crash) bool { return c.Server == crash.Server })
		}
		if !slices.ContainsFunc(e.crashes, func(crash Crash) bool { return !shared(crash) }) {
			return true
		}
	}
	return false
}

// requiredCrashes returns how many independent crashes are needed to quarantine the request.
func (t *Tracker) requiredCrashes(id ID, e *entry, now time.Time) int {
	n := minCrashes + min(len(t.otherCrashes(now, recentCrashWindow, t.ownOrExplained(e))), maxExtraCrashes)
	if t.hadCoRunner(id, e) {
		n += coRunnerExtraCrashes
	}
	return n
}

// hadCoRunner reports whether another request ran on all crashed servers but the last, even if that
// request was cleared since.
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

// ownOrExplained accepts the servers that crashed while running the request, and those whose crash is explained.
func (t *Tracker) ownOrExplained(e *entry) func(instance string) bool {
	return func(instance string) bool {
		_, explained := t.explainedCrashes[instance]
		return explained || slices.ContainsFunc(e.crashes, func(crash Crash) bool { return crash.Server == instance })
	}
}

// otherCrashes returns the servers that crashed within a duration, as reported by any gateway or the
// server list, without those that skip accepts.
func (t *Tracker) otherCrashes(now time.Time, within time.Duration, skip func(instance string) bool) (instances []string) {
	for instance, at := range t.crashedServers {
		if now.Sub(at) < within && !skip(instance) {
			instances = append(instances, instance)
		}
	}
	return instances
}

// serverCrashRate returns the crashes per server and second. It is needed beside the hazard rate when a
// single request is the only traffic, as no other run then observes crashes.
func (t *Tracker) serverCrashRate(now time.Time, skip func(instance string) bool) float64 {
	highest := 0.0
	for _, window := range hazardWindowBuckets {
		span := time.Duration(window) * hazardBucketDuration
		highest = max(highest, float64(len(t.otherCrashes(now, span, skip)))/span.Seconds()/float64(max(t.serverCount, 1)))
	}
	return highest
}

// updateCrashRates raises the rates of a request's recent crashes to the crash rate of other servers.
func (t *Tracker) updateCrashRates(e *entry, now time.Time) {
	own := t.ownOrExplained(e)
	rate := max(t.hazard.rate(now, own), t.serverCrashRate(now, own))
	for i := range e.crashes {
		if now.Sub(e.crashes[i].At) < recentCrashWindow {
			e.crashes[i].rate = max(e.crashes[i].rate, rate)
		}
	}
}

// observedFor returns for how long this gateway has observed crash rates, at most recentWindow.
func (t *Tracker) observedFor(now time.Time) time.Duration {
	if t.hazard.startedAt.IsZero() {
		return 0
	}
	return min(now.Sub(t.hazard.startedAt), recentCrashWindow)
}

// explainAll marks all crashes of a quarantined request as explained by it.
func (t *Tracker) explainAll(id ID, e *entry, now time.Time) {
	for _, crash := range e.crashes {
		t.explain(id, crash.Server, now)
	}
	for _, instance := range e.verdict.Servers {
		t.explain(id, instance, now)
	}
}

// explain attributes a crash to a quarantined request and removes it from the evidence against all others.
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

// liftIfExplained lifts a quarantine whose crashes are a proper subset of another request's: gateways that
// could not reach each other had quarantined a request that ran beside the real cause.
func (t *Tracker) liftIfExplained(id ID, e, other *entry, now time.Time) {
	if other == nil || e.verdict.Trials > 0 || len(e.crashes) == 0 || len(other.crashes) <= len(e.crashes) {
		return
	}
	for _, crash := range e.crashes {
		if !slices.ContainsFunc(other.crashes, func(c Crash) bool { return c.Server == crash.Server }) {
			return
		}
	}
	t.emit(Event{Kind: EventLifted, ID: id, Cause: CauseExplained, Crashes: slices.Clone(e.crashes), Verdict: cloneVerdict(e.verdict)})
	e.clear(now)
	t.notifyChange(e, true, now)
}
