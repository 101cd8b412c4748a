// Package permit decides when a request with a long prompt may be sent to a model
// engine, and to which. One gateway decides for a group of engines; it only gives
// leave, and the asker sends the request to the engine itself, so that no answer
// depends on the one who decides. There is no clock and no network here.
//
// It answers a load in which more prompts arrive than the engines read. Left alone
// the engines take them all in, their memory fills, cached parts and running
// requests are thrown out and read again, and every answer comes late. One queue for
// a group of engines leaves none of them idle while prompts wait for another, and
// knows where a shared part can be had.
package permit

import (
	"cmp"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

const (
	// targetMargin is kept between the expected begin of the reading and the target:
	// it is what a mean prompt takes to be read.
	targetMargin = 300 * time.Millisecond
	// lateShare is the part of its limit that a request which can't be on time any
	// more may wait. The rest is for its answer.
	lateShare = 0.5
	// shortestReturn and longestReturn bound what a refused caller is told.
	shortestReturn, longestReturn = 500 * time.Millisecond, 5 * time.Second
)

// entry is an ask that is waiting or granted.
type entry struct {
	ask     Ask
	arrived time.Time
	number  uint64 // in the order of arrival
	granted time.Time
	engine  *engine // of a granted ask
	fetch   string  // engine from which it is to fetch the shared part
	unread  int     // tokens that the engine was expected to read
	read    bool
}

// Queue decides for one group of engines. It is not safe for concurrent use.
type Queue struct {
	engines  map[string]*engine
	ordered  []*engine // in order of ID
	prefixes prefixes
	waiting  []*entry
	asked    map[string]*entry // waiting, by ID
	granted  map[string]*entry
	numbers  uint64 // of asks so far
}

// NewQueue returns an empty queue without engines.
func NewQueue() *Queue {
	return &Queue{engines: map[string]*engine{}, prefixes: newPrefixes(), asked: map[string]*entry{}, granted: map[string]*entry{}}
}

// SetEngines tells which engines the group has now.
func (q *Queue) SetEngines(list []Engine) {
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
		e := q.engines[l.ID]
		if e == nil {
			e = newEngine(l.ID)
			q.engines[l.ID] = e
			q.ordered = append(q.ordered, e)
		}
		e.open, e.spare = l.Open, l.Spare
	}
	q.ordered = slices.DeleteFunc(q.ordered, func(e *engine) bool {
		if !listed[e.id] {
			e.open = false
			delete(q.engines, e.id)
		}
		return !listed[e.id]
	})
	slices.SortFunc(q.ordered, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
}

// Ask takes in an ask; asking again with the same ID repeats the answer.
func (q *Queue) Ask(a Ask, now time.Time) Answer {
	if e := q.granted[a.ID]; e != nil {
		return q.grantAnswer(e)
	}
	if q.asked[a.ID] != nil {
		return Answer{ID: a.ID, Verdict: Queued}
	}
	q.numbers++
	e := &entry{ask: a, arrived: now, number: q.numbers}
	if len(q.ordered) == 0 {
		// This gateway has not read the list of engines yet, or reads an older one. The
		// asker has one to go by.
		return Answer{ID: a.ID, Verdict: Granted}
	}
	// What is ahead counts, not the request's own reading: long prompts are to be
	// refused no sooner than short ones.
	wait := q.wait(e, now)
	if !q.anyUsable(a, now) {
		return q.answer(a.ID, Refused, shortestReturn)
	}
	if wait > a.Limit || wait > a.Target-targetMargin && wait > time.Duration(lateShare*float64(a.Limit)) {
		return q.answer(a.ID, Refused, comeBack(wait, a))
	}
	first := !slices.ContainsFunc(q.waiting, func(other *entry) bool { return q.precedes(other, e, now) })
	if first && q.place(e, now) {
		return q.grantAnswer(e)
	}
	q.waiting = append(q.waiting, e)
	q.asked[a.ID] = e
	return q.answer(a.ID, Queued, wait)
}

// comeBack is when a refused caller is to ask again: when the backlog has sunk to
// what its target bears.
func comeBack(wait time.Duration, a Ask) time.Duration {
	return min(max(wait-a.Target/2, shortestReturn), longestReturn)
}

// FirstToken tells that the engine has read the request's prompt.
func (q *Queue) FirstToken(id string, now time.Time) {
	e := q.granted[id]
	if e == nil || e.read {
		return
	}
	e.engine.measure(e.unread, now)
	e.engine.answered(now)
	q.prefixes.use(e.ask.Part, e.engine.id, now)
	e.settle()
}

// End tells that the request has ended or is no longer wanted. Failed says that the
// engine is to blame.
func (q *Queue) End(id string, failed bool, now time.Time) {
	if e := q.granted[id]; e != nil {
		e.settle()
		e.engine.running--
		if failed {
			e.engine.failed(now)
		}
		delete(q.granted, id)
	}
	if e := q.asked[id]; e != nil {
		q.leave(slices.Index(q.waiting, e))
	}
}

// leave takes an ask out of the waiting ones.
func (q *Queue) leave(i int) {
	delete(q.asked, q.waiting[i].ask.ID)
	q.waiting = slices.Delete(q.waiting, i, i+1)
}

// Next returns what has become due: grants, and refusals of asks that can't be
// served in time any more.
func (q *Queue) Next(now time.Time) []Answer {
	q.forget(now)
	q.prefixes.prune(now)
	var out []Answer
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool {
		hopeless := now.Sub(e.arrived) > e.ask.Limit
		if hopeless {
			delete(q.asked, e.ask.ID)
			out = append(out, q.answer(e.ask.ID, Refused, shortestReturn))
		}
		return hopeless
	})
	for len(q.waiting) > 0 && q.anyRoom(now) {
		i := q.first(now)
		e := q.waiting[i]
		if !q.place(e, now) {
			break
		}
		q.leave(i)
		out = append(out, q.grantAnswer(e))
	}
	return append(out, q.fillSpare(now)...)
}

// fillSpare grants small prompts that can still be on time at spare engines.
func (q *Queue) fillSpare(now time.Time) []Answer {
	idle := func(e *engine) bool { return e.spare && e.usable(now) && e.reading == 0 }
	if !slices.ContainsFunc(q.ordered, idle) {
		return nil
	}
	var out []Answer
	for i := 0; i < len(q.waiting); {
		e := q.waiting[i]
		if e.ask.Own > spareReading || !e.onTime(now) || !q.place(e, now) {
			i++
			continue
		}
		q.leave(i)
		out = append(out, q.grantAnswer(e))
	}
	return out
}

// Idle reports whether nothing is waiting or granted.
func (q *Queue) Idle() bool { return len(q.waiting) == 0 && len(q.granted) == 0 }

// forget settles granted requests of which nothing is heard.
func (q *Queue) forget(now time.Time) {
	for id, e := range q.granted {
		age := now.Sub(e.granted)
		if age > lostAfter {
			e.settle()
		}
		if age > forgetGranted {
			e.engine.running--
			delete(q.granted, id)
		}
	}
}

// first returns the index of the waiting ask that is next.
func (q *Queue) first(now time.Time) int {
	first := 0
	for i := range q.waiting {
		if q.precedes(q.waiting[i], q.waiting[first], now) {
			first = i
		}
	}
	return first
}

// place grants the ask at the engine that serves it best among those with room.
func (q *Queue) place(e *entry, now time.Time) bool {
	at := q.locate(e.ask, now)
	var (
		best *engine
		low  float64
	)
	for _, en := range q.ordered {
		if !en.usable(now) || !en.fits(at.unread) || slices.Contains(e.ask.Avoid, en.id) {
			continue
		}
		if cost := en.cost(at.holds(en.id), now); best == nil || cost < low {
			best, low = en, cost
		}
	}
	if best == nil {
		return false
	}
	e.granted, e.engine, e.unread = now, best, at.unread
	if !at.holds(best.id) {
		e.fetch = at.source
	}
	best.begin(at.unread, now)
	q.granted[e.ask.ID] = e
	return true
}

// location is where the shared part of a prompt is.
type location struct {
	holds  func(engine string) bool
	source string // from which it can be fetched; empty for none
	unread int    // prompt tokens that an engine has to read
}

// locate finds the shared part of an ask. A part of which nothing is known is sought at
// its home, but counted as unread.
func (q *Queue) locate(a Ask, now time.Time) location {
	source := q.prefixes.source(a.Part, func(id string) bool { return q.engines[id] != nil }, now)
	if source == "" {
		home := q.home(a.Part)
		return location{func(id string) bool { return id == home }, home, a.Own + a.Shared}
	}
	return location{func(id string) bool { return q.prefixes.holds(a.Part, id, now) }, source, a.Own}
}

// home returns the engine that reads a part of which nothing is known, the same
// whoever decides: after a change of who does, the part is likely there. After power
// was lost at all gateways and back, 2.3 million tokens of shared parts were read again
// instead of 2.7 million (one day of the agency's large deployment).
func (q *Queue) home(part string) string {
	if part == "" {
		return ""
	}
	ids := make([]string, 0, len(q.ordered))
	for _, en := range q.ordered {
		if !en.spare {
			ids = append(ids, en.id)
		}
	}
	return rendezvous.First(part, ids)
}

// settle ends the reading of a granted request.
func (e *entry) settle() {
	if !e.read {
		e.read = true
		e.engine.reading -= e.unread
	}
}

// anyRoom reports whether an engine can take some prompt.
func (q *Queue) anyRoom(now time.Time) bool {
	return slices.ContainsFunc(q.ordered, func(e *engine) bool { return e.usable(now) && !e.spare && e.reading < maxReading })
}

// anyUsable reports whether an engine may get the ask, now or once its pause is
// over.
func (q *Queue) anyUsable(a Ask, now time.Time) bool {
	return slices.ContainsFunc(q.ordered, func(e *engine) bool {
		return e.open && e.pause.Sub(now) <= a.Limit && !slices.Contains(a.Avoid, e.id)
	})
}

// precedes is the order of waiting asks: rank; then those that can still be on time;
// then arrival.
func (q *Queue) precedes(a, b *entry, now time.Time) bool {
	if a.ask.Rank != b.ask.Rank {
		return a.ask.Rank < b.ask.Rank
	}
	if x, y := a.onTime(now), b.onTime(now); x != y {
		return x
	}
	return a.number < b.number
}

// onTime reports whether the request would be on time if it were granted now.
func (e *entry) onTime(now time.Time) bool {
	reading := time.Duration(float64(e.ask.Own/2) / firstRate * float64(time.Millisecond))
	return now.Sub(e.arrived)+reading <= e.ask.Target-targetMargin
}

// wait is the expected time from now on until an engine begins to read the request:
// what is ahead of it, and half of its own, at the rate of all engines.
func (q *Queue) wait(e *entry, now time.Time) time.Duration {
	ahead := e.ask.Own / 2
	for _, other := range q.waiting {
		if other != e && q.precedes(other, e, now) {
			ahead += other.ask.Own
		}
	}
	rate := 0.0
	for _, en := range q.ordered {
		if en.usable(now) && !en.spare {
			rate += en.rate
			ahead += en.reading
		}
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(ahead) / rate * float64(time.Millisecond))
}

func (q *Queue) grantAnswer(e *entry) Answer {
	a := q.answer(e.ask.ID, Granted, 0)
	a.Engine, a.FetchFrom = e.engine.id, e.fetch
	return a
}

func (q *Queue) answer(id string, v Verdict, wait time.Duration) Answer {
	backlog := 0
	for _, en := range q.ordered {
		backlog += en.reading
	}
	for _, e := range q.waiting {
		backlog += e.ask.Own
	}
	return Answer{ID: id, Verdict: v, Wait: wait, Backlog: backlog}
}
