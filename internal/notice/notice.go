// Package notice tracks notices: statements of backend servers about themselves in the headers of
// their responses. A notice says that a server is draining, which rate of requests it accepts, or for
// how long it wants none. The package uses no clock and no network.
package notice

import (
	"slices"
	"time"
)

// Kind is a kind of notice.
type Kind string

const (
	Draining  Kind = "draining"   // the server accepts no new work and terminates soon
	RateLimit Kind = "rate_limit" // the request rate that the server accepts from all gateways together
	Backoff   Kind = "backoff"    // the time for which the server wants no requests from the gateway that it responded to
)

// Statement holds the notices of one response.
type ResponseNotices struct {
	Draining bool `json:"draining,omitempty"`
	// Limited reports whether a rate limit is stated; Limit is the limit in requests per second.
	Limited bool    `json:"limited,omitempty"`
	Limit   float64 `json:"limit,omitempty"`
	// Backoff is the time for which the server wants no requests, or 0 if none is stated.
	Backoff time.Duration `json:"backoff,omitempty"`
	// Unreadable are the kinds of notices that could not be parsed. Earlier notices of these kinds stay in force.
	Malformed []Kind `json:"unreadable,omitempty"`
}

// Empty reports whether the response has no notices, not even unreadable ones.
func (s ResponseNotices) Empty() bool {
	return !s.Draining && !s.Limited && s.Backoff == 0 && len(s.Malformed) == 0
}

// Kinds returns the kinds of the readable notices.
func (s ResponseNotices) Kinds() []Kind {
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

// unreadable reports whether the response has a notice of a kind that could not be parsed.
func (s ResponseNotices) isMalformed(kind Kind) bool { return slices.Contains(s.Malformed, kind) }

// MaxLimit is the highest valid rate limit in requests per second. A backend server runs tens to
// hundreds of requests at once.
const MaxRateLimit = 1e6

// MaxBackoff is the longest valid backoff. A server that wants no requests for longer should be removed
// from the list.
const MaxBackoff = time.Hour
