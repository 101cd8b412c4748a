// Package placement chooses the backend server for a request from the state known to one gateway. Prompts
// go to the server that caches their shared prefix unless other servers are clearly less loaded. The
// package places requests to plain services, and those to model services if no gateway schedules the
// engine's group (package permit). A choice depends only on its arguments; the package uses no clock and no
// network.
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

// Prompt describes the work of a model engine for a request.
type Prompt struct {
	Model        string
	Tokens       int // to prefill, in all parts
	OutputTokens int // expected upper bound of the generated tokens
	Parts        []Part
}

// SharedPrefix returns the ID of the last part that other requests may share, and the number of tokens up
// to its end. The last part of a prompt is not shared. Prompts without a shared part have an empty ID.
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

// Candidate is a backend server with its state as known to this gateway.
type Candidate struct {
	Backend *registry.Backend
	Server  registry.Server
	View    registry.View
	// Tried reports whether the server has already failed this request.
	Tried bool
	// RetryAfter is the remaining time for which the server has asked this gateway to send nothing.
	RetryAfter time.Duration
	// Recovering reports whether the server has not responded to this gateway since the end of such a time.
	Recovering bool
}

// Request contains the properties of a request on which the choice depends.
type Request struct {
	Prompt Prompt
	// Key is the hash key for requests without shared parts.
	Key string
	// FailureDomain is the gateway's failure domain.
	FailureDomain string
	// Draw is a uniformly distributed random number in [0, 1) that breaks ties.
	Draw float64
}

// Choice is the chosen server.
type Choice struct {
	Candidate *Candidate
	// FetchFrom is the address of the server to fetch the shared prefix from, if the chosen one may
	// not cache it; empty for none.
	FetchFrom string
	Reason    string // Home, Spread, Least or Decided
	// ExpectedPrefill is the expected time to the first event, 0 if unknown.
	ExpectedPrefill time.Duration
}

// Reasons for a choice.
const (
	Home   = "home"   // the server is the home of the prompt's shared prefix: the first by rendezvous hashing
	Spread = "spread" // the home is overloaded or failing; another server was chosen
	Least  = "least"  // there is no shared prefix; the server has the lowest cost
	// Decided means that the gateway that schedules the engine's group chose the server.
	Decided = "decided"
)

const (
	// prefillTokensPerMs is an approximate prefill rate. It only weighs unread tokens against
	// running requests, so its exact value matters little.
	prefillTokensPerMs = 57
	// runningRequestCostMs is what a running request adds to the wait of a new one: its share of
	// a generation step, multiplied by the number of tokens in an event.
	runningRequestCostMs = 3.0
	// reportedRequestCostMs is the same for a request in the load that the server itself reports.
	// With many gateways the requests of a single one say little about a server's load; without the
	// reports the home of a popular prefix would never count as overloaded.
	reportedRequestCostMs = 3.0
	// maxFallbacks is the number of servers that are considered, in a fixed order, instead of an
	// overloaded home.
	maxFallbacks = 3
	// maxExtraHomeWaitMs is how much longer the wait at the home may be than at the best server.
	// Beyond it the request goes to another server, which fetches the shared prefix (in about 5 ms
	// for 5,000 tokens, plus the time to connect the engines).
	maxExtraHomeWaitMs = 60.0
	// minFetchTokens is the minimum length of a shared prefix for which a fetch is worth its round
	// trip; shorter ones are prefilled within 4 ms.
	minFetchTokens = 256
	// errorRateCostMs is the cost of a server that fails all requests; it is multiplied by the error
	// rate. A server that fails 30% of its requests costs more than a full queue.
	errorRateCostMs = 2000.0
	// unreachableCostMs ranks servers that could not be reached after all others.
	unreachableCostMs = 1e6
	// triedCostMs ranks servers that have already failed this request after unreachable ones.
	triedCostMs = 1e7
	// crossDomainCostMs is the cost of a server in another failure domain: the round trip and the
	// price of traffic between domains.
	crossDomainCostMs = 4.0
)

// ChooseEngine chooses among the servers of a model service while no gateway schedules them, from the
// state known to this gateway alone. It sets the load of candidates without a recent load report.
func ChooseEngine(req Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return Choice{}
	}
	servers := pointersTo(candidates)
	assumeMeanLoad(servers)
	return chooseByPrefixAffinity(req, servers, leastCost(servers, req, loadCost), loadCost)
}

// chooseByPrefixAffinity chooses the home of the request's shared prefix, or else the first fallback, that
// costs at most maxExtraHomeWaitMs more than the best server, and otherwise the best server.
func chooseByPrefixAffinity(req Request, servers []*Candidate, best *Candidate, cost costFunc) Choice {
	prefixID, tokens := req.Prompt.SharedPrefix()
	if prefixID == "" {
		return Choice{Candidate: best, Reason: Least}
	}
	homes := rankHomes(prefixID, servers)
	maxCost := cost(best, req) + maxExtraHomeWaitMs
	if cost(homes[0], req) <= maxCost {
		return Choice{Candidate: homes[0], Reason: Home}
	}
	// Fallbacks have a fixed order: if every gateway chose the least loaded server, all would choose
	// the same one at a time, and the shared prefix would be prefilled on one server after another.
	for _, fallback := range homes[1:min(len(homes), 1+maxFallbacks)] {
		if cost(fallback, req) <= maxCost {
			best = fallback
			break
		}
	}
	return addFetchSource(Choice{Candidate: best, Reason: Spread}, homes[0], tokens)
}

// assumeMeanLoad gives servers without a recent load report the mean load of the others, so that they
// count as neither idle nor busy.
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

// addFetchSource sets the server from which to fetch a shared prefix of the given length, unless the server
// was chosen or is unreachable.
func addFetchSource(c Choice, source *Candidate, tokens int) Choice {
	if tokens >= minFetchTokens && source != c.Candidate && !source.View.Avoided {
		c.FetchFrom = source.Server.Address
	}
	return c
}

// ChoosePlain chooses the server with the lowest cost among those of a plain service.
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

// rankHomes ranks the servers for a shared prefix by rendezvous hashing, the home first.
func rankHomes(prefixID string, servers []*Candidate) []*Candidate {
	ids := make([]string, len(servers))
	byID := make(map[string]*Candidate, len(servers))
	for i, c := range servers {
		ids[i] = c.Server.ID
		byID[c.Server.ID] = c
	}
	out := make([]*Candidate, len(servers))
	for i, id := range rendezvous.Rank(prefixID, ids) {
		out[i] = byID[id]
	}
	return out
}

// leastCost returns the server with the lowest cost; req.Draw breaks ties.
func leastCost(servers []*Candidate, req Request, cost costFunc) *Candidate {
	start := int(req.Draw * float64(len(servers)))
	var (
		best       *Candidate
		lowestCost float64
	)
	for i := range servers {
		c := servers[(start+i)%len(servers)]
		if v := cost(c, req); best == nil || v < lowestCost {
			best, lowestCost = c, v
		}
	}
	return best
}

// costFunc returns the expected wait of a request at a server in milliseconds, including penalties that
// rank failing servers last.
type costFunc func(*Candidate, Request) float64

// loadCost returns the cost including the load that the server reports. It is comparable only among the
// servers of one choice, as other servers may report a different kind of load.
func loadCost(c *Candidate, req Request) float64 {
	return localCost(c, req) + reportedRequestCostMs*float64(c.View.Load.Running+c.View.Load.Waiting)
}

// localCost returns the cost according to the requests and failures of this gateway alone.
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
