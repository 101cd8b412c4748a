package quarantine

import (
	"slices"
	"time"
)

// Decision says whether a request may be sent now. The zero value permits it.
type Decision struct {
	// Verdict is set if the request is refused.
	Verdict *Verdict
	// TrialDue is set if the refusal period is over: the gateway that claims the trial may send the request.
	TrialDue bool
	// Changed is set if the request has to wait: call Begin again when it is closed, or after Wait.
	Changed <-chan struct{}
	Wait    time.Duration
	// ConfirmAfter, if above 0, is how long to wait before calling Confirm; otherwise no confirmation is needed.
	ConfirmAfter time.Duration
	// Isolate is set for a strong suspect: it is sent to a server that runs no other suspect, so that
	// the next crash identifies one request, and gets no precedence over other requests.
	Isolate bool
}

// Begin asks for permission to send the request, under a random key. If it is permitted, Done must be
// called. Runs of the same suspect are serialized.
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

// waitFor returns how long a run has to wait for other runs of the same request.
func (e *entry) remainingWait(key uint64, strong bool, now time.Time) time.Duration {
	var wait time.Duration
	for _, r := range e.activeRuns(now) {
		if r.key == key {
			continue
		}
		left := remoteRunTTL
		if !strong {
			left = r.startedAt.Add(weakSuspectWait).Sub(now)
		}
		wait = max(wait, left)
	}
	return wait
}

// runs returns the ongoing runs at this and the other gateways.
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

// Confirm asks again for permission after ConfirmAfter. Of two runs that began at the same time the
// one with the lower key continues and the other waits.
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
	before := func(r run) bool { return r.key != key && (r.confirmed || r.key < key) }
	if slices.ContainsFunc(e.activeRuns(now), before) {
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

// awaitingServer reports whether another suspect with a lower key has no server yet. Otherwise suspects
// that are woken by the same crash would be sent to the same server.
func (t *Tracker) awaitingServer(id ID, key uint64, now time.Time) bool {
	first := func(r run) bool { return r.server == "" && r.key < key && now.Sub(r.startedAt) < placementTimeout }
	for other, e := range t.entries {
		if other != id && slices.ContainsFunc(e.activeRuns(now), first) {
			return true
		}
	}
	return false
}

// Check reports whether a request that was permitted, or needed no permission, may still be sent.
func (t *Tracker) RecheckVerdict(id ID, key uint64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.verdict == nil || e.localRuns[key] != nil && e.localRuns[key].confirmed && e.verdict.Trials > 0 {
		return Decision{}
	}
	return Decision{Verdict: cloneVerdict(e.verdict)}
}

// BeginTrial starts a trial under a key; v is the verdict of the claim.
func (t *Tracker) BeginTrial(id ID, key uint64, v Verdict, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	e.verdict = &v
	e.localRuns[key] = &run{key: key, startedAt: now, confirmed: true}
	t.emit(Event{Kind: EventTrialStarted, ID: id, Verdict: cloneVerdict(&v), Crashes: slices.Clone(e.crashes)})
	t.notifyChange(e, true, now)
}

// SetServer sets the server on which a run is executed.
func (t *Tracker) SetServer(id ID, key uint64, server string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil && e.localRuns[key] != nil {
		e.localRuns[key].server = server
		t.notifyChange(e, true, now)
	}
}

// Done ends a run. The caller records a crash or a response first.
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

// OccupiedServers returns the servers that run suspects, except for the run with the given key.
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
