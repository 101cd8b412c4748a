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

// checkResponse checks a response against the guarantees of the gateway.
func (s *gatewaySoak) checkResponse(route, id string, resp fleetResponse) {
	switch {
	case *gatewaySoakFalsified == "foreign" && strings.HasSuffix(id, "-7"):
		resp.body += "x"
	case *gatewaySoakFalsified == "shed" && strings.HasPrefix(id, "advice-") && strings.HasSuffix(id, "-7"):
		resp.status = http.StatusTooManyRequests
	}
	switch {
	case resp.err != nil:
		return // failures that the caller notices are allowed
	case resp.status == 200 && resp.body != wantBody(route, id) && worker.IsFiller(resp.body):
		s.mu.Lock()
		s.unframed[id] = resp.body
		s.mu.Unlock()
	case resp.status == 200 && resp.body != wantBody(route, id):
		s.addViolation("%s got status 200 with an unexpected body: %q", id, resp.body)
	case resp.status == 429 && strings.Contains(resp.body, `"queue_full"`):
		// A server refused the request, which checkExecutions verifies, and the retry budget did not allow a retry.
		s.mu.Lock()
		s.refusedByServer[id], s.notRun[id] = true, true
		s.mu.Unlock()
	case resp.status == 429 && route != "report" && !strings.Contains(resp.body, `"server_rate_limit"`):
		s.addViolation("%s was refused because of load, which is allowed only on the report route", id)
	case resp.status == 429 || resp.status == 503:
		s.mu.Lock()
		s.notRun[id] = true
		s.mu.Unlock()
	case resp.status == 401 || resp.status == 404 || resp.status == 400:
		s.addViolation("%s was refused with status %d, which no configuration justifies", id, resp.status)
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
	served, pid, falsified := 0, -1, false
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, 10*time.Millisecond)
		newest := s.newestVersion()
		version := newest - n%2*versionStep
		if current := g.pid(); current != pid {
			served, pid = 0, current
		}
		requestCtx, cancel := context.WithTimeout(ctx, time.Second)
		resp := s.sendWithKey(requestCtx, s.http, g, versionKey(version), "list", fmt.Sprintf("list-config-%d-%d", i, n))
		cancel()
		if g.pid() != pid {
			continue // the gateway was restarted in the meantime
		}
		if *gatewaySoakFalsified == "rollback" && !falsified && resp.status == 401 && served > version {
			resp.status, falsified = 200, true
		}
		switch {
		case resp.status == 200 && version < served:
			s.addViolation("%s served configuration version %d after version %d", g.host, version, served)
		case resp.status == 200:
			served = version
		case resp.status == 401 && version <= served && version == s.newestVersion():
			s.addViolation("%s refused configuration version %d after serving it", g.host, version)
		}
	}
}

// drainTimeout is bounds.drain_ms in the settings of the fleet. drainMargin covers the propagation
// through the store and requests in flight on a busy machine.
const (
	drainTimeout = 600 * time.Millisecond
	drainMargin  = 400 * time.Millisecond
	// deadConnectionTimeout is the time in which gateways detect dead connections.
	deadConnectionTimeout = 3500 * time.Millisecond
)

// checkDrain drains a worker while no other fault is injected, checks that the worker gets no
// requests after the drain timeout, and replaces it. Drains are announced alternately through the
// registry and only in the responses of the worker.
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
	viaRegistry := (int(s.seed)+s.checkedDrains)%2 == 0
	if viaRegistry {
		if err := s.register(w, serviceOfWorker(w), "draining"); err != nil {
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
		if *gatewaySoakFalsified == "drain" {
			late += drainTimeout + drainMargin + deadConnectionTimeout
		}
		if late > 0 {
			s.addViolation("%s reached %s %s after its drain timeout", a.ID, w.ID, late)
		}
	}
	s.checkedDrains++
	s.replaceWorker(i)
}

// firstArrivalAfter returns the time of the first arrival after a given time, or the given time if there
// is none. The response to this arrival is the first with headers that were set at the given time.
func firstArrivalAfter(arrivals []worker.Arrival, at time.Time) time.Time {
	for _, a := range arrivals {
		if a.At.After(at) {
			return a.At
		}
	}
	return at
}

// checkUnframedBodies checks the bodies that have no length and end with their connection. Such a body is complete if the
// worker closed the connection, and then it must be all that the worker sent. If a proxy closed the connection, a part of
// it can't be told from the whole. In all other cases the connection was reset, and the body is incomplete.
func (s *gatewaySoak) checkUnframedBodies() {
	for id, body := range s.unframed {
		if !s.isCompleteUnframed(id, body) {
			s.addViolation("%s got status 200 with %d bytes of a body without length that is incomplete", id, len(body))
		}
	}
}

func (s *gatewaySoak) isCompleteUnframed(id, body string) bool {
	for _, w := range s.workers {
		sent, ok := w.UnframedBodies()[id]
		if !ok {
			continue
		}
		size := int64(len(body))
		if sent.ClosedByWorker && size == sent.Bytes || size <= sent.Bytes && s.closedByProxy(w, sent) {
			return true
		}
	}
	return false
}

// closedByProxy reports whether a proxy in front of a worker closed its connections while a body was sent.
func (s *gatewaySoak) closedByProxy(w *worker.Worker, sent worker.UnframedBody) bool {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for name, proxy := range s.proxies {
		if owner, _, _ := strings.Cut(name, " "); owner == w.ID && proxy.closedBetween(sent.Begun, sent.Ended) {
			return true
		}
	}
	return false
}

// checkExecutions compares the requests that the workers ran with the responses that the callers got.
func (s *gatewaySoak) checkExecutions() {
	arrived := map[string]bool{}
	for _, w := range s.workers {
		for _, a := range w.Arrivals() {
			arrived[a.ID] = true
		}
	}
	for id := range s.refusedByServer {
		if !arrived[id] {
			s.addViolation("%s was answered as refused by a server but did not reach any server", id)
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
	if *gatewaySoakFalsified == "double" {
		for id := range ran {
			ran[id]++
			break
		}
	}
	for id, n := range ran {
		runsOnce := strings.HasPrefix(id, "post-") || strings.HasPrefix(id, "advice-")
		if n > 1 && (runsOnce || *gatewaySoakFalsified == "double") {
			s.addViolation("%s ran %d times", id, n)
		}
		if *gatewaySoakFalsified == "untrue" {
			s.notRun[id] = true
		}
		if runsOnce && s.notRun[id] {
			s.addViolation("%s was answered as not run but ran", id)
		}
	}
}

// These values and retryBudgetSlack are the retry budget in the settings of the fleet.
const (
	retryBudgetRatio  = 0.2
	retryBudgetWindow = 10 * time.Second
)

// allArrivals returns the times at which requests reached the workers.
func allArrivals(workers []*worker.Worker) []time.Time {
	var out []time.Time
	for _, w := range workers {
		for _, a := range w.Arrivals() {
			out = append(out, a.At)
		}
	}
	return out
}

// checkRetryBudget checks that the retries to each service stay within the retry budget in every window.
func (s *gatewaySoak) checkRetryBudget() {
	rule := retryrule.Rule{Ratio: retryBudgetRatio, Window: retryBudgetWindow, Slack: retryBudgetSlack}
	for _, service := range []string{llmService, appService} {
		workers := workersOf(s.workers, service)
		var requests []time.Time
		retries := worker.Retries(workers)
		if *gatewaySoakFalsified == "budget" {
			retries = append(retries, allArrivals(workers)...)
		}
		for _, a := range s.requests {
			if serviceOfArrival(a) == service {
				requests = append(requests, a.At)
			}
		}
		if w := retryrule.WorstWindow(rule, requests, retries); w.Excess() > 0 {
			s.addViolation("%d retries to %s within %s, at most %.0f are allowed", w.Retries, service, retryBudgetWindow, w.Allowed)
		}
	}
}

// serviceOfArrival returns the service that a request is for.
func serviceOfArrival(a worker.Arrival) string {
	if strings.HasPrefix(a.ID, "advice-") || strings.HasPrefix(a.ID, "report-") {
		return llmService
	}
	return appService
}
