package permit

// Policy disables parts of the scheduling, to measure the effect of each. The zero value is the
// production policy.
type Policy struct {
	// IgnoreInterference places prompts regardless of the streams that they disrupt.
	IgnoreInterference bool
	// IgnoreResponseTimeouts checks only the event gaps of streams, not their response timeouts.
	IgnoreResponseTimeouts bool
	// NoEnginePreference disables the order of preference that separates short from long prompts.
	NoEnginePreference bool
	// ConcurrentPrefills grants further prompts to engines that are running a prefill.
	ConcurrentPrefills bool
	// NoLearning keeps the initial estimates for all engines.
	NoLearning bool
	// NoFetch prefills shared prefixes where they are missing instead of fetching them.
	NoFetch bool
	// IgnoreLateness does not order requests that can still be on time before late ones.
	IgnoreLateness bool
	// NoEarlyRefusal refuses requests only after their timeout.
	NoEarlyRefusal bool
}
