package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// request is one planned request.
type request struct {
	at     time.Duration // intended time after the start
	stream *Stream
	team   *Team
	prompt string
	tokens int
	number int
}

// schedule plans all requests of a scenario. It depends on the scenario and
// its seed alone; factor multiplies every rate.
func schedule(s *Scenario, factor float64) []request {
	var out []request
	for i := range s.Streams {
		rnd := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		out = append(out, arrivals(s, &s.Streams[i], i, factor, rnd)...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	for i := range out {
		out[i].number = i
	}
	return out
}

// arrivals draws a Poisson process of varying rate by thinning one of the
// highest rate.
func arrivals(s *Scenario, stream *Stream, index int, factor float64, rnd *rand.Rand) []request {
	var out []request
	peak := stream.peak()
	for at := time.Duration(0); ; {
		at += time.Duration(rnd.ExpFloat64() / (peak * factor) * float64(time.Second))
		if at >= s.duration() {
			return out
		}
		if rnd.Float64()*peak > stream.rateAt(at) {
			continue
		}
		out = append(out, request{at: at, stream: stream, team: drawTeam(s.Teams, rnd), tokens: stream.drawTokens(rnd),
			prompt: stream.drawPrompt(index, len(out), rnd)})
	}
}

func drawTeam(teams []Team, rnd *rand.Rand) *Team {
	sum := 0.0
	for i := range teams {
		sum += teams[i].Weight
	}
	x := rnd.Float64() * sum
	for i := range teams {
		if x -= teams[i].Weight; x < 0 {
			return &teams[i]
		}
	}
	return &teams[len(teams)-1]
}

func (s *Stream) drawTokens(rnd *rand.Rand) int {
	if !s.LongTail {
		return s.TokensMin + rnd.IntN(s.TokensMax-s.TokensMin+1)
	}
	low, high := math.Log(float64(s.TokensMin)), math.Log(float64(s.TokensMax))
	return int(math.Round(math.Exp(low + rnd.Float64()*(high-low))))
}

// drawPrompt makes a prompt that no other request of the run has.
func (s *Stream) drawPrompt(index, number int, rnd *rand.Rand) string {
	var b strings.Builder
	if s.Prefixes > 0 {
		p := rnd.IntN(s.Prefixes)
		for w := range s.PrefixWords {
			fmt.Fprintf(&b, "p%d-%d-%d ", index, p, w)
		}
	}
	fmt.Fprintf(&b, "stream %d request %d", index, number)
	for w := range s.PromptWords {
		fmt.Fprintf(&b, " q%d", (w*7+number)%1000)
	}
	return b.String()
}
