package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

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
	return Prompt{Tokens: 12000, OutputTokens: 300, Parts: []Part{{ID: "all", Tokens: 500}, {ID: shared, Tokens: 4500}, {ID: "own", Tokens: 7000}}}
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

func TestAHomeIsKeptUnlessItIsLoaded(t *testing.T) {
	g := NewWithT(t)
	all := engines(12)
	req := Request{Prompt: prompt("x"), FailureDomain: "0"}
	home := ChooseEngine(req, all)
	g.Expect(home.Reason).To(Equal(Home))
	g.Expect(ChooseEngine(req, all).Candidate).To(BeIdenticalTo(home.Candidate))
	home.Candidate.View.UnreadTokens = 20000 // 350 ms
	spread := ChooseEngine(req, all)
	g.Expect(spread.Reason).To(Equal(Spread))
	g.Expect(spread.FetchFrom).To(Equal(home.Candidate.Server.Address))
	home.Candidate.View.Avoided = true
	g.Expect(ChooseEngine(req, all).FetchFrom).To(BeEmpty())
}

// A part that many ask for loads its home although each gateway sends it little; what
// the home says of its load makes them go to stand-ins, all in the same order.
func TestAHomeThatSaysItIsLoadedIsLeft(t *testing.T) {
	g := NewWithT(t)
	all := engines(12)
	req := Request{Prompt: prompt("x")}
	now := time.Unix(100, 0)
	for i := range all {
		all[i].View.Load = registry.Load{Running: 10, Slots: 64, At: now}
	}
	home := ChooseEngine(req, all)
	g.Expect(home.Reason).To(Equal(Home))
	home.Candidate.View.Load.Running = 10 + homeSlackMs/reportedMs
	g.Expect(ChooseEngine(req, all).Reason).To(Equal(Home))
	home.Candidate.View.Load.Running++
	next := ChooseEngine(req, all)
	g.Expect(next.Reason).To(Equal(Spread))
	g.Expect(next.FetchFrom).To(Equal(home.Candidate.Server.Address))
	for draw := range 10 {
		req.Draw = float64(draw) / 10
		g.Expect(ChooseEngine(req, all).Candidate).To(BeIdenticalTo(next.Candidate))
	}
	// One that says nothing counts as loaded as the others.
	home.Candidate.View.Load = registry.Load{}
	g.Expect(ChooseEngine(req, all).Reason).To(Equal(Home))
	g.Expect(home.Candidate.View.Load.Running).To(Equal(10))
}

func TestAHomeThatFailedIsStoodInFor(t *testing.T) {
	g := NewWithT(t)
	all := engines(12)
	req := Request{Prompt: prompt("x")}
	home := ChooseEngine(req, all)
	g.Expect(home.Reason).To(Equal(Home))
	home.Candidate.Tried = true
	second := ChooseEngine(req, all).Candidate
	g.Expect(second).NotTo(BeIdenticalTo(home.Candidate))
	second.View.Avoided = true
	third := ChooseEngine(req, all).Candidate
	g.Expect([]bool{third.Tried, third.View.Avoided}).To(Equal([]bool{false, false}))
	home.Candidate.Tried = false
	g.Expect(ChooseEngine(req, all).Candidate).To(BeIdenticalTo(home.Candidate))
	g.Expect(ChooseEngine(req, nil).Candidate).To(BeNil())
}

func TestGroupsAreEvenAndStable(t *testing.T) {
	g := NewWithT(t)
	g.Expect([]int{GroupCount(0), GroupCount(1), GroupCount(groupSize), GroupCount(groupSize + 1)}).To(Equal([]int{1, 1, 1, 2}))
	groups := GroupCount(650)
	size := make([]int, groups)
	for i := range 650 {
		engine := fmt.Sprint("e", i)
		size[GroupOf(engine, groups)]++
		g.Expect(RankGroups(engine, groups)).To(HaveLen(groups))
	}
	for _, n := range size {
		g.Expect(n).To(BeNumerically("~", 650/groups, 30))
	}
}

func TestFailingServersArePassedOver(t *testing.T) {
	g := NewWithT(t)
	all := engines(4)
	all[0].View.ErrorRate, all[1].View.Avoided, all[2].Tried = 0.5, true, true
	for draw := range 10 {
		c := ChoosePlain(Request{Draw: float64(draw) / 10, FailureDomain: "0"}, all)
		g.Expect(c.Candidate.Server.ID).To(Equal("e03"))
	}
}

// BenchmarkEngine is one choice among the 50 engines of a deployment.
func BenchmarkEngine(b *testing.B) {
	all := engines(50)
	req := Request{Prompt: prompt("x")}
	b.ReportAllocs()
	for b.Loop() {
		ChooseEngine(req, all)
	}
}
