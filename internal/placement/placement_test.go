package placement

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/registry"
)

// engines returns n idle engines distributed over four failure domains.
func engines(n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		id := fmt.Sprintf("e%02d", i)
		out[i] = Candidate{Server: registry.Server{ID: id, Address: id + ":80", FailureDomain: fmt.Sprint(i % 4), Slots: 64}}
	}
	return out
}

func sharedPrompt(shared string) Prompt {
	return Prompt{Tokens: 12000, OutputTokens: 300, Parts: []Part{{ID: "all", Tokens: 500}, {ID: shared, Tokens: 4500}, {ID: "own", Tokens: 7000}}}
}

func TestSharedPrefixEndsBeforeLastPart(t *testing.T) {
	g := NewWithT(t)
	id, tokens := sharedPrompt("x").SharedPrefix()
	g.Expect(id).To(Equal("x"))
	g.Expect(tokens).To(Equal(5000))
	id, tokens = Prompt{Parts: []Part{{ID: "own", Tokens: 7}}}.SharedPrefix()
	g.Expect(id).To(BeEmpty())
	g.Expect(tokens).To(BeZero())
}

func TestHomeIsKeptUnlessOverloaded(t *testing.T) {
	g := NewWithT(t)
	all := engines(12)
	req := Request{Prompt: sharedPrompt("x"), FailureDomain: "0"}
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

// The home of a popular part can be overloaded although each gateway sends it few requests. Based on
// the load that the home reports, gateways use the fallbacks instead, all in the same order.
func TestHomeWithHighReportedLoadIsNotChosen(t *testing.T) {
	g := NewWithT(t)
	all := engines(12)
	req := Request{Prompt: sharedPrompt("x")}
	now := time.Unix(100, 0)
	for i := range all {
		all[i].View.Load = registry.Load{Running: 10, Slots: 64, At: now}
	}
	home := ChooseEngine(req, all)
	g.Expect(home.Reason).To(Equal(Home))
	home.Candidate.View.Load.Running = 10 + maxExtraHomeWaitMs/reportedRequestCostMs
	g.Expect(ChooseEngine(req, all).Reason).To(Equal(Home))
	home.Candidate.View.Load.Running++
	next := ChooseEngine(req, all)
	g.Expect(next.Reason).To(Equal(Spread))
	g.Expect(next.FetchFrom).To(Equal(home.Candidate.Server.Address))
	for draw := range 10 {
		req.Draw = float64(draw) / 10
		g.Expect(ChooseEngine(req, all).Candidate).To(BeIdenticalTo(next.Candidate))
	}
	// A server without a load report is assumed to have the mean load.
	home.Candidate.View.Load = registry.Load{}
	g.Expect(ChooseEngine(req, all).Reason).To(Equal(Home))
	g.Expect(home.Candidate.View.Load.Running).To(Equal(10))
}

func TestFailedHomeIsReplaced(t *testing.T) {
	g := NewWithT(t)
	all := engines(12)
	req := Request{Prompt: sharedPrompt("x")}
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
	g.Expect([]int{GroupCount(0), GroupCount(1), GroupCount(enginesPerGroup), GroupCount(enginesPerGroup + 1)}).To(Equal([]int{1, 1, 1, 2}))
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

func TestFailingServersAreAvoided(t *testing.T) {
	g := NewWithT(t)
	all := engines(4)
	all[0].View.ErrorRate, all[1].View.Avoided, all[2].Tried = 0.5, true, true
	for draw := range 10 {
		c := ChoosePlain(Request{Draw: float64(draw) / 10, FailureDomain: "0"}, all)
		g.Expect(c.Candidate.Server.ID).To(Equal("e03"))
	}
}

// BenchmarkEngine measures one choice among the 50 engines of a deployment.
func BenchmarkChooseEngine(b *testing.B) {
	all := engines(50)
	req := Request{Prompt: sharedPrompt("x")}
	b.ReportAllocs()
	for b.Loop() {
		ChooseEngine(req, all)
	}
}
