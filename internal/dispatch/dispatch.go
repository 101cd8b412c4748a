// Package dispatch chooses a backend server for a request, in three steps like
// a scheduler of plugins: filters leave out servers that can't take it, scorers
// rate the rest, a picker takes one. It is pure.
package dispatch

import (
	"math"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Candidate is what a router knows of one backend server.
type Candidate struct {
	Name          string
	FailureDomain string
	// Up says that the link works; Leaving that the agent or the membership
	// list says it leaves.
	Connected, Draining bool
	TargetLoaded        bool // has the wanted version loaded
	// Queued, Running and Slots are as the agent last said; Sent counts own
	// offers since then.
	Queued, Running, Slots, SentSinceReport int
	// ServiceMS is the measured mean time of a request in a slot.
	ServiceMS float64
	// FirstMS is the mean time to a first token that this router measured,
	// and which shows a straggler whatever the agent says; 0: not known.
	FirstTokenMS float64
	// PrefixShare is the part of the prompt that the server probably has in
	// its cache, 0 to 1.
	CachedPrefixShare float64
	// Tried says that this request was offered there before.
	Excluded bool
}

// Request is what the choice depends on.
type Request struct {
	FailureDomain string // the router's own
}

// Options switch parts of the score, so that each can be measured alone.
type Options struct {
	PrefixAffinity, DomainAffinity, StragglerPenalty, CountUnreported bool
}

// Rand gives numbers from 0 up to n, exclusive.
type Rand interface{ IntN(n int) int }

// Picker chooses one of the candidates; false: none can take the request.
type Picker interface {
	Pick(req Request, candidates []Candidate, rnd Rand) (int, bool)
}

// New returns the picker of the given name: "scored", "round_robin" or
// "least_loaded".
func New(name string, opts Options) (Picker, error) {
	switch name {
	case "scored":
		return &scored{opts: opts}, nil
	case "round_robin":
		return &roundRobin{}, nil
	case "least_loaded":
		return leastLoaded{}, nil
	}
	return nil, fault.New(fault.BadSettings, "no policy %q", name).WithField("policy.choice")
}

// usable is the filter that every picker applies.
func usable(c *Candidate) bool { return c.Connected && !c.Draining && c.TargetLoaded && !c.Excluded }

// roundRobin is a baseline: each usable server in turn.
type roundRobin struct{ next int }

// Pick implements Picker.
func (p *roundRobin) Pick(_ Request, cs []Candidate, _ Rand) (int, bool) {
	for range cs {
		i := p.next % len(cs)
		p.next++
		if usable(&cs[i]) {
			return i, true
		}
	}
	return 0, false
}

// leastLoaded is a baseline: the fewest requests by the last report.
type leastLoaded struct{}

// Pick implements Picker.
func (leastLoaded) Pick(_ Request, cs []Candidate, _ Rand) (int, bool) {
	best, found := 0, false
	for i := range cs {
		if usable(&cs[i]) && (!found || cs[i].Queued+cs[i].Running < cs[best].Queued+cs[best].Running) {
			best, found = i, true
		}
	}
	return best, found
}

// scored rates two random usable servers, and those that hold the prompt's
// prefix, and takes the best of them. Two random
// choices instead of the best of all: routers with the same lagging reports
// would otherwise all send to the same server.
type scored struct{ opts Options }

// Pick implements Picker.
func (p *scored) Pick(req Request, cs []Candidate, rnd Rand) (int, bool) {
	usables := 0
	for i := range cs {
		if usable(&cs[i]) {
			usables++
		}
	}
	if usables == 0 {
		return 0, false
	}
	a := nth(cs, rnd.IntN(usables))
	if usables == 1 {
		return a, true
	}
	k := rnd.IntN(usables - 1)
	b := nth(cs, k)
	if b >= a { // choose b among the usable servers other than a
		b = nth(cs, k+1)
	}
	median := 0.0
	if p.opts.StragglerPenalty {
		median = meanFirst(cs)
	}
	best := a
	for i := range cs {
		holds := p.opts.PrefixAffinity && cs[i].CachedPrefixShare > 0 && usable(&cs[i])
		if (i == b || holds) && p.score(req, &cs[i], median) < p.score(req, &cs[best], median) {
			best = i
		}
	}
	return best, true
}

// nth returns the index of the n-th usable server.
func nth(cs []Candidate, n int) int {
	for i := range cs {
		if usable(&cs[i]) {
			if n == 0 {
				return i
			}
			n--
		}
	}
	return len(cs) - 1 // not reached: n is below the count of usable servers
}

// meanFirst is the mean time to first token over the servers measured.
func meanFirst(cs []Candidate) float64 {
	sum, n := 0.0, 0
	for i := range cs {
		if cs[i].FirstTokenMS > 0 {
			sum += cs[i].FirstTokenMS
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// Weights of the score, in units of one request's time at the server.
const (
	// domainPenalty: another failure domain costs a few milliseconds of
	// network, little against a request's time; it decides between equals.
	domainPenalty = 0.1
	// prefixGain: a cached prefix saves the prefill, at most about half of a
	// short request's time.
	prefixGain = 0.5
	// stragglerLimit: a server this many times slower to a first token than
	// the mean is a straggler, not just busy.
	stragglerLimit = 3.0
	minServiceMS   = 1.0
)

// score estimates the time until the request would be done, lower is better.
func (p *scored) score(req Request, c *Candidate, meanFirst float64) float64 {
	load := float64(c.Queued + c.Running)
	if p.opts.CountUnreported {
		// What was sent since the report is on its way into the queue.
		load += float64(c.SentSinceReport)
	}
	s := load / math.Max(1, float64(c.Slots))
	if p.opts.PrefixAffinity {
		s -= prefixGain * c.CachedPrefixShare
	}
	if p.opts.DomainAffinity && c.FailureDomain != req.FailureDomain {
		s += domainPenalty
	}
	s = (s + 1) * math.Max(minServiceMS, c.ServiceMS)
	if meanFirst > 0 && c.FirstTokenMS > stragglerLimit*meanFirst {
		s *= c.FirstTokenMS / meanFirst
	}
	return s
}
