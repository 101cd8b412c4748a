//go:build !race

// Whole fleets in simulated time run without the race detector, whose own runtime fails in some runs of
// them (CHECK failed in tsan_rtl.cpp, or a segmentation violation): many goroutines come and go.

package quarantine_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/standin/simfleet"
)

// mostEnds is how many servers may end: three that show what the request is, and a trial.
const mostEnds = 4

func TestEachKindOfRequestIsQuarantined(t *testing.T) {
	for kind := range simfleet.Routes {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := deploy(4, 12, 1)
				defer d.Close()
				last := d.askFatal(kind, 150*time.Millisecond, 16*time.Second)
				g.Expect(d.ended()).To(BeNumerically("<=", mostEnds))
				g.Expect(last.Status).To(Equal(503))
				g.Expect(last.Code).To(Equal("quarantined"))
				for _, n := range d.Nodes {
					g.Expect(quarantined(n)).To(HaveLen(1), n.Name)
				}
			})
		})
	}
}

// The same request once every 3 s at the gateways in turn, as few as six servers.
func TestASlowRequestIsQuarantined(t *testing.T) {
	for kind := range simfleet.Routes {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := deploy(4, 6, 1)
				defer d.Close()
				for i := range 12 {
					d.SendRequest(d.Nodes[i%len(d.Nodes)], kind, fmt.Sprint("fatal-", i), fatal)
					time.Sleep(3 * time.Second)
				}
				g.Expect(d.ended()).To(BeNumerically("<=", mostEnds))
			})
		})
	}
}

// Where the cause has gone, a trial ends the quarantine everywhere and in the store.
func TestAnAnsweredTrialEndsTheQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.askFatal("stream", 500*time.Millisecond, 10*time.Second)
		for _, n := range d.Nodes {
			g.Expect(quarantined(n)).To(HaveLen(1), n.Name)
		}
		d.heal()
		d.askFatal("stream", 500*time.Millisecond, 70*time.Second)
		for i, n := range d.Nodes {
			g.Expect(quarantined(n)).To(BeEmpty(), n.Name)
			g.Expect(d.SendRequest(n, "stream", fmt.Sprint("again-", i), fatal).Status).To(Equal(200))
		}
		g.Expect(d.ended()).To(Equal(3))
		for _, n := range d.Nodes { // all forget
			d.KillNode(n)
			d.StartNode(n)
		}
		time.Sleep(5 * time.Second)
		g.Expect(d.SendRequest(d.Nodes[0], "stream", "later", fatal).Status).To(Equal(200))
	})
}

// Gateways that can't hear each other but reach the store have one trial together, and learn the
// verdict with the first server that ends on their side.
func TestSidesOfACutLearnFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.cutPeers(true)
		for i := range 40 { // at one side only
			d.SendRequest(d.Nodes[i%2], "once", fmt.Sprint("one-side-", i), fatal)
			time.Sleep(150 * time.Millisecond)
		}
		g.Expect(d.ended()).To(Equal(3))
		d.askFatal("once", 150*time.Millisecond, 30*time.Second)
		g.Expect(d.ended()).To(Equal(4), "one end has the other side ask the store")
		before := d.ended()
		d.askFatal("once", 150*time.Millisecond, 60*time.Second)
		g.Expect(d.ended()).To(BeNumerically("<=", before+1), "one trial for both sides")
		for _, n := range d.Nodes {
			g.Expect(quarantined(n)).To(HaveLen(1), n.Name)
		}
	})
}

// cutPeers cuts the first two gateways from the others, or mends it.
func (d *deployment) cutPeers(cut bool) {
	for i, a := range d.Nodes {
		for j, b := range d.Nodes {
			if (i < 2) != (j < 2) {
				d.PartitionNodes(a, b, cut)
			}
		}
	}
}

// When all gateways start again, the rest of a quarantine goes on where it was.
func TestARestDoesNotBeginAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.askFatal("once", 150*time.Millisecond, 40*time.Second)
		for _, n := range d.Nodes {
			d.KillNode(n)
		}
		for _, n := range d.Nodes {
			d.StartNode(n)
		}
		d.heal()
		d.askFatal("once", 150*time.Millisecond, 30*time.Second)
		for _, n := range d.Nodes {
			g.Expect(quarantined(n)).To(BeEmpty(), n.Name)
		}
		g.Expect(d.ended()).To(Equal(3))
	})
}

// Many copies that come together again and again: a run at a time is tried of what is a suspect.
func TestCopiesThatComeTogetherWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 14, 1)
		defer d.Close()
		for round := range 5 {
			var asked sync.WaitGroup
			for i := range 6 {
				asked.Go(func() { d.SendRequest(d.Nodes[i%4], "once", fmt.Sprint("copy-", round, "-", i), fatal) })
			}
			asked.Wait()
			time.Sleep(2 * firstKnown)
		}
		g.Expect(d.ended()).To(BeNumerically("<=", 6-1+mostEnds))
	})
}

// A verdict that was reached while the store was away is kept as soon as it is back.
func TestAVerdictIsKeptWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		for _, n := range d.Nodes {
			d.PartitionStore(n, true)
		}
		d.askFatal("once", 150*time.Millisecond, 5*time.Second)
		g.Expect(d.ended()).To(Equal(3))
		for _, n := range d.Nodes {
			d.PartitionStore(n, false)
		}
		d.askFatal("once", 150*time.Millisecond, 5*time.Second)
		for _, n := range d.Nodes {
			d.KillNode(n)
		}
		for _, n := range d.Nodes {
			d.StartNode(n)
		}
		time.Sleep(2 * time.Second)
		d.askFatal("once", 150*time.Millisecond, 10*time.Second)
		g.Expect(d.ended()).To(Equal(3))
	})
}

// A gateway that starts knows at once what the others know, before there is a verdict.
func TestEvidenceIsToldToAGatewayThatStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.SendRequest(d.Nodes[0], "once", "first", fatal)
		time.Sleep(20 * time.Second) // nobody repeats it any more
		d.SendRequest(d.Nodes[0], "once", "second", fatal)
		time.Sleep(20 * time.Second)
		d.KillNode(d.Nodes[3])
		d.StartNode(d.Nodes[3])
		time.Sleep(3 * time.Second)
		_, suspects := d.Nodes[3].Gateway().Quarantine().List()
		g.Expect(suspects).To(Equal(1))
		d.SendRequest(d.Nodes[3], "once", "third", fatal)
		time.Sleep(time.Second)
		for _, n := range d.Nodes {
			g.Expect(quarantined(n)).To(HaveLen(1), n.Name)
		}
	})
}

// A harmless request that meets the end of its server three times in a row, while idle servers end as
// well, is not blamed: the gateway looks which servers are still there.
func TestEndsOfIdleServersAreSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.SetEventInterval(50 * time.Millisecond)
		for range 3 {
			asked := make(chan simfleet.Response, 1)
			go func() {
				asked <- d.SendRequest(d.Nodes[0], "once", fmt.Sprint("harmless-", time.Now().UnixNano()), "question")
			}()
			time.Sleep(200 * time.Millisecond)
			busy := d.busy("question")
			d.endServer(d.Servers[busy])
			d.endServer(d.Servers[(busy+1)%12])
			d.endServer(d.Servers[(busy+2)%12])
			<-asked
		}
		time.Sleep(time.Second)
		for _, n := range d.Nodes {
			g.Expect(quarantined(n)).To(BeEmpty(), n.Name)
		}
	})
}

// busy returns the server that has run a body last.
func (d *deployment) busy(body string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	found, newest := 0, time.Time{}
	for i, s := range d.Servers {
		w := d.CurrentWorker(s)
		if w == nil {
			continue
		}
		for _, r := range w.Executions() {
			if r.Body == body && r.At.After(newest) {
				found, newest = i, r.At
			}
		}
	}
	return found
}

// An operator lifts a quarantine at one gateway, and it ends at all.
func TestAnOperatorLiftsAQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.askFatal("once", 150*time.Millisecond, 5*time.Second)
		d.heal()
		list := quarantined(d.Nodes[2])
		g.Expect(list).To(HaveLen(1))
		g.Expect(d.Nodes[2].Gateway().Quarantine().Lift(list[0].ID, time.Now())).To(BeTrue())
		time.Sleep(time.Second)
		for i, n := range d.Nodes {
			g.Expect(quarantined(n)).To(BeEmpty(), n.Name)
			g.Expect(d.SendRequest(n, "once", fmt.Sprint("lifted-", i), fatal).Status).To(Equal(200))
		}
	})
}
