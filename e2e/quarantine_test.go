package e2e

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

const (
	fatalBody = "a prompt that crashes every engine"
	// crashDelay is the time from the arrival of the fatal request to the crash, downtime the time until
	// the restart.
	crashDelay, downtime = 60 * time.Millisecond, 2500 * time.Millisecond
	// fatalInterval and harmlessInterval are the intervals between requests of each kind.
	fatalInterval, harmlessInterval = 150 * time.Millisecond, 25 * time.Millisecond
	// learnTimeout is the time within which all gateways must know of a third crash or of a server notice.
	learnTimeout = 3 * time.Second
	// Three crashes identify the fatal request and a trial may cost one more. After learnTimeout
	// three more sends are allowed. Other requests must be served.
	maxCrashes, maxLateSends, minServedShare = 4, 3, 0.95
)

// quarantineSeed is added to the seeds of these tests. To run other seeds:
//
//	go test ./e2e -run Quarantine -quarantine-seed 10
var quarantineSeed = flag.Uint64("quarantine-seed", 0, "offset added to the seeds of the quarantine tests")

// servedRoutes maps each route to its service.
var servedRoutes = map[string]string{"post": appService, "list": appService, "advice": llmService, "report": llmService}

// outage is a fleet in which the servers of one service crash and restart.
type outage struct {
	*fleet
	t        *testing.T
	service  string
	end      context.Context
	restarts sync.WaitGroup

	mu      sync.Mutex
	crashes []time.Time
	workers []*worker.Worker // of the service, including crashed ones
	sent    int
	served  int
	refused []string // IDs of harmless requests refused as quarantined
}

// startOutage starts a fleet with the given number of servers of the service.
func startOutage(ctx context.Context, t *testing.T, service string, servers int) *outage {
	t.Helper()
	f := startFleet(t, service, servers)
	o := &outage{fleet: f, t: t, service: service, end: ctx}
	t.Cleanup(o.restarts.Wait)
	for _, w := range f.workers {
		if serviceOf(w) == service {
			o.crashOnFatal(w)
		}
	}
	return o
}

// crashOnFatal makes a server crash on the fatal request and restart.
func (o *outage) crashOnFatal(w *worker.Worker) {
	o.mu.Lock()
	o.workers = append(o.workers, w)
	o.mu.Unlock()
	w.CrashOn(fatalBody, crashDelay, func() { o.recordCrash(w) })
}

// recordCrash records the crash of a server and schedules its restart.
func (o *outage) recordCrash(w *worker.Worker) {
	o.mu.Lock()
	o.crashes = append(o.crashes, time.Now())
	n := len(o.crashes)
	o.mu.Unlock()
	o.restarts.Go(func() { o.restartServer(w, n%2 == 0) })
}

// restartServer restarts a server after its downtime, with the same or a new ID.
func (o *outage) restartServer(w *worker.Worker, sameID bool) {
	sleep(o.end, downtime)
	if o.end.Err() != nil {
		return
	}
	if !sameID {
		o.unregister(w)
		next, err := o.addWorker(o.service)
		if err != nil {
			o.t.Errorf("start a replacement server: %v", err)
			return
		}
		o.crashOnFatal(next)
		return
	}
	next, err := worker.StartAt(w.ID, "127.0.0.1:0")
	if err != nil {
		o.t.Errorf("restart server %s: %v", w.ID, err)
		return
	}
	next.StartedMS = max(next.StartedMS, w.StartedMS+1)
	if o.service == llmService {
		next.SetBehaviour(completeStream)
	}
	o.crashOnFatal(next)
	o.fleet.mu.Lock()
	o.fleet.workers = append(o.fleet.workers, next)
	o.fleet.mu.Unlock()
	if err := o.register(next, o.service, "ready"); err != nil {
		o.t.Errorf("register server %s again: %v", w.ID, err)
	}
}

// sendFatal sends the fatal request repeatedly to random gateways, each time with a new
// attempt ID.
func (o *outage) sendFatal(route string, rnd *rand.Rand) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for n := 0; o.end.Err() == nil; n++ {
		g := o.gateways[rnd.IntN(len(o.gateways))]
		pending.Go(func() {
			o.sendBody(context.Background(), o.http, g, fleetKey, route, fmt.Sprint("fatal-", n), fatalBody)
		})
		sleep(o.end, fatalInterval)
	}
}

// sendHarmless sends requests at an interval, with the given number of different bodies in
// turn, and counts the results. With 0 bodies each request has its own.
func (o *outage) sendHarmless(route string, bodies int, interval time.Duration, rnd *rand.Rand) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for n := 0; o.end.Err() == nil; n++ {
		g, id := o.gateways[rnd.IntN(len(o.gateways))], fmt.Sprint("harmless-", n)
		body := "body of " + id
		if bodies > 0 {
			body = fmt.Sprint("question ", n%bodies)
		}
		pending.Go(func() { o.count(route, id, o.sendBody(context.Background(), o.http, g, fleetKey, route, id, body)) })
		sleep(o.end, interval)
	}
}

func (o *outage) count(route, id string, a fleetResponse) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a.err != nil && strings.Contains(a.err.Error(), "connection refused") {
		return // the gateway was down
	}
	o.sent++
	switch {
	case a.status == 200 && a.body == wantBody(route, id):
		o.served++
	case strings.Contains(a.body, `"quarantined"`):
		o.refused = append(o.refused, id)
	}
}

// lateSends counts the runs of the fatal request that began more than learnTimeout after the
// third crash.
func (o *outage) lateSends() int {
	if len(o.crashes) < 3 {
		return 0
	}
	late := 0
	for _, w := range o.workers {
		for _, r := range w.Executions() {
			if r.Body == fatalBody && r.At.After(o.crashes[2].Add(learnTimeout)) {
				late++
			}
		}
	}
	return late
}

// check compares the results with the limits.
func (o *outage) check(seed uint64, route string) {
	o.t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	share := float64(o.served) / float64(max(1, o.sent))
	o.t.Logf("%s, seed %d: %d servers crashed, %d late sends, %d of %d harmless requests served", route, seed, len(o.crashes), o.lateSends(), o.served, o.sent)
	if len(o.crashes) < 2 {
		o.t.Errorf("%s, seed %d: %d servers crashed, too few to test the quarantine", route, seed, len(o.crashes))
	}
	if len(o.crashes) > maxCrashes {
		o.t.Errorf("%s, seed %d: the fatal request crashed %d servers, at most %d are allowed", route, seed, len(o.crashes), maxCrashes)
	}
	if late := o.lateSends(); late > maxLateSends {
		o.t.Errorf("%s, seed %d: the fatal request was sent %d times more than %s after the third crash, at most %d are allowed", route, seed, late, learnTimeout, maxLateSends)
	}
	if share < minServedShare {
		o.t.Errorf("%s, seed %d: %.3f of the harmless requests were served, want at least %.2f", route, seed, share, minServedShare)
	}
	if len(o.refused) > 0 {
		o.t.Errorf("%s, seed %d: harmless requests were refused as quarantined: %v", route, seed, o.refused)
	}
}

// Guards against one request crashing server after server. The request crashes its server within
// 0.1 s; the caller gets 502 and sends it again as a new attempt to any gateway, which sends it to the
// next server. Limits on attempts, sends and repeats do not help, because each applies to a single
// attempt and gateways did not share what they had observed. In one incident two such requests, sent in
// 26 attempts within all limits by all four gateways over 12 to 15 s, crashed 19 and 21 servers, and a
// tenth or more of all requests failed for seconds at a time. Without quarantine this test crashes 32 to
// 52 servers on each kind of route.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	for route, service := range servedRoutes {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			seed := 1 + *quarantineSeed
			ctx, cancel := context.WithTimeout(context.Background(), 7*time.Second)
			defer cancel()
			o := startOutage(ctx, t, service, 12)
			o.run(route, seed)
			o.check(seed, route)
		})
	}
}

// run sends the fatal request and harmless requests concurrently until the end of the outage.
func (o *outage) run(route string, seed uint64) {
	var tasks sync.WaitGroup
	tasks.Go(func() { o.sendFatal(route, rand.New(rand.NewPCG(seed, 1))) })
	tasks.Go(func() { o.sendHarmless(route, 0, harmlessInterval, rand.New(rand.NewPCG(seed, 2))) })
	tasks.Wait()
}

// Guards against a quarantine being lost with the gateways that decided it: three of the four
// gateways are killed and restarted, then all of them at once.
func TestQuarantineSurvivesGatewayRestarts(t *testing.T) {
	for _, route := range []string{"list", "advice"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			seed := 2 + *quarantineSeed
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			o := startOutage(ctx, t, servedRoutes[route], 12)
			var restarts sync.WaitGroup
			restarts.Go(func() {
				sleep(ctx, 3*time.Second)
				o.restartGateways(o.gateways[:3])
				sleep(ctx, 2500*time.Millisecond)
				o.restartGateways(o.gateways)
			})
			o.run(route, seed)
			restarts.Wait()
			o.check(seed, route)
		})
	}
}

// restartGateways kills all given gateways and then starts them again.
func (o *outage) restartGateways(gateways []*gatewayProc) {
	for _, g := range gateways {
		o.kill(g)
	}
	for _, g := range gateways {
		if err := o.start(g); err != nil {
			o.t.Errorf("%s failed to start: %v", g.host, err)
		}
	}
}

// Guards against quarantining requests that do not cause crashes. Twelve bodies are sent repeatedly while
// servers crash at random, singly and three at a time. None may be refused as quarantined, and all must be
// served once the servers are back.
func TestHarmlessRequestsAreNotQuarantined(t *testing.T) {
	for route, service := range servedRoutes {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			seed := 3 + *quarantineSeed
			ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
			defer cancel()
			o := startOutage(ctx, t, service, 12)
			var tasks sync.WaitGroup
			tasks.Go(func() { o.sendHarmless(route, 12, 15*time.Millisecond, rand.New(rand.NewPCG(seed, 1))) })
			tasks.Go(func() { o.crashAtRandom(rand.New(rand.NewPCG(seed, 2))) })
			tasks.Wait()
			o.t.Logf("%s: %d crashes, %d of %d served", route, len(o.crashes), o.served, o.sent)
			if len(o.refused) > 0 {
				t.Errorf("%s, seed %d: refused as quarantined: %v", route, seed, o.refused)
			}
			o.checkAllServed(route)
		})
	}
}

// crashAtRandom crashes random servers, singly and three at a time.
func (o *outage) crashAtRandom(rnd *rand.Rand) {
	for n := 1; o.end.Err() == nil; n++ {
		sleep(o.end, time.Duration(100+rnd.IntN(500))*time.Millisecond)
		count := 1
		if n%4 == 0 {
			count = 3
		}
		o.mu.Lock()
		first := rnd.IntN(len(o.workers))
		var crashing []*worker.Worker
		for i := range count {
			crashing = append(crashing, o.workers[(first+i)%len(o.workers)])
		}
		o.mu.Unlock()
		for _, w := range crashing {
			w.Close()
			o.recordCrash(w)
		}
	}
}

// checkAllServed starts more servers and checks that every gateway serves all bodies.
func (o *outage) checkAllServed(route string) {
	o.t.Helper()
	o.restarts.Wait()
	for range 3 {
		w, err := o.addWorker(o.service)
		if err != nil {
			o.t.Fatal(err)
		}
		defer w.Close()
	}
	sleep(context.Background(), 1500*time.Millisecond) // until the gateways have read the registry
	for i, g := range o.gateways {
		for n := range 12 {
			id := fmt.Sprint("after-", i, "-", n)
			var a fleetResponse
			for try := 0; try < 40 && a.status != 200; try++ { // closed servers may still be registered
				a = o.sendBody(context.Background(), o.http, g, fleetKey, route, id, fmt.Sprint("question ", n))
				if strings.Contains(a.body, `"quarantined"`) {
					o.t.Errorf("%s: refused as quarantined: %s", id, a.body)
				}
			}
			if a.status != 200 {
				o.t.Errorf("%s: not served: status %d, error %v, body %s", id, a.status, a.err, a.body)
			}
		}
	}
}
