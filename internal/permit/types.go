package permit

import (
	"fmt"
	"time"
)

// Group identifies a set of engines whose requests are scheduled by a single gateway.
type Group struct {
	Service string `msgpack:"s"`
	Index   int    `msgpack:"i,omitempty"`
}

// Key returns the group's key for rendezvous hashing.
func (g Group) Key() string { return fmt.Sprintf("%s/%d", g.Service, g.Index) }

// Engine is a member of a group as known to the scheduling gateway.
type Engine struct {
	// ID identifies one run of the engine process; it changes when the engine restarts.
	ID            string
	FailureDomain string
	// Accepting engines may be sent prompts. Other engines may still hold cached prefixes that
	// can be fetched from them.
	Accepting bool
	// Slots is the number of requests that the engine runs concurrently, 0 if unknown.
	Slots int
	// KVCacheTokens is the number of tokens that fit in the engine's KV cache, 0 if unknown.
	KVCacheTokens int
	// TokensPerEvent is the number of generated tokens in one event of the engine's streams, 0
	// if unknown.
	TokensPerEvent int
}

// Ask is a request for permission to send a prompt to an engine of a group. The type's name is part of
// the messages between gateways, as package peers embeds it and the encoding uses the name as a key.
type Ask struct {
	ID string `msgpack:"i"`
	// Priority is the request's priority at the engine; 0 is the most urgent.
	Priority int `msgpack:"r,omitempty"`
	// UniqueTokens is the number of prompt tokens after the shared prefix.
	UniqueTokens int `msgpack:"o"`
	// PrefixID identifies the prompt prefix that the request shares with others, and
	// PrefixTokens is the length of that prefix.
	PrefixID     string `msgpack:"p,omitempty"`
	PrefixTokens int    `msgpack:"s,omitempty"`
	// OutputTokens is the expected number of generated tokens.
	OutputTokens int `msgpack:"u,omitempty"`
	// FirstTokenTarget is the remaining time until which the first token is on time.
	FirstTokenTarget time.Duration `msgpack:"t"`
	// MaxEventGap is the longest gap between two events with which the response is on time; 0 if
	// there is no limit.
	MaxEventGap time.Duration `msgpack:"g,omitempty"`
	// FirstTokenTimeout is the remaining time after which the caller has no use for the first token.
	FirstTokenTimeout time.Duration `msgpack:"l"`
	// ResponseTimeout is the remaining time for the complete response.
	ResponseTimeout time.Duration `msgpack:"d,omitempty"`
	// FailureDomain is the failure domain of the requesting gateway.
	FailureDomain string `msgpack:"z,omitempty"`
	// Resumed requests already have part of their response, but the engine that generated it has
	// failed.
	Resumed bool `msgpack:"b,omitempty"`
	// Plain requests have no prompt to prefill; their servers process them concurrently.
	Plain bool `msgpack:"n,omitempty"`
	// ExcludedEngines are the IDs of engines that have failed the request or that its gateway can't
	// use now, because they are unreachable or have asked it to back off.
	ExcludedEngines []string `msgpack:"a,omitempty"`
	// ExcludedFor is the time after which the gateway can use each of the ExcludedEngines, in the same
	// order. 0 and missing elements mean that the request can't use the engine at all.
	ExcludedFor []time.Duration `msgpack:"x,omitempty"`
	// RecoveringEngines are the IDs of engines that have not responded to the gateway since their
	// backoff ended. They get the gateway's requests by slow start.
	RecoveringEngines []string `msgpack:"c,omitempty"`
}

// Verdict is the result of scheduling a request.
type Verdict int

// Possible verdicts.
const (
	Granted Verdict = iota + 1
	Queued
	Refused
	// NoEngine means that no engine of the group can serve the request in time because all of
	// them are failing, shutting down or unreachable from its gateway. It does not indicate
	// overload.
	NoEngine
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Granted:
		return "granted"
	case Queued:
		return "queued"
	case Refused:
		return "refused"
	case NoEngine:
		return "no_engine"
	}
	return "none"
}

// Decision is the scheduler's answer to one request.
type Decision struct {
	ID      string  `msgpack:"i"`
	Verdict Verdict `msgpack:"v"`
	// Engine is the ID of the engine to send a granted request to; empty if the scheduler knows no
	// engines.
	Engine string `msgpack:"e,omitempty"`
	// FetchFrom is the ID of an engine from which to fetch the shared prefix; empty to fetch
	// nothing.
	FetchFrom string `msgpack:"f,omitempty"`
	// Wait is the expected time until an engine starts a queued request or, for a request that is
	// not served, the time after which to retry.
	Wait time.Duration `msgpack:"w,omitempty"`
	// ExpectedPrefill is the expected time from the start of the prefill to the first event.
	ExpectedPrefill time.Duration `msgpack:"r,omitempty"`
	// BacklogTokens is the number of prompt tokens in the group that are granted or queued but
	// not yet prefilled.
	BacklogTokens int `msgpack:"b,omitempty"`
	// RateLimitedEngines is the number of engines that accept no request now because of their rate
	// limits. If all accepting engines have a rate limit, all engines with one are counted.
	RateLimitedEngines int `msgpack:"l,omitempty"`
	// EnginesInBackoff is the number of engines that get no request now because of failures, and
	// PrefillingEngines the number of engines with granted prompts whose first token is not reported.
	EnginesInBackoff  int `msgpack:"o,omitempty"`
	PrefillingEngines int `msgpack:"p,omitempty"`
}

// StreamStats are the statistics of the response to a granted request, as observed by its gateway.
type StreamStats struct {
	Events int `msgpack:"n,omitempty"`
	// TimeToFirstEvent is measured from sending the request.
	TimeToFirstEvent time.Duration `msgpack:"-"`
	// Duration is the time from the first event to the last.
	Duration time.Duration `msgpack:"t,omitempty"`
	// LongestGap is the longest time between two events.
	LongestGap time.Duration `msgpack:"l,omitempty"`
	// EngineFailed reports whether the response ended because of an engine fault.
	EngineFailed bool `msgpack:"f,omitempty"`
	// NoResponse reports whether the engine has not responded, or was not sent the request.
	NoResponse bool `msgpack:"u,omitempty"`
}

// NotSent are the statistics of a granted request that was not sent to the engine.
var NotSent = StreamStats{NoResponse: true}
