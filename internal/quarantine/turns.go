package quarantine

import (
	"slices"
	"time"
)

// Turn is the word on whether a request may be sent now. The zero Turn is that it may.
type Decision struct {
	// Verdict is not nil where the request is refused.
	Verdict *Verdict
	// TrialDue is set where the rest of the verdict is over: who gets the trial may send it.
	TrialDue bool
	// Changed is not nil where the request has to wait: it is asked for again when this is
	// closed, or after Wait.
	Changed <-chan struct{}
	Wait    time.Duration
	// Settle is how long the request waits before Confirm; it has its turn otherwise.
	ConfirmAfter time.Duration
	// Apart is set for a strong suspect: it is sent where no other suspect runs, so that the
	// next end points to one, and before nobody else.
	Isolate bool
}

// Begin asks for a turn to send the request, under a key drawn for it. Where the turn is given,
// Done must be called. Of a suspect one run goes on at a time.
func (l *Tracker) Begin(id ID, key uint64, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil {
		return Decision{}
	}
	l.judge(id, e, now)
	if e.verdict != nil {
		return Decision{Verdict: copied(e.verdict), TrialDue: !now.Before(e.verdict.Until)}
	}
	if now.Before(e.judgeAt) {
		return Decision{Changed: e.changed, Wait: e.judgeAt.Sub(now), Isolate: true}
	}
	if !e.suspect() {
		return Decision{}
	}
	strong := len(e.ends) >= strongEnds
	if wait := e.waitFor(key, strong, now); wait > 0 {
		return Decision{Changed: e.changed, Wait: wait, Isolate: strong}
	}
	e.own[key] = &run{key: key, since: now, settled: !strong}
	l.change(e, true, now)
	if strong {
		return Decision{ConfirmAfter: settle, Isolate: true}
	}
	return Decision{}
}

// waitFor returns how long a run has to wait for others that go on.
func (e *entry) waitFor(key uint64, strong bool, now time.Time) time.Duration {
	var wait time.Duration
	for _, r := range e.runs(now) {
		if r.key == key {
			continue
		}
		left := runLost
		if !strong {
			left = r.since.Add(patience).Sub(now)
		}
		wait = max(wait, left)
	}
	return wait
}

// runs returns the runs that go on, here and elsewhere.
func (e *entry) runs(now time.Time) []run {
	var out []run
	for _, r := range e.own {
		out = append(out, *r)
	}
	for _, list := range e.others {
		for _, r := range list {
			if now.Sub(r.heard) <= runLost {
				out = append(out, r)
			}
		}
	}
	return out
}

// Confirm asks again for a turn after Settle: of two that began at the same time the one with
// the lower key goes on, the other waits.
func (l *Tracker) Confirm(id ID, key uint64, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.own[key] == nil {
		return Decision{}
	}
	if e.verdict != nil {
		l.end(id, e, key, now)
		return Decision{Verdict: copied(e.verdict)}
	}
	before := func(r run) bool { return r.key != key && (r.settled || r.key < key) }
	if slices.ContainsFunc(e.runs(now), before) {
		l.end(id, e, key, now)
		return Decision{Changed: e.changed, Wait: runLost, Isolate: true}
	}
	if l.placing(id, key, now) {
		l.end(id, e, key, now)
		return Decision{Changed: e.changed, Wait: settle, Isolate: true}
	}
	e.own[key].settled = true
	l.change(e, true, now)
	return Decision{Isolate: true}
}

// placing reports whether another suspect that comes first has no server yet: suspects that are woken
// by the end of one server would else meet at the next.
func (l *Tracker) placing(id ID, key uint64, now time.Time) bool {
	first := func(r run) bool { return r.server == "" && r.key < key && now.Sub(r.since) < placingFor }
	for other, e := range l.entries {
		if other != id && slices.ContainsFunc(e.runs(now), first) {
			return true
		}
	}
	return false
}

// Check asks whether a request that has its turn, or needs none, may still be sent.
func (l *Tracker) Check(id ID, key uint64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || e.verdict == nil || e.own[key] != nil && e.own[key].settled && e.verdict.Trials > 0 {
		return Decision{}
	}
	return Decision{Verdict: copied(e.verdict)}
}

// Try begins a trial under a key: v is the verdict with which it was claimed.
func (l *Tracker) BeginTrial(id ID, key uint64, v Verdict, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(id)
	e.verdict = &v
	e.own[key] = &run{key: key, since: now, settled: true}
	l.note(Event{Kind: Renewed, ID: id, Verdict: copied(&v), Crashes: slices.Clone(e.ends)})
	l.change(e, true, now)
}

// Place says on which server a run goes on.
func (l *Tracker) SetServer(id ID, key uint64, server string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil && e.own[key] != nil {
		e.own[key].server = server
		l.change(e, true, now)
	}
}

// Done says that a run has ended. What it says of the server is told before.
func (l *Tracker) Done(id ID, key uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil && e.own[key] != nil {
		l.end(id, e, key, now)
	}
}

func (l *Tracker) end(id ID, e *entry, key uint64, now time.Time) {
	delete(e.own, key)
	l.change(e, true, now)
	l.dropEmpty(id, e)
}

// Occupied returns the servers that run suspects, without the run of a key.
func (l *Tracker) OccupiedServers(key uint64, now time.Time) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]bool{}
	for _, e := range l.entries {
		for _, r := range e.runs(now) {
			if r.key != key && r.server != "" {
				out[r.server] = true
			}
		}
	}
	return out
}
