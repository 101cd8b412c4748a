// Package load is an open-loop load generator and experiment runner. It sends requests at times
// planned in advance, regardless of the responses, and checks each response against the one
// expected for its prompt. Latencies are measured from the intended send time. This avoids
// coordinated omission, in which a slow system delays the requests that would show its latency.
package load

import (
	"time"

	"github.com/merlinpost/merlinpost/internal/settings"
)

// Scenario is a scenario file (TOML).
type Scenario struct {
	Name string `toml:"name" validate:"required"`
	// Seed determines the planned requests.
	Seed uint64 `toml:"seed"`
	// DurationMS is how long requests are sent. Requests planned before WarmupMS are sent but
	// not included in the results of the classes.
	DurationMS int `toml:"duration_ms" validate:"min=100,max=86400000"`
	WarmupMS   int `toml:"warmup_ms" validate:"min=0,ltfield=DurationMS"`
	// Routers are the client API addresses, used in turn. They are ignored with a Deployment.
	Routers []string `toml:"routers" validate:"dive,ipport"`
	// Deployment, if set, is started in this process for each run.
	Deployment *Deployment `toml:"deployment"`
	Teams      []Team      `toml:"team" validate:"min=1,dive"`
	Streams    []Stream    `toml:"stream" validate:"min=1,dive"`
	// Variants are further policies of the embedded deployment, run with the same requests.
	Variants []Variant `toml:"variant" validate:"dive"`
}

// Deployment configures an embedded deployment, which runs in the process of the load generator.
type Deployment struct {
	Engines int     `toml:"engines" validate:"min=1,max=64"`
	Slots   int     `toml:"slots" validate:"min=1,max=256"`
	StepMS  float64 `toml:"step_ms" validate:"gt=0,max=1000"`
	// Slow is the factor by which engine 0 is slowed down from SlowFromMS on; values up to 1
	// have no effect.
	Slow       float64 `toml:"slow"`
	SlowFromMS int     `toml:"slow_from_ms"`
	Policy     Policy  `toml:"policy"`
}

// Policy configures the scheduling policy of an embedded deployment. The zero value is the
// default policy.
type Policy struct {
	Choice string `toml:"choice" validate:"omitempty,oneof=scored round_robin least_loaded"`
	Order  string `toml:"order" validate:"omitempty,oneof=tiers fifo"`
	// MaxPreemptions overrides the default if set.
	MaxPreemptions *int `toml:"max_preemptions" validate:"omitempty,min=0,max=100"`
	// Without disables parts of the policy: "preemption", "floors", "fairness",
	// "early_refusal", "prefix", "domain", "straggler", "corrected".
	Without []string `toml:"without" validate:"dive,oneof=preemption floors fairness early_refusal prefix domain straggler corrected"`
}

// Variant is a named policy to compare with the scenario's own.
type Variant struct {
	Name   string `toml:"name" validate:"required"`
	Policy Policy `toml:"policy"`
}

// Team is a team whose share of the requests is proportional to Weight.
type Team struct {
	Name   string  `toml:"name" validate:"required"`
	Key    string  `toml:"key" validate:"required"`
	Weight float64 `toml:"weight" validate:"gt=0"`
}

// Stream describes a sequence of similar requests and its arrival process.
type Stream struct {
	Class string `toml:"class" validate:"required"`
	Model string `toml:"model" validate:"required_without=Service"`
	// Service, if set, makes the requests calls to this plain service, each with its own
	// idempotency key.
	Service string `toml:"service"`
	// Rate is the mean rate of the Poisson arrivals in requests per second, outside of bursts.
	Rate   float64 `toml:"rate" validate:"gt=0,max=100000"`
	Bursts []Burst `toml:"burst" validate:"dive"`
	// TokensMin and TokensMax bound the response length, which is distributed uniformly, or
	// log-uniformly with LongTail.
	TokensMin int  `toml:"tokens_min" validate:"min=1,max=100000"`
	TokensMax int  `toml:"tokens_max" validate:"gtefield=TokensMin,max=100000"`
	LongTail  bool `toml:"long_tail"`
	// PromptWords is the number of filler words in the unique part of a prompt. With Prefixes
	// above 0, each prompt begins with one of that many shared prefixes of PrefixWords words.
	PromptWords int `toml:"prompt_words" validate:"min=0,max=10000"`
	Prefixes    int `toml:"prefixes" validate:"min=0,max=10000"`
	PrefixWords int `toml:"prefix_words" validate:"min=0,max=10000"`
	// Latency targets; 0 means none. They must match the targets of the class.
	FirstTokenMS    int `toml:"first_token_ms" validate:"min=0"`
	BetweenTokensMS int `toml:"between_tokens_ms" validate:"min=0"`
	TotalMS         int `toml:"total_ms" validate:"min=0"`
	// Class settings, used only for embedded deployments.
	Tier        int     `toml:"tier" validate:"min=0,max=4"`
	MaxWaitMS   int     `toml:"max_wait_ms" validate:"min=0"`
	Floor       float64 `toml:"floor" validate:"min=0,max=0.5"`
	Preemptible bool    `toml:"preemptible"`
}

// Burst multiplies a stream's rate by Factor for a period. The factors of overlapping bursts are
// multiplied.
type Burst struct {
	FromMS int     `toml:"from_ms" validate:"min=0"`
	ForMS  int     `toml:"for_ms" validate:"min=1"`
	Factor float64 `toml:"factor" validate:"gt=0,max=1000"`
}

// ReadScenario reads and validates a scenario file.
func ReadScenario(path string) (*Scenario, error) {
	s := &Scenario{}
	if err := settings.ReadFile(path, s); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Scenario) duration() time.Duration { return settings.Millis(s.DurationMS) }

// rateAt returns the stream's rate at an offset from the start.
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

// peakRate returns an upper bound of the stream's rate, as if all bursts with a factor above 1
// overlapped.
func (s *Stream) peakRate() float64 {
	peak := s.Rate
	for _, b := range s.Bursts {
		if b.Factor > 1 {
			peak *= b.Factor
		}
	}
	return peak
}
