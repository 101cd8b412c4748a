package retrybudget

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a budget that stays empty after it is exhausted.
func TestBudgetReplenishesAfterExhaustion(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := New(Settings{Ratio: 0.5, Window: 10 * time.Second, Slack: 4}, 1, now)
	g.Expect(b.Take(now).Granted).To(BeFalse(), "a new budget is empty")
	now = now.Add(13 * time.Second)
	g.Expect(b.Take(now).Granted).To(BeTrue())
	g.Expect(b.Take(now).Granted).To(BeFalse())
	now = now.Add(time.Hour)
	for range 30 {
		b.RecordRequest(now)
		now = now.Add(time.Second)
	}
	granted := 0
	for b.Take(now).Granted {
		granted++
	}
	g.Expect(granted).To(Equal(4), "3 for the last 10 requests, plus the depth of the bucket")
	g.Expect(b.Take(now.Add(time.Second)).Granted).To(BeFalse())
	g.Expect(b.Take(now.Add(10 * time.Second)).Granted).To(BeTrue())
}

// At a single instant, a budget never grants more than its slack plus its ratio of the requests.
func TestRepeatsStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		b := New(Settings{Ratio: 0.1, Window: 10 * time.Second, Slack: 5}, 1, now)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "retry") {
				if b.Take(now).Granted {
					retries++
				}
			} else {
				b.RecordRequest(now)
				requests++
			}
		}
		NewWithT(t).Expect(float64(retries)).To(BeNumerically("<=", 5+0.1*float64(requests)+1e-6))
	})
}

func TestDecisionReportsTakenAndAllowed(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := New(Settings{Ratio: 1.0 / 3, Window: 10 * time.Second, Slack: 10}, 1, now)
	for range 20 {
		b.RecordRequest(now)
	}
	for taken := range 3 {
		d := b.Take(now)
		d.start, d.step, d.chargedToPrevious = time.Time{}, 0, 0
		g.Expect(d).To(Equal(Decision{Granted: taken < 2, Taken: taken, Allowed: 2}))
	}
}

// Guards against a settings reload that discards the repeats already counted.
func TestSettingsReloadKeepsCountedRepeats(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	s := Settings{Ratio: 1.0 / 3, Window: 10 * time.Second, Slack: 10}
	b := New(s, 1, now)
	for range 20 {
		b.RecordRequest(now)
	}
	g.Expect(b.Take(now).Granted).To(BeTrue())
	g.Expect(b.Take(now).Granted).To(BeTrue())
	s.Slack = 20
	b.SetSettings(s, now)
	g.Expect(b.Take(now)).To(Equal(Decision{Granted: false, Taken: 2, Allowed: 2}))
}

// Guards against counting requests queued during a stall as current ones.
func TestRequestsQueuedDuringStallAddNoBudget(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := New(Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 10}, 1, now)
	since := now
	now = now.Add(5 * time.Second)
	for range 100 {
		b.RecordRequest(now)
	}
	b.RecordStall(since, now.Add(200*time.Millisecond), now)
	for range 100 {
		b.RecordRequest(now.Add(100 * time.Millisecond))
	}
	g.Expect(b.Take(now.Add(150 * time.Millisecond)).Allowed).To(BeNumerically("<", 0.1))
	g.Expect(b.Take(now.Add(10*time.Second)).Allowed).To(BeNumerically("<=", depthSlackFraction*10), "only the depth of the bucket")
}

// Guards against counting a repeat twice: when it is granted and when it is sent.
func TestRenewedRepeatCountsOnlyWhenSent(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := New(Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 0}, 1, now)
	request := func(n int) {
		for range n {
			now = now.Add(20 * time.Millisecond)
			b.RecordRequest(now)
		}
	}
	request(1500)
	var grants []Decision
	for d := b.Take(now); d.Granted; d = b.Take(now) {
		grants = append(grants, d)
	}
	g.Expect(len(grants)).To(BeNumerically(">=", 60))
	request(100)
	for _, d := range grants {
		g.Expect(b.Renew(d, now).Granted).To(BeTrue())
	}
	g.Expect(b.Take(now).Taken).To(Equal(len(grants)))
}

// Guards against returning tokens to a bucket that has been refilled since the grant.
func TestRenewReturnsNoTokens(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := New(Settings{Ratio: 0, Window: 10 * time.Second, Slack: 10}, 1, now)
	now = now.Add(30 * time.Second)
	var grants []Decision
	for d := b.Take(now); d.Granted; d = b.Take(now) {
		grants = append(grants, d)
	}
	g.Expect(grants).To(HaveLen(3))
	now = now.Add(6 * time.Second)
	sent := 0
	for b.Take(now).Granted {
		sent++
	}
	for _, d := range grants {
		if b.Renew(d, now).Granted {
			sent++
		}
	}
	for range 99 {
		now = now.Add(100 * time.Millisecond)
		if b.Take(now).Granted {
			sent++
		}
	}
	g.Expect(float64(sent)).To(BeNumerically("<=", UsedSlackFraction*10))
}

// Guards against sending a granted repeat that the budget no longer permits.
func TestRenewDeniesRepeatNoLongerPermitted(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	b := New(Settings{Ratio: 0.2, Window: 10 * time.Second, Slack: 0}, 1, now)
	for range 1000 {
		now = now.Add(20 * time.Millisecond)
		b.RecordRequest(now)
	}
	d := b.Take(now)
	g.Expect(d.Granted).To(BeTrue())
	now = now.Add(11 * time.Second) // without requests
	g.Expect(b.Renew(d, now).Granted).To(BeFalse())
}
