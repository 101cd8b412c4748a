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

// check compares an answer with the promises.
func (s *gatewaySoak) check(route, id string, a fleetAnswer) {
	switch {
	case *gatewaySoakBreak == "foreign" && strings.HasSuffix(id, "-7"):
		a.body += "x"
	case *gatewaySoakBreak == "shed" && strings.HasPrefix(id, "advice-") && strings.HasSuffix(id, "-7"):
		a.status = http.StatusTooManyRequests
	}
	switch {
	case a.err != nil:
		return // broken off, and seen to be
	case a.status == 200 && a.body != want(route, id):
		s.violate("%s got a success that is not its answer: %q", id, a.body)
	case a.status == 429 && strings.Contains(a.body, `"queue_full"`):
		// A server itself turned it away, which checkRuns looks up, and the ratio of repeats left no other send.
		s.mu.Lock()
		s.turnedAway[id], s.notRun[id] = true, true
		s.mu.Unlock()
	case a.status == 429 && route != "report" && !strings.Contains(a.body, `"server_rate_limit"`):
		s.violate("%s was shed for load; only requests that may wait are", id)
	case a.status == 429 || a.status == 503:
		s.mu.Lock()
		s.notRun[id] = true
		s.mu.Unlock()
	case a.status == 401 || a.status == 404 || a.status == 400:
		s.violate("%s was refused with %d, which no configuration asks for", id, a.status)
	}
	s.mu.Lock()
	s.answers++
	s.mu.Unlock()
}

// watchConfig asks a gateway again and again with the keys of the newest version and
// of the one before: a process that has served the newer one never again serves the
// older one, nor refuses the newer while there is no newer still.
func (s *gatewaySoak) watchConfig(ctx context.Context, i int) {
	g := s.gateways[i]
	seen, process, broken := 0, -1, false
	for n := 0; ctx.Err() == nil; n++ {
		wait(ctx, 10*time.Millisecond)
		newest := s.newestVersion()
		version := newest - n%2*versionStep
		before := g.pid()
		if before != process {
			seen, process = 0, before
		}
		give, cancel := context.WithTimeout(ctx, time.Second)
		a := s.askWith(give, s.http, g, versionKey(version), "list", fmt.Sprintf("list-config-%d-%d", i, n))
		cancel()
		if g.pid() != process {
			continue // another start answered, or none
		}
		if *gatewaySoakBreak == "rollback" && !broken && a.status == 401 && seen > version {
			a.status, broken = 200, true
		}
		switch {
		case a.status == 200 && version < seen:
			s.violate("%s served version %d after %d", g.host, version, seen)
		case a.status == 200:
			seen = version
		case a.status == 401 && version <= seen && version == s.newestVersion():
			s.violate("%s refused version %d after it had served it", g.host, version)
		}
	}
}

// drainWithin is bounds.drain_ms of the fleet's settings, drainMargin the way of the
// store's word and of a request on a busy machine.
const (
	drainWithin = 600 * time.Millisecond
	drainMargin = 400 * time.Millisecond
	// settled is how long connections that went silent may take to be found out.
	settled = 3500 * time.Millisecond
)

// drain has a worker leave while nothing else happens and checks that it gets nothing
// later than it should; then another takes its place.
func (s *gatewaySoak) drain(ctx context.Context, i int) {
	s.calm.Lock()
	defer s.calm.Unlock()
	s.calmDown()
	if err := s.waitReady(); err != nil {
		s.violate("%v", err)
		return
	}
	wait(ctx, settled)
	w := s.fleet.workers[i]
	if ctx.Err() != nil {
		return
	}
	byList := (int(s.seed)+s.drains)%2 == 0
	if byList {
		if err := s.register(w, serviceOf(w), "draining"); err != nil {
			s.violate("%v", err)
			return
		}
	} else {
		w.SetHeaders("Server-Leaving: 1") // while the list calls it ready
	}
	left := time.Now()
	wait(ctx, drainWithin+2*drainMargin)
	arrivals := w.Arrivals()
	if !byList {
		left = firstAfter(arrivals, left)
	}
	for _, a := range arrivals {
		late := a.At.Sub(left) - drainWithin - drainMargin
		if *gatewaySoakBreak == "drain" {
			late += drainWithin + drainMargin + settled
		}
		if late > 0 {
			s.violate("%s reached %s %s after it was to get nothing more", a.ID, w.ID, late)
		}
	}
	s.drains++
	s.replace(i)
}

// firstAfter returns when the first request came after a time: its answer is the first that tells.
func firstAfter(arrivals []worker.Arrival, at time.Time) time.Time {
	for _, a := range arrivals {
		if a.At.After(at) {
			return a.At
		}
	}
	return at
}

// checkRuns compares what the workers ran with what callers were told.
func (s *gatewaySoak) checkRuns() {
	arrived := map[string]bool{}
	for _, w := range s.workers {
		for _, a := range w.Arrivals() {
			arrived[a.ID] = true
		}
	}
	for id := range s.turnedAway {
		if !arrived[id] {
			s.violate("%s was told that a server had turned it away, and reached none", id)
		}
	}
	ran := map[string]int{}
	for _, w := range s.workers {
		for _, r := range w.Executions() {
			ran[r.ID]++
			if want := "body of " + r.ID; r.Body != want || r.Header.Get("X-Tenant") != "team" {
				s.violate("%s ran with body %q for team %q", r.ID, r.Body, r.Header.Get("X-Tenant"))
			}
		}
	}
	if *gatewaySoakBreak == "double" {
		for id := range ran {
			ran[id]++
			break
		}
	}
	for id, n := range ran {
		once := strings.HasPrefix(id, "post-") || strings.HasPrefix(id, "advice-")
		if n > 1 && (once || *gatewaySoakBreak == "double") {
			s.violate("%s ran %d times", id, n)
		}
		if *gatewaySoakBreak == "untrue" {
			s.notRun[id] = true
		}
		if once && s.notRun[id] {
			s.violate("%s was told not run and ran", id)
		}
	}
}

// The retry budget in the fleet's settings, together with budgetSlack.
const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
)

// checkBudget checks that the repeated sends to each service stay within the retry budget in any window.
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
				if first[a.ID] || *gatewaySoakBreak == "budget" {
					repeats = append(repeats, a.At)
				}
				first[a.ID] = true
			}
		}
		for _, a := range s.asked {
			if routeService(a) == service {
				requests = append(requests, a.At)
			}
		}
		if w := retryrule.Worst(rule, requests, repeats); w.Excess() > 0 {
			s.violate("%d repeats at %s within %s, %.0f are allowed", w.Retries, service, retryWindow, w.Allowed)
		}
	}
}

func routeService(a worker.Arrival) string {
	if strings.HasPrefix(a.ID, "advice-") || strings.HasPrefix(a.ID, "report-") {
		return llmService
	}
	return appService
}
