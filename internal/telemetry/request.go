package telemetry

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// RequestMetrics holds the metrics of one team in one class. It is looked up
// once per request so that metric names are not rebuilt for every token.
type RequestMetrics struct {
	firstToken, betweenTokens, duration *metrics.Histogram
	class                               string
	team                                string
}

var requestMetrics sync.Map // *RequestMetrics by team + "\x00" + class

// RequestMetricsFor returns the metrics of a team in a class. It is safe for
// concurrent use.
func RequestMetricsFor(team, class string) *RequestMetrics {
	key := team + "\x00" + class
	if r, ok := requestMetrics.Load(key); ok {
		return r.(*RequestMetrics)
	}
	labels := []string{"team", team, "class", class}
	r := &RequestMetrics{class: class, team: team,
		firstToken:    metrics.GetOrCreateHistogram(seriesName("merlinpost_first_token_seconds", labels)),
		betweenTokens: metrics.GetOrCreateHistogram(seriesName("merlinpost_between_tokens_seconds", labels)),
		duration:      metrics.GetOrCreateHistogram(seriesName("merlinpost_request_seconds", labels))}
	actual, _ := requestMetrics.LoadOrStore(key, r)
	return actual.(*RequestMetrics)
}

// LatencyTargets are the latency targets of a class. A zero value means that
// there is no target.
type LatencyTargets struct{ FirstToken, BetweenTokens, Total time.Duration }

// Observation records the timing of one request. It is not safe for concurrent
// use.
type RequestObservation struct {
	metrics        *RequestMetrics
	targets        LatencyTargets
	start          time.Time
	lastToken      time.Time
	tokens         int
	gapsOverTarget int
	firstToken     time.Duration
}

// Observe starts recording a request that arrived at start.
func (r *RequestMetrics) Observe(start time.Time, targets LatencyTargets) *RequestObservation {
	return &RequestObservation{metrics: r, targets: targets, start: start}
}

// Token records that a token was relayed to the caller.
func (o *RequestObservation) RecordToken(now time.Time) {
	o.tokens++
	if o.tokens == 1 {
		o.firstToken = now.Sub(o.start)
		o.metrics.firstToken.Update(o.firstToken.Seconds())
	} else {
		gap := now.Sub(o.lastToken)
		o.metrics.betweenTokens.Update(gap.Seconds())
		if o.targets.BetweenTokens > 0 && gap > o.targets.BetweenTokens {
			o.gapsOverTarget++
		}
	}
	o.lastToken = now
}

// maxSlowGapRatio is the fraction of gaps between tokens that may exceed the
// target: the target applies to the 95th percentile.
const maxGapsOverTargetRatio = 0.05

// End records the end of the request. code is the error code, or empty if the
// response was complete.
func (o *RequestObservation) RecordEnd(now time.Time, code, outcome string) {
	total := now.Sub(o.start)
	o.metrics.duration.Update(total.Seconds())
	result := "answered"
	if code != "" {
		result = "failed"
		Count("merlinpost_request_failures_total", "class", o.metrics.class, "code", code, "outcome", outcome)
	}
	Count("merlinpost_requests_total", "team", o.metrics.team, "class", o.metrics.class, "result", result)
	targetResult := "missed"
	if code == "" && o.meetsTargets(total) {
		targetResult = "met"
		Add("merlinpost_goodput_tokens_total", o.tokens, "class", o.metrics.class)
	}
	Count("merlinpost_targets_total", "class", o.metrics.class, "result", targetResult)
	Add("merlinpost_tokens_total", o.tokens, "class", o.metrics.class)
}

func (o *RequestObservation) meetsTargets(total time.Duration) bool {
	t := o.targets
	return (t.FirstToken == 0 || o.firstToken <= t.FirstToken) && (t.Total == 0 || total <= t.Total) &&
		float64(o.gapsOverTarget) <= maxGapsOverTargetRatio*float64(max(0, o.tokens-1))
}
