// Package notice knows what backend servers say of themselves in the heads of their answers: that
// they drain, at what rate they take requests, and for how long they want none. There is no clock
// and no network here.
package notice

import (
	"slices"
	"time"
)

// Kind names a notice.
type Kind string

// The kinds.
const (
	Draining  Kind = "draining"   // the server takes no new work and ends soon
	RateLimit Kind = "rate_limit" // the rate that the server takes from all gateways together
	Backoff   Kind = "backoff"    // how long the server wants nothing from the gateway that it answered
)

// Said is what one answer says of its server.
type Statement struct {
	Draining bool `json:"draining,omitempty"`
	// Limited is whether a rate limit is stated, Limit its requests a second.
	Limited bool    `json:"limited,omitempty"`
	Limit   float64 `json:"limit,omitempty"`
	// Backoff is how long the server wants nothing, 0 if it does not say so.
	Backoff time.Duration `json:"backoff,omitempty"`
	// Unreadable are notices that could not be read. What was known of them stands.
	Unreadable []Kind `json:"unreadable,omitempty"`
}

// Silent reports whether the answer says nothing of its server.
func (s Statement) Empty() bool {
	return !s.Draining && !s.Limited && s.Backoff == 0 && len(s.Unreadable) == 0
}

// Kinds returns the kinds of notices that the answer gives.
func (s Statement) Kinds() []Kind {
	var out []Kind
	if s.Draining {
		out = append(out, Draining)
	}
	if s.Limited {
		out = append(out, RateLimit)
	}
	if s.Backoff > 0 {
		out = append(out, Backoff)
	}
	return out
}

// unreadable reports whether a notice was given that could not be read.
func (s Statement) unreadable(kind Kind) bool { return slices.Contains(s.Unreadable, kind) }

// MaxLimit bounds the rates that are taken for one, in requests a second: a backend server runs some
// ten or hundred requests at once.
const MaxLimit = 1e6

// MaxBackoff bounds the times that are taken for one: who wants nothing for longer is better taken
// off the list.
const MaxBackoff = time.Hour
