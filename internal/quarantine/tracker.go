package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// evidenceTTL is how long a crash counts as evidence. It is long enough to detect a request that
	// arrives every three minutes and crashes a server each time.
	evidenceTTL = 10 * time.Minute
	// maxCrashes bounds the crashes that are kept for a request. More than three matter only while
	// servers crash all the time, and an update with this many fits in a datagram.
	maxCrashes = 12
	// maxEntries bounds the tracked requests, about 0.5 KB each. Each server crash adds the requests
	// that ran on the server: 20 when 650 engines run 13,000 requests.
	maxEntries = 4096
	// maxServers bounds each set of crashed servers: the explained ones, and all of them, which are
	// kept for the crash rate.
	maxCrashedServers = 1024
	// maxRequestsPerCrash bounds the request IDs kept for a crashed server, 16 bytes each: 0.5 MB in all.
	maxRequestsPerCrash = 32
	// strongCrashes is the number of crashes that makes a request a strong suspect. One crash is
	// common: every request on the crashed server has it.
	strongSuspectCrashes = 2
	// weakSuspectWait is how long a suspect with one crash waits for another run of the same request.
	// It is longer than fatal requests took to crash a server (0.06 to 0.44 s including the engine's
	// queue) and short enough for a popular harmless request.
	weakSuspectWait = time.Second
	// remoteRunTTL is how long a run at another gateway counts without an update about it.
	remoteRunTTL = 2500 * time.Millisecond
	// confirmDelay is how long a strong suspect waits after its run was announced, so that of two
	// gateways that begin at the same time one backs off. It is several times the latency between
	// gateways. Evaluation waits as long for the reports of other gateways.
	confirmDelay = 15 * time.Millisecond
	// observationMargin is how much longer another gateway must have observed servers to take precedence.
	observationMargin = time.Second
	// placementTimeout bounds how long a suspect waits for another suspect that has no server yet.
	placementTimeout = 100 * time.Millisecond
)

// run is an ongoing run of a suspect.
type run struct {
	key       uint64 // random, chosen by the gateway
	server    string // empty until a server is chosen
	startedAt time.Time
	// confirmed runs were announced for at least confirmDelay and don't back off.
	confirmed bool
	updatedAt time.Time // last update, for a run at another gateway
}

// entry holds what is known about one request.
type entry struct {
	crashes    []Crash
	clearedAt  time.Time // latest evidence that the request is harmless
	verdict    *Verdict
	evaluateAt time.Time // when the crashes are to be evaluated; zero if they have been
	localRuns  map[uint64]*run
	remoteRuns map[string][]run // by gateway
	changed    chan struct{}    // closed and replaced on each change

	sendCount  int       // updates sent about the latest change
	nextSendAt time.Time // of the next update; zero for none
}

func (e *entry) suspect() bool { return len(e.crashes) > 0 }

// Tracker collects evidence about requests that may crash servers, from this gateway and the others.
// It is empty while no servers crash. It has no clock: the current time is passed to each method.
// It is safe for concurrent use.
type Tracker struct {
	entryCount atomic.Int64 // len(entries), readable without the lock

	mu      sync.Mutex
	entries map[ID]*entry
	// explained are the crashed server instances whose cause is quarantined, crashed are all of them,
	// each with the time when this became known.
	explainedCrashes, crashedServers map[string]time.Time
	requestsAtCrash                  map[string][]ID // the requests that ran on a server when it crashed
	serverCount                      int             // reachable servers, as last reported
	hazard                           hazardEstimator
	longerObserverSeenAt             time.Time // last update from a gateway that has observed servers for longer
	nextDue                          time.Time // when the next update or evaluation is due; zero for never
	events                           []Event
	eventsReady, updatesReady        chan struct{} // hold one signal each
}

// New returns an empty tracker.
func New() *Tracker {
	return &Tracker{entries: map[ID]*entry{}, explainedCrashes: map[string]time.Time{}, crashedServers: map[string]time.Time{},
		requestsAtCrash: map[string][]ID{}, eventsReady: make(chan struct{}, 1), updatesReady: make(chan struct{}, 1)}
}

// HasEntries reports whether any request is tracked. It takes no lock.
func (t *Tracker) HasEntries() bool { return t.entryCount.Load() > 0 }

// entry returns the entry of a request, creating it if needed.
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

// evictWeakest removes the suspect with the fewest crashes, the oldest among equals. Quarantined requests go last.
func (t *Tracker) evictOne() {
	var (
		least   ID
		weakest *entry
	)
	for id, e := range t.entries {
		if weakest == nil || evictedBefore(e, weakest) {
			least, weakest = id, e
		}
	}
	t.emit(Event{Kind: EventEvicted, ID: least, Crashes: weakest.crashes})
	t.remove(least)
}

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
		e.changed = make(chan struct{}) // a caller that still holds the entry may close it again
		delete(t.entries, id)
		t.entryCount.Store(int64(len(t.entries)))
	}
}

// changed wakes requests that wait on the entry. With broadcast, the change is also sent to the other gateways.
func (t *Tracker) notifyChange(e *entry, broadcast bool, now time.Time) {
	close(e.changed)
	e.changed = make(chan struct{})
	if broadcast {
		e.sendCount, e.nextSendAt = 0, now
		t.scheduleBy(now)
		signal(t.updatesReady)
	}
}

// scheduleBy makes DueUpdates examine the entries at the given time at the latest.
func (t *Tracker) scheduleBy(at time.Time) {
	if t.nextDue.IsZero() || at.Before(t.nextDue) {
		t.nextDue = at
	}
}

// signal sends a signal on a channel of capacity one without blocking.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default: // a signal is already pending
	}
}

// RecordRun counts a completed run of any request.
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

// RecordServerCrash records the crash of a server, whatever it ran.
func (t *Tracker) RecordServerCrash(instance string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordCrashTime(t.crashedServers, instance, now)
}

// recordFirst records when a server was first known to have crashed.
func (t *Tracker) recordCrashTime(in map[string]time.Time, instance string, at time.Time) {
	if _, known := in[instance]; !known && len(in) < maxCrashedServers {
		in[instance] = at
	}
}

// Rebroadcast sends the update about a request again, after a check for crashed servers.
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

// RecordCrash records that a server crashed while running the request for this gateway, and reports
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

// addCrash adds a crash to the evidence; false if it adds nothing.
func (t *Tracker) addCrash(id ID, e *entry, crash Crash, now time.Time) bool {
	t.recordCrashTime(t.crashedServers, crash.Server, crash.At)
	_, explained := t.explainedCrashes[crash.Server]
	if e.verdict != nil {
		// The verdict explains the crash for all other requests on that server.
		t.explain(id, crash.Server, now)
	}
	known := slices.ContainsFunc(e.crashes, func(c Crash) bool { return c.Server == crash.Server })
	if known || (explained && e.verdict == nil) || !crash.At.After(e.clearedAt) || now.Sub(crash.At) > evidenceTTL {
		return false
	}
	crash.rate = max(crash.rate, minCrashRate)
	e.crashes = append(e.crashes, crash)
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

// removeIfEmpty removes an entry that holds no information.
func (t *Tracker) removeIfEmpty(id ID, e *entry) {
	if !e.suspect() && e.verdict == nil && e.clearedAt.IsZero() && len(e.localRuns) == 0 {
		t.remove(id)
	}
}

// RecordResponse records that a server answered the request, which clears it: the earlier crashes had
// another cause.
func (t *Tracker) RecordResponse(id ID, now time.Time) { t.clear(id, CauseAnswered, now) }

// Lift ends the quarantine of a request for an operator; false if it is not quarantined.
func (t *Tracker) Lift(id ID, now time.Time) bool { return t.clear(id, CauseOperator, now) }

func (t *Tracker) clear(id ID, why LiftCause, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || (!e.suspect() && e.verdict == nil) {
		return false
	}
	lifted := e.verdict != nil
	if lifted {
		t.emit(Event{Kind: EventLifted, ID: id, Cause: why, Crashes: slices.Clone(e.crashes), Verdict: cloneVerdict(e.verdict)})
	}
	e.clear(now)
	t.notifyChange(e, true, now)
	return lifted
}

// clear drops evidence and verdicts up to a time.
func (e *entry) clear(at time.Time) {
	if at.After(e.clearedAt) {
		e.clearedAt = at
	}
	e.crashes = slices.DeleteFunc(e.crashes, func(crash Crash) bool { return !crash.At.After(e.clearedAt) })
	if e.verdict != nil && !e.verdict.Since.After(e.clearedAt) {
		e.verdict = nil
	}
}

// clearedTTL is how long it is remembered that a request was cleared, so that late updates from other
// gateways don't make it a suspect again.
const clearedTTL = 30 * time.Second

// Sweep removes expired entries. It is to be called about once a second.
func (t *Tracker) Sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, known := range []map[string]time.Time{t.explainedCrashes, t.crashedServers} {
		for instance, at := range known {
			if now.Sub(at) > evidenceTTL {
				delete(known, instance)
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
			t.emit(Event{Kind: EventLifted, ID: id, Cause: CauseExpired, Verdict: cloneVerdict(e.verdict)})
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

// QuarantinedRequest describes a quarantined request to operators.
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
