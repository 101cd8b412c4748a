package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// at returns a moment of the tests' clock.
func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// end is the end of a server after a run of 60 ms.
func end(server string, seconds float64) Crash {
	return Crash{Server: server, SentAt: at(seconds - 0.06), At: at(seconds)}
}

func id(name string) ID { return Identify("team", "POST", "a.example", "/"+name, nil) }

// seasoned is a ledger that has seen calm for a while.
func seasoned(servers int) *Tracker {
	l := New()
	l.RecordRun(time.Second, at(-20))
	l.SetServerCount(servers)
	return l
}

// judged gives the verdict on a request at a moment.
func judged(l *Tracker, of ID, seconds float64) *Verdict {
	l.DueUpdates(at(seconds))
	return l.Verdict(of)
}

func TestThreeEndsOneAfterTheOtherGiveAVerdict(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	fatal := id("fatal")
	l.RecordCrash(fatal, end("i-1", 1), at(1))
	l.RecordCrash(fatal, end("i-1", 1), at(1)) // told twice
	l.RecordCrash(fatal, end("i-2", 2), at(2))
	g.Expect(judged(l, fatal, 2.1)).To(BeNil())
	l.RecordCrash(fatal, end("i-3", 3), at(3))
	v := judged(l, fatal, 3.1)
	g.Expect(v).NotTo(BeNil())
	g.Expect(v.Servers).To(ConsistOf("i-1", "i-2", "i-3"))
	g.Expect(v.Until).To(Equal(at(3.1).Add(rest(0))))
	g.Expect(l.Begin(fatal, 1, at(4)).Verdict).NotTo(BeNil())
	g.Expect(l.Begin(id("other"), 1, at(4))).To(Equal(Decision{}))
}

func TestAnAnswerInBetweenEndsSuspicion(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	harmless := id("harmless")
	l.RecordCrash(harmless, end("i-1", 1), at(1))
	l.RecordCrash(harmless, end("i-2", 2), at(2))
	l.RecordResponse(harmless, at(2.5))
	l.RecordCrash(harmless, end("i-3", 3), at(3))
	l.RecordCrash(harmless, end("i-0", 2.4), at(3)) // a late word of before
	g.Expect(judged(l, harmless, 3.1)).To(BeNil())
}

func TestEndsOfRunsAtTheSameTimeCountOnce(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	popular := id("popular")
	for i := range 5 { // a rack
		l.RecordCrash(popular, Crash{Server: fmt.Sprint("i-", i), SentAt: at(0.8), At: at(1 + float64(i)/100)}, at(1.1))
	}
	g.Expect(judged(l, popular, 1.2)).To(BeNil())
	g.Expect(independent(l.entries[popular].ends)).To(HaveLen(1))
}

func TestMoreEndsAreNeededWhereOtherServersEnd(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	fatal := id("fatal")
	l.RecordServerCrash("i-9", at(0.5))
	for i := 1; i <= 3; i++ {
		l.RecordCrash(fatal, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	g.Expect(judged(l, fatal, 3.1)).To(BeNil())
	l.RecordCrash(fatal, end("i-4", 4), at(4))
	g.Expect(judged(l, fatal, 4.1)).NotTo(BeNil())
}

// Of many requests that ran together on two servers in a row one is on the next that ends.
func TestMoreEndsAreNeededAfterCompany(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	for i := range 20 {
		l.RecordCrash(id(fmt.Sprint(i)), end("i-1", 1), at(1))
		l.RecordCrash(id(fmt.Sprint(i)), end("i-2", 2), at(2))
	}
	for i := range 19 {
		l.RecordResponse(id(fmt.Sprint(i)), at(2.5))
	}
	last := id("19")
	l.RecordCrash(last, end("i-3", 3), at(3))
	g.Expect(judged(l, last, 3.1)).To(BeNil())
	l.RecordCrash(last, end("i-4", 4), at(4))
	g.Expect(judged(l, last, 4.1)).NotTo(BeNil())
}

func TestLongRunsNeedMoreEndsWhereServersEndAllTheTime(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	for i := range 20 { // runs of 0.5 s, half of which meet the end of their server
		now := at(float64(i) / 2)
		l.RecordRun(500*time.Millisecond, now)
		l.RecordRun(500*time.Millisecond, now)
		l.RecordCrash(id(fmt.Sprint("other-", i)), Crash{Server: fmt.Sprint("o-", i), SentAt: now.Add(-500 * time.Millisecond), At: now}, now)
	}
	harmless := id("harmless")
	for i := range 6 {
		s := 9 + float64(i)*0.6
		l.RecordCrash(harmless, Crash{Server: fmt.Sprint("i-", i), SentAt: at(s - 0.5), At: at(s)}, at(s))
	}
	g.Expect(judged(l, harmless, 13)).To(BeNil())
}

// A gateway that has just started does not know how often servers end, and leaves the verdict to those
// who do, if there are any.
func TestANewcomerLeavesTheVerdictToOthers(t *testing.T) {
	g := NewWithT(t)
	for _, others := range []bool{true, false} {
		l := New()
		if others {
			beside := id("beside")
			l.Merge([]Update{{ID: beside[:], ObservedMS: recent.Milliseconds()}}, "elder", at(0))
		}
		fatal := id("fatal")
		for i := 1; i <= 3; i++ {
			l.RecordCrash(fatal, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
		}
		if others {
			g.Expect(judged(l, fatal, 3.1)).To(BeNil())
		} else {
			g.Expect(judged(l, fatal, 3.1)).NotTo(BeNil())
		}
	}
}

func TestAVerdictExplainsWhatElseRanThere(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	fatal, beside := id("fatal"), id("beside")
	for i := 1; i <= 2; i++ {
		l.RecordCrash(beside, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	for i := 1; i <= 4; i++ {
		l.RecordCrash(fatal, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	g.Expect(judged(l, fatal, 4.1)).NotTo(BeNil())
	l.RecordCrash(beside, end("i-3", 3), at(4.2)) // a late word
	g.Expect(l.Begin(beside, 1, at(5))).To(Equal(Decision{}), "nothing is left against it")
}

// Either of two that ran on the same servers may be the cause; the next end tells.
func TestTwoThatRanOnTheSameServersWaitForTheNextEnd(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	a, b := id("a"), id("b")
	for i := 1; i <= 4; i++ {
		l.RecordCrash(a, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
		l.RecordCrash(b, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	g.Expect(judged(l, a, 4.1)).To(BeNil())
	g.Expect(judged(l, b, 4.1)).To(BeNil())
	l.RecordCrash(a, end("i-5", 5), at(5))
	g.Expect(judged(l, a, 5.1)).NotTo(BeNil())
	g.Expect(l.Begin(b, 1, at(6))).To(Equal(Decision{}))
}

func TestOneRunOfASuspectGoesOnAtATime(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	suspect := id("suspect")
	l.RecordCrash(suspect, end("i-1", 1), at(1))
	g.Expect(l.Begin(suspect, 1, at(1.1))).To(Equal(Decision{}))
	g.Expect(l.Begin(suspect, 2, at(1.2)).Changed).NotTo(BeNil())
	g.Expect(l.Begin(suspect, 2, at(2.2))).To(Equal(Decision{}), "one end is common: no long wait")
	l.Done(suspect, 1, at(2.3))
	l.Done(suspect, 2, at(2.3))

	l.RecordCrash(suspect, end("i-2", 3), at(3))
	g.Expect(l.Begin(suspect, 9, at(3.1)).ConfirmAfter).To(BeNumerically(">", 0))
	word := l.Begin(suspect, 5, at(3.11))
	g.Expect(word.Changed).NotTo(BeNil())
	l.Merge([]Update{{ID: suspect[:], Runs: []RunRecord{{Key: 4}}}}, "other", at(3.112))
	g.Expect(l.Confirm(suspect, 9, at(3.12)).Changed).NotTo(BeNil(), "the other gateway's has the lower key")
	g.Expect(l.Begin(suspect, 9, at(3.2)).Changed).NotTo(BeNil())
	g.Expect(l.Begin(suspect, 9, at(6)).ConfirmAfter).To(BeNumerically(">", 0), "nothing was heard of that run")
}

func TestStrongSuspectsArePlacedOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	a, b := id("a"), id("b")
	for i := 1; i <= 2; i++ {
		l.RecordCrash(a, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
		l.RecordCrash(b, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	l.Begin(a, 1, at(3))
	l.Begin(b, 2, at(3))
	g.Expect(l.Confirm(a, 1, at(3.02)).Changed).To(BeNil())
	g.Expect(l.Confirm(b, 2, at(3.02)).Changed).NotTo(BeNil())
	l.SetServer(a, 1, "i-5", at(3.03))
	l.Begin(b, 2, at(3.04))
	g.Expect(l.Confirm(b, 2, at(3.06)).Changed).To(BeNil())
	g.Expect(l.OccupiedServers(2, at(3.06))).To(Equal(map[string]bool{"i-5": true}))
}

func TestWhatIsKeptIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	fatal := id("fatal")
	for i := 1; i <= 3; i++ {
		l.RecordCrash(fatal, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	g.Expect(judged(l, fatal, 3.1)).NotTo(BeNil())
	for i := range maxRequests + 100 {
		l.RecordCrash(id(fmt.Sprint("flood-", i)), end(fmt.Sprint("o-", i), 4), at(4))
	}
	g.Expect(l.entries).To(HaveLen(maxRequests))
	g.Expect(l.Verdict(fatal)).NotTo(BeNil(), "verdicts go last")
	g.Expect(len(l.DueUpdates(at(5)))).To(Equal(maxTold))
	g.Expect(len(l.Snapshot(at(5)))).To(Equal(maxToldToNew))
	for i := range 3 * maxEnds {
		l.RecordCrash(id("often"), end(fmt.Sprint("e-", i), 5+float64(i)), at(5+float64(i)))
	}
	g.Expect(len(l.entries[id("often")].ends)).To(BeNumerically("<=", maxEnds))
	l.Sweep(at(5).Add(keepEvidence + time.Hour))
	g.Expect(l.entries).To(HaveLen(1), "the verdict")
	l.Sweep(at(5).Add(3 * 24 * time.Hour))
	g.Expect(l.HasEntries()).To(BeFalse())
}

// Whatever the order in which gateways hear of each other, and how often, they come to the same.
func TestWordsMergeInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	fatal := id("fatal")
	var words []Update
	for i := 1; i <= 3; i++ {
		witness := seasoned(12)
		witness.RecordCrash(fatal, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
		words = append(words, witness.DueUpdates(at(4))...)
	}
	g.Expect(words).To(HaveLen(3))
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		l := seasoned(12)
		again := rapid.SliceOfN(rapid.SampledFrom(words), 0, 10).Draw(t, "again")
		for i, word := range rapid.Permutation(append(again, words...)).Draw(t, "order") {
			l.Merge([]Update{word}, fmt.Sprint(i), at(4))
		}
		v := judged(l, fatal, 4.1)
		g.Expect(v).NotTo(BeNil())
		g.Expect(v.Servers).To(ConsistOf("i-1", "i-2", "i-3"))
	})
}

// Gateways that could not hear each other took what ran beside the fatal request for the cause.
func TestAVerdictEndsThatAnotherExplains(t *testing.T) {
	g := NewWithT(t)
	here, there := seasoned(12), seasoned(12)
	fatal, beside := id("fatal"), id("beside")
	for i := 1; i <= 3; i++ {
		here.RecordCrash(beside, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	for i := 1; i <= 4; i++ {
		there.RecordCrash(fatal, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	g.Expect(judged(here, beside, 5)).NotTo(BeNil())
	g.Expect(judged(there, fatal, 5)).NotTo(BeNil())
	here.Merge(there.Snapshot(at(6)), "there", at(6))
	g.Expect(here.Verdict(beside)).To(BeNil())
	g.Expect(here.Verdict(fatal)).NotTo(BeNil())
}

func TestATrialIsTheOnlyRunAndItsAnswerEndsTheQuarantine(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	fatal := id("fatal")
	for i := 1; i <= 3; i++ {
		l.RecordCrash(fatal, end(fmt.Sprint("i-", i), float64(i)), at(float64(i)))
	}
	v := judged(l, fatal, 3.1)
	due := v.Until.Add(time.Second)
	g.Expect(l.Begin(fatal, 1, due).TrialDue).To(BeTrue())
	l.BeginTrial(fatal, 1, v.WithTrial(due), due)
	g.Expect(l.Check(fatal, 1).Verdict).To(BeNil(), "it is the trial")
	g.Expect(l.Check(fatal, 2).Verdict).NotTo(BeNil())
	word := l.Begin(fatal, 2, due.Add(time.Second))
	g.Expect(word.Verdict).NotTo(BeNil())
	g.Expect(word.TrialDue).To(BeFalse())
	l.RecordResponse(fatal, due.Add(2*time.Second))
	g.Expect(l.Begin(fatal, 3, due.Add(3*time.Second))).To(Equal(Decision{}))
}

func TestWhatIsToldFitsInADatagram(t *testing.T) {
	g := NewWithT(t)
	l := seasoned(12)
	for i := range maxEnds {
		l.RecordCrash(id("often"), end(fmt.Sprint("i-1234567890@17654321", 10000+i), float64(i)), at(float64(i)))
	}
	told := l.DueUpdates(at(100))
	g.Expect(told).To(HaveLen(1))
	g.Expect(told[0].Size()).To(BeNumerically("<=", 1000))
}

func TestKeptVerdictsAreRead(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	v := Verdict{Since: now.Add(-20 * time.Second), Until: now.Add(40 * time.Second), Trials: 0, Servers: []string{"i-1"}}
	value, err := encodeKept(v, "edge-1")
	g.Expect(err).NotTo(HaveOccurred())
	read, err := decodeKept(value, now)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read.Until).To(BeTemporally("~", v.Until, 2*time.Millisecond))
	g.Expect(read.Servers).To(Equal(v.Servers))
	// A host whose clock is an hour behind refuses no longer than a rest.
	late, err := decodeKept(value, now.Add(-time.Hour))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(late.Until.Sub(now.Add(-time.Hour))).To(Equal(rest(0)))
	for _, bad := range []string{"", "{", `{"trials":-1}`, `{"since":5,"until":4}`} {
		_, err := decodeKept([]byte(bad), now)
		g.Expect(err).To(MatchError(ContainSubstring("verdict")), bad)
	}
}
