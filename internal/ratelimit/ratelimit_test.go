package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const server = "i-1"

func fixedRandom() float64 { return 0.5 }

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// countAllowed returns how many requests are allowed between two times if one arrives at every step.
func countAllowed(l *Limiter, from, to, step time.Duration) (n int) {
	for t := from; t < to; t += step {
		if l.Allow(server, at(t)) {
			n++
		}
	}
	return n
}

func TestServerWithoutRateIsNotLimited(t *testing.T) {
	g := NewWithT(t)
	l := New(fixedRandom)
	g.Expect(l.Budget(server, at(0))).To(Equal(Budget{}))
	g.Expect(countAllowed(l, 0, time.Second, time.Millisecond)).To(Equal(1000))
	l.SetRate(server, 1, at(0))
	g.Expect(l.Limited(server)).To(BeTrue())
	g.Expect(l.Limited("i-2")).To(BeFalse())
	l.Remove(server)
	g.Expect(l.Limited(server)).To(BeFalse())
	g.Expect(l.Servers()).To(BeEmpty())
}

func TestSingleGatewayUsesWholeRate(t *testing.T) {
	for _, rate := range []float64{0.2, 1, 4, 60} {
		g := NewWithT(t)
		l := New(fixedRandom)
		l.SetRate(server, rate, at(0))
		g.Expect(countAllowed(l, 0, 20*time.Second, time.Millisecond)).To(BeNumerically("~", 20*rate, 1+rate*burstWindow.Seconds()))
		b := l.Budget(server, at(20*time.Second))
		g.Expect(b.Rate).To(Equal(rate))
		g.Expect(countAllowed(l, 20*time.Second, 20*time.Second+b.Wait-time.Microsecond, time.Millisecond)).To(BeZero())
		g.Expect(l.Allow(server, at(20*time.Second+b.Wait))).To(BeTrue())
	}
}

// A server that states a rate of zero still receives occasional requests, because it can lift its limit only in
// a response.
func TestServerWithZeroRateStillReceivesRequests(t *testing.T) {
	g := NewWithT(t)
	l := New(fixedRandom)
	l.SetRate(server, 0, at(0))
	g.Expect(countAllowed(l, 0, 100*time.Second, 100*time.Millisecond)).To(BeNumerically("~", 20, 1))
}

func TestShareIsUsedByOneGatewayAtATime(t *testing.T) {
	g := NewWithT(t)
	a, b := New(fixedRandom), New(fixedRandom)
	for _, l := range []*Limiter{a, b} {
		l.SetGateways(4)
		l.SetRate(server, 100, at(0))
	}
	g.Expect(a.Budget(server, at(0)).Rate).To(BeNumerically("~", 100*shareOversubscription/4, 0.01))
	g.Expect(a.Lend(server, "b", at(0))).To(BeTrue())
	b.Borrow(server, "a", at(0))
	g.Expect(a.Budget(server, at(0)).Rate).To(BeZero())
	g.Expect(a.Allow(server, at(time.Second))).To(BeFalse())
	g.Expect(b.Budget(server, at(0)).Rate).To(BeNumerically("~", 100*shareOversubscription/2, 0.01))
	g.Expect(a.Lend(server, "c", at(time.Second))).To(BeFalse(), "b holds the share")
	g.Expect(a.Lend(server, "b", at(time.Second))).To(BeTrue(), "renewed")
	expired := time.Second + minLoanDuration
	g.Expect(a.Budget(server, at(expired)).Rate).To(BeNumerically("~", 100*shareOversubscription/4, 0.01))
	g.Expect(b.Budget(server, at(expired)).Rate).To(BeNumerically("~", 100*shareOversubscription/4, 0.01))
	g.Expect(a.Lend(server, "c", at(expired))).To(BeTrue())
	b.Borrow(server, "a", at(expired))
	b.DropBorrowed(at(expired))
	g.Expect(b.Budget(server, at(expired)).Rate).To(BeNumerically("~", 100*shareOversubscription/4, 0.01))
}

func TestChangedRateAppliesImmediately(t *testing.T) {
	g := NewWithT(t)
	l := New(fixedRandom)
	l.SetRate(server, 60, at(0))
	l.SetRate(server, 1, at(10*time.Second)) // tokens accumulated at the higher rate are discarded
	g.Expect(countAllowed(l, 10*time.Second, 14*time.Second, time.Millisecond)).To(BeNumerically("<=", 5))
	l.SetRate(server, 60, at(14*time.Second))
	g.Expect(countAllowed(l, 14*time.Second, 18*time.Second, time.Millisecond)).To(BeNumerically(">=", 230))
}

// simulation simulates gateways that share the rate of one server during partitions, stalls and restarts.
// Time advances in steps.
type simulation struct {
	rng         *rand.Rand
	now         time.Duration
	rate        float64
	gateways    []*gateway
	partitioned [][]bool        // whether datagrams are dropped, by sender and receiver
	sent        []time.Duration // when the server received requests
	inFlight    []datagram
}

// gateway is a simulated gateway.
type gateway struct {
	limiter      *Limiter
	stalledUntil time.Duration // it processes nothing until then
	// lastReceivedAt is the time of the last datagram from each gateway.
	lastReceivedAt []time.Duration
	lastRenewalAt  time.Duration
	backlog        []datagram // received while stalled
}

// datagram is a simulated message: a loan or a heartbeat.
type datagram struct {
	from, to  int
	loan      bool // or else a heartbeat
	arrivesAt time.Duration
}

const (
	stepDuration = 20 * time.Millisecond
	networkDelay = 5 * time.Millisecond
	// failureTimeout is the time without a datagram after which a gateway counts as unreachable.
	failureTimeout = 3 * time.Second
)

func newSimulation(seed uint64, gateways int, rate float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), rate: rate}
	for range gateways {
		s.gateways = append(s.gateways, &gateway{lastReceivedAt: make([]time.Duration, gateways)})
		s.partitioned = append(s.partitioned, make([]bool, gateways))
	}
	for i := range s.gateways {
		s.restart(i)
	}
	return s
}

// restart replaces a gateway by a new one that knows the rate and counts all others as reachable.
func (s *simulation) restart(i int) {
	g := s.gateways[i]
	g.limiter = New(s.rng.Float64)
	g.limiter.SetGateways(len(s.gateways))
	g.limiter.SetRate(server, s.rate, at(s.now))
	for j := range g.lastReceivedAt {
		g.lastReceivedAt[j] = s.now
	}
	g.backlog = nil
}

// schedulerOf returns the gateway that schedules the requests in the view of a gateway: the first that it counts
// as reachable.
func (s *simulation) schedulerOf(i int) int {
	for j := range s.gateways {
		if j == i || s.now-s.gateways[i].lastReceivedAt[j] <= failureTimeout {
			return j
		}
	}
	return i
}

// send sends a datagram, of which 2% are lost.
func (s *simulation) send(from, to int, loan bool) {
	if !s.partitioned[from][to] && s.rng.Float64() > 0.02 {
		s.inFlight = append(s.inFlight, datagram{from, to, loan, s.now + networkDelay})
	}
}

func (s *simulation) deliver(d datagram) {
	g := s.gateways[d.to]
	g.lastReceivedAt[d.from] = s.now
	if d.loan {
		g.limiter.Borrow(server, fmt.Sprint(d.from), at(s.now))
	}
}

// step simulates one time step with the given number of requests, each at a random gateway.
func (s *simulation) step(requests int) {
	s.now += stepDuration
	s.inFlight = slices.DeleteFunc(s.inFlight, func(d datagram) bool {
		if d.arrivesAt > s.now {
			return false
		}
		if g := s.gateways[d.to]; s.now < g.stalledUntil {
			g.backlog = append(g.backlog, d)
		} else {
			s.deliver(d)
		}
		return true
	})
	for i, g := range s.gateways {
		switch {
		case s.now < g.stalledUntil:
			continue
		case s.now-g.stalledUntil < stepDuration && g.stalledUntil > 0: // it has resumed
			for _, d := range g.backlog {
				s.deliver(d)
			}
			g.backlog = nil
			g.limiter.DropBorrowed(at(s.now))
		}
		if s.now-g.lastRenewalAt >= g.limiter.RenewalInterval() {
			g.lastRenewalAt = s.now
			for j := range s.gateways {
				if j != i {
					s.send(i, j, false)
				}
			}
			if scheduler := s.schedulerOf(i); scheduler != i && g.limiter.Lend(server, fmt.Sprint(scheduler), at(s.now)) {
				s.send(i, scheduler, true)
			}
		}
	}
	for range requests {
		s.request(s.rng.IntN(len(s.gateways)))
	}
}

// request sends a request through a gateway, which requests a permit from the gateway that schedules the requests or, if
// that does not respond, uses its own share.
func (s *simulation) request(i int) {
	if s.now < s.gateways[i].stalledUntil {
		return
	}
	scheduler := s.schedulerOf(i)
	g := s.gateways[scheduler]
	if scheduler != i && (s.partitioned[i][scheduler] || s.partitioned[scheduler][i] || s.now < g.stalledUntil) {
		g = s.gateways[i]
	}
	if g.limiter.Allow(server, at(s.now)) {
		s.sent = append(s.sent, s.now)
	}
}

// injectFault injects one random fault.
func (s *simulation) injectFault() {
	i, j := s.rng.IntN(len(s.gateways)), s.rng.IntN(len(s.gateways))
	switch s.rng.IntN(6) {
	case 0:
		s.partitioned[i][j] = true // in one direction
	case 1:
		s.partitioned[i][j], s.partitioned[j][i] = true, true
	case 2: // two partitions
		for a := range s.gateways {
			for b := range s.gateways {
				s.partitioned[a][b] = (a <= i) != (b <= i)
			}
		}
	case 3:
		for a := range s.gateways {
			clear(s.partitioned[a])
		}
	case 4:
		s.gateways[i].stalledUntil = s.now + time.Duration(s.rng.IntN(6000))*time.Millisecond
	case 5:
		s.restart(i)
	}
}

// maxSent returns the largest number of requests that were sent within any 4 s that begin after a time.
func (s *simulation) maxSent(from time.Duration) int {
	maxCount := 0
	for i, begin := range s.sent {
		n := 0
		for _, t := range s.sent[i:] {
			if t-begin > 4*time.Second {
				break
			}
			n++
		}
		if begin >= from {
			maxCount = max(maxCount, n)
		}
	}
	return maxCount
}

// For any partitions, stalls and restarts, a server receives at most 1.5 times its rate limit plus five requests
// within any 4 s. Without faults it receives at least 0.7 times the requests that its limit allows.
func TestRateLimitHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.2, 1, 4, 60}).Draw(t, "rate")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "gateways"), rate)
		requests := rapid.IntRange(1, 4).Draw(t, "requests per step")
		faultInterval := rapid.IntRange(20, 400).Draw(t, "steps between faults")
		for i := range 3000 {
			if i%faultInterval == faultInterval-1 {
				s.injectFault()
			}
			s.step(requests)
		}
		if n, allowed := s.maxSent(3*time.Second), 1.5*rate*4+5; float64(n) > allowed {
			t.Fatalf("%d requests sent within 4 s, at most %v allowed", n, allowed)
		}
		for a := range s.gateways {
			clear(s.partitioned[a])
			s.gateways[a].stalledUntil = 0
		}
		for range 500 {
			s.step(requests)
		}
		before := len(s.sent)
		const faultFreeSteps = 1000
		for range faultFreeSteps {
			s.step(requests)
		}
		seconds := faultFreeSteps * stepDuration.Seconds()
		possible := min(rate, float64(requests)/stepDuration.Seconds()) * seconds
		if used := float64(len(s.sent) - before); used < 0.7*possible-1 {
			t.Fatalf("%v of %v possible requests sent without faults", used, possible)
		}
	})
}
