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

	"github.com/merlinpost/merlinpost/internal/standin/retryrule"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

// retryBudgetSeed is added to the seeds of these tests. To run other seeds:
//
//	go test ./e2e -run RetryBudget -retry-budget-seed 10
var retryBudgetSeed = flag.Uint64("retry-budget-seed", 0, "offset added to the seeds of the retry budget tests")

// retryLoad describes the load on one service of a fleet whose servers fail.
type retryLoad struct {
	route   string
	failing worker.Behaviour
	// failPerTen is how many of every 10 requests fail.
	failPerTen int
	perSecond  int
	// burstFactor multiplies the load from burstAt to burstEnd.
	burstFactor       int
	burstAt, burstEnd time.Duration
	failAt, length    time.Duration
	// killEvery is the interval at which gateways are killed in turn; 0 disables kills.
	killEvery time.Duration
}

// retryLoadResult is the outcome of a retryLoad.
type retryLoadResult struct {
	requests, repeats []time.Time
	worst             retryrule.Window
}

const retryServers = 24

// runRetryLoad runs a load against four gateway processes.
func runRetryLoad(t *testing.T, l retryLoad, seed uint64) retryLoadResult {
	t.Helper()
	seed += *retryBudgetSeed
	service := servedRoutes[l.route]
	f := startFleet(t, service, retryServers)
	rnd := rand.New(rand.NewPCG(seed, 32))
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.length)
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() {
		sleep(ctx, l.failAt)
		for _, w := range f.workers {
			if serviceOf(w) == service {
				w.SetPartialBehaviour(l.failPerTen, 10, l.failing)
			}
		}
	})
	if l.killEvery > 0 {
		tasks.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				sleep(ctx, l.killEvery)
				g := f.gateways[i%len(f.gateways)]
				f.kill(g)
				if err := f.start(g); err != nil {
					t.Error(err)
				}
			}
		})
	}
	var r retryLoadResult
	next := begin
	for n := 0; ctx.Err() == nil; n++ {
		rate := l.perSecond
		if since := next.Sub(begin); since >= l.burstAt && since < l.burstEnd {
			rate *= l.burstFactor
		}
		id := fmt.Sprintf("%s-retry-%d", l.route, n)
		g := f.gateways[rnd.IntN(len(f.gateways))]
		r.requests = append(r.requests, time.Now())
		tasks.Go(func() {
			requestCtx, cancelRequest := context.WithTimeout(context.Background(), 6*time.Second)
			defer cancelRequest()
			f.sendWithKey(requestCtx, f.http, g, fleetKey, l.route, id)
		})
		next = next.Add(time.Second / time.Duration(rate))
		sleep(ctx, time.Until(next))
	}
	tasks.Wait()
	r.count(f, service)
	granted := 0
	for _, g := range f.gateways {
		granted += strings.Count(g.earlierLog.String()+g.log.String(), `"repeat":{"granted":true`)
	}
	t.Logf("seed %d: %d requests, %d repeats, %d granted in the gateways' logs; worst window from %s: %d repeats for %d requests, %.0f allowed", seed, len(r.requests), len(r.repeats), granted,
		r.worst.Start.Sub(begin).Round(10*time.Millisecond), r.worst.Retries, r.worst.Requests, r.worst.Allowed)
	return r
}

// count collects the repeats that reached the servers of a service and determines the worst window.
func (r *retryLoadResult) count(f *fleet, service string) {
	first := map[string]bool{}
	for _, w := range f.workers {
		if serviceOf(w) != service {
			continue
		}
		for _, a := range w.Arrivals() {
			if first[a.ID] {
				r.repeats = append(r.repeats, a.At)
			}
			first[a.ID] = true
		}
	}
	r.worst = retryrule.WorstWindow(retryrule.Rule{Ratio: retryRatio, Window: retryWindow, Slack: budgetSlack}, r.requests, r.repeats)
}

// Guards against a burst of requests earning repeats that are spent after the burst,
// which exceeds the ratio of the retry budget within a window.
func TestRetryBudgetHoldsWhenABurstEndsWhileServersFail(t *testing.T) {
	for _, route := range []string{"list", "post", "report"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			result := runRetryLoad(t, retryLoad{route: route, failing: worker.Behaviour{Reject: true}, failPerTen: 5, perSecond: 50,
				burstFactor: 5, burstAt: 2 * time.Second, burstEnd: 11 * time.Second, failAt: 9 * time.Second, length: 22 * time.Second}, 1)
			if result.worst.Excess() > 0 {
				t.Errorf("%d repeats in the worst window, %.0f are allowed", result.worst.Retries, result.worst.Allowed)
			}
		})
	}
}

// Guards against each restart of a gateway granting it a new allowance of repeats.
func TestRetryBudgetHoldsWhileGatewaysAreKilledInTurn(t *testing.T) {
	t.Parallel()
	result := runRetryLoad(t, retryLoad{route: "list", failing: worker.Behaviour{DropConnection: true}, failPerTen: 5, perSecond: 50,
		failAt: 3 * time.Second, length: 20 * time.Second, killEvery: 1200 * time.Millisecond}, 1)
	if result.worst.Excess() > 0 {
		t.Errorf("%d repeats in the worst window, %.0f are allowed", result.worst.Retries, result.worst.Allowed)
	}
}
