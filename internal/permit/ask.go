package permit

import (
	"fmt"
	"time"
)

// Group names a set of engines for which one gateway decides.
type Group struct {
	Service string `msgpack:"s"`
	Index   int    `msgpack:"i,omitempty"`
}

// Key is the group as a key for rendezvous hashing.
func (g Group) Key() string { return fmt.Sprintf("%s/%d", g.Service, g.Index) }

// Engine is a member of a group as the deciding gateway knows it.
type Engine struct {
	// ID names one start of the engine.
	ID            string
	FailureDomain string
	// Open engines may be given prompts. The others may still hold parts that can be
	// fetched from them.
	Accepting bool
	// Slots is the number of requests that it runs at once, 0 if not known.
	Slots int
	// Memory is the number of tokens that its running requests may take, 0 if not known.
	KVCacheTokens int
	// EventTokens is the number of generated tokens in an event of its streams, 0 if not
	// known.
	TokensPerEvent int
}

// Ask is a request that wants to be sent to an engine of a group.
type Ask struct {
	ID string `msgpack:"i"`
	// Rank is the request's urgency at the engine, 0 first.
	Priority int `msgpack:"r,omitempty"`
	// Own are the prompt tokens that the request shares with no other.
	UniqueTokens int `msgpack:"o"`
	// Part is the ID of the part that it shares with others, and Shared the tokens up
	// to its end.
	PrefixID     string `msgpack:"p,omitempty"`
	PrefixTokens int    `msgpack:"s,omitempty"`
	// Output is the number of tokens that are expected to be generated.
	OutputTokens int `msgpack:"u,omitempty"`
	// Target is the time left in which a first token is on time.
	FirstTokenTarget time.Duration `msgpack:"t"`
	// Gap is the longest pause between events with which the answer is on time, 0 if any.
	MaxEventGap time.Duration `msgpack:"g,omitempty"`
	// Limit is the time left after which a first token is of no use.
	FirstTokenTimeout time.Duration `msgpack:"l"`
	// Deadline is the time left for the whole answer.
	ResponseTimeout time.Duration `msgpack:"d,omitempty"`
	// FailureDomain is where the asker stands.
	FailureDomain string `msgpack:"z,omitempty"`
	// Begun requests have a part of their answer: the engine that gave it is gone.
	Resumed bool `msgpack:"b,omitempty"`
	// Plain requests have no prompt that an engine would read: their servers run them side by side.
	Plain bool `msgpack:"n,omitempty"`
	// Avoid are engines that failed the request or that its gateway can't reach.
	ExcludedEngines []string `msgpack:"a,omitempty"`
}

// Verdict is what is said to an ask.
type Verdict int

// The verdicts.
const (
	Granted Verdict = iota + 1
	Queued
	Refused
	// NoEngine: the request can't be sent to any engine of the group in time, for they fail
	// or its gateway can't reach them. That says nothing of the load.
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

// Answer is the verdict on one ask.
type Decision struct {
	ID      string  `msgpack:"i"`
	Verdict Verdict `msgpack:"v"`
	// Engine is where a granted request is to be sent; empty where nobody decided.
	Engine string `msgpack:"e,omitempty"`
	// FetchFrom is an engine that holds the shared part, if Engine does not.
	FetchFrom string `msgpack:"f,omitempty"`
	// Wait is the expected time until an engine begins to read the prompt, or for an
	// ask that was refused the time after which it is worth asking again.
	Wait time.Duration `msgpack:"w,omitempty"`
	// Read is the expected time from the begin of its reading to the first event.
	ExpectedPrefill time.Duration `msgpack:"r,omitempty"`
	// Backlog are the prompt tokens that were granted or queued and not read yet, in
	// the whole group.
	BacklogTokens int `msgpack:"b,omitempty"`
	// Limited is how many engines take nothing now by the rates that they state, or state one where all do.
	RateLimitedEngines int `msgpack:"l,omitempty"`
}

// Stream is what a gateway saw of the answer to a granted request.
type StreamStats struct {
	// Events is the number of events.
	Events int `msgpack:"n,omitempty"`
	// First is the time from its sending to the first event.
	TimeToFirstEvent time.Duration `msgpack:"-"`
	// Took is the time from the first event to the last.
	Duration time.Duration `msgpack:"t,omitempty"`
	// Longest is the longest pause between two events.
	LongestGap time.Duration `msgpack:"l,omitempty"`
	// Failed says that the engine is to blame for the end.
	EngineFailed bool `msgpack:"f,omitempty"`
}
