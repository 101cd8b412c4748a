package gateway_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

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
