// Package placement chooses the backend server for a request: first the part of
// the servers that serves its kind of work, then the server that holds its
// prompt's shared parts, unless others are clearly less loaded. It has no state,
// no clock and no network.
package placement

import (
	"slices"

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
	Model  string
	Tokens int // to read, all parts together
	Output int // expected at most
	Parts  []Part
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
}

// Request is what the choice depends on.
type Request struct {
	Prompt Prompt
	// Interactive requests have a caller waiting for the first words.
	Interactive bool
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
	// reportedMs is the same for a request that the server itself counts. With it the
	// home of a part that many ask for is left at some 20 requests above the least
	// loaded; without it, by what each of 21 gateways sends itself, it hardly ever was:
	// 99 in 100 first tokens of the Board's advice came within 1,256 ms on its heaviest
	// day, and come within 366.
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

// Engine chooses among the servers of a model service. share is the part of the
// servers that interactive requests have for themselves.
func Engine(req Request, candidates []Candidate, share float64) Choice {
	part := pick(candidates, share, req.Interactive)
	if len(part) == 0 {
		return Choice{}
	}
	assumeMeanLoad(part)
	best := least(part, req, loadCost)
	switch {
	case best.Tried || best.View.Avoided:
		// No server of the part is left: the rest may be.
		part = all(candidates)
		best = least(part, req, loadCost)
	case req.Interactive && saturated(best):
		if spill := least(all(candidates), req, cost); !saturated(spill) {
			return near(req, candidates, part, spill, cost)
		}
	}
	return near(req, candidates, part, best, loadCost)
}

// near chooses the home of the request's shared part, or a stand-in, if it costs
// hardly more than the best server, else the best.
func near(req Request, candidates []Candidate, part []*Candidate, best *Candidate, cost costFunc) Choice {
	shared, tokens := req.Prompt.Shared()
	if shared == "" {
		return Choice{Candidate: best, Reason: Least}
	}
	homes := homesOf(shared, part)
	bound := cost(best, req) + homeSlackMs
	if cost(homes[0], req) <= bound {
		return withFetch(Choice{Candidate: homes[0], Reason: Home}, homesOf(shared, all(candidates))[0], tokens)
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

// withFetch adds where the shared parts can be had. For the home that is the
// first of all servers, which read them where the bounds of the part have moved
// since.
func withFetch(c Choice, source *Candidate, tokens int) Choice {
	if tokens >= minFetch && source != c.Candidate && !source.View.Avoided {
		c.FetchFrom = source.Server.Address
	}
	return c
}

// HomeOf returns the server that holds the prompt's shared parts among those of the
// part for requests that may wait, whatever its load: for a gateway that finds
// nobody to decide about engines.
func HomeOf(req Request, candidates []Candidate, share float64) Choice {
	part := usable(pick(candidates, share, req.Interactive))
	if len(part) == 0 {
		part = usable(all(candidates))
	}
	if len(part) == 0 {
		return Choice{}
	}
	shared, tokens := req.Prompt.Shared()
	if shared == "" {
		shared = req.Key
	}
	return withFetch(Choice{Candidate: homesOf(shared, part)[0], Reason: Home}, homesOf(shared, all(candidates))[0], tokens)
}

// Batch reports for each candidate, by ID, whether it is in the part of the servers
// for requests that may wait.
func Batch(candidates []Candidate, share float64) map[string]bool {
	part := pick(candidates, share, false)
	out := make(map[string]bool, len(part))
	for _, c := range part {
		out[c.Server.ID] = true
	}
	return out
}

// usable leaves out servers that failed the request or could not be reached.
func usable(part []*Candidate) []*Candidate {
	return slices.DeleteFunc(part, func(c *Candidate) bool { return c.Tried || c.View.Avoided })
}

// Plain chooses among the servers of a plain service.
func Plain(req Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return Choice{}
	}
	return Choice{Candidate: least(all(candidates), req, cost), Reason: Least}
}

// saturated servers have no free slot or requests that wait for one.
func saturated(c *Candidate) bool {
	l := c.View.Load
	return l.Slots > 0 && (l.Waiting > 0 || l.Running >= l.Slots)
}

func all(candidates []Candidate) []*Candidate {
	out := make([]*Candidate, len(candidates))
	for i := range candidates {
		out[i] = &candidates[i]
	}
	return out
}

// pick returns the part of the servers for interactive requests or for the
// others. Every gateway that knows the same list comes to the same order.
func pick(candidates []Candidate, share float64, interactive bool) []*Candidate {
	n := len(candidates)
	if n < 2 {
		return all(candidates)
	}
	first := min(max(int(share*float64(n)+0.5), 1), n-1)
	byID := make(map[string]*Candidate, n)
	ids := make([]string, n)
	for i := range candidates {
		ids[i] = candidates[i].Server.ID
		byID[ids[i]] = &candidates[i]
	}
	domain := func(id string) string { return byID[id].Server.FailureDomain }
	ranked := rendezvous.Spread("parts", ids, domain, n)
	if interactive {
		ranked = ranked[:first]
	} else {
		ranked = ranked[first:]
	}
	out := make([]*Candidate, len(ranked))
	for i, id := range ranked {
		out[i] = byID[id]
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
	ms := float64(v.Unread)/tokensPerMs + runningMs*float64(v.Running) + errorWeightMs*v.ErrorShare
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
