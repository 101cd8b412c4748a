package gateway_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/standin/scripted"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

// Guards against a request that goes on at another server while the server before still works on it.
func TestARequestGoesOnElsewhereOnlyAfterItsServerWasDisconnected(t *testing.T) {
	for name, abandoned := range map[string]scripted.Step{
		"failure":                      {Status: http.StatusInternalServerError, Ending: scripted.WorkOn},
		"garbled failure":              {Status: http.StatusInternalServerError, Ending: scripted.Garble},
		"time limit":                   {Status: http.StatusGatewayTimeout, Ending: scripted.WorkOn},
		"rejection without statement":  {Status: http.StatusServiceUnavailable, Ending: scripted.WorkOn},
		"answer without seal":          {Status: http.StatusOK, Unsealed: true, Ending: scripted.WorkOn},
		"answer without ID":            {Status: http.StatusOK, OmitID: true, Ending: scripted.WorkOn},
		"garbled answer":               {Status: http.StatusOK, Ending: scripted.Garble},
		"stream without seal":          {Status: http.StatusOK, Events: 4, Unsealed: true, Ending: scripted.WorkOn},
		"stream garbled at its start":  {Status: http.StatusOK, Events: 4, CutAfter: 1, Ending: scripted.Garble},
		"stream garbled in the middle": {Status: http.StatusOK, Events: 4, CutAfter: 3, Ending: scripted.Garble},
	} {
		t.Run(name, func(t *testing.T) {
			abandoned.Runs = true
			var arrivals atomic.Int64
			script := func(scripted.Arrival) scripted.Step {
				if arrivals.Add(1) == 1 {
					return abandoned
				}
				return scripted.Step{Runs: true, Status: http.StatusOK, Events: abandoned.Events}
			}
			var servers []*scripted.Server
			var overlaps scripted.OverlapCheck
			var h *harness
			h, servers = scriptedHarness(t, 2, overlaps.Watch(func() []*scripted.Server { return servers }, script))
			route, want := "/again/", worker.ResponseBody("a")
			if abandoned.Events > 0 {
				route, want = "/resume/", worker.StreamBody("a", abandoned.Events)
			}
			resp := h.post(route, "a")
			Expect(resp.err).NotTo(HaveOccurred())
			Expect(resp.body).To(Equal(want), h.log.String())
			Expect(servers[0].RunsOf("a") + servers[1].RunsOf("a")).To(Equal(2))
			Expect(overlaps.Of("a")).To(BeFalse())
		})
	}
}
