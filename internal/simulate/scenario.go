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
	{Name: "advisory", Engine: DefaultEngine(), Classes: Board},
	{Name: "routes", Engine: routesEngine, Classes: routes},
	{Name: "reviews", Engine: reviewsEngine, Classes: reviews},
	{Name: "slow", Engine: slowEngine, Classes: slow},
}

// Find returns the scenario with a name.
func Find(name string) (Scenario, bool) {
	for _, s := range Scenarios {
		if s.Name == name {
			return s, true
		}
	}
	return Scenario{}, false
}

// DefaultEngine is an engine of two accelerators with a model of 120 billion
// parameters, as the users' deployments describe theirs.
func DefaultEngine() EngineModel {
	return EngineModel{Step: 3090 * time.Microsecond, StepPerRun: 102 * time.Microsecond, TokensPerMs: 56.9, Chunk: 1024,
		Slots: 64, Memory: 579000, EventTokens: 6, FirstLatency: 13 * time.Millisecond}
}

// Board returns the classes of the users' first deployment, scaled by factor, for
// the given number of engines.
func Board(engines int, factor float64) []Class {
	per := factor * float64(engines) / 38
	return []Class{
		{Name: "report", PerSecond: 83.8 * per, Rank: 6, SharedParts: 14 * engines, Shared: 4870, Own: 6610, OwnSpread: 0.8, Output: 330,
			Target: 2500 * time.Millisecond, Gap: 800 * time.Millisecond, Deadline: 15 * time.Second,
			Burst: 2.2, BurstAt: time.Second, BurstFor: 9 * time.Second},
		{Name: "advice", PerSecond: 84.7 * per, Rank: 0, SharedParts: 175, Shared: 198, Own: 628, OwnSpread: 0.7, Output: 290,
			Target: 300 * time.Millisecond, Gap: 250 * time.Millisecond, Deadline: 12 * time.Second,
			Burst: 2, BurstAt: 11 * time.Second, BurstFor: 5 * time.Second},
		{Name: "tag", PerSecond: 77.7 * per, Rank: 3, SharedParts: 107, Shared: 568, Own: 1800, OwnSpread: 0.8, Output: 25,
			Target: 400 * time.Millisecond, Gap: 400 * time.Millisecond, Deadline: 3 * time.Second},
	}
}

var routesEngine = EngineModel{Step: 3790 * time.Microsecond, StepPerRun: 102 * time.Microsecond, TokensPerMs: 56.6, Chunk: 1024,
	Slots: 64, Memory: 596000, EventTokens: 5, FirstLatency: 13 * time.Millisecond}

func routes(engines int, factor float64) []Class {
	per := factor * float64(engines) / 50
	return []Class{
		{Name: "summary", PerSecond: 114 * per, Rank: 6, SharedParts: 14 * engines, Shared: 4870, Own: 6610, OwnSpread: 0.8, Output: 380,
			Target: 2 * time.Second, Gap: 800 * time.Millisecond, Deadline: 15 * time.Second,
			Burst: 2.2, BurstAt: time.Second, BurstFor: 9 * time.Second},
		{Name: "driver", PerSecond: 112 * per, Rank: 0, SharedParts: 175, Shared: 198, Own: 628, OwnSpread: 0.7, Output: 290,
			Target: 300 * time.Millisecond, Gap: 200 * time.Millisecond, Deadline: 15 * time.Second,
			Burst: 2, BurstAt: 11 * time.Second, BurstFor: 5 * time.Second},
		{Name: "tagging", PerSecond: 103 * per, Rank: 3, SharedParts: 107, Shared: 568, Own: 1800, OwnSpread: 0.8, Output: 24,
			Target: 400 * time.Millisecond, Gap: 300 * time.Millisecond, Deadline: 3 * time.Second},
	}
}

var reviewsEngine = EngineModel{Step: 5230 * time.Microsecond, StepPerRun: 4 * time.Microsecond, TokensPerMs: 38.4, Chunk: 4096,
	PairsMsPerMillion: 0.647, Slots: 48, Memory: 357000, EventTokens: 4}

func reviews(engines int, factor float64) []Class {
	per := factor * float64(engines) / 18
	return []Class{
		{Name: "review", PerSecond: 38 * per, Rank: 3, SharedParts: 20 * engines, Shared: 6300, Own: 2890, OwnSpread: 1, Output: 52,
			Target: 800 * time.Millisecond, Gap: 600 * time.Millisecond, Deadline: 6 * time.Second,
			Burst: 2.2, BurstAt: time.Second, BurstFor: 9 * time.Second},
		{Name: "question", PerSecond: 46.5 * per, Rank: 0, SharedParts: 300, Shared: 198, Own: 628, OwnSpread: 1, Output: 292,
			Target: 500 * time.Millisecond, Gap: 400 * time.Millisecond, Deadline: 15 * time.Second,
			Burst: 2, BurstAt: 11 * time.Second, BurstFor: 5 * time.Second},
	}
}

// slowEngine is far from the others: ten times as slow, with small chunks.
var slowEngine = EngineModel{Step: 40 * time.Millisecond, StepPerRun: 500 * time.Microsecond, TokensPerMs: 4, Chunk: 256,
	Slots: 16, Memory: 60000, EventTokens: 2, FirstLatency: 20 * time.Millisecond}

func slow(engines int, factor float64) []Class {
	per := factor * float64(engines) / 12
	return []Class{
		{Name: "draft", PerSecond: 5 * per, Rank: 3, SharedParts: 10 * engines, Shared: 800, Own: 2400, OwnSpread: 0.9, Output: 60,
			Target: 8 * time.Second, Gap: 2 * time.Second, Deadline: 40 * time.Second,
			Burst: 2, BurstAt: time.Second, BurstFor: 9 * time.Second},
		{Name: "chat", PerSecond: 5 * per, Rank: 0, SharedParts: 50, Shared: 60, Own: 200, OwnSpread: 0.7, Output: 60,
			Target: 1500 * time.Millisecond, Gap: 700 * time.Millisecond, Deadline: 30 * time.Second,
			Burst: 2, BurstAt: 11 * time.Second, BurstFor: 5 * time.Second},
	}
}
