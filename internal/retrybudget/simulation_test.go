package retrybudget

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/standin/retryrule"
)

// joinDelay is how long a gateway has no share of the slack after its start.
const joinDelay = 2 * time.Second

// segment is a part of a scenario with a constant load.
type segment struct {
	length      time.Duration
	perSecond   int
	failing     float64 // fraction of the sends that fail
	onlyGateway int     // the gateway that receives all requests, -1 for any
}

// fault is a failure, settings reload or membership change of a gateway.
type fault struct {
	at, duration time.Duration
	kind         string
	gateway      int
}

// scenario describes a simulated run: the load on some gateways and their faults.
type scenario struct {
	rule     retryrule.Rule
	gateways int
	segments []segment
	faults   []fault
	delayed  float64 // fraction of the retries that are sent up to 6 s after they are granted
	seed     uint64
}

// drawScenario generates a scenario from a seed. The draws are uniform: rapid's generators favour small values, which
// give scenarios without retries.
func drawScenario(seed uint64) scenario {
	rnd := rand.New(rand.NewPCG(seed, 2))
	ms := func(from, to int) time.Duration { return time.Duration(from+rnd.IntN(to-from)) * time.Millisecond }
	sc := scenario{seed: seed, delayed: pick(rnd, 0, 0.3, 1), gateways: 1 + rnd.IntN(8),
		rule: retryrule.Rule{Ratio: pick(rnd, 0.05, 0.2, 0.5), Window: 10 * time.Second, Slack: pick(rnd, 0.0, 2, 12, 52)}}
	for range 3 + rnd.IntN(4) {
		only := -1
		if rnd.IntN(3) == 0 {
			only = rnd.IntN(sc.gateways)
		}
		sc.segments = append(sc.segments, segment{ms(500, 15000), pick(rnd, 2, 10, 50, 100, 200), pick(rnd, 0, 0, 0.3, 1, 1), only})
	}
	for range pick(rnd, 0, 1, 3, 10, 30) {
		sc.faults = append(sc.faults, fault{ms(0, 60000), ms(100, 6000), pick(rnd, "kill", "kill", "stall", "reload", "join", "leave"), rnd.IntN(sc.gateways)})
	}
	return sc
}

func pick[T any](rnd *rand.Rand, of ...T) T { return of[rnd.IntN(len(of))] }

// simulatedGateway is the state of one gateway in a simulation.
type simulatedGateway struct {
	budget      *Budget
	joinsAt     time.Time // when it receives its share of the slack
	joined      bool
	leaving     bool
	stalledFrom time.Time
	stalledTo   time.Time
	queued      []time.Time // requests sent during a stall
	delayed     []delayedRetry
}

// delayedRetry is a granted retry that is due to be sent at a later time.
type delayedRetry struct {
	grant Decision
	at    time.Time
}

// simulation is the state of a running scenario.
type simulation struct {
	scenario
	settings Settings
	rnd      *rand.Rand
	now      time.Time
	nodes    []*simulatedGateway
	requests []time.Time
	retries  []time.Time
	failing  float64
}

// timeStep is the time step of the simulation.
const timeStep = 5 * time.Millisecond

// run simulates the scenario and returns the times of its requests and retries.
func (sc scenario) run() (requests, retries []time.Time) {
	sim := &simulation{scenario: sc, settings: Settings{sc.rule.Ratio, sc.rule.Window, sc.rule.Slack}, rnd: rand.New(rand.NewPCG(sc.seed, 1)),
		now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
	begin := sim.now
	for range sc.gateways {
		sim.nodes = append(sim.nodes, &simulatedGateway{budget: New(sim.settings, 0, sim.now), joinsAt: sim.now.Add(joinDelay)})
	}
	for _, s := range sc.segments {
		sim.failing = s.failing
		due := 0.0
		for end := sim.now.Add(s.length); sim.now.Before(end); sim.now = sim.now.Add(timeStep) {
			for _, f := range sc.faults {
				if at := begin.Add(f.at); !at.Before(sim.now) && at.Before(sim.now.Add(timeStep)) {
					sim.inject(f)
				}
			}
			sim.advance()
			for due += float64(s.perSecond) * timeStep.Seconds(); due >= 1; due-- {
				n := sim.rnd.IntN(len(sim.nodes))
				if s.onlyGateway >= 0 {
					n = s.onlyGateway
				}
				sim.request(sim.nodes[n])
			}
		}
	}
	return sim.requests, sim.retries
}

// inject applies a fault.
func (sim *simulation) inject(f fault) {
	n := sim.nodes[f.gateway]
	switch f.kind {
	case "kill":
		*n = simulatedGateway{budget: New(sim.settings, 0, sim.now), joinsAt: sim.now.Add(joinDelay)}
	case "stall":
		n.stalledFrom, n.stalledTo = sim.now, sim.now.Add(f.duration)
	case "reload":
		n.budget.SetSettings(sim.settings, sim.now)
	case "join":
		sim.nodes = append(sim.nodes, &simulatedGateway{budget: New(sim.settings, 0, sim.now), joinsAt: sim.now.Add(joinDelay)})
	case "leave":
		n.leaving = true
		n.budget.SetSlackShare(0, sim.now)
	}
	sim.setShares()
}

// setShares sets the shares of all gateways that have joined. Gateways that have not joined yet count as sharing.
func (sim *simulation) setShares() {
	counted := 0
	for _, n := range sim.nodes {
		if !n.leaving {
			counted++
		}
	}
	for _, n := range sim.nodes {
		if n.joined && !n.leaving && !sim.stalled(n) {
			n.budget.SetSlackShare(1/float64(counted), sim.now)
		}
	}
}

func (sim *simulation) stalled(n *simulatedGateway) bool { return sim.now.Before(n.stalledTo) }

// advance ends the stalls and join delays that are over, and sends the delayed retries that are due. A gateway
// serves its queued requests when its stall ends.
func (sim *simulation) advance() {
	for _, n := range sim.nodes {
		if !n.stalledTo.IsZero() && !sim.stalled(n) {
			for range n.queued {
				sim.serve(n)
			}
			n.budget.RecordStall(n.stalledFrom, sim.now.Add(200*time.Millisecond), sim.now)
			n.stalledTo, n.queued = time.Time{}, nil
			sim.setShares()
		}
		if !sim.stalled(n) {
			sim.sendDelayed(n)
		}
		if !n.joined && !sim.now.Before(n.joinsAt) {
			n.joined = true
			sim.setShares()
		}
	}
}

func (sim *simulation) request(n *simulatedGateway) {
	sim.requests = append(sim.requests, sim.now)
	if sim.stalled(n) {
		n.queued = append(n.queued, sim.now)
		return
	}
	sim.serve(n)
}

// serve sends a request until a send succeeds, a retry is denied or delayed, or three retries have been sent.
func (sim *simulation) serve(n *simulatedGateway) {
	n.budget.RecordRequest(sim.now)
	for range 3 {
		if sim.rnd.Float64() >= sim.failing {
			return
		}
		d := n.budget.Take(sim.now)
		switch {
		case !d.Granted:
			return
		case sim.rnd.Float64() < sim.delayed:
			n.delayed = append(n.delayed, delayedRetry{d, sim.now.Add(time.Duration(sim.rnd.IntN(6000)) * time.Millisecond)})
			return
		}
		sim.retries = append(sim.retries, sim.now)
	}
}

// sendDelayed sends the delayed retries of a gateway that are due, if their grants can be renewed.
func (sim *simulation) sendDelayed(n *simulatedGateway) {
	n.delayed = slices.DeleteFunc(n.delayed, func(r delayedRetry) bool {
		if sim.now.Before(r.at) {
			return false
		}
		if n.budget.Renew(r.grant, sim.now).Granted {
			sim.retries = append(sim.retries, sim.now)
		}
		return true
	})
}

// In any window, the retries of all gateways stay within the rule and within the stricter bound that each gateway
// enforces, which splits the ratio between the requests of two windows. Only UsedSlackFraction of the slack is
// allowed: the remainder is reserved for retries in flight, which the simulation does not have.
func TestRetriesOfAllGatewaysStayWithinRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Hashed because rapid draws mostly small integers, which would repeat scenarios.
		sc := drawScenario(xxhash.Sum64(rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "seed")))
		requests, retries := sc.run()
		if len(retries) == 0 {
			return
		}
		sc.rule.Slack *= UsedSlackFraction
		if w := retryrule.WorstWindow(sc.rule, requests, retries); w.Excess() > 1e-6 {
			t.Fatalf("%d retries for %d requests in the window at %s, %.1f allowed", w.Retries, w.Requests, w.Start.Sub(requests[0]), w.Allowed)
		}
		if w := retryrule.WorstWeightedWindow(sc.rule, bucketRatioFraction, requests, retries); w.Excess() > 1e-6 {
			t.Fatalf("%d retries in the window at %s, %.1f covered", w.Retries, w.Start.Sub(requests[0]), w.Allowed)
		}
	})
}

// steadyScenario returns a scenario with a constant load in which all sends fail from failFrom on.
func steadyScenario(perSecond int, failFrom time.Duration) scenario {
	return scenario{rule: retryrule.Rule{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}, gateways: 4, seed: 1,
		segments: []segment{{failFrom, perSecond, 0, -1}, {40*time.Second - failFrom, perSecond, 1, -1}}}
}

// Guards against a budget that denies nearly all retries.
func TestSteadilyFailingServiceUsesMostOfBudget(t *testing.T) {
	for _, perSecond := range []int{10, 50, 200} {
		g := NewWithT(t)
		sc := steadyScenario(perSecond, 8*time.Second)
		requests, retries := sc.run()
		w := retryrule.WorstWindow(sc.rule, requests, retries)
		g.Expect(float64(w.Retries)).To(BeNumerically(">=", 0.6*w.Allowed), "%d a second", perSecond)
		last := 0
		for _, at := range retries {
			if at.After(requests[0].Add(30 * time.Second)) {
				last++
			}
		}
		g.Expect(float64(last)).To(BeNumerically(">=", 0.6*0.2*10*float64(perSecond)), "the last 10 s at %d a second", perSecond)
	}
}

// Guards against a budget too small to retry all requests that are running on a server when it terminates.
func TestBudgetCoversServerTermination(t *testing.T) {
	g := NewWithT(t)
	const gateways, running = 4, 48
	s := Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 12}
	now, rnd := time.Now(), rand.New(rand.NewPCG(1, 1))
	var budgets []*Budget
	for range gateways {
		budgets = append(budgets, New(s, 1.0/gateways, now))
	}
	for range 30 * 50 { // at 50 a second
		now = now.Add(20 * time.Millisecond)
		budgets[rnd.IntN(gateways)].RecordRequest(now)
	}
	granted := 0
	for i := range running {
		if budgets[i%gateways].Take(now).Granted {
			granted++
		}
	}
	g.Expect(granted).To(Equal(running))
}
