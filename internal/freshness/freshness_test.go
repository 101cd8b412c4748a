package freshness

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var testTiming = Timing{ApplyWithin: 3 * time.Second, MaxAgeRatio: 0.7, ReadSpread: 300 * time.Millisecond, AnnounceDelay: 400 * time.Millisecond, ReadInterval: 150 * time.Millisecond}

func TestConfirmedAt(t *testing.T) {
	g := NewWithT(t)
	sent := time.Unix(100, 0)
	after := func(ms int) time.Time { return sent.Add(time.Duration(ms) * time.Millisecond) }
	g.Expect(ConfirmedAt(sent, after(1510), 1500*time.Millisecond, true)).To(Equal(after(1500)))
	g.Expect(ConfirmedAt(sent, after(1510), 1500*time.Millisecond, false)).To(Equal(sent))
	g.Expect(ConfirmedAt(sent, after(5), 0, true)).To(Equal(sent))
	g.Expect(ConfirmedAt(sent, after(5), 1500*time.Millisecond, true)).To(Equal(sent)) // the store did not wait
}

func TestTransferTimeDependsOnValueAndLink(t *testing.T) {
	g := NewWithT(t)
	g.Expect(EstimateTransferTime(0, 262144, 10)).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
	g.Expect(EstimateTransferTime(887_000, 262144, 10)).To(BeNumerically("~", 1520*time.Millisecond, 10*time.Millisecond))
	g.Expect(EstimateTransferTime(887_000, 262144, 200)).To(BeNumerically("<", 80*time.Millisecond))
	g.Expect(EstimateTransferTime(887_000, 262144, 0)).To(BeZero())
}

// For any transfer time, the maximum age, the read spread and the transfer fit into the bound,
// unless the transfer alone takes most of it, and the confirmation of a waiting read arrives before
// the maximum age.
func TestMaxAgeLeavesTimeToRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timing := testTiming
		timing.ApplyWithin = time.Duration(rapid.IntRange(1500, 8000).Draw(t, "within ms")) * time.Millisecond
		transfer := time.Duration(rapid.IntRange(0, 8000).Draw(t, "transfer ms")) * time.Millisecond
		maxAge := timing.MaxAge(transfer)
		if transfer < timing.ApplyWithin/2-timing.ReadSpread && maxAge+timing.ReadSpread+timing.ReadInterval+transfer > timing.ApplyWithin {
			t.Fatalf("maximum age %v and transfer %v do not fit into %v", maxAge, transfer, timing.ApplyWithin)
		}
		if maxAge < timing.ApplyWithin/4 || maxAge > timing.ApplyWithin*7/10 {
			t.Fatalf("maximum age %v of %v", maxAge, timing.ApplyWithin)
		}
		if wait := timing.PollWait(maxAge); wait > timing.ReadInterval && wait+timing.ReadInterval+timing.AnnounceDelay > maxAge {
			t.Fatalf("maximum age is %v, the read waits %v", maxAge, wait)
		}
	})
}
