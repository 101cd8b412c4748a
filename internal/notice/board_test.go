package notice

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/ratelimit"
)

const server = "i-1@1765000000000"

// board is a board with what it has told of its changes.
type board struct {
	*Registry
	events []Event
}

func newBoard() *board {
	b := &board{}
	b.Registry = NewRegistry(ratelimit.New(func() float64 { return 0 }), func(e Event) { b.events = append(b.events, e) })
	return b
}

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func limit(rate float64) Statement { return Statement{Limited: true, Limit: rate} }

// rate is the limit in force at a board, 0 for none.
func (b *board) rate(now int) float64 { return b.limits.Budget(server, at(now)).Rate }

func TestNothingIsKeptWhereNothingIsSaid(t *testing.T) {
	g := NewWithT(t)
	b := newBoard()
	b.RecordResponse(server, Statement{}, at(0), at(10))
	g.Expect(b.Empty()).To(BeTrue())
	g.Expect(b.Due(at(10))).To(BeEmpty())
	g.Expect(b.Active(server, at(10))).To(BeEmpty())
}

func TestLimitEndsWithAnswerWithoutIt(t *testing.T) {
	g := NewWithT(t)
	b := newBoard()
	b.RecordResponse(server, limit(4), at(0), at(100))
	g.Expect(b.rate(100)).To(Equal(4.0))
	g.Expect(b.Active(server, at(300))[0].Age).To(Equal(200 * time.Millisecond))

	b.RecordResponse(server, Statement{}, at(50), at(150)) // was sent before the limit was heard: it may be older
	g.Expect(b.rate(150)).To(Equal(4.0))
	b.RecordResponse(server, Statement{Unreadable: []Kind{RateLimit}}, at(160), at(200)) // says nothing
	g.Expect(b.rate(200)).To(Equal(4.0))
	b.RecordResponse(server, Statement{}, at(160), at(210))
	g.Expect(b.limits.Limited(server)).To(BeFalse())
	g.Expect(b.events).To(Equal([]Event{{Server: server, Kind: RateLimit, Limit: 4}, {Server: server, Kind: RateLimit, Ended: true}}))
}

func TestLowerLimitOfReorderedAnswersApplies(t *testing.T) {
	g := NewWithT(t)
	b := newBoard()
	b.RecordResponse(server, limit(4), at(0), at(100))
	b.RecordResponse(server, limit(1), at(20), at(110))
	g.Expect(b.rate(110)).To(Equal(1.0))
	b.RecordResponse(server, limit(4), at(30), at(120))
	g.Expect(b.rate(120)).To(Equal(1.0))
	b.RecordResponse(server, limit(8), at(115), at(130))
	g.Expect(b.rate(130)).To(Equal(8.0))
}

func TestChangeIsSentThreeTimes(t *testing.T) {
	g := NewWithT(t)
	b := newBoard()
	b.RecordResponse(server, limit(4), at(0), at(100))
	g.Expect(b.Pending()).To(Receive())
	told := 0
	for now := 100; now < 3000; now += 10 {
		told += len(b.Due(at(now)))
		b.RecordResponse(server, limit(4), at(now-5), at(now)) // again and again
	}
	g.Expect(told).To(Equal(tellTimes))
	g.Expect(b.All(at(3000))).To(HaveLen(1))
}

func TestNewerReportsAreAccepted(t *testing.T) {
	g := NewWithT(t)
	a, b := newBoard(), newBoard()
	a.RecordResponse(server, limit(1), at(0), at(100))
	b.Receive(a.Due(at(100))[0], "edge-a", at(105))
	g.Expect(b.rate(105)).To(Equal(1.0))
	g.Expect(b.Active(server, at(205))[0].From).To(Equal("edge-a"))
	g.Expect(b.Due(at(1000))).To(BeEmpty(), "what was told is not told on")

	b.RecordResponse(server, Statement{}, at(1000), at(1050)) // b hears that it has ended
	ended := b.Due(at(1050))[0]
	late := a.All(at(1060))[0] // a has not heard that yet, and tells what it knows
	better := b.Receive(late, "edge-a", at(1065))
	g.Expect(better).NotTo(BeNil())
	g.Expect(better.Limited).To(BeFalse())
	g.Expect(b.limits.Limited(server)).To(BeFalse())
	a.Receive(ended, "edge-b", at(1070))
	g.Expect(a.limits.Limited(server)).To(BeFalse())

	a.RecordResponse(server, limit(2), at(1200), at(1300)) // it is limited again
	g.Expect(a.Receive(b.word(at(1305)), "edge-b", at(1310))).To(BeNil())
	g.Expect(a.rate(1310)).To(Equal(2.0), "the end of the limit before says nothing of this one")
}

// word is what the board tells of the server.
func (b *board) word(now time.Time) Report {
	told, _ := b.Report(server, now)
	return told
}

func TestUnlistedServersAreRemoved(t *testing.T) {
	g := NewWithT(t)
	b := newBoard()
	b.RecordResponse(server, limit(1), at(0), at(100))
	listed := true
	sweep := func(ms int) { b.Sweep(func(string) bool { return listed }, at(ms)) }
	sweep(200_000)
	g.Expect(b.limits.Limited(server)).To(BeTrue())
	listed = false // as in an outage of the list
	sweep(250_000)
	g.Expect(b.limits.Limited(server)).To(BeTrue())
	sweep(261_000)
	g.Expect(b.limits.Limited(server)).To(BeFalse())
	g.Expect(b.Empty()).To(BeTrue())
}

func TestDrainingIsReportedAndPermanent(t *testing.T) {
	g := NewWithT(t)
	a, b := newBoard(), newBoard()
	a.RecordResponse(server, Statement{Draining: true}, at(0), at(100))
	a.RecordResponse(server, Statement{}, at(150), at(200)) // an answer that was under way
	g.Expect(a.Draining(server)).To(BeTrue())
	told := a.Due(at(300))
	g.Expect(told).To(HaveLen(1))
	b.Receive(told[0], "edge-a", at(310))
	g.Expect(b.Draining(server)).To(BeTrue())
	g.Expect(b.Active(server, at(310))).To(Equal([]ActiveNotice{{Server: server, Kind: Draining, Age: 200 * time.Millisecond, From: "edge-a"}}))
	g.Expect(b.limits.Limited(server)).To(BeFalse())
	g.Expect(b.Draining("i-1@1765000000001")).To(BeFalse(), "another start")
	b.Sweep(func(string) bool { return true }, at(10_000_000))
	g.Expect(b.Draining(server)).To(BeTrue(), "as long as it is listed")
}

// A word that a server leaves says nothing of its limit.
func TestDrainingDoesNotEndLimit(t *testing.T) {
	g := NewWithT(t)
	a, b := newBoard(), newBoard()
	b.RecordResponse(server, limit(4), at(0), at(100))
	a.RecordResponse(server, Statement{Draining: true}, at(200), at(300))
	b.Receive(a.Due(at(300))[0], "edge-a", at(310))
	g.Expect(b.limits.Limited(server)).To(BeTrue())
	g.Expect(b.Draining(server)).To(BeTrue())
}

// The longest of the times that a server asked for counts, and it ends by itself.
func TestLongestBackoffApplies(t *testing.T) {
	g := NewWithT(t)
	b := newBoard()
	b.RecordResponse(server, Statement{Backoff: 4 * time.Second}, at(0), at(100))
	b.RecordResponse(server, Statement{Backoff: time.Second}, at(10), at(200))
	b.RecordResponse(server, Statement{}, at(20), at(300))
	g.Expect(b.BackoffRemaining(server, at(1100))).To(Equal(3 * time.Second))
	g.Expect(b.BackoffRemaining(server, at(4100))).To(BeZero())
	g.Expect(b.Due(at(400))).To(BeEmpty(), "it binds this gateway alone")
	g.Expect(b.events).To(Equal([]Event{{Server: server, Kind: Backoff, Backoff: 4 * time.Second}}))
	b.Sweep(func(string) bool { return true }, at(4000))
	g.Expect(b.Empty()).To(BeFalse())
	b.Sweep(func(string) bool { return true }, at(4200))
	g.Expect(b.Empty()).To(BeTrue())
}

// A server that states another rate in each answer is not told of each time.
func TestFrequentLimitChangesAreSentAtIntervals(t *testing.T) {
	g := NewWithT(t)
	b := newBoard()
	told := 0
	for now := 0; now < 10_000; now += 10 {
		b.RecordResponse(server, limit(4+float64(now%50)/100), at(now-5), at(now))
		told += len(b.Due(at(now)))
	}
	g.Expect(told).To(BeNumerically("~", 50, 2))
	g.Expect(b.rate(10_000)).To(BeNumerically("~", 4, 0.5))
}

// The list calls the board while it holds its lock, and the board asks the list what is listed.
func TestSweepCallsListedWithoutLock(t *testing.T) {
	b := newBoard()
	b.RecordResponse(server, limit(1), at(0), at(100))
	b.Sweep(func(s string) bool { return !b.Draining(s) }, at(200))
}

// Datagrams overtake each other: the newest word counts, in whichever order and however often they come.
func TestNewestReportAppliesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 100_000
		b := newBoard()
		b.Receive(Report{Server: server, Limited: true, Limit: 99, LimitAgeMs: 90_000}, "edge-a", at(now))
		ages := rapid.SliceOfNDistinct(rapid.IntRange(1, 80_000), 1, 8, rapid.ID).Draw(t, "ages")
		words := make([]Report, len(ages))
		for i, age := range ages {
			words[i] = Report{Server: server, LimitAgeMs: int64(age), Limited: rapid.Bool().Draw(t, "limited")}
			if words[i].Limited {
				words[i].Limit = float64(1 + i)
			}
		}
		newest := slices.MinFunc(words, func(a, b Report) int { return int(a.LimitAgeMs - b.LimitAgeMs) })
		for _, word := range append(rapid.Permutation(words).Draw(t, "first"), rapid.Permutation(words).Draw(t, "again")...) {
			b.Receive(word, "edge-a", at(now))
		}
		if got, _ := b.Report(server, at(now)); got.Limited != newest.Limited || newest.Limited && got.Limit != newest.Limit {
			t.Fatalf("%+v, the newest is %+v", got, newest)
		}
	})
}
