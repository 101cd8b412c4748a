// Package ratelimit enforces the request rates that backend servers accept from all gateways together. It
// uses no clock and no network: callers pass the current time and exchange the loans with other gateways.
//
// Each gateway owns an equal share of each rate. While it can reach the gateway that schedules requests
// for the server, it lends its share to that gateway for a short time and requests permits from it, so
// that the whole rate can be used regardless of which gateways callers connect to. Only one gateway uses
// a share at a time, even during network partitions: the owner neither uses a lent share nor lends it to
// another gateway before the loan has expired.
package ratelimit

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shareOversubscription is the sum of all shares relative to the rate. The surplus replaces the
	// shares of gateways that are down or are changing their borrower. No gateway uses more than
	// the rate.
	shareOversubscription = 1.25
	// burstWindow limits bursts: the requests that the rate allows in this time may be sent at once,
	// in addition to one request. It allows for requests that do not arrive evenly.
	burstWindow = 250 * time.Millisecond
	// minRate is the lower bound of any rate, in requests per second: a server that receives no
	// requests sends no response in which it could lift its limit.
	minRate = 0.2
	// minLoanDuration is the minimum duration of a loan. With many gateways a loan lasts
	// loanDurationPerGateway for each of them, because the borrower must receive several renewals from
	// each gateway during a loan.
	minLoanDuration        = 2500 * time.Millisecond
	loanDurationPerGateway = 25 * time.Millisecond
	// renewalsPerLoan is the number of renewals within the duration of a loan. It allows for the loss
	// of a single renewal.
	renewalsPerLoan = 2.5
)

// Budget describes which requests a server accepts from this gateway at a given time.
type Budget struct {
	// Limited reports whether the server states a rate. If not, the other fields are zero.
	Limited bool
	// Wait is the time until this gateway may send the next request.
	Wait time.Duration
	// Rate is the rate that this gateway may use, in requests per second.
	Rate float64
}

// Limiter holds the rate limits known to a gateway. It is safe for concurrent use.
type Limiter struct {
	random      func() float64 // uniform in [0, 1)
	bucketCount atomic.Int32   // len(buckets); calls skip the lock while it is 0

	mu       sync.Mutex
	buckets  map[string]*bucket
	gateways int
}

// bucket is the token bucket of one server process.
type bucket struct {
	rate       float64 // in requests per second, as stated by the server but at least minRate
	tokens     float64 // at refilledAt
	refilledAt time.Time
	// borrowedUntil maps each gateway that has lent its share to the expiry of the loan.
	borrowedUntil  map[string]time.Time
	nextLoanExpiry time.Time // no borrowed share expires earlier
	// borrower is the gateway that holds this gateway's share until lentUntil.
	borrower  string
	lentUntil time.Time
}

// New returns a limiter for a single gateway; see SetGateways. random returns uniformly distributed numbers
// in [0, 1).
func New(random func() float64) *Limiter {
	return &Limiter{random: random, buckets: map[string]*bucket{}, gateways: 1}
}

// SetRate sets the rate of a server. The number of requests that the server has received before is
// unknown, so the first request is allowed after a random fraction of the time between two requests. This
// prevents gateways that learn of the rate at the same time from all sending at once.
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

// Remove removes the rate limit of a server.
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

// Budget returns which requests a server accepts from this gateway now.
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
	budget := Budget{Limited: true, Rate: l.usableRate(b, now)}
	switch {
	case b.tokens >= 1:
	case budget.Rate == 0:
		budget.Wait = maxWait
	default:
		budget.Wait = min(maxWait, time.Duration((1-b.tokens)/budget.Rate*float64(time.Second))+time.Nanosecond)
	}
	return budget
}

// maxWait is the upper bound of Budget.Wait, and its value if this gateway has no share at all.
const maxWait = 10 * time.Second

// Allow reports whether a request may be sent now, and consumes a token if so. Requests to servers without a
// rate are always allowed.
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

// RenewalInterval returns the interval at which loans must be renewed.
func (l *Limiter) RenewalInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(float64(l.loanDuration()) / renewalsPerLoan)
}

// Lend lends this gateway's share of a server's rate to another gateway, or renews the loan. It returns
// false if the server has no rate or a different gateway holds the share.
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
		b.tokens = l.random() // the accumulated tokens are discarded with the share; the bucket is initialized as in SetRate
	}
	return true
}

// Borrow adds or renews the share that another gateway lends.
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

// DropBorrowed discards all borrowed shares. It must be called after a stall of this process, because the
// age of the messages that it receives next is unknown.
func (l *Limiter) DropBorrowed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		l.refill(b, now)
		clear(b.borrowedUntil)
	}
}

// loanDuration returns the duration of a loan from its last renewal.
func (l *Limiter) loanDuration() time.Duration {
	return max(minLoanDuration, time.Duration(l.gateways)*loanDurationPerGateway)
}

// usableRate returns the rate that this gateway may use now, with its own share unless it is lent.
func (l *Limiter) usableRate(b *bucket, now time.Time) float64 {
	shares := l.borrowedShares(b, now)
	if !now.Before(b.lentUntil) {
		shares++
	}
	return l.shareRate(b, shares)
}

// borrowedShares returns the number of shares that other gateways have lent, and removes expired ones.
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

// shareRate returns the rate of the given number of shares, at most the whole rate.
func (l *Limiter) shareRate(b *bucket, shares int) float64 {
	return b.rate * min(1, shareOversubscription*float64(shares)/float64(l.gateways))
}

// burst returns the capacity of the bucket: the number of requests that may be sent at once.
func (l *Limiter) burst(b *bucket, now time.Time) float64 {
	return 1 + l.usableRate(b, now)*burstWindow.Seconds()
}

// refill adds the tokens accumulated since the last call. Only shares that were held for the whole time
// count: the shares of loans that have expired meanwhile, in either direction, add nothing.
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
