// Package enginemodel learns how fast the engines of a service are from what their
// callers see of them: how long prompts take to be read, how long a generated token
// takes, and how long the streams of an engine pause while it reads. All figures begin
// with a start value and follow what is observed. It has no clock and no network.
package enginemodel

import (
	"time"
)

const (
	// The start values: an engine of one or two current accelerators with a model of 70
	// to 120 billion parameters. They count as startWeight observations.
	startRead    = 25 * time.Microsecond // for a prompt token
	startLatency = 15 * time.Millisecond // to the first event of an empty prompt
	startToken   = 10 * time.Millisecond // for a generated token
	// startPause is the longest pause of a stream that is assumed beside any reading: six
	// steps with chunks of 1,024 tokens. Engines that pause for longer show it within a
	// second of load.
	startPause  = 150 * time.Millisecond
	startWeight = 4
	// memory is the number of observations after which one has lost two thirds of its
	// weight: some seconds of a busy service.
	memory = 200
	// farOff bounds how far one observation may be from what was expected, as a factor: an
	// engine that freezes for seconds says nothing about the others.
	farOff = 3.0
	// mostWeight bounds the weight of a short prompt against one of tokensOfStart.
	mostWeight = 4.0
	// tokensOfStart is a prompt length in tokens at which the start values are observed.
	tokensOfStart = 4000
	// leastRead bounds the reading time of 1,000 tokens from below, in microseconds: engines
	// ten times as fast as the start value.
	leastRead = 2500.0
)

// Service is what was learnt of the engines of one service together. It is not safe for
// concurrent use.
type ServiceModel struct {
	reading      fit
	coefficients features // of reading
	observed     float64  // prompts of late
	told         float64  // prompts on which the figures rest with which it began
	token        float64  // us for a generated token beside no reading
	tokens       float64  // observations of it
	pause        float64  // us, the longest pause of a stream whatever is read
}

// Figures are what was learnt of a service's engines, to be told to others.
type Estimates struct {
	PrefillPer1000Tokens     time.Duration // for 1,000 prompt tokens
	AttentionPerMillionPairs time.Duration // more for each million pairs of a token and one before it
	FirstEventLatency        time.Duration // to the first event of an empty prompt
	TokenTime                time.Duration // for a generated token beside no reading
	MaxEventGap              time.Duration // the longest of a stream whatever is read
	Observations             float64       // prompts on which they rest, of late
}

// startFigures are the figures of engines of which nothing was observed.
var startFigures = Estimates{PrefillPer1000Tokens: startRead * thousand, FirstEventLatency: startLatency, TokenTime: startToken, MaxEventGap: startPause}

// NewService returns a model with the start values.
func NewServiceModel() *ServiceModel { return NewServiceModelFrom(startFigures) }

// NewServiceFrom returns a model that begins with figures that another has learnt. They
// count as a few observations.
func NewServiceModelFrom(f Estimates) *ServiceModel {
	s := &ServiceModel{token: us(f.TokenTime), pause: us(f.MaxEventGap), told: f.Observations, coefficients: features{us(f.FirstEventLatency), us(f.PrefillPer1000Tokens), us(f.AttentionPerMillionPairs)}}
	for _, tokens := range []int{0, tokensOfStart} {
		x := of(tokens, 0)
		s.reading.add(x, x.dot(s.coefficients), startWeight/2)
	}
	return s
}

// Figures returns what was learnt.
func (s *ServiceModel) Estimates() Estimates {
	return Estimates{PrefillPer1000Tokens: microseconds(s.coefficients[1]), FirstEventLatency: microseconds(s.coefficients[0]),
		AttentionPerMillionPairs: microseconds(s.coefficients[2]), TokenTime: microseconds(s.token),
		MaxEventGap: microseconds(s.pause), Observations: s.observed}
}

// leastObserved is the number of prompts after which the start values weigh a sixth at most.
const leastObserved = 20

// Informed reports whether the figures rest on what was observed rather than on start values, which
// may be ten times off.
func (s *ServiceModel) Calibrated() bool { return max(s.observed, s.told) >= leastObserved }

// ReadTime returns how long a mean engine that does nothing else takes to the first event
// of a prompt with so many tokens to read after others that it keeps.
func (s *ServiceModel) PrefillTime(tokens, after int) time.Duration {
	return microseconds(of(tokens, after).dot(s.coefficients))
}

// TokenTime returns how long a generated token takes while nothing is read.
func (s *ServiceModel) TokenTime() time.Duration { return microseconds(s.token) }

// Pause returns how long a stream pauses between two events of so many tokens while its
// engine reads for so long. Engines that read in chunks generate between these, so that
// the pause stops growing at some length.
func (s *ServiceModel) EventGap(reading time.Duration, eventTokens int) time.Duration {
	pause := time.Duration(unsure*float64(reading)) + time.Duration(eventTokens)*s.TokenTime()
	return min(pause, microseconds(s.pause))
}

// Made returns how many tokens a stream generates in a time in which its engine read for
// a part of it.
func (s *ServiceModel) TokensGenerated(generating, reading time.Duration, eventTokens int) float64 {
	made := max(float64(generating.Microseconds()), 0) / s.token
	return made + float64(eventTokens)*max(float64(reading.Microseconds()), 0)/s.pause
}

func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func microseconds(us float64) time.Duration { return time.Duration(us * float64(time.Microsecond)) }

// Engine is what was learnt of one engine, as a factor to its service. It is not safe
// for concurrent use.
type EngineModel struct {
	service *ServiceModel
	slow    float64 // times as long as a mean engine, by its own observations
	weight  float64 // of these
	at      time.Time
}

const (
	// engineWeight is how many observations the service's figure counts against those of
	// one engine.
	engineWeight = 4
	// engineMemory is the number of observations that are kept of one engine.
	engineMemory = 20
	// engineForget is the time constant with which an engine that is not observed is
	// taken for a mean one again: an engine that was slow is tried again after some
	// seconds.
	engineForget = 8 * time.Second
)

// NewEngine returns the model of an engine of which nothing was observed.
func (s *ServiceModel) NewEngineModel() *EngineModel { return &EngineModel{service: s, slow: 1} }

// ReadTime is Service.ReadTime for this engine.
func (e *EngineModel) PrefillTime(tokens, after int, now time.Time) time.Duration {
	return time.Duration(float64(e.service.PrefillTime(tokens, after)) * e.SlowdownFactor(now))
}

// Slowness returns how many times as long as a mean engine this one takes.
func (e *EngineModel) SlowdownFactor(now time.Time) float64 {
	w := e.weightAt(now)
	return (engineWeight + w*e.slow) / (engineWeight + w)
}

func (e *EngineModel) weightAt(now time.Time) float64 {
	idle := now.Sub(e.at).Seconds() / engineForget.Seconds()
	return e.weight / (1 + max(idle, 0)*max(idle, 0))
}

// Observe takes in that the engine gave the first event of a prompt with so many tokens
// to read, after others that it kept, in a time in which it read nothing else.
func (e *EngineModel) ObservePrefill(tokens, after int, took time.Duration, now time.Time) {
	expected := e.service.PrefillTime(tokens, after)
	if took <= 0 || expected <= 0 {
		return
	}
	factor := clamp(float64(took)/float64(expected), 1/farOff, farOff)
	w := e.weightAt(now)
	e.slow = (e.slow*w + factor) / (w + 1)
	e.weight, e.at = min(w+1, engineMemory), now
	e.service.observe(of(tokens, after), factor*us(expected))
}

func (s *ServiceModel) observe(x features, took float64) {
	s.observed = s.observed*(1-1.0/memory) + 1
	s.reading.decay(1 - 1.0/memory)
	// What is off is off by a part, so that long prompts count less: by the square of the
	// time that is expected of them.
	weight := of(tokensOfStart, 0).dot(s.coefficients) / max(x.dot(s.coefficients), 1)
	s.reading.add(x, took, min(weight*weight, mostWeight))
	s.coefficients = s.reading.solve(features{us(startLatency), us(startRead * thousand), 0})
	s.coefficients[1] = max(s.coefficients[1], leastRead)
}

// Generated takes in that a stream of so many tokens took a time from its first to its
// last event, without the time in which its engine read prompts.
func (s *ServiceModel) ObserveGeneration(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	per := clamp(float64(took.Microseconds())/float64(tokens), s.token/farOff, s.token*farOff)
	s.tokens = min(s.tokens+1, memory)
	s.token += (per - s.token) / (s.tokens + startWeight)
}

// unsure is how many times as long as expected a reading may well take.
const unsure = 1.25

const (
	// heldUp is the part of a reading time below which a pause shows that the engine
	// generates between the chunks that it reads.
	heldUp = 0.7
	// pauseUp and pauseDown are the weights with which the longest pause follows longer
	// and shorter ones: it is to be an upper bound.
	pauseUp, pauseDown = 0.2, 0.05
	// leastReading is the reading time below which a pause says nothing of chunks.
	leastReading = 100 * time.Millisecond
)

// Paused takes in the longest pause of a stream beside the longest reading of a prompt at
// its engine.
func (s *ServiceModel) ObserveGap(longest, reading time.Duration) {
	if longest <= 0 || reading < leastReading {
		return
	}
	us := float64(longest.Microseconds())
	switch {
	case us > s.pause:
		s.pause += pauseUp * (us - s.pause)
	case float64(longest) < heldUp*float64(reading):
		s.pause += pauseDown * (us - s.pause)
	}
}

func clamp(v, least, most float64) float64 { return min(max(v, least), most) }
