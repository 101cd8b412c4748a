package registry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func ids(r *Registry) []string {
	var out []string
	for _, b := range r.Ready("s") {
		out = append(out, b.Server().ID)
	}
	return out
}

func TestOnlyReadyServersGetWork(t *testing.T) {
	g := NewWithT(t)
	r, now := New(), time.Now()
	g.Expect(r.Loaded()).To(BeFalse())
	r.Replace([]Server{{ID: "b", Service: "s"}, {ID: "a", Service: "s"}, {ID: "c", Service: "s", Draining: true}, {ID: "d", Service: "other"}}, now, time.Time{})
	g.Expect(r.Loaded()).To(BeTrue())
	g.Expect(ids(r)).To(Equal([]string{"a", "b"}))
	g.Expect(r.Apply([]Change{{ID: "a", Server: &Server{ID: "a", Service: "s", Draining: true}}, {ID: "b"}}, now, time.Time{})).To(Equal([]string{"b"}))
	g.Expect(ids(r)).To(BeEmpty())
}

// A gateway that hears from others that nothing has changed does not read the list
// again; what is held back must lapse all the same.
func TestAConfirmationEndsTheGraceOfRemovals(t *testing.T) {
	g := NewWithT(t)
	r, now := New(), time.Now()
	r.Replace([]Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, now, time.Time{})
	grace := now.Add(time.Second)
	r.Apply([]Change{{ID: "b"}}, now, grace)
	g.Expect(r.Confirm(now, now.Add(500*time.Millisecond), grace)).To(BeEmpty())
	g.Expect(r.Confirm(now.Add(time.Second), grace, grace)).To(Equal([]string{"b"}))
	g.Expect(ids(r)).To(Equal([]string{"a"}))
	g.Expect(r.Age(grace.Add(time.Second))).To(Equal(time.Second))
}

func TestWithoutAnOutageNothingIsHeldBack(t *testing.T) {
	g := NewWithT(t)
	r, now := New(), time.Now()
	r.Replace([]Server{{ID: "a", Service: "s"}}, now, time.Time{})
	r.Apply([]Change{{ID: "a"}}, now, now.Add(time.Second))
	g.Expect(ids(r)).To(Equal([]string{"a"}))
	// Another process was in touch with the list all the while.
	g.Expect(r.Confirm(now, now, time.Time{})).To(Equal([]string{"a"}))
	g.Expect(ids(r)).To(BeEmpty())
}

func TestRemovalsAfterAnOutageAreHeldBack(t *testing.T) {
	g := NewWithT(t)
	r, now := New(), time.Now()
	r.Replace([]Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s", Draining: true}}, now, time.Time{})
	grace := now.Add(time.Second)
	g.Expect(r.Replace(nil, now, grace)).To(Equal([]string{"c"})) // it had said that it leaves
	g.Expect(ids(r)).To(Equal([]string{"a", "b"}))
	r.Apply([]Change{{ID: "a", Server: &Server{ID: "a", Service: "s"}}}, now.Add(500*time.Millisecond), grace)
	g.Expect(r.Apply(nil, grace, grace)).To(Equal([]string{"b"}))
	g.Expect(ids(r)).To(Equal([]string{"a"}))
}

// Whatever is written in whatever order, the servers that may get work are those
// whose newest entry is ready, and a removal is never held back beyond its grace.
func TestTheNewestEntryDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := New(), time.Unix(0, 0)
		newest := map[string]bool{}
		var grace time.Time
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "outage") == 0 {
				grace = now.Add(2 * time.Second)
			}
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			switch rapid.IntRange(0, 2).Draw(t, "change") {
			case 0:
				r.Apply([]Change{{ID: id, Server: &Server{ID: id, Service: "s"}}}, now, grace)
				newest[id] = true
			case 1:
				r.Apply([]Change{{ID: id, Server: &Server{ID: id, Service: "s", Draining: true}}}, now, grace)
				newest[id] = false
			default:
				r.Apply([]Change{{ID: id}}, now, grace)
				newest[id] = false
			}
		}
		r.Apply(nil, now.Add(3*time.Second), grace)
		ready := map[string]bool{}
		for _, id := range ids(r) {
			ready[id] = true
		}
		for id, want := range newest {
			if ready[id] != want {
				t.Fatalf("%s: ready %v, want %v", id, ready[id], want)
			}
		}
	})
}

func TestAnUnreachableServerIsAvoidedForAWhile(t *testing.T) {
	g := NewWithT(t)
	b, now := &Backend{}, time.Unix(0, 0)
	b.RecordFailure(now, true)
	g.Expect(b.View(now).Avoided).To(BeTrue())
	g.Expect(b.View(now.Add(firstAvoidance)).Avoided).To(BeFalse())
	for range 20 {
		b.RecordFailure(now, true)
	}
	g.Expect(b.View(now.Add(longestAvoidance - time.Millisecond)).Avoided).To(BeTrue())
	g.Expect(b.View(now.Add(longestAvoidance)).Avoided).To(BeFalse())
	b.RecordSuccess(now)
	g.Expect(b.View(now).Avoided).To(BeFalse())
}

func TestTheErrorShareFollowsWhatFailsNow(t *testing.T) {
	g := NewWithT(t)
	b, now := &Backend{}, time.Unix(0, 0)
	for i := range 100 {
		now = now.Add(30 * time.Millisecond)
		if i%2 == 0 {
			b.RecordFailure(now, false)
		} else {
			b.RecordSuccess(now)
		}
	}
	g.Expect(b.View(now).ErrorRate).To(BeNumerically("~", 0.5, 0.06))
	g.Expect(b.View(now.Add(30 * time.Second)).ErrorRate).To(BeNumerically("<", 0.01))
}

func TestOwnLoadIsCounted(t *testing.T) {
	g := NewWithT(t)
	b, now := &Backend{}, time.Unix(0, 0)
	b.BeginRequest(100)
	b.BeginRequest(50)
	b.RecordFirstToken(100)
	b.RecordLoad(Load{Running: 3, Slots: 8, At: now})
	v := b.View(now)
	g.Expect(v.InFlight).To(Equal(2))
	g.Expect(v.UnreadTokens).To(BeEquivalentTo(50))
	g.Expect(v.Load.Running).To(Equal(3))
	g.Expect(b.View(now.Add(reportFor)).Load.Running).To(Equal(3))
	g.Expect(b.View(now.Add(reportFor + time.Millisecond)).Load).To(Equal(Load{}))
	b.EndRequest()
	g.Expect(b.View(now).InFlight).To(Equal(1))
}

// A server that starts again under its ID is another process: nothing that was learnt of
// the one before counts for it, and what comes late of that one neither.
func TestAServerThatStartsAgainIsLearntAnew(t *testing.T) {
	g := NewWithT(t)
	r, now := New(), time.Now()
	var ended []string
	r.OnRestart(func(address string) { ended = append(ended, address) })
	entry := func(started int64, address string) Change {
		return Change{ID: "a", Server: &Server{ID: "a", Service: "s", Address: address, Slots: 8, StartUnixMs: started}}
	}
	r.Apply([]Change{entry(1000, "10.0.0.1:80")}, now, time.Time{})
	before := r.Ready("s")[0]
	before.BeginRequest(500)
	before.RecordLoad(Load{Running: 8, Waiting: 3, Slots: 8, At: now})
	for range 5 {
		before.RecordFailure(now, true)
	}
	r.Apply([]Change{entry(1000, "10.0.0.1:80")}, now, time.Time{}) // a heartbeat
	g.Expect(r.Ready("s")[0]).To(BeIdenticalTo(before))
	g.Expect(ended).To(BeEmpty())

	r.Apply([]Change{entry(2000, "10.0.0.2:80")}, now, time.Time{})
	g.Expect(ended).To(Equal([]string{"10.0.0.1:80"}))
	after := r.Ready("s")[0]
	g.Expect(after.View(now)).To(Equal(View{}))
	g.Expect(after.Server().InstanceID()).To(Equal("a@2000"))
	// Late words of the old process.
	before.RecordLoad(Load{Running: 7, Slots: 8, At: now})
	before.RecordReplaced(now)
	before.EndRequest()
	g.Expect(after.View(now)).To(Equal(View{}))

	// An entry that does not state its start says nothing of a restart.
	r.Apply([]Change{entry(0, "10.0.0.2:80")}, now, time.Time{})
	g.Expect(r.Ready("s")[0]).To(BeIdenticalTo(after))
	g.Expect(after.Server().InstanceID()).To(Equal("a"))
}

// Whatever starts of a server are listed in whatever order, the state is that of the
// newest listed one alone.
func TestStateBelongsToOneStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := New(), time.Unix(0, 0)
		started, sent := int64(0), 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "listed") || started == 0 {
				next := rapid.Int64Range(1, 3).Draw(t, "started")
				r.Replace([]Server{{ID: "a", Service: "s", Address: "x", StartUnixMs: next}}, now, time.Time{})
				if next != started {
					started, sent = next, 0
				}
			}
			r.Ready("s")[0].BeginRequest(1)
			sent++
			if got := r.Ready("s")[0].View(now).InFlight; got != sent {
				t.Fatalf("%d requests at start %d, %d were sent to it", got, started, sent)
			}
		}
	})
}
