package enginemodel

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// engineSpec is the actual performance of a simulated engine.
type engineSpec struct {
	name           string
	tokensPerMs    float64       // prefilled
	stepTime       time.Duration // of one generation step
	chunkTokens    int           // prefilled in one step
	tokensPerEvent int
}

// engineSpecs are the performance of the engines of three deployments and of an exceptionally slow one.
var engineSpecs = []engineSpec{
	{"advisory", 56.9, 3090 * time.Microsecond, 1024, 6},
	{"routes", 56.6, 3790 * time.Microsecond, 1024, 5},
	{"reviews", 38.4, 5230 * time.Microsecond, 4096, 4},
	{"slow", 4, 40 * time.Millisecond, 256, 2},
}

// prefillTime returns the time to the first event, including one generation step per chunk.
func (spec engineSpec) prefillTime(tokens int) time.Duration {
	steps := math.Ceil(float64(tokens) / float64(spec.chunkTokens))
	return time.Duration(float64(tokens)/spec.tokensPerMs*float64(time.Millisecond)) + time.Duration(steps)*spec.stepTime
}

// eventGap returns the gap between two events of a stream during a long prefill.
func (spec engineSpec) eventGap() time.Duration {
	return time.Duration(spec.tokensPerEvent) * spec.prefillTime(spec.chunkTokens)
}

// After 200 prompts with 25% noise, as observed on engines with other load, the prefill times estimated for
// different engines are accurate to 10%; after 400 prompts the token times are accurate to 20%.
func TestEstimatesConverge(t *testing.T) {
	for _, spec := range engineSpecs {
		g := NewWithT(t)
		s := NewServiceModel()
		engines := make([]*EngineModel, 6)
		for i := range engines {
			engines[i] = s.NewEngineModel()
		}
		rng := rand.New(rand.NewPCG(1, 1))
		noisy := func(d time.Duration) time.Duration {
			return time.Duration(float64(d) * math.Exp(0.25*rng.NormFloat64()-0.03))
		}
		now := time.Unix(100, 0)
		errorAt := map[int]float64{}
		for i := range 400 {
			tokens := int(math.Exp(7.5 + rng.NormFloat64()))
			engines[i%6].ObservePrefill(tokens, 0, noisy(spec.prefillTime(tokens)), now)
			s.ObserveGeneration(200, 200*spec.stepTime)
			s.ObserveGap(noisy(spec.eventGap()), 10*spec.eventGap())
			now = now.Add(20 * time.Millisecond)
			errorAt[i+1] = math.Abs(float64(s.PrefillTime(4000, 0))/float64(spec.prefillTime(4000)) - 1)
		}
		t.Logf("%-9s error of the prefill time of 4,000 tokens after 25, 100, 200, 400: %.2f %.2f %.2f %.2f",
			spec.name, errorAt[25], errorAt[100], errorAt[200], errorAt[400])
		g.Expect(errorAt[200]).To(BeNumerically("<", 0.1), spec.name)
		g.Expect(errorAt[400]).To(BeNumerically("<", 0.1), spec.name)
		g.Expect(float64(s.TokenTime())).To(BeNumerically("~", float64(spec.stepTime), 0.2*float64(spec.stepTime)), spec.name)
		g.Expect(float64(s.EventGap(time.Hour, spec.tokensPerEvent))).To(BeNumerically("~", float64(spec.eventGap()), 0.6*float64(spec.eventGap())), spec.name)
	}
}

// An engine that is slow, frozen or restarting hardly changes the estimates for the others. Its own
// estimates are higher until it recovers.
func TestSlowEngineDoesNotDistortOthers(t *testing.T) {
	g := NewWithT(t)
	spec := engineSpecs[0]
	s := NewServiceModel()
	slow, normal := s.NewEngineModel(), s.NewEngineModel()
	now := time.Unix(100, 0)
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		normal.ObservePrefill(4000, 0, spec.prefillTime(4000), now)
		if i%8 == 0 { // it gets fewer requests
			slow.ObservePrefill(4000, 0, 5*time.Second, now)
		}
	}
	g.Expect(normal.PrefillTime(4000, 0, now)).To(BeNumerically("~", spec.prefillTime(4000), spec.prefillTime(4000)/4))
	g.Expect(slow.SlowdownFactor(now)).To(BeNumerically(">", 2))
	g.Expect(slow.SlowdownFactor(now.Add(5 * engineDecayTime))).To(BeNumerically("<", 1.5))
	for range 30 {
		slow.ObservePrefill(4000, 0, spec.prefillTime(4000), now)
	}
	g.Expect(slow.SlowdownFactor(now)).To(BeNumerically("<", 1.3))
}

func TestModelStartsFromPeerEstimates(t *testing.T) {
	g := NewWithT(t)
	spec := engineSpecs[3]
	s := NewServiceModel()
	e := s.NewEngineModel()
	g.Expect(s.Estimates().Observations).To(BeZero())
	for i := range 300 {
		e.ObservePrefill(500+10*i, 0, spec.prefillTime(500+10*i), time.Unix(100, 0))
		s.ObserveGeneration(100, 100*spec.stepTime)
	}
	next := NewServiceModelFrom(s.Estimates())
	g.Expect(float64(next.PrefillTime(3000, 0))).To(BeNumerically("~", float64(s.PrefillTime(3000, 0)), 0.02*float64(s.PrefillTime(3000, 0))))
	g.Expect(next.TokenTime()).To(BeNumerically("~", s.TokenTime(), time.Millisecond))
}

// For any observations the estimates stay usable: positive, finite, and longer for longer prompts.
func TestEstimatesStayUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewServiceModel()
		e := s.NewEngineModel()
		now := time.Unix(100, 0)
		for range rapid.IntRange(0, 60).Draw(t, "observations") {
			now = now.Add(time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "pause")))
			d := time.Duration(rapid.Int64Range(-1e9, 1e12).Draw(t, "took"))
			n := rapid.IntRange(-10, 1e6).Draw(t, "tokens")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				e.ObservePrefill(n, rapid.IntRange(-10, 1e6).Draw(t, "cached"), d, now)
			case 1:
				s.ObserveGeneration(n, d)
			default:
				s.ObserveGap(d, time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "prefill")))
			}
		}
		short, long := e.PrefillTime(10, 0, now), e.PrefillTime(10000, 0, now)
		if short < 0 || long <= short || long > time.Hour || s.TokenTime() <= 0 || s.EventGap(time.Second, 4) <= 0 ||
			math.IsNaN(s.TokensGenerated(time.Second, time.Second, 4)) || s.TokensGenerated(time.Second, time.Second, 4) < 0 {
			t.Fatalf("prefill times %v and %v of 10 and 10,000 tokens, estimates %+v", short, long, s.Estimates())
		}
	})
}

// If attention to earlier tokens takes time, the estimated prefill time grows faster than the length of the
// prompt.
func TestAttentionTimeIsLearned(t *testing.T) {
	g := NewWithT(t)
	s := NewServiceModel()
	e := s.NewEngineModel()
	rng := rand.New(rand.NewPCG(1, 1))
	actual := func(tokens, cached int) time.Duration {
		pairs := float64(tokens) * (float64(cached) + float64(tokens)/2) / 1e6
		return time.Duration((float64(tokens)/38.4 + 0.647*pairs) * float64(time.Millisecond))
	}
	for range 600 {
		tokens := int(math.Exp(7.5 + rng.NormFloat64()))
		cached := 6300 * rng.IntN(2)
		e.ObservePrefill(tokens, cached, time.Duration(float64(actual(tokens, cached))*math.Exp(0.2*rng.NormFloat64())), time.Unix(100, 0))
	}
	for _, tokens := range []int{1000, 5000, 20000} {
		g.Expect(float64(s.PrefillTime(tokens, 6300))).To(BeNumerically("~", float64(actual(tokens, 6300)), 0.15*float64(actual(tokens, 6300))), "%d", tokens)
	}
}

// Without the regularization, prompts of a single length would not determine the coefficients.
func TestPromptsOfOneLengthSuffice(t *testing.T) {
	g := NewWithT(t)
	s := NewServiceModel()
	e := s.NewEngineModel()
	for range 2000 {
		e.ObservePrefill(1000, 0, 250*time.Millisecond, time.Unix(100, 0))
	}
	g.Expect(s.PrefillTime(1000, 0)).To(BeNumerically("~", 250*time.Millisecond, 30*time.Millisecond))
}
