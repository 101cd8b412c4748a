// Package ratelimit enforces the request rates that backend servers accept from all gateways together.
// It uses no clock and no network.
//
// Each gateway owns an equal share of each rate. While it can reach the gateway that schedules requests
// for the server, it lends its share to that gateway for a short time and requests permits from it, so
// that the whole rate can be used regardless of where callers connect. A share is used by one gateway
// at a time, even during network partitions: a lent share returns only when the loan has expired, and is
// not lent to another gateway before.
package ratelimit

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shareSurplus is the sum of all shares relative to the rate. No gateway uses more than the rate;
	// the surplus makes up for the shares of gateways that are down or are changing their borrower.
	shareOversubscription = 1.25
	// burstWindow is the time whose requests may be sent at once, in addition to one request, as
	// requests do not arrive evenly.
	burstWindow = 250 * time.Millisecond
	// minRate is the lower bound of any stated rate, in requests a second: a server that gets no
	// requests has no response in which to lift its limit.
	minRate = 0.2
	// minLoan is the minimum duration of a loan, extended by loanPerGateway for each gateway: the
	// borrower must hear from each gateway several times during a loan.
	minLoanDuration        = 2500 * time.Millisecond
	loanDurationPerGateway = 25 * time.Millisecond
	// renewalsPerLoan is how often a loan is renewed during its time, so that a lost renewal has no
	// effect.
	renewalsPerLoan = 2.5
)

// Budget is what a server accepts now.
type Budget struct {
	// Limited reports whether the server states a rate; the other fields are zero if not.
	Limited bool
	// Wait is the time until this gateway may send the next request.
	Wait time.Duration
	// Rate is the rate that this gateway may use, in requests a second.
	Rate float64
}

// Limiter holds the rate limits known to a gateway. It is safe for concurrent use.
type Limiter struct {
	random      func() float64 // uniform in [0, 1)
	bucketCount atomic.Int32   // lets calls skip the lock while no server states a rate

	mu       sync.Mutex
	buckets  map[string]*bucket
	gateways int
}

// bucket is the token bucket of one run of a server.
type bucket struct {
	rate       float64 // as stated by the server
	tokens     float64 // at refilledAt
	refilledAt time.Time
	// borrowed maps other gateways that have lent their share to the expiry of the loan.
	borrowedUntil  map[string]time.Time
	nextLoanExpiry time.Time // no loan expires earlier
	// borrower holds this gateway's own share until lentUntil.
	borrower  string
	lentUntil time.Time
}

// New returns the limiter of a gateway without peers. random returns uniform numbers in [0, 1).
func New(random func() float64) *Limiter {
	return &Limiter{random: random, buckets: map[string]*bucket{}, gateways: 1}
}

// SetRate sets the rate of a server. The requests that the server received earlier are unknown, so the
// first request is allowed after a random part of the time for one; this keeps gateways that learn of
// the rate together from all sending at once.
func (l *Limiter) SetRate(server string, rate float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[server]
	if b == nil {
		b = &bucket{refilledAt: now, tokens: l.random(), borrowedUntil: map[string]time.Time{}}
		l.buckets[server] = b
		l.bucketCount.Store(int32(len(l.buckets)))
	}
	l.refill(b, now)
	b.rate = max(rate, minRate)
	b.tokens = min(b.tokens, l.burst(b, now))
}

// Remove removes the rate of a server.
func (l *Limiter) Remove(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.buckets, server)
	l.bucketCount.Store(int32(len(l.buckets)))
}

// Limited reports whether a server has a rate.
func (l *Limiter) Limited(server string) bool {
	if l.bucketCount.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets[server] != nil
}

// Servers returns the servers that have a rate, sorted.
func (l *Limiter) Servers() []string {
	if l.bucketCount.Load() == 0 {
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

// SetGateways sets the number of gateways, including this one, that share the rates.
func (l *Limiter) SetGateways(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = max(n, 1)
}

// Budget returns what a server accepts now.
func (l *Limiter) Budget(server string, now time.Time) Budget {
	if l.bucketCount.Load() == 0 {
		return Budget{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[server]
	if b == nil {
		return Budget{}
	}
	l.refill(b, now)
	out := Budget{Limited: true, Rate: l.usableRate(b, now)}
	switch {
	case b.tokens >= 1:
	case out.Rate == 0:
		out.Wait = maxWait
	default:
		out.Wait = min(maxWait, time.Duration((1-b.tokens)/out.Rate*float64(time.Second))+time.Nanosecond)
	}
	return out
}

// maxWait is the longest wait returned, also if this gateway has no share at all.
const maxWait = 10 * time.Second

// Allow consumes a token for one request and reports whether it may be sent now. Requests to servers
// without a rate are always allowed.
func (l *Limiter) Allow(server string, now time.Time) bool {
	if l.bucketCount.Load() == 0 {
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

// RenewalInterval returns the time between two renewals of a loan.
func (l *Limiter) RenewalInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(l.loanDuration()) / renewalsPerLoan)
}

// Lend lends this gateway's share of a server's rate to another gateway, or renews the loan. It
// returns false while a different gateway holds the share.
func (l *Limiter) Lend(server, to string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[server]
	if b == nil || (b.borrower != to && now.Before(b.lentUntil)) {
		return false
	}
	l.refill(b, now)
	b.borrower, b.lentUntil = to, now.Add(l.loanDuration())
	if l.usableRate(b, now) == 0 {
		b.tokens = l.random() // accumulated tokens go with the share; start again without them
	}
	return true
}

// Borrow adds the share that another gateway lends.
func (l *Limiter) Borrow(server, from string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[server]
	if b == nil {
		return
	}
	l.refill(b, now)
	until := now.Add(l.loanDuration())
	b.borrowedUntil[from] = until
	if until.Before(b.nextLoanExpiry) {
		b.nextLoanExpiry = until
	}
}

// DropBorrowed discards all borrowed shares. It is called after this process was stalled, when it can't
// tell how old the messages are that it receives next.
func (l *Limiter) DropBorrowed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		l.refill(b, now)
		clear(b.borrowedUntil)
	}
}

// loanDuration returns how long a share is lent.
func (l *Limiter) loanDuration() time.Duration {
	return max(minLoanDuration, time.Duration(l.gateways)*loanDurationPerGateway)
}

// usableRate returns the rate that this gateway may use.
func (l *Limiter) usableRate(b *bucket, now time.Time) float64 {
	shares := l.borrowedShares(b, now)
	if !now.Before(b.lentUntil) {
		shares++
	}
	return l.shareRate(b, shares)
}

// borrowedShares returns the number of shares that other gateways have lent.
func (l *Limiter) borrowedShares(b *bucket, now time.Time) int {
	if now.Before(b.nextLoanExpiry) {
		return len(b.borrowedUntil)
	}
	b.nextLoanExpiry = now.Add(l.loanDuration())
	for from, until := range b.borrowedUntil {
		if !now.Before(until) {
			delete(b.borrowedUntil, from)
		} else if until.Before(b.nextLoanExpiry) {
			b.nextLoanExpiry = until
		}
	}
	return len(b.borrowedUntil)
}

// shareRate returns the rate of the given number of shares.
func (l *Limiter) shareRate(b *bucket, shares int) float64 {
	return b.rate * min(1, shareOversubscription*float64(shares)/float64(l.gateways))
}

// burst returns the number of requests that may be sent at once.
func (l *Limiter) burst(b *bucket, now time.Time) float64 {
	return 1 + l.usableRate(b, now)*burstWindow.Seconds()
}

// refill adds the tokens accumulated since the last call. Only shares that were held for the whole time
// count: a loan that has expired meanwhile, in either direction, adds nothing.
func (l *Limiter) refill(b *bucket, now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	rate := l.usableRate(b, now)
	if b.lentUntil.After(b.refilledAt) {
		rate = l.shareRate(b, l.borrowedShares(b, now))
	}
	b.refilledAt = now
	b.tokens = min(b.tokens+rate*elapsed.Seconds(), l.burst(b, now))
}
