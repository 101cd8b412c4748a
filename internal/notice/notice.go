// Package notice tracks the notices that backend servers send in the headers of their responses: that
// a server is draining, limits the rate of requests, or asks the gateway to back off. The package uses
// no clock and no network: callers pass the current time and exchange the reports with other gateways.
package notice

import (
	"slices"
	"time"
)

// Kind is a kind of notice.
type Kind string

const (
	Draining  Kind = "draining"   // the server accepts no new requests and terminates soon
	RateLimit Kind = "rate_limit" // the server accepts a limited rate of requests from all gateways together
	Backoff   Kind = "backoff"    // the server temporarily accepts no requests from the gateway that receives the response
)

// ResponseNotices are the notices in one response.
type ResponseNotices struct {
	Draining bool `json:"draining,omitempty"`
	// Limited reports whether there is a rate limit; Limit is the limit in requests per second.
	Limited bool    `json:"limited,omitempty"`
	Limit   float64 `json:"limit,omitempty"`
	// Backoff is the time for which the server accepts no requests, or 0 if the response has no backoff.
	Backoff time.Duration `json:"backoff,omitempty"`
	// Malformed contains the kinds of malformed notices. Earlier notices of these kinds stay in force.
	Malformed []Kind `json:"unreadable,omitempty"`
}

// Empty reports whether the response has no notices, not even malformed ones.
func (n ResponseNotices) Empty() bool {
	return !n.Draining && !n.Limited && n.Backoff == 0 && len(n.Malformed) == 0
}

// Kinds returns the kinds of the well-formed notices.
func (n ResponseNotices) Kinds() []Kind {
	var out []Kind
	if n.Draining {
		out = append(out, Draining)
	}
	if n.Limited {
		out = append(out, RateLimit)
	}
	if n.Backoff > 0 {
		out = append(out, Backoff)
	}
	return out
}

// isMalformed reports whether the response has a malformed notice of a kind.
func (n ResponseNotices) isMalformed(kind Kind) bool { return slices.Contains(n.Malformed, kind) }

// MaxRateLimit is the highest valid rate limit in requests per second. It is far above the capacity of a
// backend server, which runs tens to hundreds of requests at once.
const MaxRateLimit = 1e6

// MaxBackoff is the longest valid backoff. A server that accepts no requests for longer should be removed
// from the server list.
const MaxBackoff = time.Hour
