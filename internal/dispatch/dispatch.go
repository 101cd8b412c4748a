// Package dispatch chooses a backend server for a request. A filter excludes servers that
// cannot take the request, and a Picker chooses one of the others, for example by a score.
// The package performs no I/O.
package dispatch

import (
	"math"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// Candidate describes one backend server as a router knows it.
type Candidate struct {
	Name          string
	FailureDomain string
	// Connected is set while the link to the agent is up. Draining is set if the agent
	// reports that it is draining or the membership list marks it as leaving.
	Connected, Draining bool
	TargetLoaded        bool // the server has the requested model version or service loaded
	// Queued, Running and Slots are from the agent's latest load report. SentSinceReport
	// is the number of offers that this router has sent to the agent since then.
	Queued, Running, Slots, SentSinceReport int
	// ServiceMS is the mean time that a request holds a slot, as measured by the agent.
	ServiceMS float64
	// FirstTokenMS is the mean time to first token as measured by this router, or 0 if it
	// is unknown. It reveals a slow server independently of the agent's reports.
	FirstTokenMS float64
	// CachedPrefixShare is the fraction of the prompt, from 0 to 1, that is probably in
	// the server's prefix cache.
	CachedPrefixShare float64
	// Excluded is set if the request must not be sent to this server, for example because
	// it was offered there before.
	Excluded bool
}

// Request holds the properties of a request that affect the choice.
type Request struct {
	FailureDomain string // failure domain of the router
}

// Options enables the parts of the score individually, so that the effect of each can be
// measured.
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

// isEligible reports whether a server can take the request. Every Picker applies this filter.
func isEligible(c *Candidate) bool {
	return c.Connected && !c.Draining && c.TargetLoaded && !c.Excluded
}

// roundRobinPicker picks the eligible servers in turn. It serves as a baseline.
type roundRobinPicker struct{ next int }

// Pick implements Picker.
func (p *roundRobinPicker) Pick(_ Request, candidates []Candidate, _ Rand) (int, bool) {
	for range candidates {
		i := p.next % len(candidates)
		p.next++
		if isEligible(&candidates[i]) {
			return i, true
		}
	}
	return 0, false
}

// leastLoadedPicker picks the server with the fewest requests according to the agents'
// latest load reports. It serves as a baseline.
type leastLoadedPicker struct{}

// Pick implements Picker.
func (leastLoadedPicker) Pick(_ Request, candidates []Candidate, _ Rand) (int, bool) {
	best, found := 0, false
	for i := range candidates {
		if isEligible(&candidates[i]) && (!found || candidates[i].Queued+candidates[i].Running < candidates[best].Queued+candidates[best].Running) {
			best, found = i, true
		}
	}
	return best, found
}

// scoredPicker scores two random eligible servers and all eligible servers that have a
// prefix of the prompt cached, and picks the one with the lowest score. If it scored all
// servers, routers with the same outdated load reports would all pick the same one.
type scoredPicker struct{ opts Options }

// Pick implements Picker.
func (p *scoredPicker) Pick(req Request, candidates []Candidate, rnd Rand) (int, bool) {
	eligible := 0
	for i := range candidates {
		if isEligible(&candidates[i]) {
			eligible++
		}
	}
	if eligible == 0 {
		return 0, false
	}
	a := nthEligible(candidates, rnd.IntN(eligible))
	if eligible == 1 {
		return a, true
	}
	k := rnd.IntN(eligible - 1)
	b := nthEligible(candidates, k)
	if b >= a { // skips a, so that b is another server
		b = nthEligible(candidates, k+1)
	}
	meanFirstToken := 0.0
	if p.opts.StragglerPenalty {
		meanFirstToken = meanFirstTokenMS(candidates)
	}
	best := a
	for i := range candidates {
		cached := p.opts.PrefixAffinity && candidates[i].CachedPrefixShare > 0 && isEligible(&candidates[i])
		if (i == b || cached) && p.score(req, &candidates[i], meanFirstToken) < p.score(req, &candidates[best], meanFirstToken) {
			best = i
		}
	}
	return best, true
}

// nthEligible returns the index of the n-th eligible server; n starts at 0.
func nthEligible(candidates []Candidate, n int) int {
	for i := range candidates {
		if isEligible(&candidates[i]) {
			if n == 0 {
				return i
			}
			n--
		}
	}
	return len(candidates) - 1 // unreachable: n is less than the number of eligible servers
}

// meanFirstTokenMS returns the mean of the known times to first token, or 0 if none is
// known.
func meanFirstTokenMS(candidates []Candidate) float64 {
	sum, n := 0.0, 0
	for i := range candidates {
		if candidates[i].FirstTokenMS > 0 {
			sum += candidates[i].FirstTokenMS
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// Parameters of the score. The penalty and the bonus are multiples of a request's service
// time.
const (
	// crossDomainPenalty is added for a server in another failure domain. The additional
	// network latency of a few milliseconds is small compared with the service time, so
	// the penalty decides only between servers with otherwise similar scores.
	crossDomainPenalty = 0.1
	// cachedPrefixBonus is subtracted for a fully cached prompt. A cached prefix saves its
	// prefill, which takes at most about half of a short request's service time.
	cachedPrefixBonus = 0.5
	// A server is a straggler, and not only busy, if its time to first token exceeds
	// stragglerFactor times the mean.
	stragglerFactor = 3.0
	minServiceMS    = 1.0
)

// score estimates the time in milliseconds until the request would be complete, adjusted
// by the enabled parts of the score. The lowest score is the best.
func (p *scoredPicker) score(req Request, c *Candidate, meanFirstToken float64) float64 {
	load := float64(c.Queued + c.Running)
	if p.opts.CountUnreported {
		// Queued and Running do not include the requests sent since the last report.
		load += float64(c.SentSinceReport)
	}
	relative := load / math.Max(1, float64(c.Slots))
	if p.opts.PrefixAffinity {
		relative -= cachedPrefixBonus * c.CachedPrefixShare
	}
	if p.opts.DomainAffinity && c.FailureDomain != req.FailureDomain {
		relative += crossDomainPenalty
	}
	score := (relative + 1) * math.Max(minServiceMS, c.ServiceMS)
	if meanFirstToken > 0 && c.FirstTokenMS > stragglerFactor*meanFirstToken {
		score *= c.FirstTokenMS / meanFirstToken
	}
	return score
}
