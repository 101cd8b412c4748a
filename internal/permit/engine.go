package permit

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/enginemodel"
	"github.com/merlinpost/merlinpost/internal/registry"
)

const (
	// firstPause is how long an engine that failed a request gets no other; each
	// further failure in a row doubles it, up to longestPause. Without it an engine
	// that fails at once would always have room and draw in all that waits.
	firstPause, longestPause = 250 * time.Millisecond, 2 * time.Second
	// maxDoublings keeps the shift of a pause inside its type.
	maxDoublings = 8
	// ownMemory is the part of an engine's memory that its requests may take for what they
	// share with no other. The rest is for shared parts.
	ownMemory = 0.75
	// overdueWait is the wait that is told of an engine which should have read what it was
	// granted.
	overdueWait = 3 * lead
	// recentReads is how many readings of an engine are kept, to be set beside the pauses
	// of its streams.
	recentReads = 8
	// leastEvents is the number of events from which a stream tells how long a token takes.
	leastEvents = 4
	// mostBeside is the part of a stream's time beyond which what its engine read meanwhile
	// says more about its length than its tokens do.
	mostBeside = 0.3
	// outputSlack is the part of the expected output that a stream which has passed it is
	// taken to have left.
	outputSlack = 0.1
)

// engine is what is known of one engine of a group.
type engine struct {
	Engine
	model    *enginemodel.EngineModel
	position float64 // in the order of preference for short prompts, 0 to 1
	runs     map[string]*entry
	used     int // tokens of memory that its runs may take
	pending  int // granted requests whose prompt has not been read
	unread   int // prompt tokens of these
	// readUntil is when it is expected to have read what was granted.
	readUntil time.Time
	// readFor is how long it has read so far, as expected.
	readFor time.Duration
	// together is how long it read lately without time for an event of each stream, up to
	// readEnd.
	together time.Duration
	readEnd  time.Time
	reads    [recentReads]reading
	lastRead int
	failures int // in a row
	pause    time.Time
	errors   registry.FailureRate
	granted  time.Time // when it was granted a request last
}

// reading is one prompt that was read.
type reading struct {
	end  time.Time
	took time.Duration // as expected
}

func newEngine(e Engine, service *enginemodel.ServiceModel) *engine {
	return &engine{Engine: e, model: service.NewEngineModel(), runs: map[string]*entry{}}
}

// usable reports whether the engine may get prompts now.
func (e *engine) usable(now time.Time) bool { return e.Accepting && !now.Before(e.pause) }

// hasRoom reports whether the engine can take a request into its batch: what waits
// inside an engine, or is put back there for want of memory, is out of our hands.
func (e *engine) hasRoom(a Ask) bool {
	if e.Slots > 0 && len(e.runs) >= e.Slots {
		return false
	}
	return e.KVCacheTokens == 0 || len(e.runs) == 0 || e.used+a.tokens() <= int(ownMemory*float64(e.KVCacheTokens))
}

// tokens is the memory that a request takes at an engine beside the parts that it shares.
func (a Ask) tokens() int { return a.UniqueTokens + a.OutputTokens }

// wait is the time until the engine has read what was granted, as far as can be told:
// of one that should have read it before, nobody knows when it will have.
func (e *engine) wait(now time.Time) time.Duration {
	left := e.readUntil.Sub(now)
	switch {
	case e.pending == 0:
		return 0
	case left < -lead:
		return overdueWait
	}
	return max(left, 0)
}

// readJust returns how long the engine has just read, or reads now, without time for an
// event of each stream in between.
func (e *engine) readJust(event time.Duration, now time.Time) time.Duration {
	if e.pending > 0 || now.Sub(e.readEnd) < event {
		return e.together
	}
	return 0
}

// begin counts a granted prompt. Event is the time in which its streams give an event
// each while it reads nothing.
func (e *engine) begin(en *entry, event time.Duration, now time.Time) {
	e.together = e.readJust(event, now) + en.reading
	if e.pending == 0 || e.readUntil.Before(now) {
		e.readUntil = now
	}
	en.alone = e.pending == 0
	e.readUntil = e.readUntil.Add(en.reading)
	e.pending++
	e.unread += en.unread
	e.used += en.ask.tokens()
	e.runs[en.ask.ID] = en
}

// run counts a granted request that is not read.
func (e *engine) run(en *entry, now time.Time) {
	en.read, en.firstAt = true, now
	e.used += en.ask.tokens()
	e.runs[en.ask.ID] = en
}

// settle ends the reading of a granted request.
func (e *engine) settle(en *entry, now time.Time) {
	if en.read {
		return
	}
	en.read, en.firstAt = true, now
	e.pending--
	e.unread -= en.unread
	if e.pending == 0 {
		e.readUntil, e.readEnd = now, now
	}
	e.readFor += en.reading
	e.reads[e.lastRead%recentReads] = reading{now, en.reading}
	e.lastRead++
	en.readBefore = e.readFor
}

// end takes a granted request out.
func (e *engine) end(en *entry, now time.Time) {
	e.settle(en, now)
	e.used -= en.ask.tokens()
	delete(e.runs, en.ask.ID)
}

// learn takes in what was seen of an answer.
func (e *engine) learn(service *enginemodel.ServiceModel, en *entry, s StreamStats) {
	if s.Events < leastEvents || e.TokensPerEvent == 0 || en.firstAt.IsZero() {
		return
	}
	if beside := e.readFor - en.readBefore; float64(beside) < mostBeside*float64(s.Duration) {
		service.ObserveGeneration((s.Events-1)*e.TokensPerEvent, s.Duration-beside)
	}
	longest := time.Duration(0)
	for _, r := range e.reads {
		if r.end.After(en.firstAt) {
			longest = max(longest, r.took)
		}
	}
	service.ObserveGap(s.LongestGap, longest)
}

// slack is how much of the time that a stream has left it does not need itself.
func (e *engine) slack(en *entry, service *enginemodel.ServiceModel, now time.Time) time.Duration {
	if en.ask.ResponseTimeout == 0 {
		return time.Hour
	}
	reading := e.readFor - en.readBefore
	made := service.TokensGenerated(now.Sub(en.firstAt)-reading, reading, e.TokensPerEvent)
	rest := max(float64(en.ask.OutputTokens)-made, outputSlack*float64(en.ask.OutputTokens))
	return en.ask.ResponseTimeout - now.Sub(en.arrived) - time.Duration(rest*float64(service.TokenTime()))
}

// answered and failed count what became of a request.
func (e *engine) answered(now time.Time) {
	e.errors.Add(now, false)
	e.failures = 0
	e.pause = time.Time{}
}

func (e *engine) failed(now time.Time) {
	e.errors.Add(now, true)
	e.pause = now.Add(min(firstPause<<min(e.failures, maxDoublings), longestPause))
	e.failures++
}
