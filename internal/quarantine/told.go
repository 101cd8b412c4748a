package quarantine

import (
	"slices"
	"time"
)

// Told is what one gateway tells another of a request. Times are told as what has passed since,
// in ms, as clocks of hosts differ. Merging is idempotent and in any order, so that words may be
// lost, repeated and late.
type Update struct {
	ID           []byte        `msgpack:"i"`
	Crashes      []CrashRecord `msgpack:"e,omitempty"`
	ClearedAgoMS *int64        `msgpack:"c,omitempty"` // nil: nothing says that it ends no servers
	Verdict      *VerdictTerms `msgpack:"v,omitempty"`
	// Runs are all runs of the request at the gateway that tells.
	Runs []RunRecord `msgpack:"r,omitempty"`
	// Others are servers that have ended lately and did not run the request as far as was known.
	OtherServers []string `msgpack:"n,omitempty"`
	// Seen is for how long the gateway has seen how often servers end, up to recent.
	ObservedMS int64 `msgpack:"o,omitempty"`
}

// ToldEnd is an End.
type CrashRecord struct {
	Server    string `msgpack:"s"`
	SentAgoMS int64  `msgpack:"b"`
	AgoMS     int64  `msgpack:"a"`
	// Rate is how often, in times a second, a run met the end of its server about then.
	Rate float32 `msgpack:"r"`
}

// ToldTerms are those of a Verdict. Its servers are those of the ends, or told before.
type VerdictTerms struct {
	SinceAgoMS  int64 `msgpack:"s"`
	RemainingMS int64 `msgpack:"l"`
	Trials      int   `msgpack:"t,omitempty"`
}

// ToldRun is a run in progress.
type RunRecord struct {
	Key          uint64 `msgpack:"k"`
	Server       string `msgpack:"s,omitempty"`
	StartedAgoMS int64  `msgpack:"b"`
	Confirmed    bool   `msgpack:"d,omitempty"`
}

// repeats are the pauses after which a change is told again, in case a datagram was lost: of
// 1 in 100 all four are lost once in 100 million.
var repeats = []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second}

const (
	// repeatRun is how often a run that goes on is told again.
	repeatRun = time.Second
	// maxTold bounds what is told in one batch. A change waits for the next one then.
	maxTold = 64
	// maxOthers bounds the other servers that are told: some may turn out to have run the request.
	maxOthers = 2 * endsForOthers
	// maxToldToNew bounds what a gateway is told that has just started: 100 KB.
	maxToldToNew = 1000
)

// Due returns what is to be told to the other gateways now, the strongest suspects first.
func (l *Tracker) DueUpdates(now time.Time) []Update {
	if !l.HasEntries() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dueAt.IsZero() || now.Before(l.dueAt) {
		return nil
	}
	l.dueAt = time.Time{}
	l.judgeDue(now)
	var due []ID
	for id, e := range l.entries {
		switch {
		case e.nextAt.IsZero():
		case now.Before(e.nextAt):
			l.dueBy(e.nextAt)
		default:
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b ID) int { return l.strongerFirst(a, b) })
	var out []Update
	for _, id := range due[:min(len(due), maxTold)] {
		e := l.entries[id]
		out = append(out, l.told(id, e, now))
		if e.schedule(now); !e.nextAt.IsZero() {
			l.dueBy(e.nextAt)
		}
	}
	if len(due) > maxTold {
		l.dueBy(now)
	}
	return out
}

// strongerFirst compares what is kept of two requests.
func (l *Tracker) strongerFirst(a, b ID) int {
	if weaker(l.entries[a], l.entries[b]) {
		return 1
	}
	return -1
}

// schedule sets when the entry is told next.
func (e *entry) schedule(now time.Time) {
	e.nextAt = time.Time{}
	if e.tells < len(repeats) {
		e.nextAt = now.Add(repeats[e.tells])
		e.tells++
	} else if len(e.own) > 0 {
		e.nextAt = now.Add(repeatRun)
	}
}

// All returns what a gateway is to be told that has just started, the strongest first.
func (l *Tracker) Snapshot(now time.Time) []Update {
	l.mu.Lock()
	defer l.mu.Unlock()
	ids := make([]ID, 0, len(l.entries))
	for id := range l.entries {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b ID) int { return l.strongerFirst(a, b) })
	var out []Update
	for _, id := range ids[:min(len(ids), maxToldToNew)] {
		out = append(out, l.told(id, l.entries[id], now))
	}
	return out
}

func (l *Tracker) told(id ID, e *entry, now time.Time) Update {
	t := Update{ID: id[:], ObservedMS: l.seen(now).Milliseconds()}
	if len(e.ends) >= strongEnds {
		others := l.othersEnded(now, recent, l.ownOf(e))
		t.OtherServers = others[:min(len(others), maxOthers)]
	}
	ago := func(at time.Time) int64 { return now.Sub(at).Milliseconds() }
	for _, end := range e.ends {
		t.Crashes = append(t.Crashes, CrashRecord{end.Server, ago(end.SentAt), ago(end.At), float32(end.rate)})
	}
	if !e.cleared.IsZero() {
		cleared := ago(e.cleared)
		t.ClearedAgoMS = &cleared
	}
	if e.verdict != nil {
		t.Verdict = &VerdictTerms{ago(e.verdict.Since), -ago(e.verdict.Until), e.verdict.Trials}
	}
	for _, r := range e.own {
		t.Runs = append(t.Runs, RunRecord{r.key, r.server, ago(r.since), r.settled})
	}
	return t
}

// Hear takes in what another gateway has told.
func (l *Tracker) Merge(told []Update, from string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range told {
		var id ID
		if len(t.ID) == len(id) {
			copy(id[:], t.ID)
			l.hear(id, t, from, now)
		}
	}
}

func (l *Tracker) hear(id ID, t Update, from string, now time.Time) {
	at := func(ago int64) time.Time { return now.Add(-time.Duration(ago) * time.Millisecond) }
	if time.Duration(t.ObservedMS)*time.Millisecond > l.seen(now)+muchLonger {
		l.elder = now
	}
	e := l.entry(id)
	if t.ClearedAgoMS != nil {
		l.heardCleared(id, e, at(*t.ClearedAgoMS))
	}
	if t.Verdict != nil {
		l.adopt(id, e, Verdict{Since: at(t.Verdict.SinceAgoMS), Until: at(-t.Verdict.RemainingMS), Trials: t.Verdict.Trials, Servers: e.serversWith(t.Crashes)})
	}
	for _, end := range t.Crashes {
		l.add(id, e, Crash{Server: end.Server, SentAt: at(end.SentAgoMS), At: at(end.AgoMS), rate: float64(end.Rate)}, now)
	}
	for _, start := range t.OtherServers {
		l.remember(l.ended, start, now)
	}
	delete(e.others, from)
	for _, r := range t.Runs {
		e.others[from] = append(e.others[from], run{key: r.Key, server: r.Server, since: at(r.StartedAgoMS), settled: r.Confirmed, heard: now})
	}
	if e.verdict != nil {
		l.explainAll(id, e, now)
	}
	l.change(e, false, now)
	if e.verdict == nil && len(e.others) == 0 {
		l.dropEmpty(id, e)
	}
}

// heardCleared takes in that another gateway knows the request to end no servers.
func (l *Tracker) heardCleared(id ID, e *entry, at time.Time) {
	had := copied(e.verdict)
	e.clear(at)
	if had != nil && e.verdict == nil {
		l.note(Event{Kind: Lifted, ID: id, Cause: Elsewhere, Verdict: had})
	}
}

// adopt takes in a verdict of another gateway, or of the store.
func (l *Tracker) adopt(id ID, e *entry, v Verdict) {
	if !v.Since.After(e.cleared) || !v.replaces(e.verdict) {
		return
	}
	e.verdict = &v
	l.note(Event{Kind: Learnt, ID: id, Crashes: slices.Clone(e.ends), Verdict: copied(&v)})
}

// serversWith returns the servers of which the entry knows, and those of further ends.
func (e *entry) serversWith(told []CrashRecord) []string {
	out := servers(e.ends)
	if e.verdict != nil {
		out = slices.Clone(e.verdict.Servers)
	}
	for _, end := range told {
		if !slices.Contains(out, end.Server) {
			out = append(out, end.Server)
		}
	}
	return out
}

// Adopt takes in a verdict that was kept in the store.
func (l *Tracker) AdoptVerdict(id ID, v Verdict, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entry(id)
	l.adopt(id, e, v)
	if e.verdict != nil {
		l.explainAll(id, e, now)
	}
	l.change(e, false, now)
	l.dropEmpty(id, e)
}

// Standing returns the verdict on a request, nil for none.
func (l *Tracker) Verdict(id ID) *Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		return copied(e.verdict)
	}
	return nil
}

// Sizes of the parts of a Told in msgpack, in bytes, rounded up; strings come on top.
const (
	toldHead, toldEndHead, toldRunHead, toldOtherHead = 70, 33, 30, 3
)

// Size is about the size of what is told, in bytes, and not below it.
func (t Update) Size() int {
	n := toldHead
	for _, end := range t.Crashes {
		n += toldEndHead + len(end.Server)
	}
	for _, r := range t.Runs {
		n += toldRunHead + len(r.Server)
	}
	for _, start := range t.OtherServers {
		n += toldOtherHead + len(start)
	}
	return n
}
