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

func half() float64 { return 0.5 }

func at(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

// taken is how many requests are sent of those that come every step from one time to another.
func taken(l *Limiter, from, to, step time.Duration) (n int) {
	for t := from; t < to; t += step {
		if l.Allow(server, at(t)) {
			n++
		}
	}
	return n
}

func TestAServerWithoutARateTakesAny(t *testing.T) {
	g := NewWithT(t)
	l := New(half)
	g.Expect(l.Budget(server, at(0))).To(Equal(Budget{}))
	g.Expect(taken(l, 0, time.Second, time.Millisecond)).To(Equal(1000))
	l.SetRate(server, 1, at(0))
	g.Expect(l.Limited(server)).To(BeTrue())
	g.Expect(l.Limited("i-2")).To(BeFalse())
	l.Remove(server)
	g.Expect(l.Limited(server)).To(BeFalse())
	g.Expect(l.Servers()).To(BeEmpty())
}

func TestAGatewayAloneUsesTheWholeRate(t *testing.T) {
	for _, rate := range []float64{0.2, 1, 4, 60} {
		g := NewWithT(t)
		l := New(half)
		l.SetRate(server, rate, at(0))
		g.Expect(taken(l, 0, 20*time.Second, time.Millisecond)).To(BeNumerically("~", 20*rate, 1+rate*depthFor.Seconds()))
		b := l.Budget(server, at(20*time.Second))
		g.Expect(b.Rate).To(Equal(rate))
		g.Expect(taken(l, 20*time.Second, 20*time.Second+b.Wait-time.Microsecond, time.Millisecond)).To(BeZero())
		g.Expect(l.Allow(server, at(20*time.Second+b.Wait))).To(BeTrue())
	}
}

// A server that takes nothing is asked now and then: it could not take that back otherwise.
func TestAServerThatTakesNothingIsStillAsked(t *testing.T) {
	g := NewWithT(t)
	l := New(half)
	l.SetRate(server, 0, at(0))
	g.Expect(taken(l, 0, 100*time.Second, 100*time.Millisecond)).To(BeNumerically("~", 20, 1))
}

func TestAShareIsUsedByOneGatewayAtATime(t *testing.T) {
	g := NewWithT(t)
	a, b := New(half), New(half)
	for _, l := range []*Limiter{a, b} {
		l.SetGateways(4)
		l.SetRate(server, 100, at(0))
	}
	g.Expect(a.Budget(server, at(0)).Rate).To(BeNumerically("~", 100*surplus/4, 0.01))
	g.Expect(a.Lend(server, "b", at(0))).To(BeTrue())
	b.Borrow(server, "a", at(0))
	g.Expect(a.Budget(server, at(0)).Rate).To(BeZero())
	g.Expect(a.Allow(server, at(time.Second))).To(BeFalse())
	g.Expect(b.Budget(server, at(0)).Rate).To(BeNumerically("~", 100*surplus/2, 0.01))
	g.Expect(a.Lend(server, "c", at(time.Second))).To(BeFalse(), "b has it")
	g.Expect(a.Lend(server, "b", at(time.Second))).To(BeTrue(), "renewed")
	lapsed := time.Second + shortestLoan
	g.Expect(a.Budget(server, at(lapsed)).Rate).To(BeNumerically("~", 100*surplus/4, 0.01))
	g.Expect(b.Budget(server, at(lapsed)).Rate).To(BeNumerically("~", 100*surplus/4, 0.01))
	g.Expect(a.Lend(server, "c", at(lapsed))).To(BeTrue())
	b.Borrow(server, "a", at(lapsed))
	b.DropBorrowed(at(lapsed))
	g.Expect(b.Budget(server, at(lapsed)).Rate).To(BeNumerically("~", 100*surplus/4, 0.01))
}

func TestAChangedRateIsInForceAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := New(half)
	l.SetRate(server, 60, at(0))
	l.SetRate(server, 1, at(10*time.Second)) // what had grown under the higher rate is gone
	g.Expect(taken(l, 10*time.Second, 14*time.Second, time.Millisecond)).To(BeNumerically("<=", 5))
	l.SetRate(server, 60, at(14*time.Second))
	g.Expect(taken(l, 14*time.Second, 18*time.Second, time.Millisecond)).To(BeNumerically(">=", 230))
}

// day is gateways that share the rate of one server while they are cut off from each other, held up
// and started again. Time goes in steps.
type day struct {
	rnd      *rand.Rand
	now      time.Duration
	rate     float64
	gateways []*simulated
	cutOff   [][]bool // whether datagrams from one reach another
	sent     []time.Duration
	under    []letter // way
}

// simulated is a gateway.
type simulated struct {
	limiter *Limiter
	heldTo  time.Duration // it does nothing until then
	// hears is when it heard each other gateway last.
	hears  []time.Duration
	lentAt time.Duration
	in     []letter // while it is held up
}

// letter is a datagram.
type letter struct {
	from, to int
	loan     bool // else a heartbeat
	arrives  time.Duration
}

const (
	dayStep  = 20 * time.Millisecond
	onTheWay = 5 * time.Millisecond
	// deadAfter is when a gateway that was not heard is no longer asked.
	deadAfter = 3 * time.Second
)

func newDay(seed uint64, gateways int, rate float64) *day {
	d := &day{rnd: rand.New(rand.NewPCG(seed, 3)), rate: rate}
	for range gateways {
		d.gateways = append(d.gateways, &simulated{hears: make([]time.Duration, gateways)})
		d.cutOff = append(d.cutOff, make([]bool, gateways))
	}
	for i := range d.gateways {
		d.restart(i)
	}
	return d
}

// restart has a gateway begin anew. It is told of the rate at once.
func (d *day) restart(i int) {
	g := d.gateways[i]
	g.limiter = New(d.rnd.Float64)
	g.limiter.SetGateways(len(d.gateways))
	g.limiter.SetRate(server, d.rate, at(d.now))
	for j := range g.hears {
		g.hears[j] = d.now
	}
	g.in = nil
}

// home is who decides, as a gateway sees it: the first that it hears.
func (d *day) home(i int) int {
	for j := range d.gateways {
		if j == i || d.now-d.gateways[i].hears[j] <= deadAfter {
			return j
		}
	}
	return i
}

func (d *day) send(from, to int, loan bool) {
	if !d.cutOff[from][to] && d.rnd.Float64() > 0.02 {
		d.under = append(d.under, letter{from, to, loan, d.now + onTheWay})
	}
}

func (d *day) take(l letter) {
	g := d.gateways[l.to]
	g.hears[l.from] = d.now
	if l.loan {
		g.limiter.Borrow(server, fmt.Sprint(l.from), at(d.now))
	}
}

// step lets time pass with so many requests in it, each at a gateway drawn at random.
func (d *day) step(requests int) {
	d.now += dayStep
	d.under = slices.DeleteFunc(d.under, func(l letter) bool {
		if l.arrives > d.now {
			return false
		}
		if g := d.gateways[l.to]; d.now < g.heldTo {
			g.in = append(g.in, l)
		} else {
			d.take(l)
		}
		return true
	})
	for i, g := range d.gateways {
		switch {
		case d.now < g.heldTo:
			continue
		case d.now-g.heldTo < dayStep && g.heldTo > 0: // it goes on
			for _, l := range g.in {
				d.take(l)
			}
			g.in = nil
			g.limiter.DropBorrowed(at(d.now))
		}
		if d.now-g.lentAt >= g.limiter.RenewalInterval() {
			g.lentAt = d.now
			for j := range d.gateways {
				if j != i {
					d.send(i, j, false)
				}
			}
			if home := d.home(i); home != i && g.limiter.Lend(server, fmt.Sprint(home), at(d.now)) {
				d.send(i, home, true)
			}
		}
	}
	for range requests {
		d.ask(d.rnd.IntN(len(d.gateways)))
	}
}

// ask is a request at a gateway: it asks who decides, and goes by its own share where that one is silent.
func (d *day) ask(i int) {
	if d.now < d.gateways[i].heldTo {
		return
	}
	home := d.home(i)
	g := d.gateways[home]
	if home != i && (d.cutOff[i][home] || d.cutOff[home][i] || d.now < g.heldTo) {
		g = d.gateways[i]
	}
	if g.limiter.Allow(server, at(d.now)) {
		d.sent = append(d.sent, d.now)
	}
}

// disturb does one thing.
func (d *day) disturb() {
	i, j := d.rnd.IntN(len(d.gateways)), d.rnd.IntN(len(d.gateways))
	switch d.rnd.IntN(6) {
	case 0:
		d.cutOff[i][j] = true // one way
	case 1:
		d.cutOff[i][j], d.cutOff[j][i] = true, true
	case 2: // two sides
		for a := range d.gateways {
			for b := range d.gateways {
				d.cutOff[a][b] = (a <= i) != (b <= i)
			}
		}
	case 3:
		for a := range d.gateways {
			clear(d.cutOff[a])
		}
	case 4:
		d.gateways[i].heldTo = d.now + time.Duration(d.rnd.IntN(6000))*time.Millisecond
	case 5:
		d.restart(i)
	}
}

// worst is the most that was sent in any 4 s.
func (d *day) worst(from time.Duration) int {
	most := 0
	for i, begin := range d.sent {
		n := 0
		for _, t := range d.sent[i:] {
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

// Whatever is cut off from whom, and whoever is held up or starts again, a server gets no more than one
// and a half times its limit and five in any 4 s; and where nothing is in the way, 0.7 of it at least.
func TestALimitIsKeptWhateverHappens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.2, 1, 4, 60}).Draw(t, "rate")
		d := newDay(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "gateways"), rate)
		requests := rapid.IntRange(1, 4).Draw(t, "requests in a step")
		every := rapid.IntRange(20, 400).Draw(t, "steps between disturbances")
		for i := range 3000 {
			if i%every == every-1 {
				d.disturb()
			}
			d.step(requests)
		}
		if n, allowed := d.worst(3*time.Second), 1.5*rate*4+5; float64(n) > allowed {
			t.Fatalf("%d in 4 s, allowed %v", n, allowed)
		}
		for a := range d.gateways {
			clear(d.cutOff[a])
			d.gateways[a].heldTo = 0
		}
		for range 500 {
			d.step(requests)
		}
		before := len(d.sent)
		const calm = 1000
		for range calm {
			d.step(requests)
		}
		seconds := calm * dayStep.Seconds()
		possible := min(rate, float64(requests)/dayStep.Seconds()) * seconds
		if used := float64(len(d.sent) - before); used < 0.7*possible-1 {
			t.Fatalf("%v of %v used", used, possible)
		}
	})
}
