// Package placement chooses the backend server for a request by what one gateway knows:
// the server that holds its prompt's shared parts, unless others are clearly less loaded.
// Requests of plain services are placed by it; those of model services where no gateway
// decides for all (package permit). It has no state, no clock and no network.
package placement

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
)

// Part is a piece of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes what a model engine has to read and may generate.
type Prompt struct {
	Model        string
	Tokens       int // to read, all parts together
	OutputTokens int // expected at most
	Parts        []Part
}

// Shared returns the ID of the last part that other requests may share and the
// tokens up to its end; the last part of all is the request's own.
func (p Prompt) Shared() (id string, tokens int) {
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
	// Tried servers have already failed this request.
	Tried bool
	// Rests is for how long the server wants nothing from this gateway.
	RetryAfter time.Duration
}

// Request is what the choice depends on.
type Request struct {
	Prompt Prompt
	// Key spreads requests that share nothing.
	Key string
	// FailureDomain is where the gateway stands.
	FailureDomain string
	// Draw is a uniform random number in [0, 1) for ties.
	Draw float64
}

// Choice is the result.
type Choice struct {
	Candidate *Candidate
	// FetchFrom is the address of a server that holds shared parts which the
	// chosen one may lack; empty for none.
	FetchFrom string
	Reason    string // Home, Spread, Least or Decided
	// Read is the expected time to the first event, 0 if not known.
	ExpectedPrefill time.Duration
}

// The reasons of a choice.
const (
	Home   = "home"   // the server holds the prompt's shared parts
	Spread = "spread" // the home is too loaded, another is least loaded
	Least  = "least"  // the prompt shares nothing
	// Decided: the gateway that decides for the engine's group chose it.
	Decided = "decided"
)

const (
	// tokensPerMs is about what an engine reads of prompts. It only weighs
	// unread prompts against running requests, so that its exact value matters
	// little.
	tokensPerMs = 57
	// runningMs is what a running request adds to the wait of a new one: its
	// share of a step over the tokens of an event.
	runningMs = 3.0
	// reportedMs is the same for a request that the server itself counts: among many gateways
	// what one of them sends tells little of a server's load, and the home of a part that many
	// ask for would never be left.
	reportedMs = 3.0
	// standIns is how many servers stand in for a home that is too loaded.
	standIns = 3
	// homeSlackMs is how much longer the wait at the home may be before the
	// request goes elsewhere and fetches the shared parts (about 5 ms for 5,000
	// tokens, plus the connection between engines).
	homeSlackMs = 60.0
	// minFetch is the number of shared tokens from which a fetch is worth its
	// round trip: fewer are read in 4 ms.
	minFetch = 256
	// errorWeightMs is the wait that a server's share of failed requests stands
	// for: at a share of 0.3 it outweighs a full queue.
	errorWeightMs = 2000.0
	// avoidedMs puts servers that could not be reached behind all others.
	avoidedMs = 1e6
	// triedMs puts servers that failed this request behind those.
	triedMs = 1e7
	// remoteMs is what another failure domain costs: the round trip and the
	// price of the bytes between domains.
	remoteMs = 4.0
)

// Engine chooses among the servers of a model service where no gateway is there to decide
// for all: by what this one knows alone.
func ChooseEngine(req Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return Choice{}
	}
	part := all(candidates)
	assumeMeanLoad(part)
	return near(req, part, least(part, req, loadCost), loadCost)
}

// near chooses the home of the request's shared part, or a stand-in, if it costs
// hardly more than the best server, else the best.
func near(req Request, part []*Candidate, best *Candidate, cost costFunc) Choice {
	shared, tokens := req.Prompt.Shared()
	if shared == "" {
		return Choice{Candidate: best, Reason: Least}
	}
	homes := homesOf(shared, part)
	bound := cost(best, req) + homeSlackMs
	if cost(homes[0], req) <= bound {
		return Choice{Candidate: homes[0], Reason: Home}
	}
	// Stand-ins in a fixed order: were all gateways to pick the least loaded, they
	// would all pick the same, and read the shared parts everywhere.
	for _, next := range homes[1:min(len(homes), 1+standIns)] {
		if cost(next, req) <= bound {
			best = next
			break
		}
	}
	return withFetch(Choice{Candidate: best, Reason: Spread}, homes[0], tokens)
}

// assumeMeanLoad gives servers that have not said their load lately the mean of the
// others', so that they look neither idle nor busy.
func assumeMeanLoad(part []*Candidate) {
	known, running := 0, 0
	for _, c := range part {
		if !c.View.Load.At.IsZero() {
			known++
			running += c.View.Load.Running
		}
	}
	for _, c := range part {
		if known > 0 && c.View.Load.At.IsZero() {
			c.View.Load.Running = running / known
		}
	}
}

// withFetch adds where the shared parts can be had.
func withFetch(c Choice, source *Candidate, tokens int) Choice {
	if tokens >= minFetch && source != c.Candidate && !source.View.Avoided {
		c.FetchFrom = source.Server.Address
	}
	return c
}

// Plain chooses among the servers of a plain service.
func ChoosePlain(req Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return Choice{}
	}
	return Choice{Candidate: least(all(candidates), req, cost), Reason: Least}
}

func all(candidates []Candidate) []*Candidate {
	out := make([]*Candidate, len(candidates))
	for i := range candidates {
		out[i] = &candidates[i]
	}
	return out
}

// homesOf ranks the servers for a shared part, the home first.
func homesOf(key string, part []*Candidate) []*Candidate {
	ids := make([]string, len(part))
	byID := make(map[string]*Candidate, len(part))
	for i, c := range part {
		ids[i] = c.Server.ID
		byID[c.Server.ID] = c
	}
	out := make([]*Candidate, len(part))
	for i, id := range rendezvous.Rank(key, ids) {
		out[i] = byID[id]
	}
	return out
}

// least returns the candidate with the lowest cost; ties go by the draw.
func least(part []*Candidate, req Request, cost costFunc) *Candidate {
	start := int(req.Draw * float64(len(part)))
	var (
		best *Candidate
		low  float64
	)
	for i := range part {
		c := part[(start+i)%len(part)]
		if k := cost(c, req); best == nil || k < low {
			best, low = c, k
		}
	}
	return best
}

// costFunc is the wait in ms that a request would meet at a server.
type costFunc func(*Candidate, Request) float64

// loadCost counts also what the server said of its load. It compares servers of one
// part; those of the other have another kind of load.
func loadCost(c *Candidate, req Request) float64 {
	return cost(c, req) + reportedMs*float64(c.View.Load.Running+c.View.Load.Waiting)
}

// cost is the wait in ms that the request would meet at the server, as far as
// this gateway can tell.
func cost(c *Candidate, req Request) float64 {
	v := c.View
	ms := float64(v.UnreadTokens)/tokensPerMs + runningMs*float64(v.InFlight) + errorWeightMs*v.ErrorRate
	if c.Server.FailureDomain != req.FailureDomain {
		ms += remoteMs
	}
	if v.Avoided {
		ms += avoidedMs
	}
	if c.Tried {
		ms += triedMs
	}
	return ms
}
