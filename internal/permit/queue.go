// Package permit decides when a request may be sent to a model engine, and to which. One
// gateway decides for a group of engines; it only gives leave, and the asker sends the
// request to the engine itself, so that no answer depends on the one who decides. There is
// no clock and no network here.
//
// It answers a load in which prompts of very different lengths share engines that read
// them between the words of everybody else's answers, and in which more prompts come than
// are read. Left alone the engines take them all in: a long prompt holds up the first words
// and the next words of all beside it, memory fills, and every answer comes late. One queue
// for a group of engines leaves none of them idle while prompts wait for another, knows
// what each is reading and what runs beside it, and where a shared part can be had. What
// a prompt does to others is worked out from figures that are learnt (enginemodel), so
// that no kind of request has to be told from another beforehand.
package permit

import (
	"cmp"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
	"github.com/merlinpost/merlinpost/internal/ratelimit"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

const (
	// shortestReturn and longestReturn bound what a refused caller is told.
	shortestReturn, longestReturn = 500 * time.Millisecond, 5 * time.Second
	// lostFactor and lostMargin are how long a granted request may give no word before its
	// prompt counts as read: its gateway is gone, the notice was lost, or the engine is
	// silent and gets nothing for a while.
	lostFactor, lostMargin = 3, 150 * time.Millisecond
	// silentAfter is how long an ask waits without being repeated: its gateway is gone.
	silentAfter = 3500 * time.Millisecond
	// lookEvery is the pause between two looks through all that waits and is granted, for
	// what is lost or can't be served in time any more.
	lookEvery = 50 * time.Millisecond
	// forgetGranted is above the longest time that a request runs; what is granted
	// longer has ended without word.
	forgetGranted = 2 * time.Minute
	// forgetAfterDeadline is the same for what has a deadline, for the way of the word.
	forgetAfterDeadline = 2 * time.Second
	// lookAhead bounds how many waiting asks are tried when those before them can't be
	// placed, as a very long prompt can't among streams that bear no such pause.
	lookAhead = 16
)

// entry is an ask that is waiting or granted.
type entry struct {
	ask     Ask
	arrived time.Time
	heard   time.Time // when it was asked last
	number  uint64    // in the order of arrival
	lost    time.Time // when its prompt counts as read without a word
	granted time.Time
	engine  *engine // of a granted ask
	fetch   string  // engine from which it is to fetch the shared part
	unread  int     // tokens that the engine was expected to read
	after   int     // tokens before these that it kept
	reading time.Duration
	alone   bool // nothing else was being read when it was granted
	read    bool
	firstAt time.Time
	// readBefore is how long its engine had read in all at its first token.
	readBefore time.Duration
}

// Queue decides for one group of engines. It is not safe for concurrent use.
type Queue struct {
	policy   Policy
	model    *enginemodel.ServiceModel
	limits   *ratelimit.Limiter
	engines  map[string]*engine
	ordered  []*engine // in order of ID
	prefixes prefixes
	waiting  []*entry
	asked    map[string]*entry // waiting, by ID
	granted  map[string]*entry
	numbers  uint64        // of asks so far
	read     int           // prompts that engines have read so far
	tight    time.Duration // the shortest pause that a request bears, as asked at tightAt
	tightAt  time.Time
	load     loads
	looked   time.Time // when all that waits or is granted was looked through
	scratch  []site
	servers  capacity // scratch
}

// NewQueue returns an empty queue without engines.
func NewQueue(model *enginemodel.ServiceModel, limits *ratelimit.Limiter, policy Policy) *Queue {
	return &Queue{policy: policy, model: model, limits: limits, engines: map[string]*engine{}, prefixes: newPrefixes(), asked: map[string]*entry{}, granted: map[string]*entry{}}
}

// SetEngines tells which engines the group has now.
func (q *Queue) SetEngines(list []Engine) {
	changed := len(list) != len(q.ordered)
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.ID] = true
		e := q.engines[l.ID]
		if e == nil {
			e = newEngine(l, q.model)
			q.engines[l.ID] = e
			q.ordered = append(q.ordered, e)
			changed = true
		}
		e.Engine = l
	}
	if !changed {
		return
	}
	q.ordered = slices.DeleteFunc(q.ordered, func(e *engine) bool {
		if !listed[e.ID] {
			e.Accepting = false
			delete(q.engines, e.ID)
		}
		return !listed[e.ID]
	})
	slices.SortFunc(q.ordered, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	q.setPositions()
}

// setPositions ranks the engines for short prompts, the same whoever decides, with the
// failure domains in turn.
func (q *Queue) setPositions() {
	ids := make([]string, len(q.ordered))
	for i, e := range q.ordered {
		ids[i] = e.ID
	}
	domain := func(id string) string { return q.engines[id].FailureDomain }
	for i, id := range rendezvous.Spread("positions", ids, domain, len(ids)) {
		q.engines[id].position = float64(i) / float64(len(ids))
	}
}

// Ask takes in an ask; asking again with the same ID repeats the answer.
func (q *Queue) Submit(a Ask, now time.Time) Decision {
	if e := q.granted[a.ID]; e != nil {
		return q.grantAnswer(e, now)
	}
	if e := q.asked[a.ID]; e != nil {
		e.heard = now
		return Decision{ID: a.ID, Verdict: Queued}
	}
	q.numbers++
	e := &entry{ask: a, arrived: now, heard: now, number: q.numbers}
	if len(q.ordered) == 0 {
		// This gateway has not read the list of engines yet, or reads an older one. The
		// asker has one to go by.
		return Decision{ID: a.ID, Verdict: Granted}
	}
	q.noteGap(a.MaxEventGap, now)
	q.load.add(a.Priority, q.work(a), now)
	if !q.anyUsable(a, now) {
		return q.answer(a.ID, NoEngine, shortestReturn, now)
	}
	first := !slices.ContainsFunc(q.waiting, func(other *entry) bool { return q.precedes(other, e, now) })
	if first && q.place(e, now) {
		return q.grantAnswer(e, now)
	}
	wait, engines := q.wait(e, now)
	if q.hopeless(e, wait, engines, now) {
		return q.answer(a.ID, Refused, q.comeBack(wait, a, engines, now), now)
	}
	q.waiting = append(q.waiting, e)
	q.asked[a.ID] = e
	return q.answer(a.ID, Queued, wait, now)
}

// FirstToken tells that the engine has read the request's prompt, in the time that its
// gateway saw.
func (q *Queue) RecordFirstToken(id string, took time.Duration, now time.Time) {
	e := q.granted[id]
	if e == nil || e.read {
		return
	}
	if e.alone && !q.policy.NoLearning {
		e.engine.model.ObservePrefill(e.unread, e.after, took, now)
	}
	q.read++
	e.engine.answered(now)
	q.prefixes.use(e.ask.PrefixID, e.engine.ID, now)
	e.engine.settle(e, now)
}

// End tells that the request has ended or is no longer wanted, and what its gateway saw.
func (q *Queue) Finish(id string, s StreamStats, now time.Time) {
	if e := q.granted[id]; e != nil {
		if e.read && !q.policy.NoLearning {
			e.engine.learn(q.model, e, s)
		}
		e.engine.end(e, now)
		switch {
		case e.ask.Plain: // servers that can't be reached are named by who asks
			e.engine.errors.Add(now, s.EngineFailed)
		case s.EngineFailed:
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
func (q *Queue) Poll(now time.Time) []Decision {
	lookThrough := now.Sub(q.looked) >= lookEvery
	if lookThrough {
		q.looked = now
		q.forget(now)
		q.prefixes.prune(now)
	}
	room := q.anyRoom(now)
	if len(q.waiting) == 0 || !lookThrough && !room {
		return nil
	}
	slices.SortFunc(q.waiting, func(a, b *entry) int { return q.order(a, b, now) })
	var out []Decision
	if lookThrough {
		out = q.refuseHopeless(now)
	}
	if !room {
		return out
	}
	tried := 0
	for i := 0; i < len(q.waiting) && tried < lookAhead && q.anyRoom(now); {
		e := q.waiting[i]
		if !q.place(e, now) {
			i++
			tried++
			continue
		}
		q.leave(i)
		out = append(out, q.grantAnswer(e, now))
	}
	return out
}

// Idle reports whether nothing is waiting or granted.
func (q *Queue) Idle() bool { return len(q.waiting) == 0 && len(q.granted) == 0 }

// forget settles granted requests of which nothing is heard, and drops asks that are not
// repeated.
func (q *Queue) forget(now time.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(e *entry) bool {
		silent := now.Sub(e.heard) > silentAfter
		if silent {
			delete(q.asked, e.ask.ID)
		}
		return silent
	})
	for id, e := range q.granted {
		if !e.read && now.After(e.lost) {
			e.engine.settle(e, now)
			e.engine.failed(now)
		}
		if now.Sub(e.granted) > forgetGranted || e.ask.ResponseTimeout > 0 && now.Sub(e.arrived) > e.ask.ResponseTimeout+forgetAfterDeadline {
			e.engine.end(e, now)
			delete(q.granted, id)
		}
	}
}

// home returns the engine that reads a part of which nothing is known, the same
// whoever decides: after a change of who does, the part is likely there.
func (q *Queue) home(part string) string {
	if part == "" {
		return ""
	}
	ids := make([]string, 0, len(q.ordered))
	for _, en := range q.ordered {
		ids = append(ids, en.ID)
	}
	return rendezvous.First(part, ids)
}

// anyRoom reports whether an engine that reads nothing can take a prompt, or one that
// reads could take a short one.
func (q *Queue) anyRoom(now time.Time) bool {
	beside := time.Duration(besidePart * float64(q.tightest(now)))
	return slices.ContainsFunc(q.ordered, func(e *engine) bool { return e.usable(now) && e.wait(now) < beside && !q.exhausted(e, now) })
}

// anyUsable reports whether an engine may get the ask, now or once its pause is
// over.
func (q *Queue) anyUsable(a Ask, now time.Time) bool {
	return slices.ContainsFunc(q.ordered, func(e *engine) bool {
		return e.Accepting && e.pause.Sub(now) <= a.FirstTokenTimeout && !slices.Contains(a.ExcludedEngines, e.ID)
	})
}

func (q *Queue) grantAnswer(e *entry, now time.Time) Decision {
	a := q.answer(e.ask.ID, Granted, 0, now)
	a.Engine, a.FetchFrom, a.ExpectedPrefill = e.engine.ID, e.fetch, e.reading
	return a
}

func (q *Queue) answer(id string, v Verdict, wait time.Duration, now time.Time) Decision {
	backlog, limited, all := 0, 0, q.allLimited(now)
	for _, en := range q.ordered {
		backlog += en.unread
		if b := q.limits.Budget(en.ID, now); b.Wait > 0 || all && b.Limited {
			limited++
		}
	}
	for _, e := range q.waiting {
		backlog += e.ask.UniqueTokens
	}
	return Decision{ID: id, Verdict: v, Wait: wait, BacklogTokens: backlog, RateLimitedEngines: limited}
}
