package e2e

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
	"github.com/merlinpost/merlinpost/internal/standin/scripted"
)

var (
	drawnRequests = flag.Int("drawn-requests", 9000, "requests of the test with drawn responses")
	drawnSeed     = flag.Uint64("drawn-seed", 1, "first seed of the test with drawn responses")
)

const (
	// drawnCaseRequests is the number of requests for each seed, sent by drawnCallers at a time.
	drawnCaseRequests, drawnCallers = 3000, 192
	// drawnTimeout is the deadline of a request.
	drawnTimeout = 5 * time.Second
)

// drawnRoutes are the routes of drawn requests, and whether their requests may run more than once.
var drawnRoutes = map[string]bool{"post": false, "list": true}

// Guards against running a request twice that may run once, reporting a request that ran as not run and losing a complete
// response, whatever servers send, while they crash and start again at the same addresses.
func TestDrawnResponsesOverProcessesDoNotRunARequestTwice(t *testing.T) {
	seed, sends := *drawnSeed, 0
	for requests := 0; requests < *drawnRequests && !t.Failed(); seed++ {
		requests += drawnCaseRequests
		t.Run(fmt.Sprint(seed), func(t *testing.T) { sends += playDrawnCase(t, seed) })
	}
	t.Logf("seeds %d to %d: %d sends", *drawnSeed, seed-1, sends)
}

// playDrawnCase plays the case with a seed at one to three servers and returns the number of sends.
func playDrawnCase(t *testing.T, seed uint64) (sends int) {
	draw := scripted.NewDraw(seed, func(string) int { return 0 })
	var overlaps scripted.OverlapCheck
	var f *scriptedFleet
	started := make(chan struct{})
	script := overlaps.Watch(func() []*scripted.Server { return f.servers }, func(a scripted.Arrival) scripted.Step {
		select {
		case <-started:
			return draw.Step(a)
		default:
			return rejectOnce(a)
		}
	})
	f = newScriptedFleet(t, int(1+seed%3), script)
	close(started)
	ctx, cancel := context.WithCancel(t.Context())
	var crashes, callers sync.WaitGroup
	crashes.Go(func() { f.crashServers(ctx, draw) })
	requests, responses := make(chan int), make(chan drawnResponse, drawnCaseRequests)
	for range drawnCallers {
		callers.Go(func() {
			for i := range requests {
				for route := range drawnRoutes {
					responses <- f.sendDrawn(t.Context(), route, fmt.Sprintf("%s-%d-%d", route, seed, i))
				}
			}
		})
	}
	for i := range drawnCaseRequests / len(drawnRoutes) {
		requests <- i
	}
	close(requests)
	callers.Wait()
	cancel()
	crashes.Wait()
	close(responses)
	for r := range responses { // only now, because a request must not run after its response either
		f.checkDrawn(t, &overlaps, r)
	}
	for _, s := range f.servers {
		sends += s.ArrivalCount()
	}
	return sends
}

// drawnResponse is what the caller of a request got.
type drawnResponse struct {
	route, id string
	resp      fleetResponse
	took      time.Duration
}

// sendDrawn sends a request to a random gateway.
func (f *scriptedFleet) sendDrawn(ctx context.Context, route, id string) drawnResponse {
	start := time.Now()
	resp := f.sendWithKey(ctx, f.keepAlive, f.gateways[rand.IntN(len(f.gateways))], fleetKey, route, id)
	return drawnResponse{route, id, resp, time.Since(start)}
}

// checkDrawn compares a response with what the servers ran.
func (f *scriptedFleet) checkDrawn(t *testing.T, overlaps *scripted.OverlapCheck, r drawnResponse) {
	violation := scripted.Violation(f.servers, r.id, drawnRoutes[r.route], wantBody(r.route, r.id),
		scripted.Response{Status: r.resp.status, Body: r.resp.body, Err: r.resp.err, InTime: r.took < drawnTimeout})
	if violation == "" && overlaps.Of(r.id) {
		violation = "a server still worked on it after another one had begun"
	}
	if violation != "" {
		t.Errorf("%s: %s (status %d, body %q, error %v)\n%s", r.id, violation, r.resp.status, r.resp.body, r.resp.err, f.logOf(r.id))
	}
}

// crashServers replaces servers by others at the same addresses from time to time.
func (f *scriptedFleet) crashServers(ctx context.Context, draw *scripted.Draw) {
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(100+draw.IntN(900))*time.Millisecond)
		i := draw.IntN(len(f.servers))
		before := f.servers[i].ID()
		f.servers[i].Crash(fmt.Sprintf("i-scripted-%d-%d", i, n))
		sleep(ctx, time.Duration(draw.IntN(50))*time.Millisecond)
		f.store.Put(platformstore.TopicServers, before, nil)
		f.registerScripted(f.servers[i], n)
	}
}
