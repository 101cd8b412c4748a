package e2e

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/retryrule"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

// check checks a response against the guarantees of the gateway.
func (s *gatewaySoak) check(route, id string, a fleetResponse) {
	switch {
	case *gatewaySoakDefect == "foreign" && strings.HasSuffix(id, "-7"):
		a.body += "x"
	case *gatewaySoakDefect == "shed" && strings.HasPrefix(id, "advice-") && strings.HasSuffix(id, "-7"):
		a.status = http.StatusTooManyRequests
	}
	switch {
	case a.err != nil:
		return // a failure that the caller notices is allowed
	case a.status == 200 && a.body != wantBody(route, id):
		s.addViolation("%s got status 200 with the response to another request: %q", id, a.body)
	case a.status == 429 && strings.Contains(a.body, `"queue_full"`):
		// A server refused the request, which checkRuns verifies, and the retry budget allowed no further send.
		s.mu.Lock()
		s.refusedByServer[id], s.notRun[id] = true, true
		s.mu.Unlock()
	case a.status == 429 && route != "report" && !strings.Contains(a.body, `"server_rate_limit"`):
		s.addViolation("%s was shed for load; only the report route may be", id)
	case a.status == 429 || a.status == 503:
		s.mu.Lock()
		s.notRun[id] = true
		s.mu.Unlock()
	case a.status == 401 || a.status == 404 || a.status == 400:
		s.addViolation("%s was refused with status %d, which no configuration calls for", id, a.status)
	}
	s.mu.Lock()
	s.responses++
	s.mu.Unlock()
}

// watchConfig polls a gateway with the keys of the newest and the previous version of the
// configuration. A process that has served a version must not serve an older one again, and
// must not refuse this version while it is the newest.
func (s *gatewaySoak) watchConfig(ctx context.Context, i int) {
	g := s.gateways[i]
	served, process, injected := 0, -1, false
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, 10*time.Millisecond)
		newest := s.newestVersion()
		version := newest - n%2*versionStep
		before := g.pid()
		if before != process {
			served, process = 0, before
		}
		requestCtx, cancel := context.WithTimeout(ctx, time.Second)
		a := s.sendWithKey(requestCtx, s.http, g, versionKey(version), "list", fmt.Sprintf("list-config-%d-%d", i, n))
		cancel()
		if g.pid() != process {
			continue // the gateway was restarted in the meantime
		}
		if *gatewaySoakDefect == "rollback" && !injected && a.status == 401 && served > version {
			a.status, injected = 200, true
		}
		switch {
		case a.status == 200 && version < served:
			s.addViolation("%s served configuration version %d after version %d", g.host, version, served)
		case a.status == 200:
			served = version
		case a.status == 401 && version <= served && version == s.newestVersion():
			s.addViolation("%s refused configuration version %d after serving it", g.host, version)
		}
	}
}

// drainTimeout is bounds.drain_ms in the settings of the fleet. drainMargin allows for the
// propagation through the store and for requests in flight on a busy machine.
const (
	drainTimeout = 600 * time.Millisecond
	drainMargin  = 400 * time.Millisecond
	// deadConnectionTimeout is the time within which gateways detect dead connections.
	deadConnectionTimeout = 3500 * time.Millisecond
)

// checkDrain drains a worker while no other fault is injected and checks that it gets no
// requests after the drain timeout. Then it replaces the worker. Drains are announced in turn
// through the registry and only in the responses of the worker.
func (s *gatewaySoak) checkDrain(ctx context.Context, i int) {
	s.faultLock.Lock()
	defer s.faultLock.Unlock()
	s.clearFaults()
	if err := s.waitReady(); err != nil {
		s.addViolation("%v", err)
		return
	}
	sleep(ctx, deadConnectionTimeout)
	w := s.fleet.workers[i]
	if ctx.Err() != nil {
		return
	}
	viaRegistry := (int(s.seed)+s.drains)%2 == 0
	if viaRegistry {
		if err := s.register(w, serviceOf(w), "draining"); err != nil {
			s.addViolation("%v", err)
			return
		}
	} else {
		w.SetHeaders("Server-Leaving: 1") // its registry entry still says ready
	}
	drained := time.Now()
	sleep(ctx, drainTimeout+2*drainMargin)
	arrivals := w.Arrivals()
	if !viaRegistry {
		drained = firstArrivalAfter(arrivals, drained)
	}
	for _, a := range arrivals {
		late := a.At.Sub(drained) - drainTimeout - drainMargin
		if *gatewaySoakDefect == "drain" {
			late += drainTimeout + drainMargin + deadConnectionTimeout
		}
		if late > 0 {
			s.addViolation("%s reached %s %s after its drain timeout", a.ID, w.ID, late)
		}
	}
	s.drains++
	s.replaceWorker(i)
}

// firstArrivalAfter returns the time of the first arrival after a time, or that time itself if there is
// none. The response to this request is the first that carries a notice set at that time.
func firstArrivalAfter(arrivals []worker.Arrival, at time.Time) time.Time {
	for _, a := range arrivals {
		if a.At.After(at) {
			return a.At
		}
	}
	return at
}

// checkRuns compares the requests that the workers ran with the responses that the callers got.
func (s *gatewaySoak) checkRuns() {
	arrived := map[string]bool{}
	for _, w := range s.workers {
		for _, a := range w.Arrivals() {
			arrived[a.ID] = true
		}
	}
	for id := range s.refusedByServer {
		if !arrived[id] {
			s.addViolation("%s was answered as refused by a server but reached none", id)
		}
	}
	ran := map[string]int{}
	for _, w := range s.workers {
		for _, r := range w.Executions() {
			ran[r.ID]++
			if want := "body of " + r.ID; r.Body != want || r.Header.Get("X-Tenant") != "team" {
				s.addViolation("%s ran with body %q for team %q", r.ID, r.Body, r.Header.Get("X-Tenant"))
			}
		}
	}
	if *gatewaySoakDefect == "double" {
		for id := range ran {
			ran[id]++
			break
		}
	}
	for id, n := range ran {
		runsOnce := strings.HasPrefix(id, "post-") || strings.HasPrefix(id, "advice-")
		if n > 1 && (runsOnce || *gatewaySoakDefect == "double") {
			s.addViolation("%s ran %d times", id, n)
		}
		if *gatewaySoakDefect == "untrue" {
			s.notRun[id] = true
		}
		if runsOnce && s.notRun[id] {
			s.addViolation("%s was answered as not run but ran", id)
		}
	}
}

// Together with budgetSlack, the retry budget in the settings of the fleet.
const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
)

// checkBudget checks that the repeated sends to each service stay within the retry budget in every window.
func (s *gatewaySoak) checkBudget() {
	rule := retryrule.Rule{Ratio: retryRatio, Window: retryWindow, Slack: budgetSlack}
	for _, service := range []string{llmService, appService} {
		first := map[string]bool{}
		var requests, repeats []time.Time
		for _, w := range s.workers {
			if serviceOf(w) != service {
				continue
			}
			for _, a := range w.Arrivals() {
				if first[a.ID] || *gatewaySoakDefect == "budget" {
					repeats = append(repeats, a.At)
				}
				first[a.ID] = true
			}
		}
		for _, a := range s.requests {
			if routeService(a) == service {
				requests = append(requests, a.At)
			}
		}
		if w := retryrule.WorstWindow(rule, requests, repeats); w.Excess() > 0 {
			s.addViolation("%d repeats to %s within %s, %.0f are allowed", w.Retries, service, retryWindow, w.Allowed)
		}
	}
}

func routeService(a worker.Arrival) string {
	if strings.HasPrefix(a.ID, "advice-") || strings.HasPrefix(a.ID, "report-") {
		return llmService
	}
	return appService
}
