//go:build !race

// Fleets in simulated time run without the race detector: with the many short-lived goroutines, its own
// runtime fails in some runs (CHECK failed in tsan_rtl.cpp, or a segmentation violation).

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

// maxCrashes is how many servers a fatal request may crash: three until the verdict, and one in a trial.
const maxCrashes = 4

func TestEachKindOfRequestIsQuarantined(t *testing.T) {
	for kind := range simfleet.Routes {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := deploy(4, 12, 1)
				defer d.Close()
				last := d.sendFatal(kind, 150*time.Millisecond, 16*time.Second)
				g.Expect(d.crashCount()).To(BeNumerically("<=", maxCrashes))
				g.Expect(last.Status).To(Equal(503))
				g.Expect(last.Code).To(Equal("quarantined"))
				for _, n := range d.Nodes {
					g.Expect(quarantined(n)).To(HaveLen(1), n.Name)
				}
			})
		})
	}
}

// The same request arrives once every 3 s, at each gateway in turn, with only six servers.
func TestAnInfrequentRequestIsQuarantined(t *testing.T) {
	for kind := range simfleet.Routes {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := deploy(4, 6, 1)
				defer d.Close()
				for i := range 12 {
					d.SendRequest(d.Nodes[i%len(d.Nodes)], kind, fmt.Sprint("fatal-", i), fatalBody)
					time.Sleep(3 * time.Second)
				}
				g.Expect(d.crashCount()).To(BeNumerically("<=", maxCrashes))
			})
		})
	}
}

// Once the cause is removed, an answered trial ends the quarantine at all gateways and in the store.
func TestAnAnsweredTrialEndsTheQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.sendFatal("stream", 500*time.Millisecond, 10*time.Second)
		for _, n := range d.Nodes {
			g.Expect(quarantined(n)).To(HaveLen(1), n.Name)
		}
		d.disableFatal()
		d.sendFatal("stream", 500*time.Millisecond, 70*time.Second)
		for i, n := range d.Nodes {
			g.Expect(quarantined(n)).To(BeEmpty(), n.Name)
			g.Expect(d.SendRequest(n, "stream", fmt.Sprint("again-", i), fatalBody).Status).To(Equal(200))
		}
		g.Expect(d.crashCount()).To(Equal(3))
		for _, n := range d.Nodes { // all lose their memory
			d.KillNode(n)
			d.StartNode(n)
		}
		time.Sleep(5 * time.Second)
		g.Expect(d.SendRequest(d.Nodes[0], "stream", "later", fatalBody).Status).To(Equal(200))
	})
}

// Gateways that can't reach each other but can reach the store share one trial, and learn the verdict
// when the first server crashes on their side.
func TestSidesOfAPartitionLearnFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.partitionPeers(true)
		for i := range 40 { // on one side only
			d.SendRequest(d.Nodes[i%2], "once", fmt.Sprint("one-side-", i), fatalBody)
			time.Sleep(150 * time.Millisecond)
		}
		g.Expect(d.crashCount()).To(Equal(3))
		d.sendFatal("once", 150*time.Millisecond, 30*time.Second)
		g.Expect(d.crashCount()).To(Equal(4), "one crash makes the other side read the store")
		before := d.crashCount()
		d.sendFatal("once", 150*time.Millisecond, 60*time.Second)
		g.Expect(d.crashCount()).To(BeNumerically("<=", before+1), "one trial for both sides")
		for _, n := range d.Nodes {
			g.Expect(quarantined(n)).To(HaveLen(1), n.Name)
		}
	})
}

// partitionPeers separates the first two gateways from the others, or reconnects them.
func (d *deployment) partitionPeers(partitioned bool) {
	for i, a := range d.Nodes {
		for j, b := range d.Nodes {
			if (i < 2) != (j < 2) {
				d.PartitionNodes(a, b, partitioned)
			}
		}
	}
}

// A restart of all gateways does not restart the refusal period.
func TestARestartDoesNotRestartTheRefusalPeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.sendFatal("once", 150*time.Millisecond, 40*time.Second)
		for _, n := range d.Nodes {
			d.KillNode(n)
		}
		for _, n := range d.Nodes {
			d.StartNode(n)
		}
		d.disableFatal()
		d.sendFatal("once", 150*time.Millisecond, 30*time.Second)
		for _, n := range d.Nodes {
			g.Expect(quarantined(n)).To(BeEmpty(), n.Name)
		}
		g.Expect(d.crashCount()).To(Equal(3))
	})
}

// Many copies of a request arrive together, repeatedly. Runs of a suspect must be serialized.
func TestConcurrentCopiesAreSerialized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 14, 1)
		defer d.Close()
		for round := range 5 {
			var asked sync.WaitGroup
			for i := range 6 {
				asked.Go(func() { d.SendRequest(d.Nodes[i%4], "once", fmt.Sprint("copy-", round, "-", i), fatalBody) })
			}
			asked.Wait()
			time.Sleep(2 * detectionDelay)
		}
		g.Expect(d.crashCount()).To(BeNumerically("<=", 6-1+maxCrashes))
	})
}

// A verdict that was reached while the store was unreachable is written when the store is back.
func TestAVerdictIsWrittenWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		for _, n := range d.Nodes {
			d.PartitionStore(n, true)
		}
		d.sendFatal("once", 150*time.Millisecond, 5*time.Second)
		g.Expect(d.crashCount()).To(Equal(3))
		for _, n := range d.Nodes {
			d.PartitionStore(n, false)
		}
		d.sendFatal("once", 150*time.Millisecond, 5*time.Second)
		for _, n := range d.Nodes {
			d.KillNode(n)
		}
		for _, n := range d.Nodes {
			d.StartNode(n)
		}
		time.Sleep(2 * time.Second)
		d.sendFatal("once", 150*time.Millisecond, 10*time.Second)
		g.Expect(d.crashCount()).To(Equal(3))
	})
}

// A gateway that starts receives the evidence of the others, even before there is a verdict.
func TestEvidenceIsSentToAGatewayThatStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.SendRequest(d.Nodes[0], "once", "first", fatalBody)
		time.Sleep(20 * time.Second) // longer than updates are resent
		d.SendRequest(d.Nodes[0], "once", "second", fatalBody)
		time.Sleep(20 * time.Second)
		d.KillNode(d.Nodes[3])
		d.StartNode(d.Nodes[3])
		time.Sleep(3 * time.Second)
		_, suspects := d.Nodes[3].Gateway().Quarantine().List()
		g.Expect(suspects).To(Equal(1))
		d.SendRequest(d.Nodes[3], "once", "third", fatalBody)
		time.Sleep(time.Second)
		for _, n := range d.Nodes {
			g.Expect(quarantined(n)).To(HaveLen(1), n.Name)
		}
	})
}

// A harmless request that loses its server three times in a row, while idle servers crash as well, is
// not quarantined: the gateway checks which servers are still up.
func TestCrashesOfIdleServersAreDetected(t *testing.T) {
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
			index := d.lastServerOf("question")
			d.crashServer(d.Servers[index])
			d.crashServer(d.Servers[(index+1)%12])
			d.crashServer(d.Servers[(index+2)%12])
			<-asked
		}
		time.Sleep(time.Second)
		for _, n := range d.Nodes {
			g.Expect(quarantined(n)).To(BeEmpty(), n.Name)
		}
	})
}

// lastServerOf returns the server that ran a body last.
func (d *deployment) lastServerOf(body string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	found, newest := 0, time.Time{}
	for i, s := range d.Servers {
		w := d.RunningWorker(s)
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

// Lifting a quarantine at one gateway ends it at all gateways.
func TestAnOperatorLiftsAQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.sendFatal("once", 150*time.Millisecond, 5*time.Second)
		d.disableFatal()
		list := quarantined(d.Nodes[2])
		g.Expect(list).To(HaveLen(1))
		g.Expect(d.Nodes[2].Gateway().Quarantine().Lift(list[0].ID, time.Now())).To(BeTrue())
		time.Sleep(time.Second)
		for i, n := range d.Nodes {
			g.Expect(quarantined(n)).To(BeEmpty(), n.Name)
			g.Expect(d.SendRequest(n, "once", fmt.Sprint("lifted-", i), fatalBody).Status).To(Equal(200))
		}
	})
}
