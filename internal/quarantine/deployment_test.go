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
	// fatalBody is the body of a request that crashes the server which runs it, after crashDelay.
	fatalBody  = "a prompt that crashes every engine"
	crashDelay = 60 * time.Millisecond
	// restartDelay is how long a server is down after a crash.
	restartDelay = 2500 * time.Millisecond
	// detectionDelay is the time from a crash until all gateways know of it.
	detectionDelay = 10 * time.Millisecond
)

// deployment is a simulated fleet whose servers crash when they run the fatal request. It must be used
// in a synctest bubble.
type deployment struct {
	*simfleet.Fleet

	mu             sync.Mutex
	fatalEnabled   bool           // whether the fatal request crashes servers
	crashTimes     []time.Time    // times of the crashes caused by the fatal request
	responseCounts map[string]int // responses to harmless requests, by status and error code
	refusedIDs     []string       // IDs of harmless requests that were refused as quarantined
}

func deploy(gateways, servers int, seed uint64) *deployment {
	d := &deployment{fatalEnabled: true, responseCounts: map[string]int{}}
	d.Fleet = simfleet.New(gateways, servers, seed, d.enableFatal)
	return d
}

// enableFatal makes a server instance crash when it runs the fatal request.
func (d *deployment) enableFatal(s *simfleet.Server, w *worker.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fatalEnabled {
		w.CrashOn(fatalBody, crashDelay, func() { d.recordFatalCrash(s, w) })
	}
}

// recordFatalCrash records a crash caused by the fatal request and crashes the server.
func (d *deployment) recordFatalCrash(s *simfleet.Server, w *worker.Worker) {
	if d.RunningWorker(s) != w {
		return // the instance has stopped for another reason in the meantime
	}
	d.mu.Lock()
	d.crashTimes = append(d.crashTimes, time.Now())
	d.mu.Unlock()
	d.crashServer(s)
}

// crashServer kills a server and restarts it as a new instance after restartDelay.
func (d *deployment) crashServer(s *simfleet.Server) {
	if d.KillServer(s) {
		d.Go(func() {
			if d.Sleep(restartDelay) {
				d.StartServer(s)
			}
		})
	}
}

// disableFatal makes the fatal request harmless on all servers.
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

// sendFatal sends the fatal request to random gateways at an interval for a duration. It returns the
// response that arrived last.
func (d *deployment) sendFatal(route string, interval, duration time.Duration) (last simfleet.Response) {
	var pending sync.WaitGroup
	var mu sync.Mutex
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		n := d.Nodes[d.RandIntN(len(d.Nodes))]
		id := fmt.Sprintf("fatal-%d-%d", d.NextID(), i)
		pending.Go(func() {
			r := d.SendRequest(n, route, id, fatalBody)
			mu.Lock()
			last = r
			mu.Unlock()
		})
		time.Sleep(interval)
	}
	pending.Wait()
	return last
}

// sendHarmless sends harmless requests to random gateways at an interval for a duration, cycling
// through the given number of different bodies.
func (d *deployment) sendHarmless(route string, bodies int, interval, duration time.Duration) {
	var pending sync.WaitGroup
	rnd := rand.New(rand.NewPCG(7, uint64(bodies)))
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		n := d.Nodes[rnd.IntN(len(d.Nodes))]
		id := fmt.Sprintf("harmless-%s-%d", route, d.NextID())
		pending.Go(func() {
			r := d.SendRequest(n, route, id, fmt.Sprint("question ", i%bodies))
			d.mu.Lock()
			defer d.mu.Unlock()
			d.responseCounts[fmt.Sprint(r.Status, " ", r.Code)]++
			if r.Code == "quarantined" {
				d.refusedIDs = append(d.refusedIDs, id)
			}
		})
		time.Sleep(interval)
	}
	pending.Wait()
}

// quarantined returns the requests that are quarantined at a gateway.
func quarantined(n *simfleet.Node) []quarantine.QuarantinedRequest {
	list, _ := n.Gateway().Quarantine().List()
	return list
}

// crashCount returns the number of crashes caused by the fatal request.
func (d *deployment) crashCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.crashTimes)
}
