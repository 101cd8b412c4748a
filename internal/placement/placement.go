// Package placement chooses the backend server for a request from the state known to one gateway: the
// server that caches the prompt's shared prefix, unless others are clearly less loaded. It places
// requests of plain services, and those of model services if no gateway schedules the group (package
// permit). The package keeps no state and uses no clock and no network.
package placement

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

// Part is a section of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes what a model engine has to read and may generate.
type Prompt struct {
	Model        string
	Tokens       int // to prefill, all parts together
	OutputTokens int // expected upper bound
	Parts        []Part
}

// Shared returns the ID of the last part that other requests may share, and the number of tokens up
// to its end. The last part of a prompt is not shared.
func (p Prompt) SharedPrefix() (id string, tokens int) {
	if len(p.Parts) < 2 {
		return "", 0
	}
	for _, part := range p.Parts[:len(p.Parts)-1] {
		tokens += part.Tokens
		id = part.ID
	}
	return id, tokens
}

// Candidate is a backend server with its state.
type Candidate struct {
	Backend *registry.Backend
	Server  registry.Server
	View    registry.View
	// Tried reports whether the server has already failed this request.
	Tried bool
	// RetryAfter is how long the server has asked this gateway to send nothing.
	RetryAfter time.Duration
}

// Request contains the inputs of a choice.
type Request struct {
	Prompt Prompt
	// Key distributes requests without shared parts.
	Key string
	// FailureDomain is the gateway's failure domain.
	FailureDomain string
	// Draw is a uniform random number in [0, 1) for breaking ties.
	Draw float64
}

// Choice is the chosen server.
type Choice struct {
	Candidate *Candidate
	// FetchFrom is the address of a server that caches shared parts which the chosen one may
	// lack; empty for none.
	FetchFrom string
	Reason    string // Home, Spread, Least or Decided
	// ExpectedPrefill is the expected time to the first event, 0 if unknown.
	ExpectedPrefill time.Duration
}

// Reasons for a choice.
const (
	Home   = "home"   // the server is the home of the prompt's shared parts
	Spread = "spread" // the home is overloaded; another server was chosen
	Least  = "least"  // the prompt shares nothing; the server has the lowest cost
	// Decided: the gateway that schedules the engine's group chose it.
	Decided = "decided"
)

const (
	// prefillTokensPerMs is an approximate prefill rate. It only weighs pending prompts against
	// running requests, so its exact value matters little.
	prefillTokensPerMs = 57
	// runningRequestMs is what a running request adds to the wait of a new one: its share of a
	// step, multiplied by the tokens of an event.
	runningRequestCostMs = 3.0
	// reportedRequestMs is the same for a request in the load that the server itself reports. With
	// many gateways the requests of one of them say little about a server's load, and the home of a
	// popular part would never be considered overloaded.
	reportedRequestCostMs = 3.0
	// maxFallbacks is the number of servers that are tried instead of an overloaded home.
	maxFallbacks = 3
	// homeSlackMs is how much longer the wait at the home may be before the request goes to another
	// server, which fetches the shared parts (about 5 ms for 5,000 tokens, plus the connection
	// between engines).
	maxExtraHomeWaitMs = 60.0
	// minFetchTokens is the number of shared tokens from which a fetch is worth its round trip;
	// fewer are prefilled in 4 ms.
	minFetchTokens = 256
	// errorShareMs is the cost of a server that fails all requests. A server that fails 30% of
	// them costs more than a full queue.
	errorRateCostMs = 2000.0
	// unreachableMs ranks servers that could not be reached after all others.
	unreachableCostMs = 1e6
	// alreadyTriedMs ranks servers that have failed this request after unreachable ones.
	triedCostMs = 1e7
	// crossDomainMs is the cost of another failure domain: the round trip and the price of
	// traffic between domains.
	crossDomainCostMs = 4.0
)

// ChooseEngine chooses among the servers of a model service without a scheduling gateway, from the
// state known to this gateway alone.
func ChooseEngine(req Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return Choice{}
	}
	servers := pointersTo(candidates)
	assumeMeanLoad(servers)
	return chooseByPrefixAffinity(req, servers, leastCost(servers, req, loadCost), loadCost)
}

// chooseHome chooses the home of the request's shared part, or a fallback, if it costs hardly more than
// the best server, and otherwise the best server.
func chooseByPrefixAffinity(req Request, servers []*Candidate, best *Candidate, cost costFunc) Choice {
	shared, tokens := req.Prompt.SharedPrefix()
	if shared == "" {
		return Choice{Candidate: best, Reason: Least}
	}
	homes := rankHomes(shared, servers)
	bound := cost(best, req) + maxExtraHomeWaitMs
	if cost(homes[0], req) <= bound {
		return Choice{Candidate: homes[0], Reason: Home}
	}
	// Fallbacks have a fixed order: if every gateway picked the least loaded server, all would
	// pick the same one at a time and prefill the shared parts on every server.
	for _, next := range homes[1:min(len(homes), 1+maxFallbacks)] {
		if cost(next, req) <= bound {
			best = next
			break
		}
	}
	return addFetchSource(Choice{Candidate: best, Reason: Spread}, homes[0], tokens)
}

// assumeMeanLoad gives servers without a recent load report the mean load of the others, so that they
// appear neither idle nor busy.
func assumeMeanLoad(servers []*Candidate) {
	known, running := 0, 0
	for _, c := range servers {
		if !c.View.Load.At.IsZero() {
			known++
			running += c.View.Load.Running
		}
	}
	for _, c := range servers {
		if known > 0 && c.View.Load.At.IsZero() {
			c.View.Load.Running = running / known
		}
	}
}

// addFetchSource adds the server that the shared parts can be fetched from.
func addFetchSource(c Choice, source *Candidate, tokens int) Choice {
	if tokens >= minFetchTokens && source != c.Candidate && !source.View.Avoided {
		c.FetchFrom = source.Server.Address
	}
	return c
}

// ChoosePlain chooses among the servers of a plain service.
func ChoosePlain(req Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return Choice{}
	}
	return Choice{Candidate: leastCost(pointersTo(candidates), req, localCost), Reason: Least}
}

func pointersTo(candidates []Candidate) []*Candidate {
	out := make([]*Candidate, len(candidates))
	for i := range candidates {
		out[i] = &candidates[i]
	}
	return out
}

// rankHomes ranks the servers for a shared part, the home first.
func rankHomes(key string, servers []*Candidate) []*Candidate {
	ids := make([]string, len(servers))
	byID := make(map[string]*Candidate, len(servers))
	for i, c := range servers {
		ids[i] = c.Server.ID
		byID[c.Server.ID] = c
	}
	out := make([]*Candidate, len(servers))
	for i, id := range rendezvous.Rank(key, ids) {
		out[i] = byID[id]
	}
	return out
}

// leastCost returns the candidate with the lowest cost; req.Draw breaks ties.
func leastCost(servers []*Candidate, req Request, cost costFunc) *Candidate {
	start := int(req.Draw * float64(len(servers)))
	var (
		best *Candidate
		low  float64
	)
	for i := range servers {
		c := servers[(start+i)%len(servers)]
		if k := cost(c, req); best == nil || k < low {
			best, low = c, k
		}
	}
	return best
}

// costFunc returns the wait in ms that a request would have at a server.
type costFunc func(*Candidate, Request) float64

// loadCost includes the load that the server reports. It is comparable only among the servers of one
// choice, as other servers may report a different kind of load.
func loadCost(c *Candidate, req Request) float64 {
	return localCost(c, req) + reportedRequestCostMs*float64(c.View.Load.Running+c.View.Load.Waiting)
}

// cost returns the wait in ms that the request would have at the server, as far as this gateway can
// tell.
func localCost(c *Candidate, req Request) float64 {
	v := c.View
	ms := float64(v.UnreadTokens)/prefillTokensPerMs + runningRequestCostMs*float64(v.InFlight) + errorRateCostMs*v.ErrorRate
	if c.Server.FailureDomain != req.FailureDomain {
		ms += crossDomainCostMs
	}
	if v.Avoided {
		ms += unreachableCostMs
	}
	if c.Tried {
		ms += triedCostMs
	}
	return ms
}
