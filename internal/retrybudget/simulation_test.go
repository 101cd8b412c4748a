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

// fault is a failure, reload or membership change of a gateway.
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
	delayed  float64 // fraction of the repeats that are sent up to 6 s after they are granted
	seed     uint64
}

// drawScenario generates a scenario from a seed. The draws are uniform: rapid's generators favour small values, which
// give scenarios without repeats.
func drawScenario(seed uint64) scenario {
	rnd := rand.New(rand.NewPCG(seed, 2))
	ms := func(from, to int) time.Duration { return time.Duration(from+rnd.IntN(to-from)) * time.Millisecond }
	d := scenario{seed: seed, delayed: pick(rnd, 0, 0.3, 1), gateways: 1 + rnd.IntN(8),
		rule: retryrule.Rule{Ratio: pick(rnd, 0.05, 0.2, 0.5), Window: 10 * time.Second, Slack: pick(rnd, 0.0, 2, 12, 52)}}
	for range 3 + rnd.IntN(4) {
		only := -1
		if rnd.IntN(3) == 0 {
			only = rnd.IntN(d.gateways)
		}
		d.segments = append(d.segments, segment{ms(500, 15000), pick(rnd, 2, 10, 50, 100, 200), pick(rnd, 0, 0, 0.3, 1, 1), only})
	}
	for range pick(rnd, 0, 1, 3, 10, 30) {
		d.faults = append(d.faults, fault{ms(0, 60000), ms(100, 6000), pick(rnd, "kill", "kill", "stall", "reload", "join", "leave"), rnd.IntN(d.gateways)})
	}
	return d
}

func pick[T any](rnd *rand.Rand, of ...T) T { return of[rnd.IntN(len(of))] }

// node is a simulated gateway.
type simulatedGateway struct {
	budget      *Budget
	joinsAt     time.Time // when it receives its share of the slack
	joined      bool
	leaving     bool
	stalledFrom time.Time
	stalledTo   time.Time
	queued      []time.Time // requests sent during a stall
	delayed     []delayedRepeat
}

// delayedRepeat is a granted repeat that is due to be sent at a later time.
type delayedRepeat struct {
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
	repeats  []time.Time
	failing  float64
}

// step is the time step of the simulation.
const timeStep = 5 * time.Millisecond

// run simulates the scenario and returns the times of its requests and repeats.
func (d scenario) run() (requests, repeats []time.Time) {
	p := &simulation{scenario: d, settings: Settings{d.rule.Ratio, d.rule.Window, d.rule.Slack}, rnd: rand.New(rand.NewPCG(d.seed, 1)),
		now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
	begin := p.now
	for range d.gateways {
		p.nodes = append(p.nodes, &simulatedGateway{budget: New(p.settings, 0, p.now), joinsAt: p.now.Add(joinDelay)})
	}
	for _, s := range d.segments {
		p.failing = s.failing
		due := 0.0
		for end := p.now.Add(s.length); p.now.Before(end); p.now = p.now.Add(timeStep) {
			for _, f := range d.faults {
				if at := begin.Add(f.at); !at.Before(p.now) && at.Before(p.now.Add(timeStep)) {
					p.inject(f)
				}
			}
			p.advance()
			for due += float64(s.perSecond) * timeStep.Seconds(); due >= 1; due-- {
				n := p.rnd.IntN(len(p.nodes))
				if s.onlyGateway >= 0 {
					n = s.onlyGateway
				}
				p.request(p.nodes[n])
			}
		}
	}
	return p.requests, p.repeats
}

// inject applies a fault.
func (p *simulation) inject(f fault) {
	n := p.nodes[f.gateway]
	switch f.kind {
	case "kill":
		*n = simulatedGateway{budget: New(p.settings, 0, p.now), joinsAt: p.now.Add(joinDelay)}
	case "stall":
		n.stalledFrom, n.stalledTo = p.now, p.now.Add(f.duration)
	case "reload":
		n.budget.SetSettings(p.settings, p.now)
	case "join":
		p.nodes = append(p.nodes, &simulatedGateway{budget: New(p.settings, 0, p.now), joinsAt: p.now.Add(joinDelay)})
	case "leave":
		n.leaving = true
		n.budget.SetSlackShare(0, p.now)
	}
	p.setShares()
}

// setShares sets the shares of all gateways that have joined. Those that have not joined yet are counted.
func (p *simulation) setShares() {
	counted := 0
	for _, n := range p.nodes {
		if !n.leaving {
			counted++
		}
	}
	for _, n := range p.nodes {
		if n.joined && !n.leaving && !p.stalled(n) {
			n.budget.SetSlackShare(1/float64(counted), p.now)
		}
	}
}

func (p *simulation) stalled(n *simulatedGateway) bool { return p.now.Before(n.stalledTo) }

// advance ends the stalls and the join delays that are over and sends the delayed repeats that are due. A gateway
// serves its queue when its stall ends.
func (p *simulation) advance() {
	for _, n := range p.nodes {
		if !n.stalledTo.IsZero() && !p.stalled(n) {
			for range n.queued {
				p.serve(n)
			}
			n.budget.RecordStall(n.stalledFrom, p.now.Add(200*time.Millisecond), p.now)
			n.stalledTo, n.queued = time.Time{}, nil
			p.setShares()
		}
		if !p.stalled(n) {
			p.sendDelayed(n)
		}
		if !n.joined && !p.now.Before(n.joinsAt) {
			n.joined = true
			p.setShares()
		}
	}
}

func (p *simulation) request(n *simulatedGateway) {
	p.requests = append(p.requests, p.now)
	if p.stalled(n) {
		n.queued = append(n.queued, p.now)
		return
	}
	p.serve(n)
}

// serve sends a request until a send succeeds, the budget denies a repeat, a repeat is delayed or three repeats are
// sent.
func (p *simulation) serve(n *simulatedGateway) {
	n.budget.RecordRequest(p.now)
	for range 3 {
		if p.rnd.Float64() >= p.failing {
			return
		}
		d := n.budget.Take(p.now)
		switch {
		case !d.Granted:
			return
		case p.rnd.Float64() < p.delayed:
			n.delayed = append(n.delayed, delayedRepeat{d, p.now.Add(time.Duration(p.rnd.IntN(6000)) * time.Millisecond)})
			return
		}
		p.repeats = append(p.repeats, p.now)
	}
}

// sendDelayed sends the delayed repeats of a gateway that are due, if their grants can be renewed.
func (p *simulation) sendDelayed(n *simulatedGateway) {
	n.delayed = slices.DeleteFunc(n.delayed, func(r delayedRepeat) bool {
		if p.now.Before(r.at) {
			return false
		}
		if n.budget.Renew(r.grant, p.now).Granted {
			p.repeats = append(p.repeats, p.now)
		}
		return true
	})
}

// In any window, the repeats of all gateways stay within the rule and within the stricter bound that each gateway
// enforces, which splits the ratio between the requests of two windows. Only SlackInUse of the slack is allowed:
// the rest is reserved for sends in flight, which the simulation does not have.
func TestRepeatsOfAllGatewaysStayWithinRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Hashed because rapid draws mostly small integers, which would repeat scenarios.
		d := drawScenario(xxhash.Sum64(rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "seed")))
		requests, repeats := d.run()
		if len(repeats) == 0 {
			return
		}
		d.rule.Slack *= UsedSlackFraction
		if w := retryrule.WorstWindow(d.rule, requests, repeats); w.Excess() > 1e-6 {
			t.Fatalf("%d repeats for %d requests in the window at %s, %.1f allowed", w.Retries, w.Requests, w.Start.Sub(requests[0]), w.Allowed)
		}
		if w := retryrule.WorstWeightedWindow(d.rule, bucketRatioFraction, requests, repeats); w.Excess() > 1e-6 {
			t.Fatalf("%d repeats in the window at %s, %.1f paid for", w.Retries, w.Start.Sub(requests[0]), w.Allowed)
		}
	})
}

// steadyScenario returns a scenario with a constant load in which all sends fail from failFrom on.
func steadyScenario(perSecond int, failFrom time.Duration) scenario {
	return scenario{rule: retryrule.Rule{Ratio: 0.2, Window: 10 * time.Second, Slack: 52}, gateways: 4, seed: 1,
		segments: []segment{{failFrom, perSecond, 0, -1}, {40*time.Second - failFrom, perSecond, 1, -1}}}
}

// Guards against a budget that denies nearly all repeats.
func TestSteadilyFailingServiceUsesMostOfBudget(t *testing.T) {
	for _, perSecond := range []int{10, 50, 200} {
		g := NewWithT(t)
		d := steadyScenario(perSecond, 8*time.Second)
		requests, repeats := d.run()
		w := retryrule.WorstWindow(d.rule, requests, repeats)
		g.Expect(float64(w.Retries)).To(BeNumerically(">=", 0.6*w.Allowed), "%d a second", perSecond)
		last := 0
		for _, at := range repeats {
			if at.After(requests[0].Add(30 * time.Second)) {
				last++
			}
		}
		g.Expect(float64(last)).To(BeNumerically(">=", 0.6*0.2*10*float64(perSecond)), "the last 10 s at %d a second", perSecond)
	}
}

// Guards against a budget too small to repeat all requests that are running on a server when it terminates.
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
