// Package slowstart limits the requests that are sent to a backend server after a pause until the server has
// responded to one of them. Requests that waited for the end of the pause would otherwise all be sent at once,
// before the first response shows whether the server limits its rate or refuses requests. The package uses no
// clock: callers pass the current time.
package slowstart

import "time"

// DoublingTime is the time without a response after which twice as many requests may be sent. A server that
// takes long to respond is thus used fully after a few seconds.
const DoublingTime = 250 * time.Millisecond

// maxDoublings limits the number of requests to 1<<maxDoublings, more than a server runs at once.
const maxDoublings = 16

// Ramp counts the requests that were sent to a server since the end of a pause. The zero value permits one
// request. It is not safe for concurrent use.
type Ramp struct {
	firstAt time.Time
	sent    int
}

// Wait returns the time until the next request may be sent if the server does not respond before, or 0 if one
// may be sent now.
func (r *Ramp) Wait(now time.Time) time.Duration {
	if r.sent == 0 {
		return 0
	}
	doublings := 0
	for r.sent >= 1<<doublings && doublings < maxDoublings {
		doublings++
	}
	return max(r.firstAt.Add(time.Duration(doublings)*DoublingTime).Sub(now), 0)
}

// Add counts a request that is sent now.
func (r *Ramp) Add(now time.Time) {
	if r.sent == 0 {
		r.firstAt = now
	}
	r.sent++
}

// End records that a request which was sent at sentAt has been answered or will not be answered. The ramp then starts
// again with one request. Requests that were sent before the ramp began have no effect.
func (r *Ramp) End(sentAt time.Time) {
	if !sentAt.Before(r.firstAt) {
		*r = Ramp{}
	}
}
