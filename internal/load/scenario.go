// Package load is the load and experiment tool: it sends requests at times set
// beforehand, whatever the system answers (an open loop), checks each answer
// against what its prompt must give, and reports latencies counted from the
// intended time of sending, so that a slow system can't hide its own delays.
package load

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/settings"
)

// Scenario is a scenario file (TOML).
type Scenario struct {
	Name string `toml:"name" validate:"required"`
	Seed uint64 `toml:"seed"`
	// DurationMS is how long requests are sent; requests intended before
	// WarmupMS are sent but not counted.
	DurationMS int `toml:"duration_ms" validate:"min=100,max=86400000"`
	WarmupMS   int `toml:"warmup_ms" validate:"min=0,ltfield=DurationMS"`
	// Routers are the callers' APIs to use in turn; empty with a deployment.
	Routers []string `toml:"routers" validate:"dive,ipport"`
	// Deployment, if given, is started in this process for the run.
	Deployment *Deployment `toml:"deployment"`
	Teams      []Team      `toml:"team" validate:"min=1,dive"`
	Streams    []Stream    `toml:"stream" validate:"min=1,dive"`
	// Variants run the same requests against changed deployments.
	Variants []Variant `toml:"variant" validate:"dive"`
}

// Deployment is an embedded deployment.
type Deployment struct {
	Engines int     `toml:"engines" validate:"min=1,max=64"`
	Slots   int     `toml:"slots" validate:"min=1,max=256"`
	StepMS  float64 `toml:"step_ms" validate:"gt=0,max=1000"`
	// Slow makes engine 0 slower by this factor from SlowFromMS on.
	Slow       float64 `toml:"slow"`
	SlowFromMS int     `toml:"slow_from_ms"`
	Policy     Policy  `toml:"policy"`
}

// Policy is the policy of an embedded deployment; the zero value is the
// product's own.
type Policy struct {
	Choice string `toml:"choice" validate:"omitempty,oneof=scored round_robin least_loaded"`
	Order  string `toml:"order" validate:"omitempty,oneof=tiers fifo"`
	// MaxPreemptions replaces the default if not nil.
	MaxPreemptions *int `toml:"max_preemptions" validate:"omitempty,min=0,max=100"`
	// Without switches parts off: "preemption", "floors", "fairness",
	// "early_refusal", "prefix", "domain", "straggler", "corrected".
	Without []string `toml:"without" validate:"dive,oneof=preemption floors fairness early_refusal prefix domain straggler corrected"`
}

// Variant is a changed policy to compare.
type Variant struct {
	Name   string `toml:"name" validate:"required"`
	Policy Policy `toml:"policy"`
}

// Team sends a share of the requests.
type Team struct {
	Name   string  `toml:"name" validate:"required"`
	Key    string  `toml:"key" validate:"required"`
	Weight float64 `toml:"weight" validate:"gt=0"`
}

// Stream is a kind of request with its arrivals.
type Stream struct {
	Class string `toml:"class" validate:"required"`
	Model string `toml:"model" validate:"required_without=Service"`
	// Service makes the requests plain service calls with a key each.
	Service string `toml:"service"`
	// Rate is the mean of the Poisson arrivals, a second.
	Rate   float64 `toml:"rate" validate:"gt=0,max=100000"`
	Bursts []Burst `toml:"burst" validate:"dive"`
	// TokensMin to TokensMax is the range of answer lengths; LongTail draws
	// them so that each doubling is as likely as the one before.
	TokensMin int  `toml:"tokens_min" validate:"min=1,max=100000"`
	TokensMax int  `toml:"tokens_max" validate:"gtefield=TokensMin,max=100000"`
	LongTail  bool `toml:"long_tail"`
	// PromptWords is the length of a prompt's own part; Prefixes prompts
	// share one of as many prefixes of PrefixWords words.
	PromptWords int `toml:"prompt_words" validate:"min=0,max=10000"`
	Prefixes    int `toml:"prefixes" validate:"min=0,max=10000"`
	PrefixWords int `toml:"prefix_words" validate:"min=0,max=10000"`
	// The class's targets; 0 means none. They must be those of the class.
	FirstTokenMS    int `toml:"first_token_ms" validate:"min=0"`
	BetweenTokensMS int `toml:"between_tokens_ms" validate:"min=0"`
	TotalMS         int `toml:"total_ms" validate:"min=0"`
	// Embedded deployments declare the class with these.
	Tier        int     `toml:"tier" validate:"min=0,max=4"`
	MaxWaitMS   int     `toml:"max_wait_ms" validate:"min=0"`
	Floor       float64 `toml:"floor" validate:"min=0,max=0.5"`
	Preemptible bool    `toml:"preemptible"`
}

// Burst multiplies a stream's rate for a time.
type Burst struct {
	FromMS int     `toml:"from_ms" validate:"min=0"`
	ForMS  int     `toml:"for_ms" validate:"min=1"`
	Factor float64 `toml:"factor" validate:"gt=0,max=1000"`
}

// Read reads and checks a scenario file.
func ReadScenario(path string) (*Scenario, error) {
	s := &Scenario{}
	if err := settings.ReadFile(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Scenario) duration() time.Duration { return settings.Millis(s.DurationMS) }

// rateAt returns the stream's rate at a time after the start.
func (s *Stream) rateAt(at time.Duration) float64 {
	rate := s.Rate
	for _, b := range s.Bursts {
		from := settings.Millis(b.FromMS)
		if at >= from && at < from+settings.Millis(b.ForMS) {
			rate *= b.Factor
		}
	}
	return rate
}

// peak returns the stream's highest rate.
func (s *Stream) peak() float64 {
	peak := s.Rate
	for _, b := range s.Bursts {
		if b.Factor > 1 {
			peak *= b.Factor
		}
	}
	return peak
}
