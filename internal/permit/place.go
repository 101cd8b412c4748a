package permit

import (
	"cmp"
	"slices"
	"time"
)

// docs/EXPERIMENTS.md has what other values of some of these gave in simulation.
const (
	// besidePart is the part of the tightest pause that prompts read one with another may
	// take: they count as one short reading.
	besidePart = 0.25
	// crowdWeight is what a reading counts for each stream that it slows down, against the
	// wait of the request itself.
	crowdWeight = 0.05
	// orderCost is what the whole length of the order of preference counts for short
	// prompts: they fill engines from its begin, so that some are left to long ones while
	// there is room.
	orderCost = 150 * time.Millisecond
	// packedPart is the part of its slots beyond which an engine is no longer filled with
	// short prompts, and packedCost what a full one counts.
	packedPart, packedCost = 0.5, 200 * time.Millisecond
	// againCost is how many times its reading time a shared part counts where it has to be
	// read again, and fetchCost where it is fetched: both take more than time of others.
	againCost, fetchCost = 3.0, 0.35
	// minFetch is the number of shared tokens from which a fetch is worth its round trip.
	minFetch = 256
	// lead is how long before the expected end of a reading the next prompt may be granted:
	// it needs that long to get there.
	lead = 8 * time.Millisecond
	// remoteCost is what an engine in another failure domain than the asker's counts: the
	// round trip, and the bytes between domains.
	remoteCost = 4 * time.Millisecond
	// dueShare is the part of its target that an ask waits for a place where it does no
	// harm. Then it may harm dueHarm streams that are more urgent than itself, and up to
	// limitHarm more at its limit: late answers of others before its refusal. With fewer the
	// longest prompts are served far less often than the others.
	dueShare  = 0.6
	dueHarm   = 1
	limitHarm = 10.0
	// errorCost is what a share of failed requests of 1 counts.
	errorCost = 2 * time.Second
	// plainCost is what a running request counts for another at a plain server.
	plainCost = 3 * time.Millisecond
	// limitAskedEvery is how long a server that states a rate is left without a request where others are
	// better, and limitAskedCost puts it before them then: only its answers tell when the limit ends.
	limitAskedEvery, limitAskedCost = 2 * time.Second, time.Hour
	// defaultTightest is the tightest pause that is assumed while none is known.
	defaultTightest = 400 * time.Millisecond
)

// site is an engine that can take an ask, with what it would mean there.
type site struct {
	engine    *engine
	fetchFrom string        // the engine from which the shared part is fetched
	unread    int           // prompt tokens to read
	after     int           // tokens before these that it keeps
	reading   time.Duration // of these
	wait      time.Duration // until it begins
	cost      time.Duration
}

// location is where the shared part of a prompt is.
type location struct {
	holds  func(engine string) bool
	source string // an engine that holds it; empty for none
	home   string // where a part of which nothing is known is sought
}

// locate finds the shared part of an ask.
func (q *Queue) locate(a Ask, now time.Time) location {
	if a.PrefixID == "" {
		return location{holds: func(string) bool { return true }}
	}
	at := location{holds: func(id string) bool { return q.prefixes.holds(a.PrefixID, id, now) }}
	at.source = q.prefixes.source(a.PrefixID, func(id string) bool { return q.engines[id] != nil }, now)
	if at.source == "" {
		at.home = q.home(a.PrefixID)
	}
	return at
}

// prompt works out what the engine of a site has to read of a prompt, and returns what it
// counts beyond that time that the shared part is not there.
func (q *Queue) prompt(s *site, a Ask, at location, now time.Time) (extra time.Duration) {
	s.unread = a.UniqueTokens
	id := s.engine.ID
	if !at.holds(id) {
		again := s.engine.model.PrefillTime(a.UniqueTokens+a.PrefixTokens, 0, now) - s.engine.model.PrefillTime(a.UniqueTokens, a.PrefixTokens, now)
		known := at.source != "" && !q.policy.NoFetch
		worthFetching := a.PrefixTokens >= minFetch && !q.policy.NoFetch
		switch {
		case known && worthFetching:
			s.fetchFrom = at.source
			extra = time.Duration(fetchCost * float64(again))
		case id == at.home:
			s.unread += a.PrefixTokens
		case worthFetching:
			s.fetchFrom = at.home // it may be there
			s.unread += a.PrefixTokens
			extra = time.Duration(fetchCost * float64(again))
		default:
			s.unread += a.PrefixTokens
			extra = time.Duration(againCost * float64(again))
		}
	}
	s.after = a.UniqueTokens + a.PrefixTokens - s.unread
	s.reading = s.engine.model.PrefillTime(s.unread, s.after, now)
	return extra
}

// place grants the ask at the engine that serves it best among those that can take it.
func (q *Queue) place(e *entry, now time.Time) bool {
	due, allowed := q.mayHarm(e, now)
	for _, s := range q.sites(e.ask, now) {
		if !q.policy.IgnoreInterference && q.harmed(s, e.ask, due, now) > allowed {
			continue
		}
		if !q.limits.Allow(s.engine.ID, now) {
			continue
		}
		q.grant(e, s, now)
		return true
	}
	return false
}

func (q *Queue) grant(e *entry, s site, now time.Time) {
	e.granted, e.engine, e.unread, e.after, e.reading, e.fetch = now, s.engine, s.unread, s.after, s.reading, s.fetchFrom
	e.lost = now.Add(lostFactor*(s.wait+s.reading) + lostMargin)
	s.engine.granted = now
	if e.ask.Plain {
		s.engine.run(e, now)
	} else {
		s.engine.begin(e, q.event(s.engine), now)
	}
	q.granted[e.ask.ID] = e
}

// sites returns the engines that can take the ask now, the best first.
func (q *Queue) sites(a Ask, now time.Time) []site {
	at := q.locate(a, now)
	beside := time.Duration(besidePart * float64(q.tightest(now)))
	out := q.scratch[:0]
	for _, en := range q.ordered {
		if !en.usable(now) || !en.hasRoom(a) || slices.Contains(a.ExcludedEngines, en.ID) {
			continue
		}
		budget := q.limits.Budget(en.ID, now)
		if budget.Wait > 0 {
			continue
		}
		s := site{engine: en, wait: en.wait(now)}
		if budget.Limited && now.Sub(en.granted) > limitAskedEvery {
			s.cost -= limitAskedCost
		}
		if a.Plain {
			s.cost += plainCost * time.Duration(len(en.runs))
		} else {
			s.cost += q.prompt(&s, a, at, now)
		}
		if en.pending > 0 && s.wait > lead && s.wait+s.reading > beside && !q.policy.ConcurrentPrefills {
			continue
		}
		if a.FailureDomain != "" && a.FailureDomain != en.FailureDomain {
			s.cost += remoteCost
		}
		s.cost += s.wait + s.reading + time.Duration(en.errors.Rate(now)*float64(errorCost))
		if !a.Plain {
			s.cost += q.crowding(s, beside)
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b site) int { return cmp.Compare(a.cost, b.cost) })
	q.scratch = out
	return out
}

// crowding is what the engine's other requests count for and against a site. Weight is 0
// for the shortest prompts and 1 for those whose reading others notice.
func (q *Queue) crowding(s site, beside time.Duration) time.Duration {
	weight := min(float64(s.reading)/float64(beside), 1)
	streams := float64(len(s.engine.runs) - s.engine.pending)
	out := weight * crowdWeight * streams * float64(s.reading)
	if !q.policy.NoEnginePreference {
		out += float64(orderCost) * (1 - weight) * s.engine.position
	}
	if slots := s.engine.Slots; slots > 0 {
		full := float64(len(s.engine.runs)) / float64(slots)
		out += float64(packedCost) * max(full-packedPart, 0)
	}
	return time.Duration(out)
}

// mayHarm reports whether the ask has waited long enough for a place where it does no harm,
// and how many streams that are more urgent than itself it may harm then: more the nearer
// it is to being refused.
func (q *Queue) mayHarm(e *entry, now time.Time) (due bool, allowed int) {
	waited, bound := float64(now.Sub(e.arrived)), e.ask.FirstTokenTimeout
	if e.ask.FirstTokenTarget > 0 {
		bound = min(bound, e.ask.FirstTokenTarget)
	}
	if waited < dueShare*float64(bound) {
		return false, 0
	}
	return true, dueHarm + int(limitHarm*min(waited/float64(max(e.ask.FirstTokenTimeout, 1)), 1))
}

// harmed counts the streams of an engine that would pause for too long, or not end in
// time, if it read the prompt now. Once the ask is due, only those that are more urgent
// count.
func (q *Queue) harmed(s site, a Ask, due bool, now time.Time) int {
	reading := s.engine.readJust(q.event(s.engine), now) + s.reading
	pause := q.model.EventGap(reading, s.engine.TokensPerEvent)
	n := 0
	for _, run := range s.engine.runs {
		if !run.read || due && run.ask.Priority >= a.Priority {
			continue
		}
		tooLong := run.ask.MaxEventGap > 0 && pause > run.ask.MaxEventGap
		slack := s.engine.slack(run, q.model, now)
		if tooLong || slack > 0 && slack < s.reading && !q.policy.IgnoreResponseTimeouts {
			n++
		}
	}
	return n
}

// event is the time in which the streams of an engine give an event each while it reads
// nothing.
func (q *Queue) event(e *engine) time.Duration {
	return time.Duration(max(e.TokensPerEvent, 1)) * q.model.TokenTime()
}

const tightestFor = 10 * time.Second

// tightest returns the shortest pause that any request of late bears.
func (q *Queue) tightest(now time.Time) time.Duration {
	if q.tight == 0 || now.Sub(q.tightAt) > tightestFor {
		return defaultTightest
	}
	return q.tight
}

// noteGap keeps the shortest pause that is asked for.
func (q *Queue) noteGap(gap time.Duration, now time.Time) {
	if gap > 0 && (q.tight == 0 || gap <= q.tight || now.Sub(q.tightAt) > tightestFor) {
		q.tight, q.tightAt = gap, now
	}
}
