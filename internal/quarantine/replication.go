package quarantine

import (
	"slices"
	"time"
)

// Update is the state of one request that a gateway sends to the others. Times are sent as an age in
// ms, as the clocks of hosts differ. Merging is idempotent and commutative, so updates may be lost,
// repeated or reordered.
type Update struct {
	ID           []byte         `msgpack:"i"`
	Crashes      []CrashRecord  `msgpack:"e,omitempty"`
	ClearedAgoMS *int64         `msgpack:"c,omitempty"` // nil if the request was not cleared
	Verdict      *VerdictRecord `msgpack:"v,omitempty"`
	// Runs are all ongoing runs of the request at the sending gateway.
	Runs []RunRecord `msgpack:"r,omitempty"`
	// OtherServers are servers that crashed recently without running the request, as far as is known.
	OtherServers []string `msgpack:"n,omitempty"`
	// ObservedMS is for how long the sender has observed crash rates, up to recentWindow.
	ObservedMS int64 `msgpack:"o,omitempty"`
}

// CrashRecord is the encoded form of a Crash.
type CrashRecord struct {
	Server    string `msgpack:"s"`
	SentAgoMS int64  `msgpack:"b"`
	AgoMS     int64  `msgpack:"a"`
	// Rate is the crash rate around that time: crashes per second of run time.
	Rate float32 `msgpack:"r"`
}

// VerdictTerms is the encoded form of a Verdict. Its servers are those of the crashes or of earlier updates.
type VerdictRecord struct {
	SinceAgoMS  int64 `msgpack:"s"`
	RemainingMS int64 `msgpack:"l"`
	Trials      int   `msgpack:"t,omitempty"`
}

// RunRecord is the encoded form of an ongoing run.
type RunRecord struct {
	Key          uint64 `msgpack:"k"`
	Server       string `msgpack:"s,omitempty"`
	StartedAgoMS int64  `msgpack:"b"`
	Confirmed    bool   `msgpack:"d,omitempty"`
}

// resendDelays are the delays after which a change is sent again in case a datagram was lost. At 1 %
// loss, all four datagrams are lost once in 100 million.
var resendDelays = []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second}

const (
	// runRefreshInterval is how often an ongoing run is announced again.
	runRefreshInterval = time.Second
	// maxUpdatesPerBatch bounds one batch; further updates wait for the next one.
	maxUpdatesPerBatch = 64
	// maxOtherServers bounds OtherServers. It exceeds maxExtraCrashes because some of the servers may
	// turn out to have run the request.
	maxOtherServers = 2 * maxExtraCrashes
	// maxSnapshotUpdates bounds what is sent to a gateway that has just started: 100 KB.
	maxSnapshotUpdates = 1000
)

// DueUpdates returns the updates to send to the other gateways now, the strongest suspects first.
func (t *Tracker) DueUpdates(now time.Time) []Update {
	if !t.HasEntries() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nextDue.IsZero() || now.Before(t.nextDue) {
		return nil
	}
	t.nextDue = time.Time{}
	t.evaluateDue(now)
	var due []ID
	for id, e := range t.entries {
		switch {
		case e.nextSendAt.IsZero():
		case now.Before(e.nextSendAt):
			t.scheduleBy(e.nextSendAt)
		default:
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b ID) int { return t.compareForSending(a, b) })
	var out []Update
	for _, id := range due[:min(len(due), maxUpdatesPerBatch)] {
		e := t.entries[id]
		out = append(out, t.update(id, e, now))
		if e.scheduleNextSend(now); !e.nextSendAt.IsZero() {
			t.scheduleBy(e.nextSendAt)
		}
	}
	if len(due) > maxUpdatesPerBatch {
		t.scheduleBy(now)
	}
	return out
}

// compareStrength orders entries by descending strength.
func (t *Tracker) compareForSending(a, b ID) int {
	if evictedBefore(t.entries[a], t.entries[b]) {
		return 1
	}
	return -1
}

// scheduleNextSend sets when the next update about the entry is sent.
func (e *entry) scheduleNextSend(now time.Time) {
	e.nextSendAt = time.Time{}
	if e.sendCount < len(resendDelays) {
		e.nextSendAt = now.Add(resendDelays[e.sendCount])
		e.sendCount++
	} else if len(e.localRuns) > 0 {
		e.nextSendAt = now.Add(runRefreshInterval)
	}
}

// Snapshot returns the updates for a gateway that has just started, the strongest first.
func (t *Tracker) Snapshot(now time.Time) []Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]ID, 0, len(t.entries))
	for id := range t.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ID) int { return t.compareForSending(a, b) })
	var out []Update
	for _, id := range ids[:min(len(ids), maxSnapshotUpdates)] {
		out = append(out, t.update(id, t.entries[id], now))
	}
	return out
}

func (t *Tracker) update(id ID, e *entry, now time.Time) Update {
	u := Update{ID: id[:], ObservedMS: t.observedFor(now).Milliseconds()}
	if len(e.crashes) >= strongSuspectCrashes {
		others := t.otherCrashes(now, recentCrashWindow, t.ownOrExplained(e))
		u.OtherServers = others[:min(len(others), maxOtherServers)]
	}
	ago := func(at time.Time) int64 { return now.Sub(at).Milliseconds() }
	for _, crash := range e.crashes {
		u.Crashes = append(u.Crashes, CrashRecord{crash.Server, ago(crash.SentAt), ago(crash.At), float32(crash.rate)})
	}
	if !e.clearedAt.IsZero() {
		cleared := ago(e.clearedAt)
		u.ClearedAgoMS = &cleared
	}
	if e.verdict != nil {
		u.Verdict = &VerdictRecord{ago(e.verdict.Since), -ago(e.verdict.Until), e.verdict.Trials}
	}
	for _, r := range e.localRuns {
		u.Runs = append(u.Runs, RunRecord{r.key, r.server, ago(r.startedAt), r.confirmed})
	}
	return u
}

// Merge applies the updates of another gateway.
func (t *Tracker) Merge(updates []Update, from string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range updates {
		var id ID
		if len(u.ID) == len(id) {
			copy(id[:], u.ID)
			t.merge(id, u, from, now)
		}
	}
}

func (t *Tracker) merge(id ID, u Update, from string, now time.Time) {
	at := func(ago int64) time.Time { return now.Add(-time.Duration(ago) * time.Millisecond) }
	if time.Duration(u.ObservedMS)*time.Millisecond > t.observedFor(now)+observationMargin {
		t.longerObserverSeenAt = now
	}
	e := t.entry(id)
	if u.ClearedAgoMS != nil {
		t.mergeCleared(id, e, at(*u.ClearedAgoMS))
	}
	if u.Verdict != nil {
		t.adoptVerdict(id, e, Verdict{Since: at(u.Verdict.SinceAgoMS), Until: at(-u.Verdict.RemainingMS), Trials: u.Verdict.Trials, Servers: e.crashedServersWith(u.Crashes)})
	}
	for _, crash := range u.Crashes {
		t.addCrash(id, e, Crash{Server: crash.Server, SentAt: at(crash.SentAgoMS), At: at(crash.AgoMS), rate: float64(crash.Rate)}, now)
	}
	for _, instance := range u.OtherServers {
		t.recordCrashTime(t.crashedServers, instance, now)
	}
	delete(e.remoteRuns, from)
	for _, r := range u.Runs {
		e.remoteRuns[from] = append(e.remoteRuns[from], run{key: r.Key, server: r.Server, startedAt: at(r.StartedAgoMS), confirmed: r.Confirmed, updatedAt: now})
	}
	if e.verdict != nil {
		t.explainAll(id, e, now)
	}
	t.notifyChange(e, false, now)
	if e.verdict == nil && len(e.remoteRuns) == 0 {
		t.removeIfEmpty(id, e)
	}
}

// mergeCleared applies another gateway's knowledge that the request is harmless.
func (t *Tracker) mergeCleared(id ID, e *entry, at time.Time) {
	had := cloneVerdict(e.verdict)
	e.clear(at)
	if had != nil && e.verdict == nil {
		t.emit(Event{Kind: EventLifted, ID: id, Cause: CauseOtherGateway, Verdict: had})
	}
}

// adoptVerdict applies a verdict of another gateway or from the store, if it supersedes the known one.
func (t *Tracker) adoptVerdict(id ID, e *entry, v Verdict) {
	if !v.Since.After(e.clearedAt) || !v.supersedes(e.verdict) {
		return
	}
	e.verdict = &v
	t.emit(Event{Kind: EventVerdictReceived, ID: id, Crashes: slices.Clone(e.crashes), Verdict: cloneVerdict(&v)})
}

// serversWith returns the entry's crashed servers together with those of further crashes.
func (e *entry) crashedServersWith(records []CrashRecord) []string {
	out := serversOf(e.crashes)
	if e.verdict != nil {
		out = slices.Clone(e.verdict.Servers)
	}
	for _, crash := range records {
		if !slices.Contains(out, crash.Server) {
			out = append(out, crash.Server)
		}
	}
	return out
}

// AdoptVerdict applies a verdict from the store.
func (t *Tracker) AdoptVerdict(id ID, v Verdict, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entry(id)
	t.adoptVerdict(id, e, v)
	if e.verdict != nil {
		t.explainAll(id, e, now)
	}
	t.notifyChange(e, false, now)
	t.removeIfEmpty(id, e)
}

// Verdict returns the verdict on a request, nil for none.
func (t *Tracker) Verdict(id ID) *Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		return cloneVerdict(e.verdict)
	}
	return nil
}

// Encoded sizes of the parts of an Update in bytes, rounded up, without strings.
const (
	updateHeaderSize, crashRecordSize, runRecordSize, otherServerSize = 70, 33, 30, 3
)

// Size returns an upper estimate of the encoded size in bytes.
func (u Update) Size() int {
	n := updateHeaderSize
	for _, crash := range u.Crashes {
		n += crashRecordSize + len(crash.Server)
	}
	for _, r := range u.Runs {
		n += runRecordSize + len(r.Server)
	}
	for _, instance := range u.OtherServers {
		n += otherServerSize + len(instance)
	}
	return n
}
