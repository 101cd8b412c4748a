package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// keepEvidence is how long an end counts. A request that comes once in three minutes and
	// ends a server each time is found.
	keepEvidence = 10 * time.Minute
	// maxEnds bounds the ends that are kept of one request; more than three count only where
	// servers end all the time, and what is told of them fits in a datagram.
	maxEnds = 12
	// maxRequests bounds the requests of which something is kept, some 0.5 KB each. Each server that
	// ends makes suspects of what ran on it, 20 requests where 650 engines run 13,000.
	maxRequests = 4096
	// maxExplained bounds the ends whose cause is known, and those of servers that are
	// remembered for their rate.
	maxExplained = 1024
	// maxMet bounds the requests that are kept of one server that ended, 16 bytes each: 0.5 MB in all.
	maxMet = 32
	// strongEnds is the number of ends from which a request is a strong suspect. One end is
	// common: everything that ran on the server has it.
	strongEnds = 2
	// patience is for how long a suspect with one end waits for another run of the same
	// request: longer than a fatal request was seen to need, 0.06 to 0.44 s with its time in the
	// engine's queue, and short for a popular one that is innocent.
	patience = time.Second
	// runLost is how long the run of another gateway counts without a word of it.
	runLost = 2500 * time.Millisecond
	// settle is how long a strong suspect waits after it was told that it runs, so that of two
	// gateways that begin at the same time one gives way: several times the way between them.
	settle = 15 * time.Millisecond
	// muchLonger is by how much longer another gateway must have seen the servers to know better.
	muchLonger = time.Second
	// placingFor is how long another suspect waits at most for one that has no server yet.
	placingFor = 100 * time.Millisecond
)

// run is a run of a suspect in progress.
type run struct {
	key    uint64 // of the run, drawn by its gateway
	server string // empty until one is chosen
	since  time.Time
	// settled runs have been told for long enough; they give way to none.
	settled bool
	heard   time.Time // of another gateway's run
}

// entry is what is kept of one request.
type entry struct {
	ends    []Crash
	cleared time.Time // of the newest sign that it ends no servers
	verdict *Verdict
	judgeAt time.Time // when the ends are weighed; zero when they have been
	own     map[uint64]*run
	others  map[string][]run // by gateway
	changed chan struct{}    // closed and replaced at each change

	tells  int       // words about the newest change so far
	nextAt time.Time // of the next one; zero for none
}

func (e *entry) suspect() bool { return len(e.ends) > 0 }

// Ledger keeps what is known of requests that may end servers, here and at the other gateways.
// It is empty on a calm day. It decides nothing about time: the caller's now is passed to each
// method. It is safe for concurrent use.
type Tracker struct {
	watching atomic.Int64 // entries

	mu      sync.Mutex
	entries map[ID]*entry
	// explained are ends of servers whose cause has a verdict, ended those of any, by start.
	explained, ended map[string]time.Time
	met              map[string][]ID // the requests that a server ran when it ended
	servers          int             // that can be reached, as last said
	hazard           hazard
	elder            time.Time // when a gateway was heard last that has seen more than this one
	dueAt            time.Time // when something is to be told or judged next; zero for never
	events           []Event
	news, telling    chan struct{} // have room for one each
}

// New returns an empty ledger.
func New() *Tracker {
	return &Tracker{entries: map[ID]*entry{}, explained: map[string]time.Time{}, ended: map[string]time.Time{},
		met: map[string][]ID{}, news: make(chan struct{}, 1), telling: make(chan struct{}, 1)}
}

// Watching reports whether there is anything to compare requests with.
func (l *Tracker) HasEntries() bool { return l.watching.Load() > 0 }

// entry returns what is kept of a request, made when it is first asked for.
func (l *Tracker) entry(id ID) *entry {
	e := l.entries[id]
	if e == nil {
		if len(l.entries) >= maxRequests {
			l.makeRoom()
		}
		e = &entry{own: map[uint64]*run{}, others: map[string][]run{}, changed: make(chan struct{})}
		l.entries[id] = e
		l.watching.Store(int64(len(l.entries)))
	}
	return e
}

// makeRoom drops the suspect with the fewest ends, of these the oldest; verdicts go last.
func (l *Tracker) makeRoom() {
	var (
		least   ID
		weakest *entry
	)
	for id, e := range l.entries {
		if weakest == nil || weaker(e, weakest) {
			least, weakest = id, e
		}
	}
	l.note(Event{Kind: Dropped, ID: least, Crashes: weakest.ends})
	l.drop(least)
}

func weaker(a, b *entry) bool {
	if (a.verdict == nil) != (b.verdict == nil) {
		return a.verdict == nil
	}
	if len(a.ends) != len(b.ends) {
		return len(a.ends) < len(b.ends)
	}
	return a.newest().Before(b.newest())
}

// newest is the time of the newest that is known.
func (e *entry) newest() time.Time {
	at := e.cleared
	for _, end := range e.ends {
		if end.At.After(at) {
			at = end.At
		}
	}
	if e.verdict != nil && e.verdict.Since.After(at) {
		at = e.verdict.Since
	}
	return at
}

func (l *Tracker) drop(id ID) {
	if e := l.entries[id]; e != nil {
		close(e.changed)
		e.changed = make(chan struct{}) // whoever still holds the entry may change it
		delete(l.entries, id)
		l.watching.Store(int64(len(l.entries)))
	}
}

// change wakes those who wait for the request, and has the change told to the other gateways
// where it is this one's to tell.
func (l *Tracker) change(e *entry, tell bool, now time.Time) {
	close(e.changed)
	e.changed = make(chan struct{})
	if tell {
		e.tells, e.nextAt = 0, now
		l.dueBy(now)
		wake(l.telling)
	}
}

// dueBy has Due look through the entries at a moment, if not before.
func (l *Tracker) dueBy(at time.Time) {
	if l.dueAt.IsZero() || at.Before(l.dueAt) {
		l.dueAt = at
	}
}

// wake leaves word on a channel that has room for one.
func wake(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default: // it is awake
	}
}

// Ran counts a run of any request that has come to its end.
func (l *Tracker) RecordRun(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hazard.ran(d, now)
}

// SetServers says how many servers can be reached.
func (l *Tracker) SetServerCount(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers = n
}

// ServerEnded takes in that a server has ended, whatever it ran.
func (l *Tracker) RecordServerCrash(start string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remember(l.ended, start, now)
}

// remember keeps the first time at which a server was known to have ended.
func (l *Tracker) remember(in map[string]time.Time, start string, at time.Time) {
	if _, known := in[start]; !known && len(in) < maxExplained {
		in[start] = at
	}
}

// Surveyed has the others told again of a request for which servers were looked after.
func (l *Tracker) Rebroadcast(id ID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		l.change(e, true, now)
	}
}

// Known reports whether a server is known to have ended.
func (l *Tracker) KnownCrashed(start string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.ended[start]
	return known
}

// Ended takes in that a server has ended while it ran the request for this gateway, and reports whether
// the request is a strong suspect.
func (l *Tracker) RecordCrash(id ID, end Crash, now time.Time) (strong bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hazard.hit(end.Server, now)
	e := l.entry(id)
	if l.add(id, e, end, now) {
		l.note(Event{Kind: Suspected, ID: id, Crashes: slices.Clone(e.ends), Verdict: copied(e.verdict)})
		l.change(e, true, now)
	}
	l.dropEmpty(id, e)
	return len(e.ends) >= strongEnds && e.verdict == nil
}

// add keeps an end; false where it says nothing new.
func (l *Tracker) add(id ID, e *entry, end Crash, now time.Time) bool {
	l.remember(l.ended, end.Server, end.At)
	_, explained := l.explained[end.Server]
	if e.verdict != nil {
		// It explains the end to all others that ran there.
		l.explain(id, end.Server, now)
	}
	known := slices.ContainsFunc(e.ends, func(other Crash) bool { return other.Server == end.Server })
	if known || (explained && e.verdict == nil) || !end.At.After(e.cleared) || now.Sub(end.At) > keepEvidence {
		return false
	}
	end.rate = max(end.rate, leastHazard)
	e.ends = append(e.ends, end)
	if len(e.ends) > maxEnds {
		e.ends = withoutOne(e.ends)
	}
	if met := l.met[end.Server]; len(met) < maxMet && (met != nil || len(l.met) < maxExplained) {
		l.met[end.Server] = append(met, id)
	}
	if len(e.ends) >= endsForVerdict {
		e.judgeAt = now.Add(settle)
		l.dueBy(e.judgeAt)
	}
	l.weigh(e, now)
	return true
}

// dropEmpty drops an entry of which nothing is left to know.
func (l *Tracker) dropEmpty(id ID, e *entry) {
	if !e.suspect() && e.verdict == nil && e.cleared.IsZero() && len(e.own) == 0 {
		l.drop(id)
	}
}

// Completed takes in that the request was answered by a server: what ended the servers before
// was something else.
func (l *Tracker) RecordResponse(id ID, now time.Time) { l.clear(id, Answered, now) }

// Lift ends the quarantine of a request on an operator's word; false if it has none.
func (l *Tracker) Lift(id ID, now time.Time) bool { return l.clear(id, ByOperator, now) }

func (l *Tracker) clear(id ID, why Cause, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	if e == nil || (!e.suspect() && e.verdict == nil) {
		return false
	}
	lifted := e.verdict != nil
	if lifted {
		l.note(Event{Kind: Lifted, ID: id, Cause: why, Crashes: slices.Clone(e.ends), Verdict: copied(e.verdict)})
	}
	e.clear(now)
	l.change(e, true, now)
	return lifted
}

// clear forgets what came up to a time.
func (e *entry) clear(at time.Time) {
	if at.After(e.cleared) {
		e.cleared = at
	}
	e.ends = slices.DeleteFunc(e.ends, func(end Crash) bool { return !end.At.After(e.cleared) })
	if e.verdict != nil && !e.verdict.Since.After(e.cleared) {
		e.verdict = nil
	}
}

// keepCleared is how long it is kept that a request ends no servers, against late words of
// others that it may.
const keepCleared = 30 * time.Second

// Sweep forgets what is too old. It is called every second or so.
func (l *Tracker) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range []map[string]time.Time{l.explained, l.ended} {
		for start, at := range known {
			if now.Sub(at) > keepEvidence {
				delete(known, start)
			}
		}
	}
	for start := range l.met {
		if _, known := l.ended[start]; !known {
			delete(l.met, start)
		}
	}
	for id, e := range l.entries {
		e.ends = slices.DeleteFunc(e.ends, func(end Crash) bool { return e.verdict == nil && now.Sub(end.At) > keepEvidence })
		l.judge(id, e, now)
		if e.verdict != nil && now.Sub(e.verdict.Until) > forgetAfter {
			l.note(Event{Kind: Lifted, ID: id, Cause: Forgotten, Verdict: copied(e.verdict)})
			e.verdict = nil
			e.ends = nil
		}
		if now.Sub(e.cleared) > keepCleared {
			e.cleared = time.Time{}
		}
		for gateway, runs := range e.others {
			if runs = slices.DeleteFunc(runs, func(r run) bool { return now.Sub(r.heard) > runLost }); len(runs) == 0 {
				delete(e.others, gateway)
			} else {
				e.others[gateway] = runs
			}
		}
		l.dropEmpty(id, e)
	}
}

// Quarantined is a request with a verdict, for operators.
type QuarantinedRequest struct {
	ID      ID
	Verdict Verdict
	Crashes []Crash
}

// Quarantine lists the requests with a verdict, the newest first, and counts the suspects.
func (l *Tracker) List() (list []QuarantinedRequest, suspects int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, e := range l.entries {
		switch {
		case e.verdict != nil:
			list = append(list, QuarantinedRequest{id, *e.verdict, slices.Clone(e.ends)})
		case e.suspect():
			suspects++
		}
	}
	slices.SortFunc(list, func(a, b QuarantinedRequest) int { return b.Verdict.Since.Compare(a.Verdict.Since) })
	return list, suspects
}

func copied(v *Verdict) *Verdict {
	if v == nil {
		return nil
	}
	c := *v
	return &c
}
