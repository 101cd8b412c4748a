package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var everything = Options{PrefixAffinity: true, DomainAffinity: true, StragglerPenalty: true, CountUnreported: true}

func pool(n int) []Candidate {
	cs := make([]Candidate, n)
	for i := range cs {
		cs[i] = Candidate{Name: fmt.Sprint("s", i), FailureDomain: fmt.Sprint(i % 4), Connected: true, TargetLoaded: true, Slots: 8, ServiceMS: 100, FirstTokenMS: 20}
	}
	return cs
}

func TestOnlyUsableServersArePicked(t *testing.T) {
	for _, name := range []string{"scored", "round_robin", "least_loaded"} {
		rapid.Check(t, func(t *rapid.T) {
			g := NewWithT(t)
			cs := pool(rapid.IntRange(0, 12).Draw(t, "servers"))
			any := false
			for i := range cs {
				cs[i].Connected = rapid.Bool().Draw(t, "up")
				cs[i].Draining = rapid.Bool().Draw(t, "leaving")
				cs[i].TargetLoaded = rapid.Bool().Draw(t, "serves")
				cs[i].Excluded = rapid.Bool().Draw(t, "tried")
				any = any || usable(&cs[i])
			}
			p, err := New(name, everything)
			g.Expect(err).NotTo(HaveOccurred())
			i, ok := p.Pick(Request{}, cs, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
			g.Expect(ok).To(Equal(any))
			if ok {
				g.Expect(usable(&cs[i])).To(BeTrue())
			}
		})
	}
}

// picks returns the share of picks that fall on server 0.
func picks(opts Options, change func(*Candidate)) float64 {
	cs := pool(4)
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
	g.Expect(picks(everything, func(c *Candidate) { c.Queued = 8 })).To(BeNumerically("<", 0.01))
	g.Expect(picks(everything, func(c *Candidate) { c.SentSinceReport = 8 })).To(BeNumerically("<", 0.01))
	g.Expect(picks(Options{}, func(c *Candidate) { c.SentSinceReport = 8 })).To(BeNumerically(">", 0.2))
	g.Expect(picks(everything, func(c *Candidate) { c.FirstTokenMS = 2000 })).To(BeNumerically("<", 0.01))
	g.Expect(picks(everything, func(c *Candidate) { c.CachedPrefixShare = 1; c.FailureDomain = "9" })).To(BeNumerically(">", 0.45))
}

func BenchmarkChoice(b *testing.B) {
	for _, n := range []int{16, 32, 650, 2600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cs := pool(n)
			p, _ := New("scored", everything)
			rnd := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(Request{FailureDomain: "0"}, cs, rnd)
			}
		})
	}
}
