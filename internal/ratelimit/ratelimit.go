// Package ratelimit keeps the rates that backend servers take from all gateways together. There is
// no clock and no network here.
//
// Each gateway owns an equal share of each rate. While it hears the gateway that decides for the
// server it lends its share to that one for a short time, and asks it for leave instead; so the whole
// rate is used wherever callers come in. A share is used by one gateway at a time, whoever is cut off
// from whom: what was lent comes back only when the loan has lapsed, and is lent to nobody else before.
package ratelimit

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// surplus is what all shares together are worth of a rate. No gateway uses more than the rate; the
	// surplus makes up for the shares of gateways that are down or just change the one they lend to.
	surplus = 1.25
	// depthFor is the time whose requests may come at once, beside one: callers do not come evenly.
	depthFor = 250 * time.Millisecond
	// leastRate is the rate at which a server is asked whatever it states, in requests a second: one that
	// is asked nothing can't take its limit back.
	leastRate = 0.2
	// shortestLoan is how long a share is lent at least, loanPerGateway how much longer for each gateway:
	// who decides for a server hears each of them several times in a loan.
	shortestLoan   = 2500 * time.Millisecond
	loanPerGateway = 25 * time.Millisecond
	// renewals is how often a loan is renewed in its time, so that a lost renewal costs nothing.
	renewals = 2.5
)

// Budget is what a server takes now.
type Budget struct {
	// Limited is whether the server states a rate; the rest is zero if not.
	Limited bool
	// Wait is the time until the next request may be sent from here.
	Wait time.Duration
	// Rate is what may be sent from here, in requests a second.
	Rate float64
}

// Limiter holds the rates of a gateway. It is safe for concurrent use.
type Limiter struct {
	draw  func() float64 // uniform in [0, 1)
	count atomic.Int32   // of buckets: most days have none

	mu       sync.Mutex
	buckets  map[string]*bucket
	gateways int
}

// bucket is the rate of one start of a server.
type bucket struct {
	rate   float64 // as stated
	tokens float64 // at the time at
	at     time.Time
	// borrowed are the shares of other gateways, with the ends of their loans.
	borrowed map[string]time.Time
	nextEnd  time.Time // no loan ends before
	// lentTo has this gateway's own share until lentUntil.
	lentTo    string
	lentUntil time.Time
}

// New returns the limiter of a gateway that knows no other. Draw is a uniform random number in [0, 1).
func New(draw func() float64) *Limiter {
	return &Limiter{draw: draw, buckets: map[string]*bucket{}, gateways: 1}
}

// Set puts the rate of a server in force. What it got before is not known here: it gets the first
// request within the time of one, drawn so that gateways that hear of the rate together do not all
// send at one time.
func (l *Limiter) SetRate(server string, rate float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[server]
	if b == nil {
		b = &bucket{at: now, tokens: l.draw(), borrowed: map[string]time.Time{}}
		l.buckets[server] = b
		l.count.Store(int32(len(l.buckets)))
	}
	l.refill(b, now)
	b.rate = max(rate, leastRate)
	b.tokens = min(b.tokens, l.depth(b, now))
}

// Remove forgets the rate of a server.
func (l *Limiter) Remove(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.buckets, server)
	l.count.Store(int32(len(l.buckets)))
}

// Limited reports whether a server has a rate.
func (l *Limiter) Limited(server string) bool {
	if l.count.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets[server] != nil
}

// Servers returns the servers that have a rate, in order.
func (l *Limiter) Servers() []string {
	if l.count.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]string, 0, len(l.buckets))
	for server := range l.buckets {
		out = append(out, server)
	}
	slices.Sort(out)
	return out
}

// SetGateways tells among how many gateways, this one included, rates are shared.
func (l *Limiter) SetGateways(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = max(n, 1)
}

// Budget returns what a server takes now.
func (l *Limiter) Budget(server string, now time.Time) Budget {
	if l.count.Load() == 0 {
		return Budget{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[server]
	if b == nil {
		return Budget{}
	}
	l.refill(b, now)
	out := Budget{Limited: true, Rate: l.usable(b, now)}
	switch {
	case b.tokens >= 1:
	case out.Rate == 0:
		out.Wait = longestWait
	default:
		out.Wait = min(longestWait, time.Duration((1-b.tokens)/out.Rate*float64(time.Second))+time.Nanosecond)
	}
	return out
}

// longestWait is told where no share is at hand.
const longestWait = 10 * time.Second

// Take takes leave for one request; false if the server takes none now. A server without a rate
// takes any.
func (l *Limiter) Allow(server string, now time.Time) bool {
	if l.count.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[server]
	if b == nil {
		return true
	}
	l.refill(b, now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// LoanEvery returns the pause between two renewals of a loan.
func (l *Limiter) RenewalInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(l.loan()) / renewals)
}

// Lend lends this gateway's share of a server's rate to another gateway, or renews the loan; false
// while another one has it.
func (l *Limiter) Lend(server, to string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[server]
	if b == nil || (b.lentTo != to && now.Before(b.lentUntil)) {
		return false
	}
	l.refill(b, now)
	b.lentTo, b.lentUntil = to, now.Add(l.loan())
	if l.usable(b, now) == 0 {
		b.tokens = l.draw() // what has grown goes with the share; what grows next begins anew
	}
	return true
}

// Borrow takes in the share that another gateway lends.
func (l *Limiter) Borrow(server, from string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[server]
	if b == nil {
		return
	}
	l.refill(b, now)
	until := now.Add(l.loan())
	b.borrowed[from] = until
	if until.Before(b.nextEnd) {
		b.nextEnd = until
	}
}

// Return gives all that was borrowed back, as when this process has been held up: it can't tell how old
// the words are that it takes in next.
func (l *Limiter) DropBorrowed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		l.refill(b, now)
		clear(b.borrowed)
	}
}

// loan is how long a share is lent.
func (l *Limiter) loan() time.Duration {
	return max(shortestLoan, time.Duration(l.gateways)*loanPerGateway)
}

// usable is the rate that may be sent from here.
func (l *Limiter) usable(b *bucket, now time.Time) float64 {
	shares := l.borrowed(b, now)
	if !now.Before(b.lentUntil) {
		shares++
	}
	return l.worth(b, shares)
}

// borrowed returns the number of shares that others have lent.
func (l *Limiter) borrowed(b *bucket, now time.Time) int {
	if now.Before(b.nextEnd) {
		return len(b.borrowed)
	}
	b.nextEnd = now.Add(l.loan())
	for from, until := range b.borrowed {
		if !now.Before(until) {
			delete(b.borrowed, from)
		} else if until.Before(b.nextEnd) {
			b.nextEnd = until
		}
	}
	return len(b.borrowed)
}

// worth is the rate that so many shares are worth.
func (l *Limiter) worth(b *bucket, shares int) float64 {
	return b.rate * min(1, surplus*float64(shares)/float64(l.gateways))
}

// depth is the number of requests that may be sent at once.
func (l *Limiter) depth(b *bucket, now time.Time) float64 {
	return 1 + l.usable(b, now)*depthFor.Seconds()
}

// refill counts what has become due since the last time, by the shares that were at hand all the
// while: a loan that has ended meanwhile, here or there, counts for nothing.
func (l *Limiter) refill(b *bucket, now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	due := l.usable(b, now)
	if b.lentUntil.After(b.at) {
		due = l.worth(b, l.borrowed(b, now))
	}
	b.at = now
	b.tokens = min(b.tokens+due*elapsed.Seconds(), l.depth(b, now))
}
