package simulate

import "time"

// Scenario combines an engine model with a workload.
type Scenario struct {
	Name   string
	Engine EngineModel
	// Classes returns the request classes, with rates scaled to the number of engines and
	// multiplied by factor.
	Classes func(engines int, factor float64) []Class
}

// Scenarios holds the workloads of three deployments, as their users describe them, and one for
// much slower engines. Within a scenario, the bursts of the classes follow one another.
var Scenarios = []Scenario{
	{Name: "advisory", Engine: advisoryEngine(), Classes: advisoryClasses},
	{Name: "routes", Engine: routesEngine, Classes: routesClasses},
	{Name: "reviews", Engine: reviewsEngine, Classes: reviewsClasses},
	{Name: "slow", Engine: slowEngine, Classes: slowClasses},
}

// FindScenario returns the scenario with the given name.
func FindScenario(name string) (Scenario, bool) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// advisoryEngine returns the model of an engine with two accelerators that serves a model with
// 120 billion parameters, as described by the users of the advisory deployment.
func advisoryEngine() EngineModel {
	return EngineModel{BaseStep: 3090 * time.Microsecond, StepPerRequest: 102 * time.Microsecond, PrefillTokensPerMs: 56.9, PrefillChunk: 1024,
		Slots: 64, KVCacheTokens: 579000, EventTokens: 6, FirstTokenDelay: 13 * time.Millisecond}
}

// advisoryClasses returns the request classes of the advisory deployment, which has 38 engines.
func advisoryClasses(engines int, factor float64) []Class {
	scale := factor * float64(engines) / 38
	return []Class{
		{Name: "report", PerSecond: 83.8 * scale, Rank: 6, SharedPrefixes: 14 * engines, SharedPrefixTokens: 4870, UniqueTokens: 6610, UniqueTokensSigma: 0.8, OutputTokens: 330,
			FirstTokenTarget: 2500 * time.Millisecond, MaxEventGap: 800 * time.Millisecond, Deadline: 15 * time.Second,
			BurstFactor: 2.2, BurstStart: time.Second, BurstDuration: 9 * time.Second},
		{Name: "advice", PerSecond: 84.7 * scale, Rank: 0, SharedPrefixes: 175, SharedPrefixTokens: 198, UniqueTokens: 628, UniqueTokensSigma: 0.7, OutputTokens: 290,
			FirstTokenTarget: 300 * time.Millisecond, MaxEventGap: 250 * time.Millisecond, Deadline: 12 * time.Second,
			BurstFactor: 2, BurstStart: 11 * time.Second, BurstDuration: 5 * time.Second},
		{Name: "tag", PerSecond: 77.7 * scale, Rank: 3, SharedPrefixes: 107, SharedPrefixTokens: 568, UniqueTokens: 1800, UniqueTokensSigma: 0.8, OutputTokens: 25,
			FirstTokenTarget: 400 * time.Millisecond, MaxEventGap: 400 * time.Millisecond, Deadline: 3 * time.Second},
	}
}

var routesEngine = EngineModel{BaseStep: 3790 * time.Microsecond, StepPerRequest: 102 * time.Microsecond, PrefillTokensPerMs: 56.6, PrefillChunk: 1024,
	Slots: 64, KVCacheTokens: 596000, EventTokens: 5, FirstTokenDelay: 13 * time.Millisecond}

// routesClasses returns the request classes of the routes deployment, which has 50 engines.
func routesClasses(engines int, factor float64) []Class {
	scale := factor * float64(engines) / 50
	return []Class{
		{Name: "summary", PerSecond: 114 * scale, Rank: 6, SharedPrefixes: 14 * engines, SharedPrefixTokens: 4870, UniqueTokens: 6610, UniqueTokensSigma: 0.8, OutputTokens: 380,
			FirstTokenTarget: 2 * time.Second, MaxEventGap: 800 * time.Millisecond, Deadline: 15 * time.Second,
			BurstFactor: 2.2, BurstStart: time.Second, BurstDuration: 9 * time.Second},
		{Name: "driver", PerSecond: 112 * scale, Rank: 0, SharedPrefixes: 175, SharedPrefixTokens: 198, UniqueTokens: 628, UniqueTokensSigma: 0.7, OutputTokens: 290,
			FirstTokenTarget: 300 * time.Millisecond, MaxEventGap: 200 * time.Millisecond, Deadline: 15 * time.Second,
			BurstFactor: 2, BurstStart: 11 * time.Second, BurstDuration: 5 * time.Second},
		{Name: "tagging", PerSecond: 103 * scale, Rank: 3, SharedPrefixes: 107, SharedPrefixTokens: 568, UniqueTokens: 1800, UniqueTokensSigma: 0.8, OutputTokens: 24,
			FirstTokenTarget: 400 * time.Millisecond, MaxEventGap: 300 * time.Millisecond, Deadline: 3 * time.Second},
	}
}

var reviewsEngine = EngineModel{BaseStep: 5230 * time.Microsecond, StepPerRequest: 4 * time.Microsecond, PrefillTokensPerMs: 38.4, PrefillChunk: 4096,
	AttentionMsPerMillionPairs: 0.647, Slots: 48, KVCacheTokens: 357000, EventTokens: 4}

// reviewsClasses returns the request classes of the reviews deployment, which has 18 engines.
func reviewsClasses(engines int, factor float64) []Class {
	scale := factor * float64(engines) / 18
	return []Class{
		{Name: "review", PerSecond: 38 * scale, Rank: 3, SharedPrefixes: 20 * engines, SharedPrefixTokens: 6300, UniqueTokens: 2890, UniqueTokensSigma: 1, OutputTokens: 52,
			FirstTokenTarget: 800 * time.Millisecond, MaxEventGap: 600 * time.Millisecond, Deadline: 6 * time.Second,
			BurstFactor: 2.2, BurstStart: time.Second, BurstDuration: 9 * time.Second},
		{Name: "question", PerSecond: 46.5 * scale, Rank: 0, SharedPrefixes: 300, SharedPrefixTokens: 198, UniqueTokens: 628, UniqueTokensSigma: 1, OutputTokens: 292,
			FirstTokenTarget: 500 * time.Millisecond, MaxEventGap: 400 * time.Millisecond, Deadline: 15 * time.Second,
			BurstFactor: 2, BurstStart: 11 * time.Second, BurstDuration: 5 * time.Second},
	}
}

// slowEngine has about ten times the step time of the other engines and small prefill chunks.
var slowEngine = EngineModel{BaseStep: 40 * time.Millisecond, StepPerRequest: 500 * time.Microsecond, PrefillTokensPerMs: 4, PrefillChunk: 256,
	Slots: 16, KVCacheTokens: 60000, EventTokens: 2, FirstTokenDelay: 20 * time.Millisecond}

// slowClasses returns request classes for 12 slow engines.
func slowClasses(engines int, factor float64) []Class {
	scale := factor * float64(engines) / 12
	return []Class{
		{Name: "draft", PerSecond: 5 * scale, Rank: 3, SharedPrefixes: 10 * engines, SharedPrefixTokens: 800, UniqueTokens: 2400, UniqueTokensSigma: 0.9, OutputTokens: 60,
			FirstTokenTarget: 8 * time.Second, MaxEventGap: 2 * time.Second, Deadline: 40 * time.Second,
			BurstFactor: 2, BurstStart: time.Second, BurstDuration: 9 * time.Second},
		{Name: "chat", PerSecond: 5 * scale, Rank: 0, SharedPrefixes: 50, SharedPrefixTokens: 60, UniqueTokens: 200, UniqueTokensSigma: 0.7, OutputTokens: 60,
			FirstTokenTarget: 1500 * time.Millisecond, MaxEventGap: 700 * time.Millisecond, Deadline: 30 * time.Second,
			BurstFactor: 2, BurstStart: 11 * time.Second, BurstDuration: 5 * time.Second},
	}
}
