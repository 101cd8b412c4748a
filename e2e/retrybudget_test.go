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

// retryLoad describes the load on one service, whose servers start to fail, and the kills of gateways.
type retryLoad struct {
	route   string
	failure worker.Behaviour
	// failuresPerTen is the number of requests out of 10 that get the failure.
	failuresPerTen    int
	requestsPerSecond int
	// burstFactor multiplies the request rate from burstAt to burstEnd.
	burstFactor       int
	burstAt, burstEnd time.Duration
	failAt, duration  time.Duration
	// killInterval is the interval at which gateways are killed and restarted in turn; 0 disables this.
	killInterval time.Duration
}

// retryLoadResult holds what was observed during a retryLoad.
type retryLoadResult struct {
	requests, retries []time.Time
	worstWindow       retryrule.Window // with the largest excess over the retry budget
}

const retryLoadServers = 24

// runRetryLoad runs a load against four gateway processes.
func runRetryLoad(t *testing.T, l retryLoad, seed uint64) retryLoadResult {
	t.Helper()
	seed += *retryBudgetSeed
	service := serviceByRoute[l.route]
	f := startFleet(t, service, retryLoadServers)
	rnd := rand.New(rand.NewPCG(seed, 32))
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.duration)
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() {
		sleep(ctx, l.failAt)
		for _, w := range f.workers {
			if serviceOfWorker(w) == service {
				w.SetPartialBehaviour(l.failuresPerTen, 10, l.failure)
			}
		}
	})
	if l.killInterval > 0 {
		tasks.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				sleep(ctx, l.killInterval)
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
		rate := l.requestsPerSecond
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
	r.countRetries(f, service)
	granted := 0
	for _, g := range f.gateways {
		granted += strings.Count(g.earlierLog.String()+g.log.String(), `"repeat":{"granted":true`)
	}
	t.Logf("seed %d: %d requests, %d retries, %d granted according to the gateways' logs; worst window from %s: %d retries for %d requests, %.0f allowed", seed, len(r.requests), len(r.retries), granted,
		r.worstWindow.Start.Sub(begin).Round(10*time.Millisecond), r.worstWindow.Retries, r.worstWindow.Requests, r.worstWindow.Allowed)
	return r
}

// countRetries collects the retries that reached the servers of a service and determines the worst window.
func (r *retryLoadResult) countRetries(f *fleet, service string) {
	r.retries = worker.Retries(workersOf(f.workers, service))
	r.worstWindow = retryrule.WorstWindow(retryrule.Rule{Ratio: retryBudgetRatio, Window: retryBudgetWindow, Slack: retryBudgetSlack}, r.requests, r.retries)
}

// Guards against retries that are granted because of the requests of a burst but sent after it. They
// exceed the ratio of the retry budget in windows after the burst.
func TestRetryBudgetHoldsWhenABurstEndsWhileServersFail(t *testing.T) {
	for _, route := range []string{"list", "post", "report"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			result := runRetryLoad(t, retryLoad{route: route, failure: worker.Behaviour{Reject: true}, failuresPerTen: 5, requestsPerSecond: 50,
				burstFactor: 5, burstAt: 2 * time.Second, burstEnd: 11 * time.Second, failAt: 9 * time.Second, duration: 22 * time.Second}, 1)
			if result.worstWindow.Excess() > 0 {
				t.Errorf("%d retries in the worst window, at most %.0f are allowed", result.worstWindow.Retries, result.worstWindow.Allowed)
			}
		})
	}
}

// Guards against a gateway getting a new allowance of retries at each restart.
func TestRetryBudgetHoldsWhileGatewaysAreKilledInTurn(t *testing.T) {
	t.Parallel()
	result := runRetryLoad(t, retryLoad{route: "list", failure: worker.Behaviour{DropConnection: true}, failuresPerTen: 5, requestsPerSecond: 50,
		failAt: 3 * time.Second, duration: 20 * time.Second, killInterval: 1200 * time.Millisecond}, 1)
	if result.worstWindow.Excess() > 0 {
		t.Errorf("%d retries in the worst window, at most %.0f are allowed", result.worstWindow.Retries, result.worstWindow.Allowed)
	}
}
