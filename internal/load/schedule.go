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
	sendOffset   time.Duration // intended send time, from the start of the run
	stream       *Stream
	team         *Team
	prompt       string
	outputTokens int
	number       int // position in the order of send times
}

// planRequests plans all requests of a scenario, in the order of their send times. The result
// depends only on the scenario, which includes the seed, and on factor, which multiplies every
// rate.
func planRequests(s *Scenario, factor float64) []request {
	var out []request
	for i := range s.Streams {
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		out = append(out, poissonArrivals(s, &s.Streams[i], i, factor, rng)...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].sendOffset < out[j].sendOffset })
	for i := range out {
		out[i].number = i
	}
	return out
}

// poissonArrivals samples the stream's arrivals, a non-homogeneous Poisson process, by thinning a
// homogeneous process with the peak rate.
func poissonArrivals(s *Scenario, stream *Stream, index int, factor float64, rng *rand.Rand) []request {
	var out []request
	peak := stream.peakRate()
	for offset := time.Duration(0); ; {
		offset += time.Duration(rng.ExpFloat64() / (peak * factor) * float64(time.Second))
		if offset >= s.duration() {
			return out
		}
		if rng.Float64()*peak > stream.rateAt(offset) {
			continue
		}
		out = append(out, request{sendOffset: offset, stream: stream, team: drawTeam(s.Teams, rng), outputTokens: stream.drawTokens(rng),
			prompt: stream.drawPrompt(index, len(out), rng)})
	}
}

// drawTeam draws a team with a probability proportional to its weight.
func drawTeam(teams []Team, rng *rand.Rand) *Team {
	sum := 0.0
	for i := range teams {
		sum += teams[i].Weight
	}
	x := rng.Float64() * sum
	for i := range teams {
		if x -= teams[i].Weight; x < 0 {
			return &teams[i]
		}
	}
	return &teams[len(teams)-1]
}

// drawTokens draws the length of a response.
func (s *Stream) drawTokens(rng *rand.Rand) int {
	if !s.LongTail {
		return s.TokensMin + rng.IntN(s.TokensMax-s.TokensMin+1)
	}
	low, high := math.Log(float64(s.TokensMin)), math.Log(float64(s.TokensMax))
	return int(math.Round(math.Exp(low + rng.Float64()*(high-low))))
}

// drawPrompt returns a prompt that is unique within the run.
func (s *Stream) drawPrompt(index, number int, rng *rand.Rand) string {
	var b strings.Builder
	if s.Prefixes > 0 {
		p := rng.IntN(s.Prefixes)
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
