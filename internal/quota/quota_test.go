package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Checks the bound on what n routers admit together, over random arrivals.
func TestRoutersTogetherStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := rapid.IntRange(1, 8).Draw(t, "routers")
		team := &resource.Team{Rate: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: rapid.IntRange(1, 50).Draw(t, "burst"),
			Concurrency: rapid.IntRange(0, 20).Draw(t, "concurrency")}
		routers := make([]*LocalLimiter, n)
		for i := range routers {
			routers[i] = NewLocalLimiter(epoch)
		}
		now, admitted := epoch, 0
		var open []func()
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if len(open) > 0 && rapid.Bool().Draw(t, "end one") {
				open[0]()
				open = open[1:]
			}
			release, e := routers[rapid.IntRange(0, n-1).Draw(t, "router")].Admit(now, "team", team, n)
			if e != nil {
				g.Expect(e.Outcome).To(Equal(fault.NotRun))
				g.Expect(e.RetryAfter).To(BeNumerically(">", 0))
				continue
			}
			admitted++
			open = append(open, release)
			if team.Concurrency > 0 {
				g.Expect(len(open)).To(BeNumerically("<=", team.Concurrency+n-1))
			}
		}
		bound := team.Rate*now.Sub(epoch).Seconds() + float64(team.Burst) + float64(n)
		g.Expect(float64(admitted)).To(BeNumerically("<=", bound+1e-6))
	})
}

func TestRefusalCarriesRetryAfter(t *testing.T) {
	g := NewWithT(t)
	q := NewLocalLimiter(epoch)
	team := &resource.Team{Rate: 2, Burst: 1}
	_, e := q.Admit(epoch, "a", team, 1)
	g.Expect(e).To(BeNil())
	_, e = q.Admit(epoch, "a", team, 1)
	g.Expect(e.Code).To(Equal(fault.TeamRateLimit))
	_, e = q.Admit(epoch.Add(e.RetryAfter), "a", team, 1)
	g.Expect(e).To(BeNil())
	_, e = q.Admit(epoch, "b", team, 1)
	g.Expect(e).To(BeNil(), "limits are per team")
}

func TestIdleTeamsAreEvicted(t *testing.T) {
	g := NewWithT(t)
	q := NewLocalLimiter(epoch)
	release, _ := q.Admit(epoch, "a", &resource.Team{}, 1)
	release()
	_, _ = q.Admit(epoch.Add(2*idleTimeout), "b", &resource.Team{}, 1)
	g.Expect(q.teams).To(HaveLen(1))
}

// cluster is a set of routers of which some can reach the home.
type cluster struct {
	n           int
	home        *HomeLimiter
	routers     []*LocalLimiter
	partitioned []bool
	seq         uint64
}

func (c *cluster) admit(now time.Time, i int, team *resource.Team) (func(), bool) {
	r := c.routers[i]
	if c.partitioned[i] {
		release, e := r.Admit(now, "team", team, c.n)
		return release, e == nil
	}
	c.seq++
	req := GrantRequest{Seq: c.seq, Team: "team", Router: string(rune('a' + i))}
	if !c.home.Acquire(now, req, team, c.n).Granted {
		return nil, false
	}
	r.BeginGranted(now, "team")
	return func() {
		notice := ReleaseNotice{Team: "team", Router: req.Router, Seqs: r.EndGranted("team", req.Seq)}
		if !c.partitioned[i] { // otherwise the notice is lost
			c.home.Release(notice)
		}
	}, true
}

// While all routers reach the home, a request is admitted exactly if the team is below
// its concurrency limit, for any order of starts and ends.
func TestConcurrencyHoldsOverRouters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "routers")
		team := &resource.Team{Concurrency: rapid.IntRange(1, 10).Draw(t, "limit")}
		c := &cluster{n: n, home: NewHomeLimiter(epoch), partitioned: make([]bool, n)}
		for i := range n {
			c.routers = append(c.routers, NewLocalLimiter(epoch))
			c.home.MarkReachable(epoch, string(rune('a'+i)))
		}
		var open []func()
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(open) > 0 && rapid.IntRange(0, 2).Draw(t, "end") == 0 {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				open[i]()
				open = append(open[:i], open[i+1:]...)
				continue
			}
			release, ok := c.admit(epoch, rapid.IntRange(0, n-1).Draw(t, "router"), team)
			NewWithT(t).Expect(ok).To(Equal(len(open) < team.Concurrency))
			if ok {
				open = append(open, release)
			}
		}
	})
}

// Routers that reach the home and partitioned routers together stay within the bound,
// and a restarted home does not grant the same burst again.
func TestLendingStaysWithinTheBoundUnderLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := rapid.IntRange(1, 8).Draw(t, "routers")
		team := &resource.Team{Rate: float64(rapid.IntRange(1, 100).Draw(t, "rate")), Burst: rapid.IntRange(1, 30).Draw(t, "burst")}
		c := &cluster{n: n, home: NewHomeLimiter(epoch), partitioned: make([]bool, n)}
		for range n {
			c.routers = append(c.routers, NewLocalLimiter(epoch))
		}
		now, admitted, changes := epoch, 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 60).Draw(t, "what") {
			case 0:
				c.home = NewHomeLimiter(now)
				changes++
			case 1:
				i := rapid.IntRange(0, n-1).Draw(t, "cut")
				c.partitioned[i] = !c.partitioned[i]
				changes++
			default:
				if release, ok := c.admit(now, rapid.IntRange(0, n-1).Draw(t, "router"), team); ok {
					admitted++
					release()
				}
			}
		}
		// Each partition or heal moves a share of the burst between home and
		// router, and until reachableTimeout a partitioned router's share
		// counts twice. So each change costs at most one burst and
		// reachableTimeout of one router's rate.
		change := float64(team.Burst) + 1 + team.Rate/float64(n)*reachableTimeout.Seconds()
		bound := team.Rate*now.Sub(epoch).Seconds() + float64(team.Burst) + float64(n) + float64(changes)*change
		g.Expect(float64(admitted)).To(BeNumerically("<=", bound+1e-6))
	})
}

// The home grants the full rate of a team with a low limit and many routers, where
// equal shares refuse too early.
func TestTheHomeServesALowRateOverManyRouters(t *testing.T) {
	g := NewWithT(t)
	const n = 390
	team := &resource.Team{Rate: 10, Burst: 10}
	home, equal := NewHomeLimiter(epoch), make([]*LocalLimiter, n)
	for i := range n {
		home.MarkReachable(epoch, string(rune(0x4e00+i)))
		equal[i] = NewLocalLimiter(epoch)
	}
	byHome, byShares := 0, 0
	for k := range 100 { // 10 s at the rate limit
		now := epoch.Add(time.Duration(k) * 100 * time.Millisecond)
		router := (k * 7) % 5 // a load balancer that sends a team to five routers
		if home.Acquire(now, GrantRequest{Seq: uint64(k), Team: "t", Router: string(rune(0x4e00 + router))}, team, n).Granted {
			byHome++
		}
		if release, e := equal[router].Admit(now, "t", team, n); e == nil {
			byShares++
			release()
		}
	}
	g.Expect(byHome).To(BeNumerically(">=", 98))
	g.Expect(byShares).To(BeNumerically("<=", 10))
}
