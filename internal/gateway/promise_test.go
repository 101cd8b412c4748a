package gateway_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/standin/scripted"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

// Guards against passing on, for a request that has run, a status that tells callers that it has not.
func TestAFailureOfARunIsNotPassedOnAsNotRun(t *testing.T) {
	for _, route := range []string{"/once/", "/stream/", "/again/", "/resume/"} {
		for _, status := range []int{408, 429, 503} {
			t.Run(fmt.Sprint(route, status), func(t *testing.T) {
				h := harnessForTest(t, 1)
				h.workers[0].SetBehaviour(worker.Behaviour{Status: status, AbortAfterEvents: -1})
				resp := h.post(route, "a")
				Expect(h.runs()).NotTo(BeEmpty())
				Expect(resp.status).To(Equal(502))
				Expect(resp.header.Get("X-Response-Seal")).To(BeEmpty())
			})
		}
	}
}

// Guards against repeating a request by an older configuration after its route has become one of requests that run once.
func TestARouteThatBecomesNonIdempotentIsNotRepeated(t *testing.T) {
	for path, kind := range map[string]routing.Kind{"/again/": routing.NonIdempotent, "/resume/": routing.Streaming} {
		for _, removed := range []bool{false, true} {
			t.Run(fmt.Sprint(path, removed), func(t *testing.T) {
				h := harnessForTest(t, 2)
				changed := changedTable(path, kind)
				if removed {
					changed.Routes = nil
				}
				next, err := routing.New(changed)
				Expect(err).NotTo(HaveOccurred())
				for _, w := range h.workers {
					w.CrashOn("body of a", 100*time.Millisecond, func() {})
				}
				go func() {
					defer GinkgoRecover()
					Eventually(h.runs).Should(HaveLen(1))
					h.gateway.SetTable(next, time.Now())
				}()
				Expect(h.post(path, "a").status).To(Equal(502))
				Expect(h.runs()).To(HaveLen(map[bool]int{false: 1, true: 2}[removed]))
			})
		}
	}
}

// Guards against repeating a request whose route becomes one of requests that run once between its first send and a later
// one, although the server before the later one has rejected it.
func TestARouteThatBecomesNonIdempotentIsNotRepeatedAfterARejection(t *testing.T) {
	for path, kind := range map[string]routing.Kind{"/again/": routing.NonIdempotent, "/resume/": routing.Streaming} {
		t.Run(path, func(t *testing.T) {
			RegisterTestingT(t)
			next, err := routing.New(changedTable(path, kind))
			Expect(err).NotTo(HaveOccurred())
			var h *harness
			var arrivals atomic.Int64
			h, servers := scriptedHarness(t, 3, func(a scripted.Arrival) scripted.Step {
				answer := scripted.Step{Runs: true, Status: http.StatusOK}
				if a.ID != "a" {
					return answer
				}
				switch arrivals.Add(1) {
				case 1:
					return scripted.Step{Runs: true, Ending: scripted.Close}
				case 2:
					h.gateway.SetTable(next, time.Now())
					return scripted.Step{Status: http.StatusServiceUnavailable, NotExecuted: true}
				}
				return answer
			})
			for i := range 5 { // the retry budget grows with the number of requests
				Expect(h.post("/once/", fmt.Sprint("before-", i)).status).To(Equal(200))
			}
			Expect(h.post(path, "a").status).To(Equal(502))
			runs := 0
			for _, s := range servers {
				runs += s.RunsOf("a")
			}
			Expect(runs).To(Equal(1))
		})
	}
}

// changedTable returns a configuration in which the route with a path has another kind.
func changedTable(path string, kind routing.Kind) routing.Config {
	return routing.Config{Version: 2, Limits: table().Limits, Teams: map[string]*routing.Team{"key": {Name: "team"}},
		Routes: []routing.Route{{Name: "changed", Host: "a.example", PathPrefix: path, Kind: kind, Timeout: 5 * time.Second, MaxAttempts: 2,
			Targets: []routing.Target{{Service: "s", Weight: 1}}}}}
}
