package telemetry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Requests holds the metrics of one team in one class. Looking it up once a
// request keeps the name building off the path of each token.
type RequestMetrics struct {
	firstToken, betweenTokens, whole *metrics.Histogram
	class                            string
	team                             string
}

var requests sync.Map // of "team\x00class" to *Requests

// RequestsOf returns the metrics of a team in a class.
func RequestMetricsFor(team, class string) *RequestMetrics {
	key := team + "\x00" + class
	if r, ok := requests.Load(key); ok {
		return r.(*RequestMetrics)
	}
	labels := []string{"team", team, "class", class}
	r := &RequestMetrics{class: class, team: team,
		firstToken:    metrics.GetOrCreateHistogram(name("merlinpost_first_token_seconds", labels)),
		betweenTokens: metrics.GetOrCreateHistogram(name("merlinpost_between_tokens_seconds", labels)),
		whole:         metrics.GetOrCreateHistogram(name("merlinpost_request_seconds", labels))}
	actual, _ := requests.LoadOrStore(key, r)
	return actual.(*RequestMetrics)
}

// Targets are the latency targets of a class; 0 means none.
type LatencyTargets struct{ FirstToken, BetweenTokens, Total time.Duration }

// Observation follows one request's timing. It belongs to one goroutine.
type Observation struct {
	metrics  *RequestMetrics
	targets  LatencyTargets
	start    time.Time
	last     time.Time
	tokens   int
	slowGaps int
	first    time.Duration
}

// Observe starts the observation of a request.
func (r *RequestMetrics) Observe(start time.Time, targets LatencyTargets) *Observation {
	return &Observation{metrics: r, targets: targets, start: start}
}

// Token takes in a token passed on.
func (o *Observation) Token(now time.Time) {
	o.tokens++
	if o.tokens == 1 {
		o.first = now.Sub(o.start)
		o.metrics.firstToken.Update(o.first.Seconds())
	} else {
		gap := now.Sub(o.last)
		o.metrics.betweenTokens.Update(gap.Seconds())
		if o.targets.BetweenTokens > 0 && gap > o.targets.BetweenTokens {
			o.slowGaps++
		}
	}
	o.last = now
}

// slowGapShare is the share of gaps that may be above the target: the target
// holds for 95 in 100.
const slowGapShare = 0.05

// End takes in the end of the request; code is empty for a whole answer.
func (o *Observation) End(now time.Time, code, outcome string) {
	whole := now.Sub(o.start)
	o.metrics.whole.Update(whole.Seconds())
	result := "answered"
	if code != "" {
		result = "failed"
		Count("merlinpost_request_failures_total", "class", o.metrics.class, "code", code, "outcome", outcome)
	}
	Count("merlinpost_requests_total", "team", o.metrics.team, "class", o.metrics.class, "result", result)
	met := code == "" && o.met(whole)
	attained := "missed"
	if met {
		attained = "met"
		Add("merlinpost_goodput_tokens_total", o.tokens, "class", o.metrics.class)
	}
	Count("merlinpost_targets_total", "class", o.metrics.class, "result", attained)
	Add("merlinpost_tokens_total", o.tokens, "class", o.metrics.class)
}

func (o *Observation) met(whole time.Duration) bool {
	t := o.targets
	return (t.FirstToken == 0 || o.first <= t.FirstToken) && (t.Total == 0 || whole <= t.Total) &&
		float64(o.slowGaps) <= slowGapShare*float64(max(0, o.tokens-1))
}
