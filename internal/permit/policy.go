package permit

// Policy disables individual scheduling rules, to measure the effect of each. The zero value enables all
// rules and is used in production.
type Policy struct {
	// IgnoreInterference places prompts regardless of the streams that they disrupt.
	IgnoreInterference bool
	// IgnoreResponseTimeouts checks only the event gaps of streams, not their response timeouts.
	IgnoreResponseTimeouts bool
	// NoEnginePreference disables the order of preference that keeps short and long prompts on
	// different engines.
	NoEnginePreference bool
	// ConcurrentPrefills grants further prompts to engines that are running a prefill.
	ConcurrentPrefills bool
	// NoLearning keeps the initial estimates of the performance model for all engines.
	NoLearning bool
	// NoFetch prefills shared prefixes on engines that do not cache them instead of fetching them.
	NoFetch bool
	// IgnoreLateness does not place requests that can still be on time ahead of late ones.
	IgnoreLateness bool
	// NoEarlyRefusal refuses requests only after their timeout.
	NoEarlyRefusal bool
}
