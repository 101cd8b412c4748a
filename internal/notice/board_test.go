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

// testRegistry is a Registry that records its events.
type testRegistry struct {
	*Registry
	events []Event
}

func newTestRegistry() *testRegistry {
	b := &testRegistry{}
	b.Registry = NewRegistry(ratelimit.New(func() float64 { return 0 }), func(e Event) { b.events = append(b.events, e) })
	return b
}

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

func limit(rate float64) ResponseNotices { return ResponseNotices{Limited: true, Limit: rate} }

// rate returns the limit in force, or 0 if there is none.
func (b *testRegistry) rate(now int) float64 { return b.limits.Budget(server, at(now)).Rate }

func TestResponseWithoutNoticesIsNotRecorded(t *testing.T) {
	g := NewWithT(t)
	b := newTestRegistry()
	b.RecordResponse(server, ResponseNotices{}, at(0), at(10))
	g.Expect(b.Empty()).To(BeTrue())
	g.Expect(b.DueReports(at(10))).To(BeEmpty())
	g.Expect(b.Active(server, at(10))).To(BeEmpty())
}

func TestLimitEndsWithAnswerWithoutIt(t *testing.T) {
	g := NewWithT(t)
	b := newTestRegistry()
	b.RecordResponse(server, limit(4), at(0), at(100))
	g.Expect(b.rate(100)).To(Equal(4.0))
	g.Expect(b.Active(server, at(300))[0].Age).To(Equal(200 * time.Millisecond))

	b.RecordResponse(server, ResponseNotices{}, at(50), at(150)) // sent before the limit was received, so it may be older
	g.Expect(b.rate(150)).To(Equal(4.0))
	b.RecordResponse(server, ResponseNotices{Malformed: []Kind{RateLimit}}, at(160), at(200)) // unreadable, so not evidence of an end
	g.Expect(b.rate(200)).To(Equal(4.0))
	b.RecordResponse(server, ResponseNotices{}, at(160), at(210))
	g.Expect(b.limits.Limited(server)).To(BeFalse())
	g.Expect(b.events).To(Equal([]Event{{Server: server, Kind: RateLimit, Limit: 4}, {Server: server, Kind: RateLimit, Ended: true}}))
}

func TestLowerLimitOfReorderedAnswersApplies(t *testing.T) {
	g := NewWithT(t)
	b := newTestRegistry()
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
	b := newTestRegistry()
	b.RecordResponse(server, limit(4), at(0), at(100))
	g.Expect(b.ReportsReady()).To(Receive())
	sends := 0
	for now := 100; now < 3000; now += 10 {
		sends += len(b.DueReports(at(now)))
		b.RecordResponse(server, limit(4), at(now-5), at(now)) // an unchanged limit is no change
	}
	g.Expect(sends).To(Equal(sendsPerChange))
	g.Expect(b.AllReports(at(3000))).To(HaveLen(1))
}

func TestNewerReportsAreAccepted(t *testing.T) {
	g := NewWithT(t)
	a, b := newTestRegistry(), newTestRegistry()
	a.RecordResponse(server, limit(1), at(0), at(100))
	b.ReceiveReport(a.DueReports(at(100))[0], "edge-a", at(105))
	g.Expect(b.rate(105)).To(Equal(1.0))
	g.Expect(b.Active(server, at(205))[0].From).To(Equal("edge-a"))
	g.Expect(b.DueReports(at(1000))).To(BeEmpty(), "received reports are not forwarded")

	b.RecordResponse(server, ResponseNotices{}, at(1000), at(1050)) // b learns that the limit has ended
	ended := b.DueReports(at(1050))[0]
	outdated := a.AllReports(at(1060))[0] // a does not know of the end yet
	reply := b.ReceiveReport(outdated, "edge-a", at(1065))
	g.Expect(reply).NotTo(BeNil())
	g.Expect(reply.Limited).To(BeFalse())
	g.Expect(b.limits.Limited(server)).To(BeFalse())
	a.ReceiveReport(ended, "edge-b", at(1070))
	g.Expect(a.limits.Limited(server)).To(BeFalse())

	a.RecordResponse(server, limit(2), at(1200), at(1300)) // limited again
	g.Expect(a.ReceiveReport(b.report(at(1305)), "edge-b", at(1310))).To(BeNil())
	g.Expect(a.rate(1310)).To(Equal(2.0), "the end of the earlier limit does not end the new one")
}

// report returns the registry's report of the server.
func (b *testRegistry) report(now time.Time) Report {
	r, _ := b.Report(server, now)
	return r
}

func TestUnlistedServersAreRemoved(t *testing.T) {
	g := NewWithT(t)
	b := newTestRegistry()
	b.RecordResponse(server, limit(1), at(0), at(100))
	listed := true
	sweep := func(ms int) { b.Sweep(func(string) bool { return listed }, at(ms)) }
	sweep(200_000)
	g.Expect(b.limits.Limited(server)).To(BeTrue())
	listed = false // as during an outage of the list
	sweep(250_000)
	g.Expect(b.limits.Limited(server)).To(BeTrue())
	sweep(261_000)
	g.Expect(b.limits.Limited(server)).To(BeFalse())
	g.Expect(b.Empty()).To(BeTrue())
}

func TestDrainingIsReportedAndPermanent(t *testing.T) {
	g := NewWithT(t)
	a, b := newTestRegistry(), newTestRegistry()
	a.RecordResponse(server, ResponseNotices{Draining: true}, at(0), at(100))
	a.RecordResponse(server, ResponseNotices{}, at(150), at(200)) // a response in flight
	g.Expect(a.Draining(server)).To(BeTrue())
	reports := a.DueReports(at(300))
	g.Expect(reports).To(HaveLen(1))
	b.ReceiveReport(reports[0], "edge-a", at(310))
	g.Expect(b.Draining(server)).To(BeTrue())
	g.Expect(b.Active(server, at(310))).To(Equal([]ActiveNotice{{Server: server, Kind: Draining, Age: 200 * time.Millisecond, From: "edge-a"}}))
	g.Expect(b.limits.Limited(server)).To(BeFalse())
	g.Expect(b.Draining("i-1@1765000000001")).To(BeFalse(), "a different start of the server")
	b.Sweep(func(string) bool { return true }, at(10_000_000))
	g.Expect(b.Draining(server)).To(BeTrue(), "as long as it is listed")
}

// Guards against treating a report without a limit as the end of one: a draining server's report may lack the
// limit that another gateway knows.
func TestDrainingDoesNotEndLimit(t *testing.T) {
	g := NewWithT(t)
	a, b := newTestRegistry(), newTestRegistry()
	b.RecordResponse(server, limit(4), at(0), at(100))
	a.RecordResponse(server, ResponseNotices{Draining: true}, at(200), at(300))
	b.ReceiveReport(a.DueReports(at(300))[0], "edge-a", at(310))
	g.Expect(b.limits.Limited(server)).To(BeTrue())
	g.Expect(b.Draining(server)).To(BeTrue())
}

// Guards against shortening a backoff by a later, shorter one. The backoff ends without a further response.
func TestLongestBackoffApplies(t *testing.T) {
	g := NewWithT(t)
	b := newTestRegistry()
	b.RecordResponse(server, ResponseNotices{Backoff: 4 * time.Second}, at(0), at(100))
	b.RecordResponse(server, ResponseNotices{Backoff: time.Second}, at(10), at(200))
	b.RecordResponse(server, ResponseNotices{}, at(20), at(300))
	g.Expect(b.BackoffRemaining(server, at(1100))).To(Equal(3 * time.Second))
	g.Expect(b.BackoffRemaining(server, at(4100))).To(BeZero())
	g.Expect(b.DueReports(at(400))).To(BeEmpty(), "a backoff applies to this gateway only")
	g.Expect(b.events).To(Equal([]Event{{Server: server, Kind: Backoff, Backoff: 4 * time.Second}}))
	b.Sweep(func(string) bool { return true }, at(4000))
	g.Expect(b.Empty()).To(BeFalse())
	b.Sweep(func(string) bool { return true }, at(4200))
	g.Expect(b.Empty()).To(BeTrue())
}

// Guards against sending a report for every response of a server that states a different limit in each.
func TestFrequentLimitChangesAreSentAtIntervals(t *testing.T) {
	g := NewWithT(t)
	b := newTestRegistry()
	sends := 0
	for now := 0; now < 10_000; now += 10 {
		b.RecordResponse(server, limit(4+float64(now%50)/100), at(now-5), at(now))
		sends += len(b.DueReports(at(now)))
	}
	g.Expect(sends).To(BeNumerically("~", 50, 2))
	g.Expect(b.rate(10_000)).To(BeNumerically("~", 4, 0.5))
}

// Guards against a deadlock: the server list calls the registry while it holds its own lock, and Sweep calls the list.
func TestSweepCallsListedWithoutLock(t *testing.T) {
	b := newTestRegistry()
	b.RecordResponse(server, limit(1), at(0), at(100))
	b.Sweep(func(s string) bool { return !b.Draining(s) }, at(200))
}

// Guards against reordered and duplicated datagrams: the newest report applies.
func TestNewestReportAppliesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const now = 100_000
		b := newTestRegistry()
		b.ReceiveReport(Report{Server: server, Limited: true, Limit: 99, LimitAgeMs: 90_000}, "edge-a", at(now))
		ages := rapid.SliceOfNDistinct(rapid.IntRange(1, 80_000), 1, 8, rapid.ID).Draw(t, "ages")
		reports := make([]Report, len(ages))
		for i, age := range ages {
			reports[i] = Report{Server: server, LimitAgeMs: int64(age), Limited: rapid.Bool().Draw(t, "limited")}
			if reports[i].Limited {
				reports[i].Limit = float64(1 + i)
			}
		}
		newest := slices.MinFunc(reports, func(a, b Report) int { return int(a.LimitAgeMs - b.LimitAgeMs) })
		for _, r := range append(rapid.Permutation(reports).Draw(t, "first"), rapid.Permutation(reports).Draw(t, "again")...) {
			b.ReceiveReport(r, "edge-a", at(now))
		}
		if got, _ := b.Report(server, at(now)); got.Limited != newest.Limited || newest.Limited && got.Limit != newest.Limit {
			t.Fatalf("%+v, the newest is %+v", got, newest)
		}
	})
}
