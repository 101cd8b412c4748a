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

// countAllowed returns how many requests are allowed if one arrives at every step of an interval.
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

// A server that accepts nothing still gets occasional requests, as it could not lift its limit otherwise.
func TestServerWithZeroRateStillGetsRequests(t *testing.T) {
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
	lapsed := time.Second + minLoanDuration
	g.Expect(a.Budget(server, at(lapsed)).Rate).To(BeNumerically("~", 100*shareOversubscription/4, 0.01))
	g.Expect(b.Budget(server, at(lapsed)).Rate).To(BeNumerically("~", 100*shareOversubscription/4, 0.01))
	g.Expect(a.Lend(server, "c", at(lapsed))).To(BeTrue())
	b.Borrow(server, "a", at(lapsed))
	b.DropBorrowed(at(lapsed))
	g.Expect(b.Budget(server, at(lapsed)).Rate).To(BeNumerically("~", 100*shareOversubscription/4, 0.01))
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

// simulation consists of gateways that share the rate of one server during partitions, stalls and
// restarts. Time advances in steps.
type simulation struct {
	rng         *rand.Rand
	now         time.Duration
	rate        float64
	gateways    []*gateway
	partitioned [][]bool // by sender and receiver
	sent        []time.Duration
	inFlight    []datagram
}

// gateway is a simulated gateway.
type gateway struct {
	limiter      *Limiter
	stalledUntil time.Duration // it does nothing until then
	// lastHeard is the time of the last datagram from each other gateway.
	lastReceivedAt []time.Duration
	lastRenewalAt  time.Duration
	backlog        []datagram // received while stalled
}

// datagram is a loan or a heartbeat.
type datagram struct {
	from, to  int
	loan      bool // heartbeat otherwise
	arrivesAt time.Duration
}

const (
	stepDuration = 20 * time.Millisecond
	networkDelay = 5 * time.Millisecond
	// failureTimeout is the time without a datagram after which a gateway counts as failed.
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

// restart replaces a gateway by a new one that knows the rate.
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

// home returns the scheduling gateway from a gateway's point of view: the first that it has heard from.
func (s *simulation) schedulerOf(i int) int {
	for j := range s.gateways {
		if j == i || s.now-s.gateways[i].lastReceivedAt[j] <= failureTimeout {
			return j
		}
	}
	return i
}

func (s *simulation) send(from, to int, loan bool) {
	if !s.partitioned[from][to] && s.rng.Float64() > 0.02 {
		s.inFlight = append(s.inFlight, datagram{from, to, loan, s.now + networkDelay})
	}
}

func (s *simulation) deliver(l datagram) {
	g := s.gateways[l.to]
	g.lastReceivedAt[l.from] = s.now
	if l.loan {
		g.limiter.Borrow(server, fmt.Sprint(l.from), at(s.now))
	}
}

// advance runs one step with the given number of requests, each at a random gateway.
func (s *simulation) step(requests int) {
	s.now += stepDuration
	s.inFlight = slices.DeleteFunc(s.inFlight, func(l datagram) bool {
		if l.arrivesAt > s.now {
			return false
		}
		if g := s.gateways[l.to]; s.now < g.stalledUntil {
			g.backlog = append(g.backlog, l)
		} else {
			s.deliver(l)
		}
		return true
	})
	for i, g := range s.gateways {
		switch {
		case s.now < g.stalledUntil:
			continue
		case s.now-g.stalledUntil < stepDuration && g.stalledUntil > 0: // it resumes
			for _, l := range g.backlog {
				s.deliver(l)
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
			if home := s.schedulerOf(i); home != i && g.limiter.Lend(server, fmt.Sprint(home), at(s.now)) {
				s.send(i, home, true)
			}
		}
	}
	for range requests {
		s.request(s.rng.IntN(len(s.gateways)))
	}
}

// request sends a request through a gateway, which asks the scheduling gateway or, if that does not
// respond, uses its own share.
func (s *simulation) request(i int) {
	if s.now < s.gateways[i].stalledUntil {
		return
	}
	home := s.schedulerOf(i)
	g := s.gateways[home]
	if home != i && (s.partitioned[i][home] || s.partitioned[home][i] || s.now < g.stalledUntil) {
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

// maxSent returns the largest number of requests that were sent within 4 s.
func (s *simulation) maxSent(from time.Duration) int {
	most := 0
	for i, begin := range s.sent {
		n := 0
		for _, t := range s.sent[i:] {
			if t-begin > 4*time.Second {
				break
			}
			n++
		}
		if begin >= from {
			most = max(most, n)
		}
	}
	return most
}

// For any partitions, stalls and restarts a server gets at most 1.5 times its limit plus five requests
// within any 4 s. Without faults it gets at least 0.7 times its limit.
func TestRateLimitHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.2, 1, 4, 60}).Draw(t, "rate")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "gateways"), rate)
		requests := rapid.IntRange(1, 4).Draw(t, "requests in a step")
		every := rapid.IntRange(20, 400).Draw(t, "steps between disturbances")
		for i := range 3000 {
			if i%every == every-1 {
				s.injectFault()
			}
			s.step(requests)
		}
		if n, allowed := s.maxSent(3*time.Second), 1.5*rate*4+5; float64(n) > allowed {
			t.Fatalf("%d requests sent in 4 s, allowed %v", n, allowed)
		}
		for a := range s.gateways {
			clear(s.partitioned[a])
			s.gateways[a].stalledUntil = 0
		}
		for range 500 {
			s.step(requests)
		}
		before := len(s.sent)
		const calm = 1000
		for range calm {
			s.step(requests)
		}
		seconds := calm * stepDuration.Seconds()
		possible := min(rate, float64(requests)/stepDuration.Seconds()) * seconds
		if used := float64(len(s.sent) - before); used < 0.7*possible-1 {
			t.Fatalf("%v of %v possible requests sent", used, possible)
		}
	})
}
