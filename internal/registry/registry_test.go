package registry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// readyIDs returns the IDs of the servers of service "s" that may receive new requests.
func readyIDs(r *Registry) []string {
	var out []string
	for _, b := range r.Ready("s") {
		out = append(out, b.Server().ID)
	}
	return out
}

func TestOnlyReadyServersAreReturned(t *testing.T) {
	g := NewWithT(t)
	r, now := New(), time.Now()
	g.Expect(r.Loaded()).To(BeFalse())
	r.Replace([]Server{{ID: "b", Service: "s"}, {ID: "a", Service: "s"}, {ID: "c", Service: "s", Draining: true}, {ID: "d", Service: "other"}}, now, time.Time{})
	g.Expect(r.Loaded()).To(BeTrue())
	g.Expect(readyIDs(r)).To(Equal([]string{"a", "b"}))
	g.Expect(r.Apply([]Change{{ID: "a", Server: &Server{ID: "a", Service: "s", Draining: true}}, {ID: "b"}}, now, time.Time{})).To(Equal([]string{"b"}))
	g.Expect(readyIDs(r)).To(BeEmpty())
}

// A gateway does not read the list while its peers confirm that it is unchanged. Deferred removals
// must still take effect.
func TestConfirmAppliesDeferredRemovals(t *testing.T) {
	g := NewWithT(t)
	r, now := New(), time.Now()
	r.Replace([]Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, now, time.Time{})
	grace := now.Add(time.Second)
	r.Apply([]Change{{ID: "b"}}, now, grace)
	g.Expect(r.Confirm(now, now.Add(500*time.Millisecond), grace)).To(BeEmpty())
	g.Expect(r.Confirm(now.Add(time.Second), grace, grace)).To(Equal([]string{"b"}))
	g.Expect(readyIDs(r)).To(Equal([]string{"a"}))
	g.Expect(r.Age(grace.Add(time.Second))).To(Equal(time.Second))
}

func TestConfirmWithoutGraceAppliesAllRemovals(t *testing.T) {
	g := NewWithT(t)
	r, now := New(), time.Now()
	r.Replace([]Server{{ID: "a", Service: "s"}}, now, time.Time{})
	r.Apply([]Change{{ID: "a"}}, now, now.Add(time.Second))
	g.Expect(readyIDs(r)).To(Equal([]string{"a"}))
	// Another gateway could reach the store throughout, so the entry did not expire because of an
	// outage.
	g.Expect(r.Confirm(now, now, time.Time{})).To(Equal([]string{"a"}))
	g.Expect(readyIDs(r)).To(BeEmpty())
}

func TestRemovalsAfterOutageAreDeferred(t *testing.T) {
	g := NewWithT(t)
	r, now := New(), time.Now()
	r.Replace([]Server{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s", Draining: true}}, now, time.Time{})
	grace := now.Add(time.Second)
	g.Expect(r.Replace(nil, now, grace)).To(Equal([]string{"c"})) // servers that are draining are removed at once
	g.Expect(readyIDs(r)).To(Equal([]string{"a", "b"}))
	r.Apply([]Change{{ID: "a", Server: &Server{ID: "a", Service: "s"}}}, now.Add(500*time.Millisecond), grace)
	g.Expect(r.Apply(nil, grace, grace)).To(Equal([]string{"b"}))
	g.Expect(readyIDs(r)).To(Equal([]string{"a"}))
}

// For any sequence of changes, the servers that may receive requests are those whose newest entry
// is ready, and no removal is deferred beyond its grace period.
func TestNewestEntryTakesEffect(t *testing.T) {
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
		for _, id := range readyIDs(r) {
			ready[id] = true
		}
		for id, want := range newest {
			if ready[id] != want {
				t.Fatalf("%s: ready %v, want %v", id, ready[id], want)
			}
		}
	})
}

func TestUnreachableServerIsAvoidedTemporarily(t *testing.T) {
	g := NewWithT(t)
	b, now := &Backend{}, time.Unix(0, 0)
	b.RecordFailure(now, true)
	g.Expect(b.View(now).Avoided).To(BeTrue())
	g.Expect(b.View(now.Add(initialAvoidance)).Avoided).To(BeFalse())
	for range 20 {
		b.RecordFailure(now, true)
	}
	g.Expect(b.View(now.Add(maxAvoidance - time.Millisecond)).Avoided).To(BeTrue())
	g.Expect(b.View(now.Add(maxAvoidance)).Avoided).To(BeFalse())
	b.RecordSuccess(now)
	g.Expect(b.View(now).Avoided).To(BeFalse())
}

func TestErrorRateTracksRecentFailures(t *testing.T) {
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

func TestViewCountsOwnRequests(t *testing.T) {
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
	g.Expect(b.View(now.Add(loadReportTTL)).Load.Running).To(Equal(3))
	g.Expect(b.View(now.Add(loadReportTTL + time.Millisecond)).Load).To(Equal(Load{}))
	b.EndRequest()
	g.Expect(b.View(now).InFlight).To(Equal(1))
}

// A server that restarts with the same ID is a new instance: no state observed of the previous
// instance applies to it, and neither do late results of that instance.
func TestRestartedServerHasNewState(t *testing.T) {
	g := NewWithT(t)
	r, now := New(), time.Now()
	var restarted []string
	r.OnRestart(func(address string) { restarted = append(restarted, address) })
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
	g.Expect(restarted).To(BeEmpty())

	r.Apply([]Change{entry(2000, "10.0.0.2:80")}, now, time.Time{})
	g.Expect(restarted).To(Equal([]string{"10.0.0.1:80"}))
	after := r.Ready("s")[0]
	g.Expect(after.View(now)).To(Equal(View{}))
	g.Expect(after.Server().InstanceID()).To(Equal("a@2000"))
	// Late reports of the previous instance.
	before.RecordLoad(Load{Running: 7, Slots: 8, At: now})
	before.RecordReplaced(now)
	before.EndRequest()
	g.Expect(after.View(now)).To(Equal(View{}))

	// An entry without a start time does not indicate a restart.
	r.Apply([]Change{entry(0, "10.0.0.2:80")}, now, time.Time{})
	g.Expect(r.Ready("s")[0]).To(BeIdenticalTo(after))
	g.Expect(after.Server().InstanceID()).To(Equal("a"))
}

// For any sequence of listed instances, the state only reflects requests to the newest listed
// instance.
func TestStateBelongsToOneInstance(t *testing.T) {
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
				t.Fatalf("%d requests in flight at the instance started at %d, %d were sent to it", got, started, sent)
			}
		}
	})
}
