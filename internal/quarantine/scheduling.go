package quarantine

import (
	"slices"
	"time"
)

// Decision tells whether a request may be sent now. The zero value permits it.
type Decision struct {
	// Verdict is set if the request is refused.
	Verdict *Verdict
	// TrialDue is set if the refusal period is over and the gateway that claims the trial may send the
	// request.
	TrialDue bool
	// Changed is set if the request has to wait. BeginRun must be called again when the channel is
	// closed or after Wait, whichever comes first.
	Changed <-chan struct{}
	Wait    time.Duration
	// ConfirmAfter, if positive, is the delay after which ConfirmRun must be called before the request
	// is sent.
	ConfirmAfter time.Duration
	// Isolate is set for a strong suspect. The suspect must be sent to a server that runs no other
	// suspect, so that a crash is evidence against only one of them, and has no priority over other
	// requests.
	Isolate bool
}

// BeginRun requests permission to send a request. The caller identifies the run by a random key and must
// call EndRun if the run is permitted. Runs of the same suspect are serialized.
func (t *Tracker) BeginRun(id ID, key uint64, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return Decision{}
	}
	t.evaluate(id, e, now)
	if e.verdict != nil {
		return Decision{Verdict: cloneVerdict(e.verdict), TrialDue: !now.Before(e.verdict.Until)}
	}
	if now.Before(e.evaluateAt) {
		return Decision{Changed: e.changed, Wait: e.evaluateAt.Sub(now), Isolate: true}
	}
	if !e.suspect() {
		return Decision{}
	}
	strong := len(e.crashes) >= strongSuspectCrashes
	if wait := e.remainingWait(key, strong, now); wait > 0 {
		return Decision{Changed: e.changed, Wait: wait, Isolate: strong}
	}
	e.localRuns[key] = &run{key: key, startedAt: now, confirmed: !strong}
	t.notifyChange(e, true, now)
	if strong {
		return Decision{ConfirmAfter: confirmDelay, Isolate: true}
	}
	return Decision{}
}

// remainingWait returns how long a run still has to wait for other runs of the same request. The run may
// start if the result is not positive.
func (e *entry) remainingWait(key uint64, strong bool, now time.Time) time.Duration {
	var wait time.Duration
	for _, r := range e.activeRuns(now) {
		if r.key == key {
			continue
		}
		remaining := remoteRunTTL
		if !strong {
			remaining = r.startedAt.Add(weakSuspectWait).Sub(now)
		}
		wait = max(wait, remaining)
	}
	return wait
}

// activeRuns returns the ongoing runs of the request at all gateways.
func (e *entry) activeRuns(now time.Time) []run {
	var out []run
	for _, r := range e.localRuns {
		out = append(out, *r)
	}
	for _, list := range e.remoteRuns {
		for _, r := range list {
			if now.Sub(r.updatedAt) <= remoteRunTTL {
				out = append(out, r)
			}
		}
	}
	return out
}

// ConfirmRun requests permission again after Decision.ConfirmAfter. If two gateways started runs at the
// same time, the run with the lower key continues and the other one waits.
func (t *Tracker) ConfirmRun(id ID, key uint64, now time.Time) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.localRuns[key] == nil {
		return Decision{}
	}
	if e.verdict != nil {
		t.removeRun(id, e, key, now)
		return Decision{Verdict: cloneVerdict(e.verdict)}
	}
	hasPrecedence := func(r run) bool { return r.key != key && (r.confirmed || r.key < key) }
	if slices.ContainsFunc(e.activeRuns(now), hasPrecedence) {
		t.removeRun(id, e, key, now)
		return Decision{Changed: e.changed, Wait: remoteRunTTL, Isolate: true}
	}
	if t.awaitingServer(id, key, now) {
		t.removeRun(id, e, key, now)
		return Decision{Changed: e.changed, Wait: confirmDelay, Isolate: true}
	}
	e.localRuns[key].confirmed = true
	t.notifyChange(e, true, now)
	return Decision{Isolate: true}
}

// awaitingServer reports whether a run of another suspect with a lower key has no server yet. Waiting
// for it prevents suspects that the same crash allows to continue from being sent to the same server.
func (t *Tracker) awaitingServer(id ID, key uint64, now time.Time) bool {
	unplaced := func(r run) bool {
		return r.server == "" && r.key < key && now.Sub(r.startedAt) < placementTimeout
	}
	for otherID, e := range t.entries {
		if otherID != id && slices.ContainsFunc(e.activeRuns(now), unplaced) {
			return true
		}
	}
	return false
}

// RecheckVerdict reports whether a request may still be sent, as it may have been quarantined in the
// meantime. It is called just before sending, after BeginRun permitted the request or when no permission
// was needed.
func (t *Tracker) RecheckVerdict(id ID, key uint64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.verdict == nil || e.localRuns[key] != nil && e.localRuns[key].confirmed && e.verdict.Trials > 0 {
		return Decision{}
	}
	return Decision{Verdict: cloneVerdict(e.verdict)}
}

// BeginTrial starts a trial run that is identified by key. The verdict is the one returned by
// Persister.Claim.
func (t *Tracker) BeginTrial(id ID, key uint64, v Verdict, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.verdict = &v
	e.localRuns[key] = &run{key: key, startedAt: now, confirmed: true}
	t.emit(Event{Kind: EventTrialStarted, ID: id, Verdict: cloneVerdict(&v), Crashes: slices.Clone(e.crashes)})
	t.notifyChange(e, true, now)
}

// SetServer records the server to which a run is sent.
func (t *Tracker) SetServer(id ID, key uint64, server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && e.localRuns[key] != nil {
		e.localRuns[key].server = server
		t.notifyChange(e, true, now)
	}
}

// EndRun ends a run. If the run crashed its server or got a response, that must be recorded first.
func (t *Tracker) EndRun(id ID, key uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && e.localRuns[key] != nil {
		t.removeRun(id, e, key, now)
	}
}

func (t *Tracker) removeRun(id ID, e *entry, key uint64, now time.Time) {
	delete(e.localRuns, key)
	t.notifyChange(e, true, now)
	t.removeIfEmpty(id, e)
}

// OccupiedServers returns the servers that run suspects, ignoring the run with the given key.
func (t *Tracker) OccupiedServers(key uint64, now time.Time) map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]bool{}
	for _, e := range t.entries {
		for _, r := range e.activeRuns(now) {
			if r.key != key && r.server != "" {
				out[r.server] = true
			}
		}
	}
	return out
}
