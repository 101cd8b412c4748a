package permit

// Policy switches parts of the decisions off, to find out what each is worth. The zero
// value is the product's policy.
type Policy struct {
	// NoHarm: prompts are placed whatever they do to the streams beside them.
	IgnoreInterference bool
	// NoPacing: the time that streams need to end is left out of that.
	IgnoreResponseTimeouts bool
	// NoOrder: no engine is preferred for short or for long prompts.
	NoEnginePreference bool
	// Together: engines are given further prompts while they read.
	ConcurrentPrefills bool
	// NoLearning: the start values stand for all engines.
	NoLearning bool
	// NoFetch: shared parts are read where they lack.
	NoFetch bool
	// ByArrival: what can still be on time does not go before what can't.
	IgnoreLateness bool
	// Patient: nothing is refused before its limit.
	NoEarlyRefusal bool
}
