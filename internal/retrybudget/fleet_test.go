//go:build !race

// Excluded under the race detector, whose runtime fails in some simulations of whole fleets with a synthetic clock.

package retrybudget_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/gateway"
	"github.com/merlinpost/merlinpost/internal/retrybudget"
	"github.com/merlinpost/merlinpost/internal/standin/retryrule"
	"github.com/merlinpost/merlinpost/internal/standin/simfleet"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

// scenarioDuration is the duration of a fleetScenario: three windows.
const scenarioDuration = 30 * time.Second

// fleetScenario describes a simulated run of a whole fleet.
type fleetScenario struct {
	seed              uint64
	gateways, servers int
	route             string
	// requestInterval is the time between requests at load 1.
	requestInterval time.Duration
	changes         []workloadChange
	// singleGateway sends all requests to the first gateway.
	singleGateway bool
	faults        []fleetFault
}

// workloadChange is a change of the load and of the failures of servers.
type workloadChange struct {
	at      time.Duration
	load    float64 // factor on the request rate
	failing int     // of every 10 requests
	failure worker.Behaviour
}

// fleetFault is a failure, settings reload or membership change of gateways or servers.
type fleetFault struct {
	at, duration time.Duration
	kind         string
	node         int
}

func pick[T any](rnd *rand.Rand, of ...T) T { return of[rnd.IntN(len(of))] }

func drawFleetScenario(seed uint64) fleetScenario {
	rnd := rand.New(rand.NewPCG(seed, 3))
	ms := func(from, to int) time.Duration { return time.Duration(from+rnd.IntN(to-from)) * time.Millisecond }
	sc := fleetScenario{seed: seed, gateways: 1 + rnd.IntN(5), servers: 4 + rnd.IntN(12), route: pick(rnd, "once", "again", "stream", "resume"),
		requestInterval: ms(20, 100), singleGateway: rnd.IntN(4) == 0}
	failures := []worker.Behaviour{{Reject: true}, {DropConnection: true}, {Events: simfleet.StreamEvents, AbortAfterEvents: 3}}
	for range 3 + rnd.IntN(5) {
		sc.changes = append(sc.changes, workloadChange{ms(0, 28000), pick(rnd, 0.2, 1, 1, 2, 4), pick(rnd, 0, 0, 3, 6, 10), pick(rnd, failures...)})
	}
	slices.SortFunc(sc.changes, func(a, b workloadChange) int { return int(a.at - b.at) })
	kinds := []string{"kill", "kill", "kill all in turn", "partition", "join", "leave", "reload", "store partition", "server restart"}
	for range pick(rnd, 0, 1, 3, 6) {
		sc.faults = append(sc.faults, fleetFault{ms(500, 26000), ms(200, 8000), pick(rnd, kinds...), rnd.IntN(sc.gateways)})
	}
	slices.SortFunc(sc.faults, func(a, b fleetFault) int { return int(a.at - b.at) })
	return sc
}

// fleetRun is the state of a running fleetScenario.
type fleetRun struct {
	*simfleet.Fleet
	fleetScenario
	begin time.Time

	mu       sync.Mutex
	load     float64 // factor on the request rate
	requests []time.Time
}

// sendRequests sends requests at the current rate until the end of the scenario.
func (r *fleetRun) sendRequests() {
	rnd := rand.New(rand.NewPCG(r.seed, 4))
	var pending sync.WaitGroup
	for i := 0; time.Since(r.begin) < scenarioDuration; i++ {
		n := r.Nodes[rnd.IntN(r.gateways)]
		if r.singleGateway {
			n = r.Nodes[0]
		}
		if n.Gateway().Ready() {
			id := fmt.Sprintf("%s-%d", r.route, i)
			r.mu.Lock()
			r.requests = append(r.requests, time.Now())
			r.mu.Unlock()
			pending.Go(func() { r.SendRequest(n, r.route, id, "body of "+id) })
		}
		r.mu.Lock()
		pause := time.Duration(float64(r.requestInterval) / r.load)
		r.mu.Unlock()
		time.Sleep(pause)
	}
	pending.Wait()
}

// waitUntil waits until the given offset from the start of the scenario.
func (r *fleetRun) waitUntil(at time.Duration) { r.Sleep(max(0, at-time.Since(r.begin))) }

// applyChanges applies the changes of load and failures when they are due.
func (r *fleetRun) applyChanges() {
	for _, c := range r.changes {
		r.waitUntil(c.at)
		r.mu.Lock()
		r.load = c.load
		r.mu.Unlock()
		for _, s := range r.Servers {
			if w := r.RunningWorker(s); w != nil {
				w.SetPartialBehaviour(c.failing, 10, c.failure)
			}
		}
	}
}

// injectFaults injects the faults in order. Partitions may overlap with later faults.
func (r *fleetRun) injectFaults() {
	var partitions sync.WaitGroup
	defer partitions.Wait()
	for i, f := range r.faults {
		r.waitUntil(f.at)
		n := r.Nodes[f.node]
		switch f.kind {
		case "kill":
			r.KillNode(n)
			r.StartNode(n)
		case "kill all in turn":
			for _, n := range r.Nodes {
				r.KillNode(n)
				r.StartNode(n)
				r.Sleep(f.duration / 8)
			}
		case "partition":
			r.setPartitioned(n, true)
			partitions.Go(func() {
				r.Sleep(f.duration)
				r.setPartitioned(n, false)
			})
		case "join":
			r.AddNode(fmt.Sprint("joined-", i))
		case "leave":
			r.AnnounceNodeStop(n)
			r.Sleep(f.duration / 2)
			r.KillNode(n)
			r.StartNode(n)
		case "reload":
			n.Gateway().SetSettings(gateway.Settings{LogOneIn: uint64(i),
				Retries: retrybudget.Settings{Ratio: simfleet.RetryRatio, Window: simfleet.RetryWindow, Slack: simfleet.RetrySlack - float64(i%2)}})
		case "store partition":
			r.PartitionStore(n, true)
			partitions.Go(func() {
				r.Sleep(f.duration)
				r.PartitionStore(n, false)
			})
		case "server restart":
			s := r.Servers[f.node]
			if r.KillServer(s) {
				r.Sleep(50 * time.Millisecond)
				r.StartServer(s)
			}
		}
	}
}

// setPartitioned partitions a gateway from the others, or reconnects it.
func (r *fleetRun) setPartitioned(n *simfleet.Node, partitioned bool) {
	for _, other := range r.Nodes {
		if other != n {
			r.PartitionNodes(n, other, partitioned)
		}
	}
}

// retries returns the times of all arrivals beyond the first of each request.
func (r *fleetRun) retries() []time.Time {
	var workers []*worker.Worker
	for _, s := range r.Servers {
		workers = append(workers, r.AllWorkers(s)...)
	}
	return worker.Retries(workers)
}

// run simulates the scenario and returns its worst window and the total number of retries.
func (sc fleetScenario) run() (worst retryrule.Window, retries int) {
	synctest.Test(new(testing.T), func(*testing.T) {
		r := &fleetRun{Fleet: simfleet.New(sc.gateways, sc.servers, sc.seed, nil), fleetScenario: sc, load: 1}
		defer r.Close()
		r.begin = time.Now()
		var tasks sync.WaitGroup
		tasks.Go(r.sendRequests)
		tasks.Go(r.applyChanges)
		tasks.Go(r.injectFaults)
		tasks.Wait()
		all := r.retries()
		retries = len(all)
		worst = retryrule.WorstWindow(retryrule.Rule{Ratio: simfleet.RetryRatio, Window: simfleet.RetryWindow, Slack: simfleet.RetrySlack}, r.requests, all)
	})
	return worst, retries
}

// The retries of whole fleets, counted when they reach a server, stay within the rule in any window.
func TestFleetRetriesStayWithinRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Hashed because rapid draws mostly small integers, which would repeat scenarios.
		sc := drawFleetScenario(xxhash.Sum64(rapid.SliceOfN(rapid.Byte(), 8, 8).Draw(t, "seed")))
		worst, retries := sc.run()
		if retries > 0 && worst.Excess() > 0 {
			t.Fatalf("%d retries for %d requests in a window, %.1f allowed\n%+v", worst.Retries, worst.Requests, worst.Allowed, sc)
		}
	})
}

// Guards against losing requests that run on a server when it terminates although the budgets of all gateways
// together permit their retries.
func TestRequestsOfTerminatedServerCompleteOnOthers(t *testing.T) {
	for _, route := range []string{"resume", "again"} {
		t.Run(route, func(t *testing.T) {
			for seed := range uint64(10) {
				if lost, sent := runServerTermination(route, seed); lost > 0 {
					t.Errorf("seed %d: %d of %d requests around the termination of a server received no complete response", seed, lost, sent)
				}
			}
		})
	}
}

// runServerTermination terminates one of three servers under constant load. Of the requests sent in the 10 s around
// that time, it returns how many received no complete response and how many were sent.
func runServerTermination(route string, seed uint64) (lost, sent int) {
	synctest.Test(new(testing.T), func(*testing.T) {
		f := simfleet.New(4, 3, seed, nil)
		defer f.Close()
		if route == "resume" {
			f.SetEventInterval(300 * time.Millisecond) // about 40 concurrent streams per server
		}
		begin, rnd := time.Now(), rand.New(rand.NewPCG(seed, 6))
		var mu sync.Mutex
		var requests sync.WaitGroup
		for i := 0; time.Since(begin) < scenarioDuration; i++ {
			if i == 25*50 {
				f.KillServer(f.Servers[0])
			}
			n, at := f.Nodes[rnd.IntN(4)], time.Since(begin)
			requests.Go(func() {
				id := fmt.Sprint(route, "-", i)
				complete := f.SendRequest(n, route, id, "body").Complete(id)
				mu.Lock()
				defer mu.Unlock()
				if at >= 20*time.Second {
					sent++
					if !complete {
						lost++
					}
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		requests.Wait()
	})
	return lost, sent
}
