package simulate

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// play runs the Board's load on 12 engines behind 5 gateways.
func play(v Variant, factor float64, seed uint64) map[string]ClassResult {
	out := map[string]ClassResult{}
	for _, r := range Run(Config{Engines: 12, Gateways: 5, Engine: advisoryEngine(), Classes: advisoryClasses(12, factor),
		Duration: 30 * time.Second, Seed: seed, Variant: v}) {
		out[r.Name] = r
	}
	return out
}

func TestASimulationRepeats(t *testing.T) {
	NewWithT(t).Expect(play(Product, 1, 3)).To(Equal(play(Product, 1, 3)))
}

func TestAtModerateLoadEverythingIsOnTime(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(3) {
		for name, r := range play(Product, 0.6, seed) {
			g.Expect(r.OnTimeShare()).To(BeNumerically(">", 0.97), "%s with seed %d", name, seed)
			g.Expect(r.Refused).To(BeZero())
		}
	}
}

// Through a burst of reports beyond capacity, permits keep those that are served on time:
// without them the engines take in all at once and most come late.
func TestPermitsKeepReportsOnTimeThroughABurst(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(3) {
		with, without := play(Product, 1.2, seed)["report"], play(NoPermits, 1.2, seed)["report"]
		g.Expect(with.OnTimeShare()).To(BeNumerically(">", without.OnTimeShare()+0.4), "seed %d: %+v, %+v", seed, with, without)
		g.Expect(with.ServedShare()).To(BeNumerically(">", without.ServedShare()-0.02), "seed %d", seed)
	}
}

// Beyond capacity the interactive classes keep their targets, reports are refused
// at once rather than left to die, and are not starved.
func TestBeyondCapacityReportsYield(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(3) {
		all := play(Product, 1.5, seed)
		g.Expect(all["advice"].OnTimeShare()).To(BeNumerically(">", 0.9), "seed %d: %+v", seed, all["advice"])
		g.Expect(all["tag"].OnTimeShare()).To(BeNumerically(">", 0.85), "seed %d: %+v", seed, all["tag"])
		report := all["report"]
		g.Expect(report.ServedShare()).To(BeNumerically(">", 0.3), "seed %d: %+v", seed, report)
		g.Expect(report.Failed).To(BeNumerically("<", report.Requests/10), "seed %d: %+v", seed, report)
		baseline := play(LeastRequests, 1.5, seed)
		g.Expect(all["advice"].OnTimeShare()).To(BeNumerically(">", baseline["advice"].OnTimeShare()), "seed %d", seed)
		g.Expect(report.OnTime).To(BeNumerically(">", baseline["report"].OnTime), "seed %d", seed)
	}
}

// Beyond capacity the longest prompts of a class are served nearly as the others are: they are
// refused no sooner, and do not wait for streams until then. With their own reading time
// counted, 0.37 of them were served where 0.75 of all were, on a day of the Board's large
// deployment.
func TestTheLongestPromptsAreServedAsTheOthersAre(t *testing.T) {
	g := NewWithT(t)
	for _, scenario := range []string{"advisory", "routes", "reviews"} {
		s, _ := FindScenario(scenario)
		for seed := range uint64(3) {
			for _, r := range Run(Config{Engines: 12, Gateways: 5, Engine: s.Engine, Classes: s.Classes(12, 1.5),
				Duration: 30 * time.Second, Seed: seed, Variant: Product}) {
				g.Expect(r.LongPromptServedShare).To(BeNumerically(">", 0.7*r.ServedShare()), "%s, seed %d: %+v", scenario, seed, r)
			}
		}
	}
}

// Requests that share parts meet at few engines, so that less is read again than
// where each goes to the least loaded.
func TestHomesSaveReading(t *testing.T) {
	g := NewWithT(t)
	homes, least := play(Product, 0.8, 1)["report"], play(LeastRequests, 0.8, 1)["report"]
	g.Expect(homes.PrefixMissTokens).To(BeNumerically("<", 6*least.PrefixMissTokens/10))
}
