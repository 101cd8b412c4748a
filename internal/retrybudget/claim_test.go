package retrybudget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// claimFixture is a budget with its pending claims, at a simulated time.
type claimFixture struct {
	*Budget
	now     time.Time
	pending map[string]*PendingClaim
}

// newClaimFixture returns a budget that permits the given number of repeats now and gains 10 per second at 50 requests
// per second.
func newClaimFixture(g *WithT, repeats int) *claimFixture {
	c := &claimFixture{now: time.Now(), pending: map[string]*PendingClaim{}}
	c.Budget = New(Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 12}, 1, c.now)
	for range 1500 {
		c.elapse(20 * time.Millisecond)
	}
	for c.available() >= float64(repeats)+1 {
		g.Expect(c.Take(c.now).Granted).To(BeTrue())
	}
	return c
}

// elapse advances the time, with a request every 20 ms.
func (c *claimFixture) elapse(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(20 * time.Millisecond)
		c.RecordRequest(c.now)
		c.Grant(c.now)
	}
}

// claim makes a claim and keeps it by name if it is pending. The times are relative to now.
func (c *claimFixture) claim(name string, rank int, due, expires time.Duration) Decision {
	d, p := c.Claim(Claim{Rank: rank, Due: c.now.Add(due), Expires: c.now.Add(expires)}, c.now)
	if p != nil {
		c.pending[name] = p
	}
	return d
}

// decided returns whether each claim decided since the last call was granted.
func (c *claimFixture) decided() map[string]bool {
	out := map[string]bool{}
	for name, p := range c.pending {
		select {
		case d := <-p.Decided():
			out[name] = d.Granted
			delete(c.pending, name)
		default:
		}
	}
	return out
}

// Guards against delaying repeats while enough of the budget is left.
func TestClaimsAreGrantedImmediatelyWithEnoughBudget(t *testing.T) {
	g := NewWithT(t)
	c := newClaimFixture(g, 40)
	d := c.claim("a", 5, 0, 20*time.Millisecond)
	g.Expect(d.Granted).To(BeTrue())
	g.Expect(c.pending).To(BeEmpty())
}

// Guards against granting the last repeats of a budget in order of arrival.
func TestClaimsNearExhaustionAreGrantedByPriority(t *testing.T) {
	g := NewWithT(t)
	c := newClaimFixture(g, 2)
	c.claim("late", 0, -time.Second, 2*time.Second)
	c.claim("low", 6, 2*time.Second, 2*time.Second)
	c.claim("high", 0, 2*time.Second, 2*time.Second)
	c.claim("high, expires first", 0, time.Second, time.Second)
	c.elapse(20 * time.Millisecond)
	g.Expect(c.decided()).To(Equal(map[string]bool{"high": true, "high, expires first": true}))
	c.elapse(300 * time.Millisecond)
	g.Expect(c.decided()).To(Equal(map[string]bool{"low": true}))
	c.elapse(300 * time.Millisecond)
	g.Expect(c.decided()).To(Equal(map[string]bool{"late": true}))
}

// Guards against starving calls by streams of a higher rank, which can wait longer.
func TestEveryFourthGrantGoesToEarliestExpiry(t *testing.T) {
	g := NewWithT(t)
	c := newClaimFixture(g, 0)
	for i := range 30 {
		c.claim(string(rune('a'+i)), 0, 5*time.Second, 5*time.Second)
	}
	c.queue.grantCount = 0
	c.claim("call", 9, 4*time.Second, 4*time.Second)
	c.elapse(1100 * time.Millisecond)
	g.Expect(c.decided()).To(HaveKeyWithValue("call", true))
}

// Guards against making a caller wait for a repeat that cannot be granted before the claim expires.
func TestClaimExpiringBeforeGrantIsDeniedEarly(t *testing.T) {
	g := NewWithT(t)
	c := newClaimFixture(g, 0)
	for i := range 10 {
		c.claim(string(rune('a'+i)), 0, 5*time.Second, 5*time.Second)
	}
	c.claim("blocked", 5, 300*time.Millisecond, 300*time.Millisecond)
	c.elapse(minWaitBeforeDenial + 20*time.Millisecond)
	g.Expect(c.decided()).To(HaveKeyWithValue("blocked", false))
	g.Expect(len(c.pending)).To(BeNumerically(">=", 9))
}

// Guards against denying a claim because of claims that are denied with it.
func TestDeniedClaimsDoNotCountAsAhead(t *testing.T) {
	g := NewWithT(t)
	c := newClaimFixture(g, 0)
	for i := range 12 {
		c.claim(string(rune('a'+i)), 0, 300*time.Millisecond, 300*time.Millisecond)
	}
	c.claim("long", 1, time.Second, time.Second)
	c.elapse(minWaitBeforeDenial + 20*time.Millisecond)
	decided := c.decided()
	g.Expect(len(decided)).To(BeNumerically(">=", 8))
	g.Expect(decided).NotTo(HaveKey("long"))
}

// Guards against keeping expired claims in the queue.
func TestExpiredClaimIsDenied(t *testing.T) {
	g := NewWithT(t)
	c := newClaimFixture(g, 0)
	c.claim("a", 0, time.Second, time.Second)
	c.now = c.now.Add(time.Second) // without requests that refill the budget
	c.tokens = 0
	c.Grant(c.now)
	g.Expect(c.queue.claims).To(BeEmpty())
	g.Expect(c.decided()).To(Equal(map[string]bool{"a": false}))
}

// Guards against granting a repeat to a withdrawn claim.
func TestCancelledClaimIsNotGranted(t *testing.T) {
	g := NewWithT(t)
	c := newClaimFixture(g, 0)
	c.claim("a", 0, time.Second, time.Second)
	c.pending["a"].Cancel()
	before := c.decision().Taken
	c.elapse(time.Second)
	g.Expect(c.decided()).To(BeEmpty())
	g.Expect(c.decision().Taken).To(Equal(before))
}

// BenchmarkGrantWithPendingClaims measures one decision about 500 pending claims when no budget is left to grant any.
func BenchmarkGrantWithPendingClaims(b *testing.B) {
	now := time.Now()
	budget := New(Settings{Ratio: 0, Window: 10 * time.Second, Slack: 1000}, 1, now)
	for i := range 500 {
		expires := now.Add(time.Hour + time.Duration(i)*time.Millisecond)
		budget.Claim(Claim{Rank: i % 10, Due: expires, Expires: expires}, now)
	}
	budget.settings.Slack = 10 // refills enough within the hour that no claim is denied
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(GrantInterval)
		budget.tokens = 0
		budget.Grant(now)
	}
}
