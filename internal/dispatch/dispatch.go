// Package dispatch chooses a backend server for a request: a filter excludes servers that
// cannot take the request, a score ranks the others, and a Picker chooses one of them. The
// package does no I/O.
package dispatch

import (
	"math"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Candidate is what a router knows of one backend server.
type Candidate struct {
	Name          string
	FailureDomain string
	// Connected: the link to the agent is up. Draining: the agent reports that it is
	// draining, or the membership list says that it is leaving.
	Connected, Draining bool
	TargetLoaded        bool // has the requested model version or service loaded
	// Queued, Running and Slots are from the agent's last load report. SentSinceReport
	// counts the offers that this router has sent since then.
	Queued, Running, Slots, SentSinceReport int
	// ServiceMS is the measured mean time of a request in a slot.
	ServiceMS float64
	// FirstTokenMS is the mean time to first token as measured by this router, or 0 if
	// unknown. It reveals a slow server independently of the agent's reports.
	FirstTokenMS float64
	// CachedPrefixShare is the fraction of the prompt, from 0 to 1, that is probably in
	// the server's prefix cache.
	CachedPrefixShare float64
	// Excluded: the request must not go to this server, for example because it was
	// offered there before.
	Excluded bool
}

// Request holds the properties of a request that affect the choice.
type Request struct {
	FailureDomain string // of the router
}

// Options enables parts of the score, so that the effect of each can be measured.
type Options struct {
	PrefixAffinity, DomainAffinity, StragglerPenalty, CountUnreported bool
}

// Rand is a source of random numbers. IntN returns a number in [0, n).
type Rand interface{ IntN(n int) int }

// Picker chooses a candidate. Pick returns its index, or false if no candidate can take
// the request.
type Picker interface {
	Pick(req Request, candidates []Candidate, rnd Rand) (int, bool)
}

// New returns the picker of the given name: "scored", "round_robin" or
// "least_loaded".
func New(name string, opts Options) (Picker, error) {
	switch name {
	case "scored":
		return &scoredPicker{opts: opts}, nil
	case "round_robin":
		return &roundRobinPicker{}, nil
	case "least_loaded":
		return leastLoadedPicker{}, nil
	}
	return nil, fault.New(fault.BadSettings, "unknown policy %q", name).WithField("policy.choice")
}

// eligible is the filter that every Picker applies.
func isEligible(c *Candidate) bool {
	return c.Connected && !c.Draining && c.TargetLoaded && !c.Excluded
}

// roundRobinPicker is a baseline: it picks the eligible servers in turn.
type roundRobinPicker struct{ next int }

// Pick implements Picker.
func (p *roundRobinPicker) Pick(_ Request, cs []Candidate, _ Rand) (int, bool) {
	for range cs {
		i := p.next % len(cs)
		p.next++
		if isEligible(&cs[i]) {
			return i, true
		}
	}
	return 0, false
}

// leastLoadedPicker is a baseline: it picks the server with the fewest requests by the
// agents' last reports.
type leastLoadedPicker struct{}

// Pick implements Picker.
func (leastLoadedPicker) Pick(_ Request, cs []Candidate, _ Rand) (int, bool) {
	best, found := 0, false
	for i := range cs {
		if isEligible(&cs[i]) && (!found || cs[i].Queued+cs[i].Running < cs[best].Queued+cs[best].Running) {
			best, found = i, true
		}
	}
	return best, found
}

// scoredPicker scores two random eligible servers and all servers that have a prefix of
// the prompt cached, and picks the best of these. It does not score all servers, because
// routers with the same outdated load reports would then all pick the same server.
type scoredPicker struct{ opts Options }

// Pick implements Picker.
func (p *scoredPicker) Pick(req Request, cs []Candidate, rnd Rand) (int, bool) {
	count := 0
	for i := range cs {
		if isEligible(&cs[i]) {
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	a := nthEligible(cs, rnd.IntN(count))
	if count == 1 {
		return a, true
	}
	k := rnd.IntN(count - 1)
	b := nthEligible(cs, k)
	if b >= a { // b is chosen among the eligible servers other than a
		b = nthEligible(cs, k+1)
	}
	mean := 0.0
	if p.opts.StragglerPenalty {
		mean = meanFirstTokenMS(cs)
	}
	best := a
	for i := range cs {
		cached := p.opts.PrefixAffinity && cs[i].CachedPrefixShare > 0 && isEligible(&cs[i])
		if (i == b || cached) && p.score(req, &cs[i], mean) < p.score(req, &cs[best], mean) {
			best = i
		}
	}
	return best, true
}

// nthEligible returns the index of the n-th eligible server, counted from 0.
func nthEligible(cs []Candidate, n int) int {
	for i := range cs {
		if isEligible(&cs[i]) {
			if n == 0 {
				return i
			}
			n--
		}
	}
	return len(cs) - 1 // unreachable: n is less than the number of eligible servers
}

// meanFirstTokenMS returns the mean time to first token over the servers for which it is
// known, or 0 if there are none.
func meanFirstTokenMS(cs []Candidate) float64 {
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

// Parameters of the score. Penalty and bonus are in units of a request's service time.
const (
	// domainPenalty is added for a server in another failure domain. The additional
	// network latency of a few milliseconds is small compared with the service time, so
	// the penalty decides only between servers with otherwise similar scores.
	crossDomainPenalty = 0.1
	// prefixBonus is subtracted for a fully cached prompt. A cached prefix saves its
	// prefill, which takes at most about half of a short request's service time.
	cachedPrefixBonus = 0.5
	// stragglerFactor is the ratio of a server's time to first token to the mean above
	// which the server is a straggler, and not only busy.
	stragglerFactor = 3.0
	minServiceMS    = 1.0
)

// score estimates the time until the request would be complete; lower is better.
func (p *scoredPicker) score(req Request, c *Candidate, meanFirstToken float64) float64 {
	load := float64(c.Queued + c.Running)
	if p.opts.CountUnreported {
		// Requests sent since the last report are not yet included in Queued or Running.
		load += float64(c.SentSinceReport)
	}
	s := load / math.Max(1, float64(c.Slots))
	if p.opts.PrefixAffinity {
		s -= cachedPrefixBonus * c.CachedPrefixShare
	}
	if p.opts.DomainAffinity && c.FailureDomain != req.FailureDomain {
		s += crossDomainPenalty
	}
	s = (s + 1) * math.Max(minServiceMS, c.ServiceMS)
	if meanFirstToken > 0 && c.FirstTokenMS > stragglerFactor*meanFirstToken {
		s *= c.FirstTokenMS / meanFirstToken
	}
	return s
}
