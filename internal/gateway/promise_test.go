package gateway_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/routing"
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

// changedTable returns a configuration in which the route with a path has another kind.
func changedTable(path string, kind routing.Kind) routing.Config {
	return routing.Config{Version: 2, Limits: table().Limits, Teams: map[string]*routing.Team{"key": {Name: "team"}},
		Routes: []routing.Route{{Name: "changed", Host: "a.example", PathPrefix: path, Kind: kind, Timeout: 5 * time.Second, MaxAttempts: 2,
			Targets: []routing.Target{{Service: "s", Weight: 1}}}}}
}
