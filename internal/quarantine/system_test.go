//go:build !race

// Simulated fleets run without the race detector, because its runtime sometimes fails with their many
// short-lived goroutines ("CHECK failed" in tsan_rtl.cpp, or a segmentation violation).

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

// maxCrashes is how many servers a fatal request may crash: three until the verdict and one in a trial.
const maxCrashes = 4

func TestEachKindOfRequestIsQuarantined(t *testing.T) {
	for route := range simfleet.Routes {
		t.Run(route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := deploy(4, 12, 1)
				defer d.Close()
				last := d.sendFatal(route, 150*time.Millisecond, 16*time.Second)
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

// A fatal request that arrives only every 3 s, at a different gateway each time, is still quarantined.
func TestAnInfrequentRequestIsQuarantined(t *testing.T) {
	for route := range simfleet.Routes {
		t.Run(route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				d := deploy(4, 6, 1)
				defer d.Close()
				for i := range 12 {
					d.SendRequest(d.Nodes[i%len(d.Nodes)], route, fmt.Sprint("fatal-", i), fatalBody)
					time.Sleep(3 * time.Second)
				}
				g.Expect(d.crashCount()).To(BeNumerically("<=", maxCrashes))
			})
		})
	}
}

// Once the cause is fixed, a trial that gets a response ends the quarantine at all gateways and in the
// store.
func TestATrialWithAResponseEndsTheQuarantine(t *testing.T) {
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
		for _, n := range d.Nodes { // all lose their in-memory state
			d.KillNode(n)
			d.StartNode(n)
		}
		time.Sleep(5 * time.Second)
		g.Expect(d.SendRequest(d.Nodes[0], "stream", "later", fatalBody).Status).To(Equal(200))
	})
}

// Gateways that can reach the store but not each other read the verdict from the store after the first
// server crash on their side, and share a single trial.
func TestPartitionedGatewaysShareVerdictsThroughTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.partitionPeers(true)
		for i := range 40 { // on one side of the partition only
			d.SendRequest(d.Nodes[i%2], "once", fmt.Sprint("one-side-", i), fatalBody)
			time.Sleep(150 * time.Millisecond)
		}
		g.Expect(d.crashCount()).To(Equal(3))
		d.sendFatal("once", 150*time.Millisecond, 30*time.Second)
		g.Expect(d.crashCount()).To(Equal(4), "the other side reads the store after one crash")
		before := d.crashCount()
		d.sendFatal("once", 150*time.Millisecond, 60*time.Second)
		g.Expect(d.crashCount()).To(BeNumerically("<=", before+1), "one trial for both sides together")
		for _, n := range d.Nodes {
			g.Expect(quarantined(n)).To(HaveLen(1), n.Name)
		}
	})
}

// partitionPeers partitions the network between the first two gateways and the others, or repairs it.
func (d *deployment) partitionPeers(partitioned bool) {
	for i, a := range d.Nodes {
		for j, b := range d.Nodes {
			if (i < 2) != (j < 2) {
				d.PartitionNodes(a, b, partitioned)
			}
		}
	}
}

// The refusal period continues after a restart of all gateways: the trial is due at the original time.
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

// Runs of a suspect are serialized, so copies of a fatal request that arrive concurrently, several times
// in a row, don't each crash a server.
func TestConcurrentCopiesAreSerialized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 14, 1)
		defer d.Close()
		for round := range 5 {
			var pending sync.WaitGroup
			for i := range 6 {
				pending.Go(func() { d.SendRequest(d.Nodes[i%4], "once", fmt.Sprint("copy-", round, "-", i), fatalBody) })
			}
			pending.Wait()
			time.Sleep(2 * detectionDelay)
		}
		g.Expect(d.crashCount()).To(BeNumerically("<=", 6-1+maxCrashes))
	})
}

// A verdict reached while the store is unreachable is written once the store is reachable again.
func TestAVerdictIsWrittenOnceTheStoreIsReachable(t *testing.T) {
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

// A starting gateway receives evidence from the others even if there is no verdict yet.
func TestEvidenceIsSentToAStartingGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.SendRequest(d.Nodes[0], "once", "first", fatalBody)
		time.Sleep(20 * time.Second) // updates are no longer resent
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

// A harmless request whose server crashes three times in a row is not quarantined if idle servers crash
// at the same time: the gateway probes which servers are still up.
func TestCrashesOfIdleServersAreDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := deploy(4, 12, 1)
		defer d.Close()
		d.SetEventInterval(50 * time.Millisecond)
		for range 3 {
			response := make(chan simfleet.Response, 1)
			go func() {
				response <- d.SendRequest(d.Nodes[0], "once", fmt.Sprint("harmless-", time.Now().UnixNano()), "question")
			}()
			time.Sleep(200 * time.Millisecond)
			index := d.lastServerOf("question")
			d.crashServer(d.Servers[index])
			d.crashServer(d.Servers[(index+1)%12])
			d.crashServer(d.Servers[(index+2)%12])
			<-response
		}
		time.Sleep(time.Second)
		for _, n := range d.Nodes {
			g.Expect(quarantined(n)).To(BeEmpty(), n.Name)
		}
	})
}

// lastServerOf returns the index of the server that most recently ran a request with the given body.
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
