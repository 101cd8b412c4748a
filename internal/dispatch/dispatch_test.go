package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var allOptions = Options{PrefixAffinity: true, DomainAffinity: true, StragglerPenalty: true, CountUnreported: true}

func newCandidates(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		candidates[i] = Candidate{Name: fmt.Sprint("s", i), FailureDomain: fmt.Sprint(i % 4), Connected: true, TargetLoaded: true, Slots: 8, ServiceMS: 100, FirstTokenMS: 20}
	}
	return candidates
}

func TestOnlyEligibleServersArePicked(t *testing.T) {
	for _, name := range []string{"scored", "round_robin", "least_loaded"} {
		rapid.Check(t, func(t *rapid.T) {
			g := NewWithT(t)
			candidates := newCandidates(rapid.IntRange(0, 12).Draw(t, "servers"))
			anyEligible := false
			for i := range candidates {
				candidates[i].Connected = rapid.Bool().Draw(t, "connected")
				candidates[i].Draining = rapid.Bool().Draw(t, "draining")
				candidates[i].TargetLoaded = rapid.Bool().Draw(t, "target loaded")
				candidates[i].Excluded = rapid.Bool().Draw(t, "excluded")
				anyEligible = anyEligible || isEligible(&candidates[i])
			}
			p, err := New(name, allOptions)
			g.Expect(err).NotTo(HaveOccurred())
			i, ok := p.Pick(Request{}, candidates, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
			g.Expect(ok).To(Equal(anyEligible))
			if ok {
				g.Expect(isEligible(&candidates[i])).To(BeTrue())
			}
		})
	}
}

// firstServerShare returns the fraction of picks that choose server 0 after change has
// modified it.
func firstServerShare(opts Options, change func(*Candidate)) float64 {
	candidates := newCandidates(4)
	change(&candidates[0])
	p, _ := New("scored", opts)
	rnd := rand.New(rand.NewPCG(1, 2))
	picked := 0
	for range 4000 {
		if i, _ := p.Pick(Request{FailureDomain: "0"}, candidates, rnd); i == 0 {
			picked++
		}
	}
	return float64(picked) / 4000
}

func TestScoreParts(t *testing.T) {
	g := NewWithT(t)
	g.Expect(firstServerShare(allOptions, func(c *Candidate) { c.Queued = 8 })).To(BeNumerically("<", 0.01))
	g.Expect(firstServerShare(allOptions, func(c *Candidate) { c.SentSinceReport = 8 })).To(BeNumerically("<", 0.01))
	g.Expect(firstServerShare(Options{}, func(c *Candidate) { c.SentSinceReport = 8 })).To(BeNumerically(">", 0.2))
	g.Expect(firstServerShare(allOptions, func(c *Candidate) { c.FirstTokenMS = 2000 })).To(BeNumerically("<", 0.01))
	g.Expect(firstServerShare(allOptions, func(c *Candidate) { c.CachedPrefixShare = 1; c.FailureDomain = "9" })).To(BeNumerically(">", 0.45))
}

func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{16, 32, 650, 2600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			candidates := newCandidates(n)
			p, _ := New("scored", allOptions)
			rnd := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(Request{FailureDomain: "0"}, candidates, rnd)
			}
		})
	}
}
