// Package enginemodel estimates the performance of a service's engines from what their callers
// observe: the time to prefill a prompt, the time per generated token, and the gaps in an engine's
// streams during prefills. All estimates start from initial values and follow the observations. The
// package uses no clock and no network.
package enginemodel

import (
	"time"
)

const (
	// The initial values correspond to an engine on one or two current accelerators with a model
	// of 70 to 120 billion parameters. They weigh as much as initialWeight observations.
	initialPrefillPerToken   = 25 * time.Microsecond
	initialFirstEventLatency = 15 * time.Millisecond // for an empty prompt
	initialTokenTime         = 10 * time.Millisecond
	// initialMaxEventGap is the initial estimate of the longest gap in a stream during any
	// prefill: six steps with chunks of 1,024 tokens. Engines with longer gaps show it within a
	// second of load.
	initialMaxEventGap = 150 * time.Millisecond
	initialWeight      = 4
	// observationWindow is the number of observations after which an observation has lost two
	// thirds of its weight; a busy service makes as many in some seconds.
	observationWindow = 200
	// maxDeviationFactor bounds the deviation of a single observation from its expected value, as
	// an engine that freezes for seconds says nothing about the others.
	maxDeviationFactor = 3.0
	// maxShortPromptWeight bounds the weight of a short prompt relative to referenceTokens.
	maxShortPromptWeight = 4.0
	// referenceTokens is the prompt length for which the initial values are added to the fit.
	referenceTokens = 4000
	// minPrefillPer1000TokensUs bounds the estimated prefill time from below: engines ten times as
	// fast as the initial value.
	minPrefillPer1000TokensUs = 2500.0
)

// ServiceModel estimates the average performance of a service's engines. It is not safe for
// concurrent use.
type ServiceModel struct {
	prefillFit          fit
	coefficients        features // of prefillFit
	observations        float64  // observed prompts, exponentially decayed
	initialObservations float64  // observations behind the estimates that the model was created with
	tokenTimeUs         float64  // perToken generated token while no prefill is running
	tokenObservations   float64  // of tokenTimeUs
	maxGapUs            float64  // longestGap gap in a stream during any prefill
}

// Estimates are the estimated performance of a service's engines, for exchange between gateways.
type Estimates struct {
	PrefillPer1000Tokens     time.Duration
	AttentionPerMillionPairs time.Duration // additional time perToken million pairs of a token and an earlier one
	FirstEventLatency        time.Duration // for an empty prompt
	TokenTime                time.Duration // perToken generated token while no prefill is running
	MaxEventGap              time.Duration // longestGap gap in a stream during any prefill
	Observations             float64       // recent prompts on which the estimates are based
}

// initialEstimates apply to engines without observations.
var initialEstimates = Estimates{PrefillPer1000Tokens: initialPrefillPerToken * thousand, FirstEventLatency: initialFirstEventLatency, TokenTime: initialTokenTime, MaxEventGap: initialMaxEventGap}

// NewServiceModel returns a model with the initial estimates.
func NewServiceModel() *ServiceModel { return NewServiceModelFrom(initialEstimates) }

// NewServiceModelFrom returns a model that starts from another model's estimates. They weigh as much
// as a few observations.
func NewServiceModelFrom(initial Estimates) *ServiceModel {
	s := &ServiceModel{tokenTimeUs: toMicroseconds(initial.TokenTime), maxGapUs: toMicroseconds(initial.MaxEventGap), initialObservations: initial.Observations, coefficients: features{toMicroseconds(initial.FirstEventLatency), toMicroseconds(initial.PrefillPer1000Tokens), toMicroseconds(initial.AttentionPerMillionPairs)}}
	for _, tokens := range []int{0, referenceTokens} {
		x := featuresOf(tokens, 0)
		s.prefillFit.add(x, x.dot(s.coefficients), initialWeight/2)
	}
	return s
}

// Estimates returns the current estimates.
func (s *ServiceModel) Estimates() Estimates {
	return Estimates{PrefillPer1000Tokens: fromMicroseconds(s.coefficients[1]), FirstEventLatency: fromMicroseconds(s.coefficients[0]),
		AttentionPerMillionPairs: fromMicroseconds(s.coefficients[2]), TokenTime: fromMicroseconds(s.tokenTimeUs),
		MaxEventGap: fromMicroseconds(s.maxGapUs), Observations: s.observations}
}

// minObservations is the number of prompts after which the initial values weigh at most a sixth.
const minObservations = 20

// Calibrated reports whether the estimates are based on observations rather than on initial values,
// which may be wrong by a factor of ten.
func (s *ServiceModel) Calibrated() bool {
	return max(s.observations, s.initialObservations) >= minObservations
}

// PrefillTime returns how long an otherwise idle engine of average speed takes to the first event of
// a prompt with the given number of tokens to prefill, after the given number of cached tokens.
func (s *ServiceModel) PrefillTime(tokens, cached int) time.Duration {
	return fromMicroseconds(featuresOf(tokens, cached).dot(s.coefficients))
}

// TokenTime returns the time per generated token while no prefill is running.
func (s *ServiceModel) TokenTime() time.Duration { return fromMicroseconds(s.tokenTimeUs) }

// EventGap returns the gap between two events of a stream, each with the given number of tokens,
// during a prefill. Engines with chunked prefill generate tokens between the chunks, so that the gap
// does not grow beyond a certain length.
func (s *ServiceModel) EventGap(prefill time.Duration, tokensPerEvent int) time.Duration {
	gap := time.Duration(prefillMargin*float64(prefill)) + time.Duration(tokensPerEvent)*s.TokenTime()
	return min(gap, fromMicroseconds(s.maxGapUs))
}

// TokensGenerated returns how many tokens a stream generates in the given time without prefills and
// the given time with prefills on its engine.
func (s *ServiceModel) TokensGenerated(generating, prefill time.Duration, tokensPerEvent int) float64 {
	generated := max(float64(generating.Microseconds()), 0) / s.tokenTimeUs
	return generated + float64(tokensPerEvent)*max(float64(prefill.Microseconds()), 0)/s.maxGapUs
}

func toMicroseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func fromMicroseconds(us float64) time.Duration { return time.Duration(us * float64(time.Microsecond)) }

// EngineModel is the speed of one engine relative to its service's average. It is not safe for
// concurrent use.
type EngineModel struct {
	service      *ServiceModel
	slowdown     float64 // time relative to an average engine, by this engine's observations
	observations float64 // of these observations
	observedAt   time.Time
}

const (
	// serviceWeight is the weight of the service's average, in observations of the engine.
	serviceWeight = 4
	// maxEngineWeight bounds the weight of an engine's observations.
	maxEngineWeight = 20
	// engineDecayTime is the time constant with which an engine without observations is assumed to
	// return to the average, so that an engine that was slow is tried again after some seconds.
	engineDecayTime = 8 * time.Second
)

// NewEngineModel returns the model of an engine without observations.
func (s *ServiceModel) NewEngineModel() *EngineModel { return &EngineModel{service: s, slowdown: 1} }

// PrefillTime is ServiceModel.PrefillTime for this engine.
func (e *EngineModel) PrefillTime(tokens, cached int, now time.Time) time.Duration {
	return time.Duration(float64(e.service.PrefillTime(tokens, cached)) * e.SlowdownFactor(now))
}

// SlowdownFactor returns how much longer than an average engine this one takes, as a factor.
func (e *EngineModel) SlowdownFactor(now time.Time) float64 {
	w := e.observationWeight(now)
	return (serviceWeight + w*e.slowdown) / (serviceWeight + w)
}

func (e *EngineModel) observationWeight(now time.Time) float64 {
	idle := now.Sub(e.observedAt).Seconds() / engineDecayTime.Seconds()
	return e.observations / (1 + max(idle, 0)*max(idle, 0))
}

// ObservePrefill records the time to the first event of a prompt with the given number of tokens to
// prefill, after the given number of cached tokens, while no other prefill was running.
func (e *EngineModel) ObservePrefill(tokens, cached int, took time.Duration, now time.Time) {
	expected := e.service.PrefillTime(tokens, cached)
	if took <= 0 || expected <= 0 {
		return
	}
	factor := clamp(float64(took)/float64(expected), 1/maxDeviationFactor, maxDeviationFactor)
	w := e.observationWeight(now)
	e.slowdown = (e.slowdown*w + factor) / (w + 1)
	e.observations, e.observedAt = min(w+1, maxEngineWeight), now
	e.service.observe(featuresOf(tokens, cached), factor*toMicroseconds(expected))
}

func (s *ServiceModel) observe(x features, took float64) {
	s.observations = s.observations*(1-1.0/observationWindow) + 1
	s.prefillFit.decay(1 - 1.0/observationWindow)
	// Deviations are proportional to the prefill time, so observations are weighted by the inverse
	// square of the expected time.
	weight := featuresOf(referenceTokens, 0).dot(s.coefficients) / max(x.dot(s.coefficients), 1)
	s.prefillFit.add(x, took, min(weight*weight, maxShortPromptWeight))
	s.coefficients = s.prefillFit.solve(features{toMicroseconds(initialFirstEventLatency), toMicroseconds(initialPrefillPerToken * thousand), 0})
	s.coefficients[1] = max(s.coefficients[1], minPrefillPer1000TokensUs)
}

// ObserveGeneration records the time from the first to the last event of a stream with the given
// number of tokens, excluding the time of prefills on its engine.
func (s *ServiceModel) ObserveGeneration(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	perToken := clamp(float64(took.Microseconds())/float64(tokens), s.tokenTimeUs/maxDeviationFactor, s.tokenTimeUs*maxDeviationFactor)
	s.tokenObservations = min(s.tokenObservations+1, observationWindow)
	s.tokenTimeUs += (perToken - s.tokenTimeUs) / (s.tokenObservations + initialWeight)
}

// prefillMargin is the factor by which a prefill may well exceed its expected time.
const prefillMargin = 1.25

const (
	// chunkedPrefillRatio is the ratio of a gap to a prefill time below which the gap shows that
	// the engine generates tokens between prefill chunks.
	maxChunkedGapRatio = 0.7
	// gapUpWeight and gapDownWeight are the weights of longer and shorter gaps in the moving
	// estimate of the longest gap. They differ because it is meant to be an upper bound.
	gapIncreaseWeight, gapDecreaseWeight = 0.2, 0.05
	// minPrefillForGap is the prefill time below which a gap says nothing about chunks.
	minPrefillForGap = 100 * time.Millisecond
)

// ObserveGap records the longest gap of a stream and the longest prefill on its engine during the
// stream.
func (s *ServiceModel) ObserveGap(longestGap, prefill time.Duration) {
	if longestGap <= 0 || prefill < minPrefillForGap {
		return
	}
	gapUs := float64(longestGap.Microseconds())
	switch {
	case gapUs > s.maxGapUs:
		s.maxGapUs += gapIncreaseWeight * (gapUs - s.maxGapUs)
	case float64(longestGap) < maxChunkedGapRatio*float64(prefill):
		s.maxGapUs += gapDecreaseWeight * (gapUs - s.maxGapUs)
	}
}

func clamp(v, low, high float64) float64 { return min(max(v, low), high) }
