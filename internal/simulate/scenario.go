package simulate

import "time"

// Scenario is a deployment and its load.
type Scenario struct {
	Name   string
	Engine EngineModel
	// Classes returns the classes of requests for so many engines, at a factor of the load.
	Classes func(engines int, factor float64) []Class
}

// Scenarios are the loads of three deployments, as their users describe them, and of one
// far off. Bursts of each kind of request come in turn.
var Scenarios = []Scenario{
	{Name: "advisory", Engine: advisoryEngine(), Classes: advisoryClasses},
	{Name: "routes", Engine: routesEngine, Classes: routes},
	{Name: "reviews", Engine: reviewsEngine, Classes: reviews},
	{Name: "slow", Engine: slowEngine, Classes: slow},
}

// Find returns the scenario with a name.
func FindScenario(name string) (Scenario, bool) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// DefaultEngine is an engine of two accelerators with a model of 120 billion
// parameters, as the users' deployments describe theirs.
func advisoryEngine() EngineModel {
	return EngineModel{BaseStep: 3090 * time.Microsecond, StepPerRequest: 102 * time.Microsecond, PrefillTokensPerMs: 56.9, PrefillChunk: 1024,
		Slots: 64, KVCacheTokens: 579000, EventTokens: 6, FirstTokenDelay: 13 * time.Millisecond}
}

// Board returns the classes of the users' first deployment, scaled by factor, for
// the given number of engines.
func advisoryClasses(engines int, factor float64) []Class {
	per := factor * float64(engines) / 38
	return []Class{
		{Name: "report", PerSecond: 83.8 * per, Rank: 6, SharedPrefixes: 14 * engines, SharedPrefixTokens: 4870, UniqueTokens: 6610, UniqueTokensSigma: 0.8, OutputTokens: 330,
			FirstTokenTarget: 2500 * time.Millisecond, MaxEventGap: 800 * time.Millisecond, Deadline: 15 * time.Second,
			BurstFactor: 2.2, BurstStart: time.Second, BurstDuration: 9 * time.Second},
		{Name: "advice", PerSecond: 84.7 * per, Rank: 0, SharedPrefixes: 175, SharedPrefixTokens: 198, UniqueTokens: 628, UniqueTokensSigma: 0.7, OutputTokens: 290,
			FirstTokenTarget: 300 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Deadline: 12 * time.Second,
			BurstFactor: 2, BurstStart: 11 * time.Second, BurstDuration: 5 * time.Second},
		{Name: "tag", PerSecond: 77.7 * per, Rank: 3, SharedPrefixes: 107, SharedPrefixTokens: 568, UniqueTokens: 1800, UniqueTokensSigma: 0.8, OutputTokens: 25,
			FirstTokenTarget: 400 * time.Millisecond, MaxEventGap: 400 * time.Millisecond, Deadline: 3 * time.Second},
	}
}

var routesEngine = EngineModel{BaseStep: 3790 * time.Microsecond, StepPerRequest: 102 * time.Microsecond, PrefillTokensPerMs: 56.6, PrefillChunk: 1024,
	Slots: 64, KVCacheTokens: 596000, EventTokens: 5, FirstTokenDelay: 13 * time.Millisecond}

func routes(engines int, factor float64) []Class {
	per := factor * float64(engines) / 50
	return []Class{
		{Name: "summary", PerSecond: 114 * per, Rank: 6, SharedPrefixes: 14 * engines, SharedPrefixTokens: 4870, UniqueTokens: 6610, UniqueTokensSigma: 0.8, OutputTokens: 380,
			FirstTokenTarget: 2 * time.Second, MaxEventGap: 800 * time.Millisecond, Deadline: 15 * time.Second,
			BurstFactor: 2.2, BurstStart: time.Second, BurstDuration: 9 * time.Second},
		{Name: "driver", PerSecond: 112 * per, Rank: 0, SharedPrefixes: 175, SharedPrefixTokens: 198, UniqueTokens: 628, UniqueTokensSigma: 0.7, OutputTokens: 290,
			FirstTokenTarget: 300 * time.Millisecond, MaxEventGap: 200 * time.Millisecond, Deadline: 15 * time.Second,
			BurstFactor: 2, BurstStart: 11 * time.Second, BurstDuration: 5 * time.Second},
		{Name: "tagging", PerSecond: 103 * per, Rank: 3, SharedPrefixes: 107, SharedPrefixTokens: 568, UniqueTokens: 1800, UniqueTokensSigma: 0.8, OutputTokens: 24,
			FirstTokenTarget: 400 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Deadline: 3 * time.Second},
	}
}

var reviewsEngine = EngineModel{BaseStep: 5230 * time.Microsecond, StepPerRequest: 4 * time.Microsecond, PrefillTokensPerMs: 38.4, PrefillChunk: 4096,
	AttentionMsPerMillionPairs: 0.647, Slots: 48, KVCacheTokens: 357000, EventTokens: 4}

func reviews(engines int, factor float64) []Class {
	per := factor * float64(engines) / 18
	return []Class{
		{Name: "review", PerSecond: 38 * per, Rank: 3, SharedPrefixes: 20 * engines, SharedPrefixTokens: 6300, UniqueTokens: 2890, UniqueTokensSigma: 1, OutputTokens: 52,
			FirstTokenTarget: 800 * time.Millisecond, MaxEventGap: 600 * time.Millisecond, Deadline: 6 * time.Second,
			BurstFactor: 2.2, BurstStart: time.Second, BurstDuration: 9 * time.Second},
		{Name: "question", PerSecond: 46.5 * per, Rank: 0, SharedPrefixes: 300, SharedPrefixTokens: 198, UniqueTokens: 628, UniqueTokensSigma: 1, OutputTokens: 292,
			FirstTokenTarget: 500 * time.Millisecond, MaxEventGap: 400 * time.Millisecond, Deadline: 15 * time.Second,
			BurstFactor: 2, BurstStart: 11 * time.Second, BurstDuration: 5 * time.Second},
	}
}

// slowEngine is far from the others: ten times as slow, with small chunks.
var slowEngine = EngineModel{BaseStep: 40 * time.Millisecond, StepPerRequest: 500 * time.Microsecond, PrefillTokensPerMs: 4, PrefillChunk: 256,
	Slots: 16, KVCacheTokens: 60000, EventTokens: 2, FirstTokenDelay: 20 * time.Millisecond}

func slow(engines int, factor float64) []Class {
	per := factor * float64(engines) / 12
	return []Class{
		{Name: "draft", PerSecond: 5 * per, Rank: 3, SharedPrefixes: 10 * engines, SharedPrefixTokens: 800, UniqueTokens: 2400, UniqueTokensSigma: 0.9, OutputTokens: 60,
			FirstTokenTarget: 8 * time.Second, MaxEventGap: 2 * time.Second, Deadline: 40 * time.Second,
			BurstFactor: 2, BurstStart: time.Second, BurstDuration: 9 * time.Second},
		{Name: "chat", PerSecond: 5 * per, Rank: 0, SharedPrefixes: 50, SharedPrefixTokens: 60, UniqueTokens: 200, UniqueTokensSigma: 0.7, OutputTokens: 60,
			FirstTokenTarget: 1500 * time.Millisecond, MaxEventGap: 700 * time.Millisecond, Deadline: 30 * time.Second,
			BurstFactor: 2, BurstStart: 11 * time.Second, BurstDuration: 5 * time.Second},
	}
}
