package load

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/merlinpost/merlinpost/internal/dev"
	"github.com/merlinpost/merlinpost/internal/settings"
)

// Histogram bounds, microseconds, and digits of precision.
const (
	histogramMax    = int64(3600 * 1e6)
	histogramDigits = 3
)

// Report is what a run showed.
type Report struct {
	Scenario string        `json:"scenario"`
	Variant  string        `json:"variant,omitempty"`
	Factor   float64       `json:"factor"`
	Seed     uint64        `json:"seed"`
	Seconds  float64       `json:"seconds"`
	Classes  []ClassReport `json:"classes"`
	// TokensMade counts what the embedded engines generated; it is 0 for a
	// deployment outside. WastedShare is the part of it that no caller got.
	TokensGenerated int     `json:"tokens_made"`
	WastedShare     float64 `json:"wasted_share"`
	delivered       int
}

// ClassReport is the part of one class.
type ClassReport struct {
	Class    string         `json:"class"`
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	Attained int            `json:"attained"`
	Failures map[string]int `json:"failures,omitempty"` // by code and outcome
	// NoRetryAfter counts refusals for load without a time to come back.
	NoRetryAfter int `json:"no_retry_after"`
	Wrong        int `json:"wrong"`
	Short        int `json:"short"`
	// Goodput is tokens a second of answers that met their targets.
	Goodput                       float64 `json:"goodput"`
	FirstP50, FirstP95, FirstP99  float64 // milliseconds, from the intended time
	GapP50, GapP95, GapP99        float64
	WholeP50, WholeP95, WholeP99  float64
	goodTokens                    int
	firstHist, gapHist, wholeHist *hdrhistogram.Histogram
}

// Attainment is the share of the sent requests that met their targets.
func (c *ClassReport) Attainment() float64 {
	if c.Sent == 0 {
		return 1
	}
	return float64(c.Attained) / float64(c.Sent)
}

func newClassReport(name string) *ClassReport {
	hist := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return &ClassReport{Class: name, Failures: map[string]int{}, firstHist: hist(), gapHist: hist(), wholeHist: hist()}
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(histogramMax, max(1, d.Microseconds()))) // clamped into the range
}

// report sums up the results; requests of the warm-up count only as tokens.
func report(s *Scenario, results []*result, took time.Duration) *Report {
	rep := &Report{Scenario: s.Name, Seed: s.Seed, Seconds: took.Seconds()}
	byClass := map[string]*ClassReport{}
	warm := settings.Millis(s.WarmupMS)
	for _, r := range results {
		if r.answered() {
			rep.delivered += r.tokens
		}
		if r.req.at < warm {
			continue
		}
		c := byClass[r.req.stream.Class]
		if c == nil {
			c = newClassReport(r.req.stream.Class)
			byClass[r.req.stream.Class] = c
		}
		c.add(r)
	}
	counted := (s.duration() - warm).Seconds()
	for _, c := range byClass {
		c.close(counted)
		rep.Classes = append(rep.Classes, *c)
	}
	sort.Slice(rep.Classes, func(i, j int) bool { return rep.Classes[i].Class < rep.Classes[j].Class })
	return rep
}

func (c *ClassReport) add(r *result) {
	c.Sent++
	if r.wrong {
		c.Wrong++
	}
	if r.short {
		c.Short++
	}
	if !r.answered() {
		c.Failures[r.code+" "+r.outcome]++
		if r.outcome == "not_run" && !r.retry {
			c.NoRetryAfter++
		}
		return
	}
	c.Answered++
	record(c.firstHist, r.first)
	record(c.wholeHist, r.whole)
	for _, g := range r.gaps {
		record(c.gapHist, g)
	}
	if r.attained() {
		c.Attained++
		c.goodTokens += r.tokens
	}
}

func (c *ClassReport) close(seconds float64) {
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	c.FirstP50, c.FirstP95, c.FirstP99 = ms(c.firstHist, 50), ms(c.firstHist, 95), ms(c.firstHist, 99)
	c.GapP50, c.GapP95, c.GapP99 = ms(c.gapHist, 50), ms(c.gapHist, 95), ms(c.gapHist, 99)
	c.WholeP50, c.WholeP95, c.WholeP99 = ms(c.wholeHist, 50), ms(c.wholeHist, 95), ms(c.wholeHist, 99)
	c.Goodput = float64(c.goodTokens) / seconds
}

// addMade takes in what the embedded engines generated.
func (r *Report) addMade(d *dev.Deployment) {
	for _, e := range d.Engines {
		for _, x := range e.Executions() {
			r.TokensGenerated += x.Tokens
		}
	}
	if r.TokensGenerated > 0 {
		r.WastedShare = float64(r.TokensGenerated-r.delivered) / float64(r.TokensGenerated)
	}
}

// Goodput sums over the classes, tokens a second.
func (r *Report) Goodput() float64 {
	sum := 0.0
	for _, c := range r.Classes {
		sum += c.Goodput
	}
	return sum
}

// JSON writes reports as a JSON array.
func WriteJSON(w io.Writer, reports []*Report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(reports)
}

// Text writes reports as a table.
func WriteText(w io.Writer, reports []*Report) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(t, "variant\tfactor\tseed\tclass\tsent\tanswered\tattained\tfirst p50\tp95\tp99\tgap p95\tp99\twhole p95\tgoodput\twasted\twrong\tshort\t"); err != nil {
		return err
	}
	for _, r := range reports {
		for _, c := range r.Classes {
			if _, err := fmt.Fprintf(t, "%s\t%.2f\t%d\t%s\t%d\t%d\t%.1f%%\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%.2f%%\t%d\t%d\t\n",
				r.Variant, r.Factor, r.Seed, c.Class, c.Sent, c.Answered, 100*c.Attainment(), c.FirstP50, c.FirstP95, c.FirstP99,
				c.GapP95, c.GapP99, c.WholeP95, c.Goodput, 100*r.WastedShare, c.Wrong, c.Short); err != nil {
				return err
			}
		}
	}
	return t.Flush()
}
