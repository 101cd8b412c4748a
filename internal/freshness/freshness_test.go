package freshness

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var bound = Timing{ApplyWithin: 3 * time.Second, MaxAgeRatio: 0.7, ReadSpread: 300 * time.Millisecond, AnnounceDelay: 400 * time.Millisecond, ReadInterval: 150 * time.Millisecond}

func TestAReplyTellsOfTheMomentAtWhichItsStateWasTheNewest(t *testing.T) {
	g := NewWithT(t)
	sent := time.Unix(100, 0)
	after := func(ms int) time.Time { return sent.Add(time.Duration(ms) * time.Millisecond) }
	g.Expect(ConfirmedAt(sent, after(1510), 1500*time.Millisecond, true)).To(Equal(after(1500)))
	g.Expect(ConfirmedAt(sent, after(1510), 1500*time.Millisecond, false)).To(Equal(sent))
	g.Expect(ConfirmedAt(sent, after(5), 0, true)).To(Equal(sent))
	g.Expect(ConfirmedAt(sent, after(5), 1500*time.Millisecond, true)).To(Equal(sent)) // it did not wait
}

func TestReadingGrowsWithTheValueAndTheLink(t *testing.T) {
	g := NewWithT(t)
	g.Expect(TransferTime(0, 262144, 10)).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
	g.Expect(TransferTime(887_000, 262144, 10)).To(BeNumerically("~", 1520*time.Millisecond, 10*time.Millisecond))
	g.Expect(TransferTime(887_000, 262144, 200)).To(BeNumerically("<", 80*time.Millisecond))
	g.Expect(TransferTime(887_000, 262144, 0)).To(BeZero())
}

// Whatever reading takes: patience, spread and reading fit into the bound unless reading alone
// takes most of it, and the one that reads for all is heard in time.
func TestPatienceLeavesTimeToRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bound
		b.ApplyWithin = time.Duration(rapid.IntRange(1500, 8000).Draw(t, "within ms")) * time.Millisecond
		reading := time.Duration(rapid.IntRange(0, 8000).Draw(t, "reading ms")) * time.Millisecond
		patience := b.MaxAge(reading)
		if reading < b.ApplyWithin/2-b.ReadSpread && patience+b.ReadSpread+b.ReadInterval+reading > b.ApplyWithin {
			t.Fatalf("patience %v and reading %v do not fit into %v", patience, reading, b.ApplyWithin)
		}
		if patience < b.ApplyWithin/4 || patience > b.ApplyWithin*7/10 {
			t.Fatalf("patience %v of %v", patience, b.ApplyWithin)
		}
		if wait := b.PollWait(patience); wait > b.ReadInterval && wait+b.ReadInterval+b.AnnounceDelay > patience {
			t.Fatalf("others lose patience after %v, the first one waits %v", patience, wait)
		}
	})
}
