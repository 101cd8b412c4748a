package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/registry"
)

// engines returns n idle engines spread over four failure domains.
func engines(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		id := fmt.Sprintf("e%02d", i)
		out[i] = Candidate{Server: registry.Server{ID: id, Address: id + ":80", FailureDomain: fmt.Sprint(i % 4), Slots: 64}}
	}
	return out
}

func prompt(shared string) Prompt {
	return Prompt{Tokens: 12000, Output: 300, Parts: []Part{{ID: "all", Tokens: 500}, {ID: shared, Tokens: 4500}, {ID: "own", Tokens: 7000}}}
}

func TestTheSharedPartIsTheLastButOne(t *testing.T) {
	g := NewWithT(t)
	id, tokens := prompt("x").Shared()
	g.Expect(id).To(Equal("x"))
	g.Expect(tokens).To(Equal(5000))
	id, tokens = Prompt{Parts: []Part{{ID: "own", Tokens: 7}}}.Shared()
	g.Expect(id).To(BeEmpty())
	g.Expect(tokens).To(BeZero())
}

// The parts are disjoint, cover all engines, both have one at least, and growing
// one takes engines from the other in a fixed order.
func TestPartsAreDisjointAndGrowInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "engines")
		small, large := rapid.Float64Range(0, 1).Draw(t, "share"), rapid.Float64Range(0, 1).Draw(t, "another")
		if small > large {
			small, large = large, small
		}
		all := engines(n)
		ids := func(share float64, interactive bool) map[string]bool {
			out := map[string]bool{}
			for _, c := range pick(all, share, interactive) {
				out[c.Server.ID] = true
			}
			return out
		}
		inter, batch := ids(small, true), ids(small, false)
		if len(inter) == 0 || len(batch) == 0 || len(inter)+len(batch) != n {
			t.Fatalf("%d and %d of %d engines", len(inter), len(batch), n)
		}
		for id := range inter {
			if batch[id] {
				t.Fatalf("%s is in both parts", id)
			}
			if !ids(large, true)[id] {
				t.Fatalf("%s left the interactive part as it grew", id)
			}
		}
	})
}

func TestPartsCoverTheFailureDomains(t *testing.T) {
	g := NewWithT(t)
	domains := map[string]bool{}
	for _, c := range pick(engines(12), 0.34, true) {
		domains[c.Server.FailureDomain] = true
	}
	g.Expect(domains).To(HaveLen(4))
}

func TestAHomeIsKeptUnlessItIsLoaded(t *testing.T) {
	g := NewWithT(t)
	all := engines(12)
	req := Request{Prompt: prompt("x"), Interactive: true, FailureDomain: "0"}
	home := Engine(req, all, 0.5)
	g.Expect(home.Reason).To(Equal(Home))
	g.Expect(Engine(req, all, 0.5).Candidate).To(BeIdenticalTo(home.Candidate))
	home.Candidate.View.Unread = 20000 // 350 ms
	spread := Engine(req, all, 0.5)
	g.Expect(spread.Reason).To(Equal(Spread))
	g.Expect(spread.FetchFrom).To(Equal(home.Candidate.Server.Address))
	home.Candidate.View.Avoided = true
	g.Expect(Engine(req, all, 0.5).FetchFrom).To(BeEmpty())
}

// A full part spills over only where its waits are clearly longer: engines that
// read long prompts serve interactive requests no sooner. Sending them there as soon
// as their part had no free slot cost 0.02 and 0.03 of the mean worth of the two
// deployments on which it was tried.
func TestAFullPartSpillsOverOnlyForLongWaits(t *testing.T) {
	g := NewWithT(t)
	all := engines(10)
	part := map[string]bool{}
	for _, c := range pick(all, 0.3, true) {
		c.View.Load = registry.Load{Running: 64, Slots: 64}
		part[c.Server.ID] = true
	}
	req := Request{Prompt: prompt("x"), Interactive: true}
	g.Expect(part).To(HaveKey(Engine(req, all, 0.3).Candidate.Server.ID))
	for _, c := range pick(all, 0.3, true) {
		c.View.Unread = 20000 // 350 ms
	}
	g.Expect(part).NotTo(HaveKey(Engine(req, all, 0.3).Candidate.Server.ID))
	req.Interactive = false
	g.Expect(part).NotTo(HaveKey(Engine(req, all, 0.3).Candidate.Server.ID))
}

// A part that many ask for loads its home although each gateway sends it little; what
// the home says of its load makes them go to stand-ins, all in the same order.
func TestAHomeThatSaysItIsLoadedIsLeft(t *testing.T) {
	g := NewWithT(t)
	all := engines(12)
	req := Request{Prompt: prompt("x"), Interactive: true}
	now := time.Unix(100, 0)
	for i := range all {
		all[i].View.Load = registry.Load{Running: 10, Slots: 64, At: now}
	}
	home := Engine(req, all, 0.5)
	g.Expect(home.Reason).To(Equal(Home))
	home.Candidate.View.Load.Running = 10 + homeSlackMs/reportedMs
	g.Expect(Engine(req, all, 0.5).Reason).To(Equal(Home))
	home.Candidate.View.Load.Running++
	next := Engine(req, all, 0.5)
	g.Expect(next.Reason).To(Equal(Spread))
	g.Expect(next.FetchFrom).To(Equal(home.Candidate.Server.Address))
	for draw := range 10 {
		req.Draw = float64(draw) / 10
		g.Expect(Engine(req, all, 0.5).Candidate).To(BeIdenticalTo(next.Candidate))
	}
	// One that says nothing counts as loaded as the others.
	home.Candidate.View.Load = registry.Load{}
	g.Expect(Engine(req, all, 0.5).Reason).To(Equal(Home))
	g.Expect(home.Candidate.View.Load.Running).To(Equal(10))
}

func TestAPartWithoutUsableEnginesIsLeft(t *testing.T) {
	g := NewWithT(t)
	all := engines(6)
	for _, interactive := range []bool{true, false} {
		req := Request{Prompt: prompt("x"), Interactive: interactive}
		first := Engine(req, all, 0.5).Candidate
		for _, c := range pick(all, 0.5, interactive) {
			c.Tried = true
		}
		g.Expect(Engine(req, all, 0.5).Candidate.Tried).To(BeFalse())
		g.Expect(HomeOf(req, all, 0.5).Candidate.Tried).To(BeFalse())
		g.Expect(Engine(req, all, 0.5).Candidate).NotTo(BeIdenticalTo(first))
		for i := range all {
			all[i].Tried = false
		}
	}
	for i := range all {
		all[i].View.Avoided = true
	}
	g.Expect(HomeOf(Request{Prompt: prompt("x")}, all, 0.5).Candidate).To(BeNil())
	g.Expect(Engine(Request{Prompt: prompt("x")}, nil, 0.5).Candidate).To(BeNil())
}

func TestAHomeThatFailedIsStoodInFor(t *testing.T) {
	g := NewWithT(t)
	all := engines(12)
	req := Request{Prompt: prompt("x")}
	home := HomeOf(req, all, 0.4)
	g.Expect(home.Reason).To(Equal(Home))
	g.Expect(HomeOf(req, all, 0.4).Candidate).To(BeIdenticalTo(home.Candidate))
	home.Candidate.Tried = true
	second := HomeOf(req, all, 0.4).Candidate
	g.Expect(second).NotTo(BeIdenticalTo(home.Candidate))
	home.Candidate.Tried = false
	g.Expect(HomeOf(req, all, 0.4).Candidate).To(BeIdenticalTo(home.Candidate))
}

func TestTheBatchPartIsWhatInteractiveRequestsDoNotUse(t *testing.T) {
	g := NewWithT(t)
	all := engines(12)
	batch := Batch(all, 0.25)
	g.Expect(batch).To(HaveLen(9))
	for _, c := range pick(all, 0.25, true) {
		g.Expect(batch).NotTo(HaveKey(c.Server.ID))
	}
}

func TestGroupsAreEvenAndStable(t *testing.T) {
	g := NewWithT(t)
	g.Expect([]int{Groups(0), Groups(1), Groups(groupSize), Groups(groupSize + 1)}).To(Equal([]int{1, 1, 1, 2}))
	groups := Groups(650)
	size := make([]int, groups)
	for i := range 650 {
		engine := fmt.Sprint("e", i)
		size[GroupOf(engine, groups)]++
		g.Expect(GroupsFor(engine, groups)).To(HaveLen(groups))
	}
	for _, n := range size {
		g.Expect(n).To(BeNumerically("~", 650/groups, 30))
	}
}

func TestFailingServersArePassedOver(t *testing.T) {
	g := NewWithT(t)
	all := engines(4)
	all[0].View.ErrorShare, all[1].View.Avoided, all[2].Tried = 0.5, true, true
	for draw := range 10 {
		c := Plain(Request{Draw: float64(draw) / 10, FailureDomain: "0"}, all)
		g.Expect(c.Candidate.Server.ID).To(Equal("e03"))
	}
}

func TestTheInteractivePartFollowsDemandAndLateness(t *testing.T) {
	g := NewWithT(t)
	var d Demand
	now := time.Unix(0, 0)
	share := func() float64 { return Share([]Measured{d.Measured(now)}) }
	g.Expect(share()).To(Equal(minShare))
	for range 100 {
		d.Add(Prompt{Tokens: 600, Output: 300}, true, now)
	}
	g.Expect(share()).To(Equal(maxDemandShare))
	for range 400 {
		d.Add(Prompt{Tokens: 7000, Output: 300}, false, now)
	}
	quiet := share()
	g.Expect(quiet).To(BeNumerically("<", 0.4))
	for range 30 {
		d.FirstToken(true)
	}
	g.Expect(share()).To(BeNumerically("~", maxShare, 1e-9))
	for range 100 {
		d.FirstToken(false)
	}
	g.Expect(share()).To(BeNumerically("~", quiet, 1e-9))
}

// All gateways come to one share from what all have measured, whatever of it is
// their own; one that sees few requests, all late, does not move it far.
func TestTheShareIsThatOfAllGateways(t *testing.T) {
	g := NewWithT(t)
	busy, quiet := Measured{InteractiveMs: 5000, BatchMs: 20000}, Measured{InteractiveMs: 100, Pressure: 1}
	both := Share([]Measured{busy, quiet})
	g.Expect(Share([]Measured{quiet, busy})).To(Equal(both))
	g.Expect(both).To(BeNumerically("~", Share([]Measured{busy}), 0.02))
	g.Expect(Share([]Measured{quiet})).To(Equal(maxShare))
	g.Expect(Share(nil)).To(Equal(minShare))
}

// BenchmarkEngine is one choice among the 50 engines of a deployment.
func BenchmarkEngine(b *testing.B) {
	all := engines(50)
	req := Request{Prompt: prompt("x"), Interactive: true}
	b.ReportAllocs()
	for b.Loop() {
		Engine(req, all, 0.4)
	}
}
