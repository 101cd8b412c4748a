package quarantine

import (
	"slices"
	"time"
)

// Update is the state of one request as a gateway sends it to the others. Times are sent in ms relative to
// the time of sending, because the clocks of hosts differ. Merging is idempotent and commutative, so
// updates may be lost, duplicated or reordered.
type Update struct {
	ID           []byte         `msgpack:"i"`
	Crashes      []CrashRecord  `msgpack:"e,omitempty"`
	ClearedAgoMS *int64         `msgpack:"c,omitempty"` // nil if the request was not cleared
	Verdict      *VerdictRecord `msgpack:"v,omitempty"`
	// Runs are the ongoing runs of the request at the sender.
	Runs []RunRecord `msgpack:"r,omitempty"`
	// OtherServers are server instances that crashed recently without running the request, as far as
	// the sender knows.
	OtherServers []string `msgpack:"n,omitempty"`
	// ObservedMS is how long the sender has observed crash rates, at most recentCrashWindow.
	ObservedMS int64 `msgpack:"o,omitempty"`
	// Part is the name of a prompt part. It is set once the part is a strong suspect.
	Part *PartName `msgpack:"p,omitempty"`
	// Starting is the mean number of requests with a prompt part that are starting for the sender.
	Starting float32 `msgpack:"x,omitempty"`
}

// CrashRecord is the encoded form of a Crash.
type CrashRecord struct {
	Server    string `msgpack:"s"`
	SentAgoMS int64  `msgpack:"b"`
	AgoMS     int64  `msgpack:"a"`
	// Rate is the crash rate around the time of the crash, in crashes per second of run time.
	Rate float32 `msgpack:"r"`
	// Requests are tags of the requests that ran, for prompt parts only.
	Requests []uint16 `msgpack:"q,omitempty"`
	// Isolated is set if the run was kept apart from other suspects.
	Isolated bool `msgpack:"i,omitempty"`
}

// VerdictRecord is the encoded form of a Verdict. The receiver takes the verdict's servers from the
// crashes in this and earlier updates.
type VerdictRecord struct {
	SinceAgoMS  int64 `msgpack:"s"`
	RemainingMS int64 `msgpack:"l"`
	Trials      int   `msgpack:"t,omitempty"`
	// Companions are the concatenated IDs of the companions of a prompt part.
	Companions []byte `msgpack:"c,omitempty"`
}

// RunRecord is the encoded form of an ongoing run.
type RunRecord struct {
	Key          uint64 `msgpack:"k"`
	Server       string `msgpack:"s,omitempty"`
	StartedAgoMS int64  `msgpack:"b"`
	Confirmed    bool   `msgpack:"d,omitempty"`
}

// resendDelays are the delays after which a change is sent again, each counted from the previous
// datagram. With a packet loss of 1 %, all four datagrams are lost with a probability of 1e-8.
var resendDelays = []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second}

const (
	// runRefreshInterval is how often an update about an ongoing run is sent again.
	runRefreshInterval = time.Second
	// maxUpdatesPerBatch limits the updates returned by one call of DueUpdates.
	maxUpdatesPerBatch = 64
	// maxOtherServers limits Update.OtherServers. It exceeds maxExtraCrashes because the receiver may
	// know that some of these servers ran the request after all.
	maxOtherServers = 2 * maxExtraCrashes
	// maxSnapshotUpdates limits a snapshot to about 100 KB.
	maxSnapshotUpdates = 1000
)

// DueUpdates evaluates the entries that are due and returns the updates to send to the other gateways
// now, those with the strongest evidence first.
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

// compareForSending orders entries by descending strength of evidence, the reverse of the eviction order.
func (t *Tracker) compareForSending(a, b ID) int {
	if evictedBefore(t.entries[a], t.entries[b]) {
		return 1
	}
	return -1
}

// scheduleNextSend sets nextSendAt after an update about the entry was sent.
func (e *entry) scheduleNextSend(now time.Time) {
	e.nextSendAt = time.Time{}
	if e.sendCount < len(resendDelays) {
		e.nextSendAt = now.Add(resendDelays[e.sendCount])
		e.sendCount++
	} else if len(e.localRuns) > 0 {
		e.nextSendAt = now.Add(runRefreshInterval)
	}
}

// Snapshot returns updates about all requests, up to maxSnapshotUpdates, for a gateway that has just
// started. Those with the strongest evidence are first.
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
	u := Update{ID: id[:], ObservedMS: t.observedFor(now).Milliseconds(), Starting: float32(e.exposure.concurrency(now))}
	if e.verdict != nil || len(e.crashes) >= minCrashes {
		u.Part = e.name
	}
	if len(e.crashes) >= strongSuspectCrashes {
		others := t.otherCrashes(now, recentCrashWindow, t.ownOrExplained(e))
		u.OtherServers = others[:min(len(others), maxOtherServers)]
	}
	ago := func(at time.Time) int64 { return now.Sub(at).Milliseconds() }
	for _, crash := range e.crashes {
		u.Crashes = append(u.Crashes, CrashRecord{crash.Server, ago(crash.SentAt), ago(crash.At), float32(crash.rate), crash.requests, crash.isolated})
	}
	if !e.clearedAt.IsZero() {
		cleared := ago(e.clearedAt)
		u.ClearedAgoMS = &cleared
	}
	if e.verdict != nil {
		u.Verdict = &VerdictRecord{ago(e.verdict.Since), -ago(e.verdict.Until), e.verdict.Trials, joinIDs(e.verdict.Companions)}
	}
	for _, r := range e.localRuns {
		u.Runs = append(u.Runs, RunRecord{r.key, r.server, ago(r.startedAt), r.confirmed})
	}
	return u
}

// Merge applies updates received from another gateway. Updates with an invalid ID are ignored.
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
	if e.name == nil && u.Part != nil {
		e.name = u.Part.shortened()
	}
	if u.ClearedAgoMS != nil {
		t.mergeCleared(id, e, at(*u.ClearedAgoMS))
	}
	if u.Verdict != nil {
		t.adoptVerdict(id, e, Verdict{Since: at(u.Verdict.SinceAgoMS), Until: at(-u.Verdict.RemainingMS), Trials: u.Verdict.Trials, Servers: e.crashedServersWith(u.Crashes),
			Part: e.name, Companions: splitIDs(u.Verdict.Companions)})
	}
	for _, crash := range u.Crashes {
		t.addCrash(id, e, Crash{Server: crash.Server, SentAt: at(crash.SentAgoMS), At: at(crash.AgoMS), rate: float64(crash.Rate), requests: withRequests(nil, crash.Requests), isolated: crash.Isolated}, now)
	}
	for _, instance := range u.OtherServers {
		t.recordCrashTime(t.crashedServers, instance, now)
	}
	if e.suspect() && t.parts {
		e.exposure.remote[from] = float64(u.Starting)
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

// mergeCleared clears a request that another gateway cleared at the given time.
func (t *Tracker) mergeCleared(id ID, e *entry, at time.Time) {
	if t.parts {
		t.clearPart(id, e, at, CauseOtherGateway)
		return
	}
	previous := cloneVerdict(e.verdict)
	e.clear(at)
	if previous != nil && e.verdict == nil {
		t.emit(Event{Kind: EventLifted, ID: id, Cause: CauseOtherGateway, Verdict: previous})
	}
}

// adoptVerdict applies a verdict from another gateway or the store if it supersedes the current one. A companion that
// either of them lacks is removed.
func (t *Tracker) adoptVerdict(id ID, e *entry, v Verdict) {
	if e.verdict != nil {
		v.Companions = intersect(v.Companions, e.verdict.Companions)
		e.verdict.Companions = v.Companions
	}
	if !v.Since.After(e.clearedAt) || !v.supersedes(e.verdict) {
		return
	}
	e.verdict = &v
	t.emit(Event{Kind: EventVerdictReceived, ID: id, Part: e.name, Crashes: slices.Clone(e.crashes), Verdict: cloneVerdict(&v)})
}

// crashedServersWith returns the servers crashed by the request, together with those of the given records.
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
	if e.name == nil {
		e.name = v.Part
	}
	t.adoptVerdict(id, e, v)
	if e.verdict != nil {
		t.explainAll(id, e, now)
	}
	t.notifyChange(e, false, now)
	t.removeIfEmpty(id, e)
}

// Verdict returns the verdict on a request, or nil if the request is not quarantined.
func (t *Tracker) Verdict(id ID) *Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[id]; e != nil {
		return cloneVerdict(e.verdict)
	}
	return nil
}

// Encoded sizes in bytes of the parts of an Update, rounded up and without strings.
const (
	updateHeaderSize, crashRecordSize, runRecordSize, otherServerSize = 70, 33, 30, 3
	requestTagSize, partNameSize                                      = 3, 15
)

// Size returns an upper estimate of the encoded size in bytes.
func (u Update) Size() int {
	n := updateHeaderSize
	for _, crash := range u.Crashes {
		n += crashRecordSize + len(crash.Server) + requestTagSize*len(crash.Requests)
	}
	if u.Part != nil {
		n += partNameSize + len(u.Part.Team) + len(u.Part.Model) + len(u.Part.Part)
	}
	if u.Verdict != nil {
		n += len(u.Verdict.Companions)
	}
	for _, r := range u.Runs {
		n += runRecordSize + len(r.Server)
	}
	for _, instance := range u.OtherServers {
		n += otherServerSize + len(instance)
	}
	return n
}

// joinIDs returns the concatenation of IDs.
func joinIDs(ids []ID) []byte {
	var out []byte
	for _, id := range ids {
		out = append(out, id[:]...)
	}
	return out
}

// splitIDs returns the IDs in a concatenation, up to maxCompanions.
func splitIDs(b []byte) (out []ID) {
	for chunk := range slices.Chunk(b, len(ID{})) {
		if len(chunk) == len(ID{}) && len(out) < maxCompanions {
			out = append(out, ID(chunk))
		}
	}
	return out
}
