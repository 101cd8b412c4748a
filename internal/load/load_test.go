package load

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/standin/engine"
)

func scenario() *Scenario {
	return &Scenario{Name: "test", Seed: 7, DurationMS: 10000, Teams: []Team{{Name: "a", Key: "a", Weight: 3}, {Name: "b", Key: "b", Weight: 1}},
		Streams: []Stream{{Class: "x", Model: "m", Rate: 100, TokensMin: 10, TokensMax: 1000, LongTail: true, Prefixes: 2, PrefixWords: 16,
			Bursts: []Burst{{FromMS: 5000, ForMS: 1000, Factor: 5}}}}}
}

func TestScheduleIsDeterministicForSeed(t *testing.T) {
	g := NewWithT(t)
	a, b := planRequests(scenario(), 1), planRequests(scenario(), 1)
	g.Expect(len(a)).To(Equal(len(b)))
	prompts := map[string]bool{}
	burst, teamA := 0, 0
	for i := range a {
		g.Expect(a[i].sendOffset).To(Equal(b[i].sendOffset))
		g.Expect(a[i].prompt).To(Equal(b[i].prompt))
		prompts[a[i].prompt] = true
		if a[i].sendOffset >= 5*time.Second && a[i].sendOffset < 6*time.Second {
			burst++
		}
		if a[i].team.Name == "a" {
			teamA++
		}
	}
	g.Expect(prompts).To(HaveLen(len(a)), "prompts must be unique")
	g.Expect(len(a)).To(BeNumerically("~", 1400, 150))
	g.Expect(burst).To(BeNumerically("~", 500, 80))
	g.Expect(float64(teamA) / float64(len(a))).To(BeNumerically("~", 0.75, 0.06))
	g.Expect(len(planRequests(scenario(), 2))).To(BeNumerically("~", 2800, 250))
}

// streamedResponse returns a response of n tokens as a router streams it, with the end marker if
// done is set.
func streamedResponse(prompt string, n int, done bool) *bytes.Buffer {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", engine.Token(prompt, i))
	}
	if done {
		b.WriteString("data: [DONE]\n\n")
	}
	return &b
}

func TestReadStreamDetectsInvalidResponses(t *testing.T) {
	req := &request{prompt: "p", outputTokens: 5, stream: &Stream{Class: "x"}}
	for name, c := range map[string]struct {
		body                      io.Reader
		answered                  bool
		wrongContent, wrongLength bool
		code                      string
	}{
		"complete":      {body: streamedResponse("p", 5, true), answered: true},
		"too short":     {body: streamedResponse("p", 4, true), wrongLength: true},
		"too long":      {body: streamedResponse("p", 6, true), wrongLength: true},
		"wrong content": {body: streamedResponse("q", 5, true), wrongContent: true},
		"truncated":     {body: streamedResponse("p", 5, false), code: "connection"},
		"broken off":    {body: io.MultiReader(streamedResponse("p", 5, true), iotest.ErrReader(io.ErrUnexpectedEOF)), code: "connection"},
		"error event":   {body: bytes.NewBufferString("data: {\"error\":{\"code\":\"engine_failed\",\"outcome\":\"partial\"}}\n\n"), code: "engine_failed"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := &result{req: req}
			r.readStream(c.body, time.Now())
			g.Expect(r.answered()).To(Equal(c.answered))
			g.Expect(r.wrongContent).To(Equal(c.wrongContent))
			g.Expect(r.wrongLength).To(Equal(c.wrongLength))
			g.Expect(r.code).To(Equal(c.code))
		})
	}
}

func TestReportAggregatesResults(t *testing.T) {
	g := NewWithT(t)
	s := scenario()
	s.WarmupMS = 1000
	s.Streams[0].FirstTokenMS = 100
	req := func(at time.Duration) *request {
		return &request{sendOffset: at, stream: &s.Streams[0], outputTokens: 2}
	}
	rep := buildReport(s, []*result{
		{req: req(0), firstTokenLatency: time.Second, tokens: 2},                                 // warm-up
		{req: req(2 * time.Second), firstTokenLatency: 50 * time.Millisecond, tokens: 2},         // met
		{req: req(3 * time.Second), firstTokenLatency: 150 * time.Millisecond, tokens: 2},        // missed
		{req: req(4 * time.Second), code: "queue_full", outcome: "not_run", hasRetryAfter: true}, // refused
	}, 10*time.Second)
	c := rep.Classes[0]
	g.Expect([]int{c.Sent, c.Answered, c.Attained, c.NoRetryAfter}).To(Equal([]int{3, 2, 1, 0}))
	g.Expect(c.Goodput).To(BeNumerically("~", 2.0/9, 1e-9))
	g.Expect(c.FirstP99).To(BeNumerically("~", 150, 1))
	g.Expect(rep.deliveredTokens).To(Equal(6))
	var text strings.Builder
	g.Expect(WriteText(&text, []*Report{rep})).To(Succeed())
	g.Expect(text.String()).To(ContainSubstring("33.3%"))
}
