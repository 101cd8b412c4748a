package enginemodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// kind is an engine as it is: how long a prompt takes to be read and a token to be made.
type kind struct {
	name        string
	tokensPerMs float64
	step        time.Duration
	chunk       int
	eventTokens int
}

// kinds are the engines of three deployments and one far off.
var kinds = []kind{
	{"advisory", 56.9, 3090 * time.Microsecond, 1024, 6},
	{"routes", 56.6, 3790 * time.Microsecond, 1024, 5},
	{"reviews", 38.4, 5230 * time.Microsecond, 4096, 4},
	{"slow", 4, 40 * time.Millisecond, 256, 2},
}

// read is how long the engine takes to the first event, with the steps that its chunks
// take beside the reading.
func (k kind) read(tokens int) time.Duration {
	steps := math.Ceil(float64(tokens) / float64(k.chunk))
	return time.Duration(float64(tokens)/k.tokensPerMs*float64(time.Millisecond)) + time.Duration(steps)*k.step
}

func (k kind) pause() time.Duration {
	return time.Duration(k.eventTokens) * k.read(k.chunk)
}

// Within 200 prompts with a noise of a quarter, as seen of engines beside other work, the
// figures of unlike engines are known to a tenth, or a fifth for the generated token.
func TestFiguresAreLearnt(t *testing.T) {
	for _, k := range kinds {
		g := NewWithT(t)
		s := NewServiceModel()
		engines := make([]*EngineModel, 6)
		for i := range engines {
			engines[i] = s.NewEngineModel()
		}
		draw := rand.New(rand.NewPCG(1, 1))
		noisy := func(d time.Duration) time.Duration {
			return time.Duration(float64(d) * math.Exp(0.25*draw.NormFloat64()-0.03))
		}
		now := time.Unix(100, 0)
		errorAt := map[int]float64{}
		for i := range 400 {
			tokens := int(math.Exp(7.5 + draw.NormFloat64()))
			engines[i%6].ObservePrefill(tokens, 0, noisy(k.read(tokens)), now)
			s.ObserveGeneration(200, 200*k.step)
			s.ObserveGap(noisy(k.pause()), 10*k.pause())
			now = now.Add(20 * time.Millisecond)
			errorAt[i+1] = math.Abs(float64(s.PrefillTime(4000, 0))/float64(k.read(4000)) - 1)
		}
		t.Logf("%-9s error of the reading time of 4,000 tokens after 25, 100, 200, 400: %.2f %.2f %.2f %.2f",
			k.name, errorAt[25], errorAt[100], errorAt[200], errorAt[400])
		g.Expect(errorAt[200]).To(BeNumerically("<", 0.1), k.name)
		g.Expect(errorAt[400]).To(BeNumerically("<", 0.1), k.name)
		g.Expect(float64(s.TokenTime())).To(BeNumerically("~", float64(k.step), 0.2*float64(k.step)), k.name)
		g.Expect(float64(s.EventGap(time.Hour, k.eventTokens))).To(BeNumerically("~", float64(k.pause()), 0.6*float64(k.pause())), k.name)
	}
}

// One engine that is slow, frozen or starts anew does not spoil what is known of the
// others, and is itself known to be slow, until it is not.
func TestASlowEngineDoesNotSpoilTheOthers(t *testing.T) {
	g := NewWithT(t)
	k := kinds[0]
	s := NewServiceModel()
	slow, fine := s.NewEngineModel(), s.NewEngineModel()
	now := time.Unix(100, 0)
	for i := range 400 {
		now = now.Add(20 * time.Millisecond)
		fine.ObservePrefill(4000, 0, k.read(4000), now)
		if i%8 == 0 { // it gets less
			slow.ObservePrefill(4000, 0, 5*time.Second, now)
		}
	}
	g.Expect(fine.PrefillTime(4000, 0, now)).To(BeNumerically("~", k.read(4000), k.read(4000)/4))
	g.Expect(slow.SlowdownFactor(now)).To(BeNumerically(">", 2))
	g.Expect(slow.SlowdownFactor(now.Add(5 * engineForget))).To(BeNumerically("<", 1.5))
	for range 30 {
		slow.ObservePrefill(4000, 0, k.read(4000), now)
	}
	g.Expect(slow.SlowdownFactor(now)).To(BeNumerically("<", 1.3))
}

func TestAModelBeginsWithWhatOthersHaveLearnt(t *testing.T) {
	g := NewWithT(t)
	k := kinds[3]
	s := NewServiceModel()
	e := s.NewEngineModel()
	g.Expect(s.Estimates().Observations).To(BeZero())
	for i := range 300 {
		e.ObservePrefill(500+10*i, 0, k.read(500+10*i), time.Unix(100, 0))
		s.ObserveGeneration(100, 100*k.step)
	}
	next := NewServiceModelFrom(s.Estimates())
	g.Expect(float64(next.PrefillTime(3000, 0))).To(BeNumerically("~", float64(s.PrefillTime(3000, 0)), 0.02*float64(s.PrefillTime(3000, 0))))
	g.Expect(next.TokenTime()).To(BeNumerically("~", s.TokenTime(), time.Millisecond))
}

// Whatever is observed, the figures stay usable: above zero, finite, and longer for
// longer prompts.
func TestFiguresStayUsable(t *testing.T) {
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
				e.ObservePrefill(n, rapid.IntRange(-10, 1e6).Draw(t, "after"), d, now)
			case 1:
				s.ObserveGeneration(n, d)
			default:
				s.ObserveGap(d, time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "reading")))
			}
		}
		short, long := e.PrefillTime(10, 0, now), e.PrefillTime(10000, 0, now)
		if short < 0 || long <= short || long > time.Hour || s.TokenTime() <= 0 || s.EventGap(time.Second, 4) <= 0 ||
			math.IsNaN(s.TokensGenerated(time.Second, time.Second, 4)) || s.TokensGenerated(time.Second, time.Second, 4) < 0 {
			t.Fatal(fmt.Sprint(short, long, s.Estimates()))
		}
	})
}

// Where attention to what came before takes time, long prompts are known to take more
// than in proportion.
func TestAttentionIsLearnt(t *testing.T) {
	g := NewWithT(t)
	s := NewServiceModel()
	e := s.NewEngineModel()
	draw := rand.New(rand.NewPCG(1, 1))
	real := func(tokens, after int) time.Duration {
		pairs := float64(tokens) * (float64(after) + float64(tokens)/2) / 1e6
		return time.Duration((float64(tokens)/38.4 + 0.647*pairs) * float64(time.Millisecond))
	}
	for range 600 {
		tokens := int(math.Exp(7.5 + draw.NormFloat64()))
		after := 6300 * draw.IntN(2)
		e.ObservePrefill(tokens, after, time.Duration(float64(real(tokens, after))*math.Exp(0.2*draw.NormFloat64())), time.Unix(100, 0))
	}
	for _, tokens := range []int{1000, 5000, 20000} {
		g.Expect(float64(s.PrefillTime(tokens, 6300))).To(BeNumerically("~", float64(real(tokens, 6300)), 0.15*float64(real(tokens, 6300))), "%d", tokens)
	}
}

func TestReadingTimesOfOneLengthStillTell(t *testing.T) {
	g := NewWithT(t)
	s := NewServiceModel()
	e := s.NewEngineModel()
	for range 2000 {
		e.ObservePrefill(1000, 0, 250*time.Millisecond, time.Unix(100, 0))
	}
	g.Expect(s.PrefillTime(1000, 0)).To(BeNumerically("~", 250*time.Millisecond, 30*time.Millisecond))
}
