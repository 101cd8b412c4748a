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

// retryBudgetSeed is added to the seeds of these tests. More by hand:
//
//	go test ./e2e -run RetryBudget -retry-budget-seed 10
var retryBudgetSeed = flag.Uint64("retry-budget-seed", 0, "what is added to the seeds of the tests about the retry budget")

// retryLoad is a load on one service of a fleet while its servers fail.
type retryLoad struct {
	route   string
	failing worker.Behaviour
	fail    int // of each ten requests
	perS    int
	// burst is how many times the load comes from burstAt to burstEnd.
	burst             int
	burstAt, burstEnd time.Duration
	failAt, length    time.Duration
	// killEvery is the pause between two kills of gateways, in turn; 0 for none.
	killEvery time.Duration
}

// played is what came of a load.
type playedRetries struct {
	requests, repeats []time.Time
	worst             retryrule.Window
}

const retryServers = 24

// playRetryLoad plays a load over four gateways as processes.
func playRetryLoad(t *testing.T, l retryLoad, seed uint64) playedRetries {
	t.Helper()
	seed += *retryBudgetSeed
	service := servedRoutes[l.route]
	f := startFleet(t, service, retryServers)
	rnd := rand.New(rand.NewPCG(seed, 32))
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), l.length)
	defer cancel()
	var duties sync.WaitGroup
	duties.Go(func() {
		wait(ctx, l.failAt)
		for _, w := range f.workers {
			if serviceOf(w) == service {
				w.Sometimes(l.fail, 10, l.failing)
			}
		}
	})
	if l.killEvery > 0 {
		duties.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				wait(ctx, l.killEvery)
				g := f.gateways[i%len(f.gateways)]
				f.kill(g)
				if err := f.start(g); err != nil {
					t.Error(err)
				}
			}
		})
	}
	var p playedRetries
	next := begin
	for n := 0; ctx.Err() == nil; n++ {
		rate := l.perS
		if since := next.Sub(begin); since >= l.burstAt && since < l.burstEnd {
			rate *= l.burst
		}
		id := fmt.Sprintf("%s-retry-%d", l.route, n)
		g := f.gateways[rnd.IntN(len(f.gateways))]
		p.requests = append(p.requests, time.Now())
		duties.Go(func() {
			give, done := context.WithTimeout(context.Background(), 6*time.Second)
			defer done()
			f.askWith(give, f.http, g, fleetKey, l.route, id)
		})
		next = next.Add(time.Second / time.Duration(rate))
		wait(ctx, time.Until(next))
	}
	duties.Wait()
	p.count(f, service)
	granted := 0
	for _, g := range f.gateways {
		granted += strings.Count(g.earlier.String()+g.log.String(), `"repeat":{"granted":true`)
	}
	t.Logf("seed %d: %d requests, %d repeats, %d in the gateways' lines; worst window from %s: %d repeats for %d requests, %.0f allowed", seed, len(p.requests), len(p.repeats), granted,
		p.worst.Begin.Sub(begin).Round(10*time.Millisecond), p.worst.Repeats, p.worst.Requests, p.worst.Allowed)
	return p
}

// count counts what reached the servers beyond the first of each request.
func (p *playedRetries) count(f *fleet, service string) {
	first := map[string]bool{}
	for _, w := range f.workers {
		if serviceOf(w) != service {
			continue
		}
		for _, a := range w.Arrivals() {
			if first[a.ID] {
				p.repeats = append(p.repeats, a.At)
			}
			first[a.ID] = true
		}
	}
	p.worst = retryrule.Worst(retryrule.Rule{Ratio: retryRatio, Window: retryWindow, Slack: budgetSlack}, p.requests, p.repeats)
}

// Guards against repeats that a burst has paid for and that come after it.
func TestRetryBudgetHoldsWhenABurstEndsWhileServersFail(t *testing.T) {
	for _, route := range []string{"list", "post", "report"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			p := playRetryLoad(t, retryLoad{route: route, failing: worker.Behaviour{Refuse: true}, fail: 5, perS: 50,
				burst: 5, burstAt: 2 * time.Second, burstEnd: 11 * time.Second, failAt: 9 * time.Second, length: 22 * time.Second}, 1)
			if p.worst.Excess() > 0 {
				t.Errorf("%d repeats where %.0f are allowed", p.worst.Repeats, p.worst.Allowed)
			}
		})
	}
}

// Guards against gateways that repeat anew after each start.
func TestRetryBudgetHoldsWhileGatewaysAreKilledInTurn(t *testing.T) {
	t.Parallel()
	p := playRetryLoad(t, retryLoad{route: "list", failing: worker.Behaviour{Drop: true}, fail: 5, perS: 50,
		failAt: 3 * time.Second, length: 20 * time.Second, killEvery: 1200 * time.Millisecond}, 1)
	if p.worst.Excess() > 0 {
		t.Errorf("%d repeats where %.0f are allowed", p.worst.Repeats, p.worst.Allowed)
	}
}
