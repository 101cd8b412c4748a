package quarantine

import (
	"maps"
	"slices"
	"time"
)

// ranIsolated reports whether a serialized run of a part, or a trial, is in progress at a server and no run of another
// suspect is.
func (t *Tracker) ranIsolated(e *entry, server string, now time.Time) bool {
	atServer := func(r run) bool { return r.server == server }
	for _, other := range t.entries {
		if other != e && slices.ContainsFunc(other.activeRuns(now), atServer) {
			return false
		}
	}
	return slices.ContainsFunc(slices.Collect(maps.Values(e.localRuns)), func(r *run) bool { return r.server == server })
}

// BeginRun is like Tracker.BeginRun for a request with these parts. It also returns the part on which the decision is
// based, which identifies the run in calls of other methods.
func (t *PartTracker) BeginRun(parts []Part, key uint64, now time.Time) (ID, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if e := t.entries[p.ID]; e != nil {
			t.evaluate(p.ID, e, now)
		}
	}
	if id, v := t.verdictOn(parts, now); v != nil {
		return id, Decision{Verdict: cloneVerdict(v), TrialDue: !now.Before(v.Until)}
	}
	id, e := t.strongestSuspect(parts)
	switch {
	case e == nil:
		return ID{}, Decision{}
	case now.Before(e.evaluateAt):
		return id, Decision{Changed: e.changed, Wait: e.evaluateAt.Sub(now), Isolate: true}
	}
	if e.hasIndependentCrashes(minCrashes) {
		delay := time.Duration(t.otherCrashedRuns(id, e, parts)) * otherSuspectDelay
		if wait := e.settledAt().Add(delay).Sub(now); wait > 0 {
			return id, Decision{Changed: e.changed, Wait: wait, Isolate: true}
		}
	}
	if wait := e.remainingWait(key, true, now); wait > 0 {
		return id, Decision{Changed: e.changed, Wait: wait, Isolate: true}
	}
	e.localRuns[key] = &run{key: key, startedAt: now}
	t.notifyChange(e, true, now)
	return id, Decision{ConfirmAfter: confirmDelay, Isolate: true}
}

// verdictOn returns the verdict that applies to a request with these parts: one whose refusal period is not over, or
// else the one whose trial the request may be. It is nil if there is none.
func (t *Tracker) verdictOn(parts []Part, now time.Time) (id ID, v *Verdict) {
	has := func(id ID) bool { return slices.ContainsFunc(parts, func(p Part) bool { return p.ID == id }) }
	for _, p := range parts {
		e := t.entries[p.ID]
		if e == nil || e.verdict == nil || slices.ContainsFunc(e.verdict.Companions, func(c ID) bool { return !has(c) }) {
			continue
		}
		switch {
		case v == nil, e.verdict.Until.After(now) && !v.Until.After(now):
			id, v = p.ID, e.verdict
		case e.verdict.Until.After(now) == v.Until.After(now) && compareIDs(p.ID, id) < 0:
			id, v = p.ID, e.verdict
		}
	}
	return id, v
}

// strongestSuspect returns the part because of which runs of a request with these parts are serialized, or nil if there
// is none. Requests without all companions of a strong suspect run freely, as do those with a part whose crashes are
// better explained by another part.
func (t *Tracker) strongestSuspect(parts []Part) (id ID, strongest *entry) {
	for _, p := range parts {
		e := t.entries[p.ID]
		if e == nil || e.verdict != nil || !e.strongPart() {
			continue
		}
		companions, found := t.alternatives(p.ID, e)
		has := func(id ID) bool { return slices.ContainsFunc(parts, func(p Part) bool { return p.ID == id }) }
		if found == betterAlternative || slices.ContainsFunc(companions, func(c ID) bool { return !has(c) }) {
			continue
		}
		if strongest == nil || len(e.crashes) > len(strongest.crashes) || len(e.crashes) == len(strongest.crashes) && compareIDs(p.ID, id) < 0 {
			id, strongest = p.ID, e
		}
	}
	return id, strongest
}

// otherCrashedRuns returns the highest number of crashes of any of these parts other than a suspect and its companions.
func (t *Tracker) otherCrashedRuns(id ID, e *entry, parts []Part) (n int) {
	companions, _ := t.alternatives(id, e)
	for _, p := range parts {
		if other := t.entries[p.ID]; p.ID != id && other != nil && other.verdict == nil && !slices.Contains(companions, p.ID) {
			n = max(n, len(other.crashes))
		}
	}
	return n
}

// RecheckVerdict is like Tracker.RecheckVerdict for a request with these parts. runID and key identify its run. If Changed
// is set in the decision, the request has become a suspect since BeginRun, which must be called again.
func (t *PartTracker) RecheckVerdict(parts []Part, runID ID, key uint64, now time.Time) (ID, Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[runID]; e != nil && e.verdict != nil && e.verdict.Trials > 0 && e.localRuns[key] != nil {
		return ID{}, Decision{} // the trial
	}
	if id, v := t.verdictOn(parts, now); v != nil {
		return id, Decision{Verdict: cloneVerdict(v)}
	}
	if id, e := t.strongestSuspect(parts); e != nil && e.localRuns[key] == nil {
		return id, Decision{Changed: e.changed, Isolate: true}
	}
	return ID{}, Decision{}
}
