package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// at returns a time on the tests' clock.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// crashAt returns a crash after a run of 60 ms.
func crashAt(server string, seconds float64) Crash {
	return Crash{Server: server, SentAt: at(seconds - 0.06), At: at(seconds)}
}

func id(name string) ID { return Identify("team", "POST", "a.example", "/"+name, nil) }

// newObservedTracker returns a tracker that has observed 20 s without crashes.
func newTrackerWithHistory(servers int) *Tracker {
	tracker := New()
	tracker.RecordRun(time.Second, at(-20))
	tracker.SetServerCount(servers)
	return tracker
}

// verdictAt returns the verdict on a request at a time.
func evaluateVerdict(tracker *Tracker, of ID, seconds float64) *Verdict {
	tracker.DueUpdates(at(seconds))
	return tracker.Verdict(of)
}

func TestThreeConsecutiveCrashesGiveAVerdict(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	fatal := id("fatal")
	tracker.RecordCrash(fatal, crashAt("i-1", 1), at(1))
	tracker.RecordCrash(fatal, crashAt("i-1", 1), at(1)) // reported twice
	tracker.RecordCrash(fatal, crashAt("i-2", 2), at(2))
	g.Expect(evaluateVerdict(tracker, fatal, 2.1)).To(BeNil())
	tracker.RecordCrash(fatal, crashAt("i-3", 3), at(3))
	v := evaluateVerdict(tracker, fatal, 3.1)
	g.Expect(v).NotTo(BeNil())
	g.Expect(v.Servers).To(ConsistOf("i-1", "i-2", "i-3"))
	g.Expect(v.Until).To(Equal(at(3.1).Add(refusalPeriod(0))))
	g.Expect(tracker.BeginRun(fatal, 1, at(4)).Verdict).NotTo(BeNil())
	g.Expect(tracker.BeginRun(id("other"), 1, at(4))).To(Equal(Decision{}))
}

func TestAResponseClearsASuspect(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	harmless := id("harmless")
	tracker.RecordCrash(harmless, crashAt("i-1", 1), at(1))
	tracker.RecordCrash(harmless, crashAt("i-2", 2), at(2))
	tracker.RecordResponse(harmless, at(2.5))
	tracker.RecordCrash(harmless, crashAt("i-3", 3), at(3))
	tracker.RecordCrash(harmless, crashAt("i-0", 2.4), at(3)) // a late report of an earlier crash
	g.Expect(evaluateVerdict(tracker, harmless, 3.1)).To(BeNil())
}

func TestCrashesOfOverlappingRunsCountOnce(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	popular := id("popular")
	for i := range 5 { // servers of one rack
		tracker.RecordCrash(popular, Crash{Server: fmt.Sprint("i-", i), SentAt: at(0.8), At: at(1 + float64(i)/100)}, at(1.1))
	}
	g.Expect(evaluateVerdict(tracker, popular, 1.2)).To(BeNil())
	g.Expect(independentCrashes(tracker.entries[popular].crashes)).To(HaveLen(1))
}

func TestMoreCrashesAreNeededWhenOtherServersCrash(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	fatal := id("fatal")
	tracker.RecordServerCrash("i-9", at(0.5))
	for i := 1; i <= 3; i++ {
		tracker.RecordCrash(fatal, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	g.Expect(evaluateVerdict(tracker, fatal, 3.1)).To(BeNil())
	tracker.RecordCrash(fatal, crashAt("i-4", 4), at(4))
	g.Expect(evaluateVerdict(tracker, fatal, 4.1)).NotTo(BeNil())
}

// Of many requests that ran together on two crashing servers in a row, one is on the next by chance.
func TestMoreCrashesAreNeededAfterCoRunners(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	for i := range 20 {
		tracker.RecordCrash(id(fmt.Sprint(i)), crashAt("i-1", 1), at(1))
		tracker.RecordCrash(id(fmt.Sprint(i)), crashAt("i-2", 2), at(2))
	}
	for i := range 19 {
		tracker.RecordResponse(id(fmt.Sprint(i)), at(2.5))
	}
	last := id("19")
	tracker.RecordCrash(last, crashAt("i-3", 3), at(3))
	g.Expect(evaluateVerdict(tracker, last, 3.1)).To(BeNil())
	tracker.RecordCrash(last, crashAt("i-4", 4), at(4))
	g.Expect(evaluateVerdict(tracker, last, 4.1)).NotTo(BeNil())
}

func TestLongRunsNeedMoreCrashesAtAHighCrashRate(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	for i := range 20 { // runs of 0.5 s, half of which are lost in a crash
		now := at(float64(i) / 2)
		tracker.RecordRun(500*time.Millisecond, now)
		tracker.RecordRun(500*time.Millisecond, now)
		tracker.RecordCrash(id(fmt.Sprint("other-", i)), Crash{Server: fmt.Sprint("o-", i), SentAt: now.Add(-500 * time.Millisecond), At: now}, now)
	}
	harmless := id("harmless")
	for i := range 6 {
		s := 9 + float64(i)*0.6
		tracker.RecordCrash(harmless, Crash{Server: fmt.Sprint("i-", i), SentAt: at(s - 0.5), At: at(s)}, at(s))
	}
	g.Expect(evaluateVerdict(tracker, harmless, 13)).To(BeNil())
}

// A gateway that has just started does not know the crash rate and leaves the verdict to gateways that
// have observed longer, if there are any.
func TestANewGatewayLeavesTheVerdictToLongerObservers(t *testing.T) {
	g := NewWithT(t)
	for _, others := range []bool{true, false} {
		tracker := New()
		if others {
			bystander := id("beside")
			tracker.Merge([]Update{{ID: bystander[:], ObservedMS: recentCrashWindow.Milliseconds()}}, "other", at(0))
		}
		fatal := id("fatal")
		for i := 1; i <= 3; i++ {
			tracker.RecordCrash(fatal, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
		}
		if others {
			g.Expect(evaluateVerdict(tracker, fatal, 3.1)).To(BeNil())
		} else {
			g.Expect(evaluateVerdict(tracker, fatal, 3.1)).NotTo(BeNil())
		}
	}
}

func TestAVerdictClearsOtherRequestsOnTheSameServers(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	fatal, bystander := id("fatal"), id("beside")
	for i := 1; i <= 2; i++ {
		tracker.RecordCrash(bystander, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	for i := 1; i <= 4; i++ {
		tracker.RecordCrash(fatal, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	g.Expect(evaluateVerdict(tracker, fatal, 4.1)).NotTo(BeNil())
	tracker.RecordCrash(bystander, crashAt("i-3", 3), at(4.2)) // a late report
	g.Expect(tracker.BeginRun(bystander, 1, at(5))).To(Equal(Decision{}), "nothing is left against it")
}

// Either of two requests that ran on the same servers may be the cause; the next crash decides.
func TestTwoSuspectsOnTheSameServersWaitForTheNextCrash(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	a, b := id("a"), id("b")
	for i := 1; i <= 4; i++ {
		tracker.RecordCrash(a, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
		tracker.RecordCrash(b, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	g.Expect(evaluateVerdict(tracker, a, 4.1)).To(BeNil())
	g.Expect(evaluateVerdict(tracker, b, 4.1)).To(BeNil())
	tracker.RecordCrash(a, crashAt("i-5", 5), at(5))
	g.Expect(evaluateVerdict(tracker, a, 5.1)).NotTo(BeNil())
	g.Expect(tracker.BeginRun(b, 1, at(6))).To(Equal(Decision{}))
}

func TestRunsOfASuspectAreSerialized(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	suspect := id("suspect")
	tracker.RecordCrash(suspect, crashAt("i-1", 1), at(1))
	g.Expect(tracker.BeginRun(suspect, 1, at(1.1))).To(Equal(Decision{}))
	g.Expect(tracker.BeginRun(suspect, 2, at(1.2)).Changed).NotTo(BeNil())
	g.Expect(tracker.BeginRun(suspect, 2, at(2.2))).To(Equal(Decision{}), "one crash is common: no long wait")
	tracker.EndRun(suspect, 1, at(2.3))
	tracker.EndRun(suspect, 2, at(2.3))

	tracker.RecordCrash(suspect, crashAt("i-2", 3), at(3))
	g.Expect(tracker.BeginRun(suspect, 9, at(3.1)).ConfirmAfter).To(BeNumerically(">", 0))
	decision := tracker.BeginRun(suspect, 5, at(3.11))
	g.Expect(decision.Changed).NotTo(BeNil())
	tracker.Merge([]Update{{ID: suspect[:], Runs: []RunRecord{{Key: 4}}}}, "other", at(3.112))
	g.Expect(tracker.ConfirmRun(suspect, 9, at(3.12)).Changed).NotTo(BeNil(), "the other gateway's run has the lower key")
	g.Expect(tracker.BeginRun(suspect, 9, at(3.2)).Changed).NotTo(BeNil())
	g.Expect(tracker.BeginRun(suspect, 9, at(6)).ConfirmAfter).To(BeNumerically(">", 0), "the other run has expired without an update")
}

func TestStrongSuspectsArePlacedOneAtATime(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	a, b := id("a"), id("b")
	for i := 1; i <= 2; i++ {
		tracker.RecordCrash(a, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
		tracker.RecordCrash(b, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	tracker.BeginRun(a, 1, at(3))
	tracker.BeginRun(b, 2, at(3))
	g.Expect(tracker.ConfirmRun(a, 1, at(3.02)).Changed).To(BeNil())
	g.Expect(tracker.ConfirmRun(b, 2, at(3.02)).Changed).NotTo(BeNil())
	tracker.SetServer(a, 1, "i-5", at(3.03))
	tracker.BeginRun(b, 2, at(3.04))
	g.Expect(tracker.ConfirmRun(b, 2, at(3.06)).Changed).To(BeNil())
	g.Expect(tracker.OccupiedServers(2, at(3.06))).To(Equal(map[string]bool{"i-5": true}))
}

func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	fatal := id("fatal")
	for i := 1; i <= 3; i++ {
		tracker.RecordCrash(fatal, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	g.Expect(evaluateVerdict(tracker, fatal, 3.1)).NotTo(BeNil())
	for i := range maxEntries + 100 {
		tracker.RecordCrash(id(fmt.Sprint("flood-", i)), crashAt(fmt.Sprint("o-", i), 4), at(4))
	}
	g.Expect(tracker.entries).To(HaveLen(maxEntries))
	g.Expect(tracker.Verdict(fatal)).NotTo(BeNil(), "quarantined requests are evicted last")
	g.Expect(len(tracker.DueUpdates(at(5)))).To(Equal(maxUpdatesPerBatch))
	g.Expect(len(tracker.Snapshot(at(5)))).To(Equal(maxSnapshotUpdates))
	for i := range 3 * maxCrashes {
		tracker.RecordCrash(id("often"), crashAt(fmt.Sprint("e-", i), 5+float64(i)), at(5+float64(i)))
	}
	g.Expect(len(tracker.entries[id("often")].crashes)).To(BeNumerically("<=", maxCrashes))
	tracker.Sweep(at(5).Add(evidenceTTL + time.Hour))
	g.Expect(tracker.entries).To(HaveLen(1), "the quarantined request")
	tracker.Sweep(at(5).Add(3 * 24 * time.Hour))
	g.Expect(tracker.HasEntries()).To(BeFalse())
}

// Updates give the same result in any order and however often they arrive.
func TestUpdatesMergeInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	fatal := id("fatal")
	var updates []Update
	for i := 1; i <= 3; i++ {
		witness := newTrackerWithHistory(12)
		witness.RecordCrash(fatal, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
		updates = append(updates, witness.DueUpdates(at(4))...)
	}
	g.Expect(updates).To(HaveLen(3))
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		tracker := newTrackerWithHistory(12)
		again := rapid.SliceOfN(rapid.SampledFrom(updates), 0, 10).Draw(t, "again")
		for i, update := range rapid.Permutation(append(again, updates...)).Draw(t, "order") {
			tracker.Merge([]Update{update}, fmt.Sprint(i), at(4))
		}
		v := evaluateVerdict(tracker, fatal, 4.1)
		g.Expect(v).NotTo(BeNil())
		g.Expect(v.Servers).To(ConsistOf("i-1", "i-2", "i-3"))
	})
}

// Gateways that could not reach each other had quarantined a request that ran bystander the fatal one.
func TestAQuarantineIsLiftedWhenAnotherVerdictExplainsItsCrashes(t *testing.T) {
	g := NewWithT(t)
	here, there := newTrackerWithHistory(12), newTrackerWithHistory(12)
	fatal, bystander := id("fatal"), id("beside")
	for i := 1; i <= 3; i++ {
		here.RecordCrash(bystander, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	for i := 1; i <= 4; i++ {
		there.RecordCrash(fatal, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	g.Expect(evaluateVerdict(here, bystander, 5)).NotTo(BeNil())
	g.Expect(evaluateVerdict(there, fatal, 5)).NotTo(BeNil())
	here.Merge(there.Snapshot(at(6)), "there", at(6))
	g.Expect(here.Verdict(bystander)).To(BeNil())
	g.Expect(here.Verdict(fatal)).NotTo(BeNil())
}

func TestATrialIsTheOnlyRunAndItsResponseEndsTheQuarantine(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	fatal := id("fatal")
	for i := 1; i <= 3; i++ {
		tracker.RecordCrash(fatal, crashAt(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	v := evaluateVerdict(tracker, fatal, 3.1)
	due := v.Until.Add(time.Second)
	g.Expect(tracker.BeginRun(fatal, 1, due).TrialDue).To(BeTrue())
	tracker.BeginTrial(fatal, 1, v.WithTrial(due), due)
	g.Expect(tracker.RecheckVerdict(fatal, 1).Verdict).To(BeNil(), "it is the trial")
	g.Expect(tracker.RecheckVerdict(fatal, 2).Verdict).NotTo(BeNil())
	decision := tracker.BeginRun(fatal, 2, due.Add(time.Second))
	g.Expect(decision.Verdict).NotTo(BeNil())
	g.Expect(decision.TrialDue).To(BeFalse())
	tracker.RecordResponse(fatal, due.Add(2*time.Second))
	g.Expect(tracker.BeginRun(fatal, 3, due.Add(3*time.Second))).To(Equal(Decision{}))
}

func TestAnUpdateFitsInADatagram(t *testing.T) {
	g := NewWithT(t)
	tracker := newTrackerWithHistory(12)
	for i := range maxCrashes {
		tracker.RecordCrash(id("often"), crashAt(fmt.Sprint("i-1234567890@17654321", 10000+i), float64(i)), at(float64(i)))
	}
	updates := tracker.DueUpdates(at(100))
	g.Expect(updates).To(HaveLen(1))
	g.Expect(updates[0].Size()).To(BeNumerically("<=", 1000))
}

func TestStoredVerdictsAreRead(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	v := Verdict{Since: now.Add(-20 * time.Second), Until: now.Add(40 * time.Second), Trials: 0, Servers: []string{"i-1"}}
	value, err := encodeVerdict(v, "edge-1")
	g.Expect(err).NotTo(HaveOccurred())
	read, err := decodeVerdict(value, now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.Until).To(BeTemporally("~", v.Until, 2*time.Millisecond))
	g.Expect(read.Servers).To(Equal(v.Servers))
	// With a clock an hour behind the writer's, the refusal is no longer than its period.
	late, err := decodeVerdict(value, now.Add(-time.Hour))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(late.Until.Sub(now.Add(-time.Hour))).To(Equal(refusalPeriod(0)))
	for _, bad := range []string{"", "{", `{"trials":-1}`, `{"since":5,"until":4}`} {
		_, err := decodeVerdict([]byte(bad), now)
		g.Expect(err).To(MatchError(ContainSubstring("verdict")), bad)
	}
}
