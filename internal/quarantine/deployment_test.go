//go:build !race

package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/standin/simfleet"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

const (
	// fatal is the body of a request that crashes the server which runs it, after crashDelay.
	fatalBody  = "a prompt that ends every engine"
	crashDelay = 60 * time.Millisecond
	// restartDelay is how long a server is down after a crash.
	restartDelay = 2500 * time.Millisecond
	// detectionDelay is how long it takes until all gateways know of a crash.
	detectionDelay = 10 * time.Millisecond
)

// deployment is a fleet whose servers are crashed by a fatal request. It runs in a synctest bubble.
type deployment struct {
	*simfleet.Fleet

	mu             sync.Mutex
	fatalEnabled   bool        // the fatal request still crashes servers
	crashTimes     []time.Time // of crashes by the fatal request
	responseCounts map[string]int
	refusedIDs     []string // IDs of harmless requests that were refused as quarantined
}

func deploy(gateways, servers int, seed uint64) *deployment {
	d := &deployment{fatalEnabled: true, responseCounts: map[string]int{}}
	d.Fleet = simfleet.New(gateways, servers, seed, d.enableFatal)
	return d
}

// armFatal makes a server instance crash on the fatal request.
func (d *deployment) enableFatal(s *simfleet.Server, w *worker.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fatalEnabled {
		w.CrashOn(fatalBody, crashDelay, func() { d.recordFatalCrash(s, w) })
	}
}

// recordFatalCrash counts a crash by the fatal request.
func (d *deployment) recordFatalCrash(s *simfleet.Server, w *worker.Worker) {
	if d.RunningWorker(s) != w {
		return // the instance has stopped for another reason meanwhile
	}
	d.mu.Lock()
	d.crashTimes = append(d.crashTimes, time.Now())
	d.mu.Unlock()
	d.crashServer(s)
}

// crashServer stops a server without notice and restarts it as a new instance.
func (d *deployment) crashServer(s *simfleet.Server) {
	if d.KillServer(s) {
		d.Go(func() {
			if d.Sleep(restartDelay) {
				d.StartServer(s)
			}
		})
	}
}

// heal makes the fatal request harmless.
func (d *deployment) disableFatal() {
	d.mu.Lock()
	d.fatalEnabled = false
	d.mu.Unlock()
	for _, s := range d.Servers {
		if w := d.RunningWorker(s); w != nil {
			w.CrashOn("", 0, nil)
		}
	}
}

// sendFatal sends the fatal request to random gateways at an interval, for a duration, and returns the
// reply that came last.
func (d *deployment) sendFatal(kind string, every, until time.Duration) (last simfleet.Response) {
	var asked sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(until)
	for i := 0; time.Now().Before(end); i++ {
		n := d.Nodes[d.RandIntN(len(d.Nodes))]
		id := fmt.Sprintf("fatal-%d-%d", d.NextID(), i)
		asked.Go(func() {
			r := d.SendRequest(n, kind, id, fatalBody)
			mu.Lock()
			last = r
			mu.Unlock()
		})
		time.Sleep(every)
	}
	asked.Wait()
	return last
}

// sendHarmless sends harmless requests with a number of different bodies at an interval, for a duration.
func (d *deployment) sendHarmless(kind string, bodies int, every, until time.Duration) {
	var asked sync.WaitGroup
	rnd := rand.New(rand.NewPCG(7, uint64(bodies)))
	end := time.Now().Add(until)
	for i := 0; time.Now().Before(end); i++ {
		n := d.Nodes[rnd.IntN(len(d.Nodes))]
		id := fmt.Sprintf("harmless-%s-%d", kind, d.NextID())
		asked.Go(func() {
			r := d.SendRequest(n, kind, id, fmt.Sprint("question ", i%bodies))
			d.mu.Lock()
			defer d.mu.Unlock()
			d.responseCounts[fmt.Sprint(r.Status, " ", r.Code)]++
			if r.Code == "quarantined" {
				d.refusedIDs = append(d.refusedIDs, id)
			}
		})
		time.Sleep(every)
	}
	asked.Wait()
}

// quarantined returns the quarantined requests that a gateway knows.
func quarantined(n *simfleet.Node) []quarantine.QuarantinedRequest {
	list, _ := n.Gateway().Quarantine().List()
	return list
}

// crashCount returns the number of crashes by the fatal request.
func (d *deployment) crashCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.crashTimes)
}
