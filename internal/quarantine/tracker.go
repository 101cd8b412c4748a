package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// evidenceTTL is how long a crash counts as evidence. It is long enough to detect a request that
	// arrives once every three minutes and crashes a server each time.
	evidenceTTL = 10 * time.Minute
	// maxCrashes limits the crashes stored per request. More than three are needed only while the
	// crash rate is high, and an update with this many crashes fits in a datagram.
	maxCrashes = 12
	// maxEntries limits the number of tracked requests, which take about 0.5 KB each. Each server crash
	// adds the requests that ran on the server: 20 if 650 engines run 13,000 requests.
	maxEntries = 4096
	// maxCrashedServers limits the size of each set of crashed server instances.
	maxCrashedServers = 1024
	// maxRequestsPerCrash limits the request IDs stored per crashed server. They take 16 bytes each,
	// 0.5 MB for maxCrashedServers.
	maxRequestsPerCrash = 32
	// strongSuspectCrashes is the number of crashes that makes a request a strong suspect. A single
	// crash is weak evidence, as it counts against every request on the crashed server.
	strongSuspectCrashes = 2
	// weakSuspectWait is how long a suspect with one crash waits for another run of the same request.
	// Fatal requests crash a server within 0.06 to 0.44 s, including the time in the engine's queue.
	// The limit keeps frequent harmless requests from being delayed for long.
	weakSuspectWait = time.Second
	// remoteRunTTL is how long a run at another gateway is considered ongoing without an update.
	remoteRunTTL = 2500 * time.Millisecond
	// confirmDelay is the time between announcing a run of a strong suspect and confirming it. If two
	// gateways announce runs at the same time, one of them backs off. The delay is several times the
	// latency between gateways. Evaluation waits as long for reports of other gateways.
	confirmDelay = 15 * time.Millisecond
	// observationMargin is how much longer another gateway must have observed crash rates for this one
	// to leave the evaluation to it.
	observationMargin = time.Second
	// placementTimeout limits how long a suspect waits for another suspect that has no server yet.
	placementTimeout = 100 * time.Millisecond
)

// run is an ongoing run of a suspect.
type run struct {
	key       uint64 // random, chosen by the gateway that started the run
	server    string // empty until a server is chosen
	startedAt time.Time
	confirmed bool      // the run was announced for confirmDelay and no longer backs off
	updatedAt time.Time // time of the last update; set for runs at other gateways
}

// entry is the state of one tracked request or prompt part.
type entry struct {
	name       *PartName // of a prompt part, nil if not known
	crashes    []Crash
	clearedAt  time.Time // latest time at which the request was found harmless; zero if never
	verdict    *Verdict  // nil if the request is not quarantined
	evaluateAt time.Time // when to evaluate the crashes; zero if no evaluation is pending
	localRuns  map[uint64]*run
	remoteRuns map[string][]run // by gateway
	changed    chan struct{}    // closed and replaced on each change
	exposure   exposure         // of a prompt part

	sendCount  int       // number of resends scheduled for the latest change
	nextSendAt time.Time // when to send the next update; zero if none is pending
}

func (e *entry) suspect() bool { return len(e.crashes) > 0 }

// Tracker collects evidence from all gateways about requests that may crash servers. It tracks no requests
// while no servers crash. Methods that depend on the current time take it as an argument. A Tracker is safe
// for concurrent use.
type Tracker struct {
	parts      bool         // whether the entries are prompt parts; see PartTracker
	entryCount atomic.Int64 // len(entries), readable without the lock

	mu      sync.Mutex
	entries map[ID]*entry
	// crashedServers maps each crashed server instance to the time of its crash, or to the time when it
	// became known if the former was not reported. It is used to compute the crash rate. explainedCrashes
	// holds the instances whose crash is attributed to a quarantined request.
	explainedCrashes, crashedServers map[string]time.Time
	requestsAtCrash                  map[string][]ID // requests that ran on a server when it crashed
	serverCount                      int             // number of reachable servers
	hazard                           hazardEstimator
	longerObserverSeenAt             time.Time // time of the last update from a gateway that has observed crash rates for longer
	nextDue                          time.Time // when the next update or evaluation is due; zero if none is pending
	events                           []Event
	eventsReady, updatesReady        chan struct{} // capacity 1
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{entries: map[ID]*entry{}, explainedCrashes: map[string]time.Time{}, crashedServers: map[string]time.Time{},
		requestsAtCrash: map[string][]ID{}, eventsReady: make(chan struct{}, 1), updatesReady: make(chan struct{}, 1)}
}

// HasEntries reports whether any request is tracked. It is lock-free, as it is called for every request.
func (t *Tracker) HasEntries() bool { return t.entryCount.Load() > 0 }

// entry returns the entry of a request. It creates the entry if there is none.
func (t *Tracker) entry(id ID) *entry {
	e := t.entries[id]
	if e == nil {
		if len(t.entries) >= maxEntries {
			t.evictOne()
		}
		e = &entry{localRuns: map[uint64]*run{}, remoteRuns: map[string][]run{}, changed: make(chan struct{})}
		t.entries[id] = e
		t.entryCount.Store(int64(len(t.entries)))
	}
	return e
}

// evictOne removes the entry that is first in eviction order.
func (t *Tracker) evictOne() {
	var (
		victimID ID
		victim   *entry
	)
	for id, e := range t.entries {
		if victim == nil || evictedBefore(e, victim) {
			victimID, victim = id, e
		}
	}
	t.emit(Event{Kind: EventEvicted, ID: victimID, Part: victim.name, Crashes: victim.crashes})
	t.remove(victimID)
}

// evictedBefore reports whether a is evicted before b: suspects before quarantined requests, then those
// with fewer crashes, then those whose last activity is longer ago.
func evictedBefore(a, b *entry) bool {
	if (a.verdict == nil) != (b.verdict == nil) {
		return a.verdict == nil
	}
	if len(a.crashes) != len(b.crashes) {
		return len(a.crashes) < len(b.crashes)
	}
	return a.lastActivity().Before(b.lastActivity())
}

// lastActivity returns the time of the latest evidence or verdict.
func (e *entry) lastActivity() time.Time {
	at := e.clearedAt
	for _, crash := range e.crashes {
		if crash.At.After(at) {
			at = crash.At
		}
	}
	if e.verdict != nil && e.verdict.Since.After(at) {
		at = e.verdict.Since
	}
	return at
}

func (t *Tracker) remove(id ID) {
	if e := t.entries[id]; e != nil {
		close(e.changed)
		e.changed = make(chan struct{}) // callers that still hold the entry may close the channel again
		delete(t.entries, id)
		t.entryCount.Store(int64(len(t.entries)))
	}
}

// notifyChange wakes the requests that wait for a change of the entry. If broadcast is set, it also
// schedules an update to the other gateways.
func (t *Tracker) notifyChange(e *entry, broadcast bool, now time.Time) {
	close(e.changed)
	e.changed = make(chan struct{})
	if broadcast {
		e.sendCount, e.nextSendAt = 0, now
		t.scheduleBy(now)
		signal(t.updatesReady)
	}
}

// scheduleBy makes DueUpdates process the entries no later than at the given time.
func (t *Tracker) scheduleBy(at time.Time) {
	if t.nextDue.IsZero() || at.Before(t.nextDue) {
		t.nextDue = at
	}
}

// signal sends on a channel of capacity 1 without blocking.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default: // a signal is already pending
	}
}

// RecordRun records a completed run of any request for the crash rate.
func (t *Tracker) RecordRun(d time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hazard.addRun(d, now)
}

// SetServerCount sets the number of reachable servers.
func (t *Tracker) SetServerCount(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serverCount = n
}

// RecordServerCrash records the crash of a server instance, regardless of the requests it ran.
func (t *Tracker) RecordServerCrash(instance string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordCrashTime(t.crashedServers, instance, now)
}

// recordCrashTime adds a server instance to a set with the time of its crash, unless the set is full. It
// keeps an existing time.
func (t *Tracker) recordCrashTime(set map[string]time.Time, instance string, at time.Time) {
	if _, known := set[instance]; !known && len(set) < maxCrashedServers {
		set[instance] = at
	}
}

// Rebroadcast schedules another update about a request. It is called after a check for crashed servers,
// whose result is part of the update.
func (t *Tracker) Rebroadcast(id ID, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		t.notifyChange(e, true, now)
	}
}

// KnownCrashed reports whether a server instance is known to have crashed.
func (t *Tracker) KnownCrashed(instance string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.crashedServers[instance]
	return known
}

// RecordCrash records that a server crashed while running the request for this gateway. It reports
// whether the request is now a strong suspect.
func (t *Tracker) RecordCrash(id ID, crash Crash, now time.Time) (strong bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hazard.addCrash(crash.Server, now)
	e := t.entry(id)
	if t.addCrash(id, e, crash, now) {
		t.emit(Event{Kind: EventSuspected, ID: id, Crashes: slices.Clone(e.crashes), Verdict: cloneVerdict(e.verdict)})
		t.notifyChange(e, true, now)
	}
	t.removeIfEmpty(id, e)
	return len(e.crashes) >= strongSuspectCrashes && e.verdict == nil
}

// addCrash adds a crash to the evidence against a request. It reports whether the evidence changed.
func (t *Tracker) addCrash(id ID, e *entry, crash Crash, now time.Time) bool {
	t.recordCrashTime(t.crashedServers, crash.Server, crash.At)
	_, explained := t.explainedCrashes[crash.Server]
	if e.verdict != nil && t.attributable(e, crash) {
		// The crash no longer counts as evidence against other requests on that server.
		t.explain(id, crash.Server, now)
	}
	if i := slices.IndexFunc(e.crashes, func(c Crash) bool { return c.Server == crash.Server }); i >= 0 {
		before := len(e.crashes[i].requests)
		e.crashes[i].requests = withRequests(e.crashes[i].requests, crash.requests)
		wasIsolated := e.crashes[i].isolated
		e.crashes[i].isolated = wasIsolated || crash.isolated
		return len(e.crashes[i].requests) > before || crash.isolated && !wasIsolated
	}
	if (explained && e.verdict == nil) || !crash.At.After(e.clearedAt) || now.Sub(crash.At) > evidenceTTL {
		return false
	}
	crash.rate = max(crash.rate, minCrashRate)
	e.crashes = append(e.crashes, crash)
	if t.parts && len(e.crashes) == 1 {
		e.exposure = exposure{since: crash.At, remote: map[string]float64{}}
	}
	if t.parts {
		t.scheduleEvaluation(e, now)
		return true
	}
	if len(e.crashes) > maxCrashes {
		e.crashes = withoutWeakest(e.crashes)
	}
	if ids := t.requestsAtCrash[crash.Server]; len(ids) < maxRequestsPerCrash && (ids != nil || len(t.requestsAtCrash) < maxCrashedServers) {
		t.requestsAtCrash[crash.Server] = append(ids, id)
	}
	if len(e.crashes) >= minCrashes {
		e.evaluateAt = now.Add(confirmDelay)
		t.scheduleBy(e.evaluateAt)
	}
	t.updateCrashRates(e, now)
	return true
}

// scheduleEvaluation schedules the evaluation of a prompt part after a crash has been added.
func (t *Tracker) scheduleEvaluation(e *entry, now time.Time) {
	if len(e.crashes) > maxPartCrashes {
		e.crashes = withoutWeakest(e.crashes)
	}
	if e.evaluateAt = e.evaluateAfterCrash(now); !e.evaluateAt.IsZero() {
		t.scheduleBy(e.evaluateAt)
	}
}

// removeIfEmpty removes an entry that has no crashes, verdict, clearedAt or local runs.
func (t *Tracker) removeIfEmpty(id ID, e *entry) {
	if !e.suspect() && e.verdict == nil && e.clearedAt.IsZero() && len(e.localRuns) == 0 {
		t.remove(id)
	}
}

// RecordResponse records that a server responded to the request. This clears the request, as the
// earlier crashes must have had another cause.
func (t *Tracker) RecordResponse(id ID, now time.Time) { t.clear(id, CauseAnswered, now) }

// Lift ends the quarantine of a request on behalf of an operator. It reports whether the request was
// quarantined.
func (t *Tracker) Lift(id ID, now time.Time) bool { return t.clear(id, CauseOperator, now) }

// clear removes the evidence against a request and its verdict. It reports whether the request was
// quarantined.
func (t *Tracker) clear(id ID, cause LiftCause, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || (!e.suspect() && e.verdict == nil) {
		return false
	}
	lifted := e.verdict != nil
	if lifted {
		t.emit(Event{Kind: EventLifted, ID: id, Part: e.name, Cause: cause, Crashes: slices.Clone(e.crashes), Verdict: cloneVerdict(e.verdict)})
	}
	e.clear(now)
	t.notifyChange(e, true, now)
	return lifted
}

// clear removes the evidence and the verdict that are not newer than at.
func (e *entry) clear(at time.Time) {
	if at.After(e.clearedAt) {
		e.clearedAt = at
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(crash Crash) bool { return !crash.At.After(e.clearedAt) })
	if e.verdict != nil && !e.verdict.Since.After(e.clearedAt) {
		e.verdict = nil
	}
}

// clearedTTL is how long clearedAt is kept, so that late updates from other gateways don't make the
// request a suspect again.
const clearedTTL = 30 * time.Second

// Sweep removes expired state. It must be called about once per second.
func (t *Tracker) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, set := range []map[string]time.Time{t.explainedCrashes, t.crashedServers} {
		for instance, at := range set {
			if now.Sub(at) > evidenceTTL {
				delete(set, instance)
			}
		}
	}
	for instance := range t.requestsAtCrash {
		if _, known := t.crashedServers[instance]; !known {
			delete(t.requestsAtCrash, instance)
		}
	}
	for id, e := range t.entries {
		e.crashes = slices.DeleteFunc(e.crashes, func(crash Crash) bool { return e.verdict == nil && now.Sub(crash.At) > evidenceTTL })
		t.evaluate(id, e, now)
		if e.verdict != nil && now.Sub(e.verdict.Until) > verdictTTL {
			t.emit(Event{Kind: EventLifted, ID: id, Part: e.name, Cause: CauseExpired, Verdict: cloneVerdict(e.verdict)})
			e.verdict = nil
			e.crashes = nil
		}
		if now.Sub(e.clearedAt) > clearedTTL {
			e.clearedAt = time.Time{}
		}
		for gateway, runs := range e.remoteRuns {
			if runs = slices.DeleteFunc(runs, func(r run) bool { return now.Sub(r.updatedAt) > remoteRunTTL }); len(runs) == 0 {
				delete(e.remoteRuns, gateway)
			} else {
				e.remoteRuns[gateway] = runs
			}
		}
		t.removeIfEmpty(id, e)
	}
}

// QuarantinedRequest describes a quarantined request or prompt part for operators.
type QuarantinedRequest struct {
	ID      ID
	Verdict Verdict
	Crashes []Crash
}

// List returns the quarantined requests, newest first, and the number of suspects.
func (t *Tracker) List() (list []QuarantinedRequest, suspects int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		switch {
		case e.verdict != nil:
			list = append(list, QuarantinedRequest{id, *e.verdict, slices.Clone(e.crashes)})
		case e.suspect():
			suspects++
		}
	}
	slices.SortFunc(list, func(a, b QuarantinedRequest) int { return b.Verdict.Since.Compare(a.Verdict.Since) })
	return list, suspects
}

func cloneVerdict(v *Verdict) *Verdict {
	if v == nil {
		return nil
	}
	c := *v
	return &c
}
