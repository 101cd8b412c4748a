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
	cs := make([]Candidate, n)
	for i := range cs {
		cs[i] = Candidate{Name: fmt.Sprint("s", i), FailureDomain: fmt.Sprint(i % 4), Connected: true, TargetLoaded: true, Slots: 8, ServiceMS: 100, FirstTokenMS: 20}
	}
	return cs
}

func TestOnlyEligibleServersArePicked(t *testing.T) {
	for _, name := range []string{"scored", "round_robin", "least_loaded"} {
		rapid.Check(t, func(t *rapid.T) {
			g := NewWithT(t)
			cs := newCandidates(rapid.IntRange(0, 12).Draw(t, "servers"))
			anyEligible := false
			for i := range cs {
				cs[i].Connected = rapid.Bool().Draw(t, "connected")
				cs[i].Draining = rapid.Bool().Draw(t, "draining")
				cs[i].TargetLoaded = rapid.Bool().Draw(t, "target loaded")
				cs[i].Excluded = rapid.Bool().Draw(t, "excluded")
				anyEligible = anyEligible || isEligible(&cs[i])
			}
			p, err := New(name, allOptions)
			g.Expect(err).NotTo(HaveOccurred())
			i, ok := p.Pick(Request{}, cs, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
			g.Expect(ok).To(Equal(anyEligible))
			if ok {
				g.Expect(isEligible(&cs[i])).To(BeTrue())
			}
		})
	}
}

// firstServerShare returns the fraction of picks that choose server 0.
func firstServerShare(opts Options, change func(*Candidate)) float64 {
	cs := newCandidates(4)
	change(&cs[0])
	p, _ := New("scored", opts)
	rnd := rand.New(rand.NewPCG(1, 2))
	n := 0
	for range 4000 {
		if i, _ := p.Pick(Request{FailureDomain: "0"}, cs, rnd); i == 0 {
			n++
		}
	}
	return float64(n) / 4000
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
			cs := newCandidates(n)
			p, _ := New("scored", allOptions)
			rnd := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(Request{FailureDomain: "0"}, cs, rnd)
			}
		})
	}
}
