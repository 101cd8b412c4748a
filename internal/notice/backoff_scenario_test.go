//go:build !race

// Excluded under the race detector for the same reason as the other scenarios.

package notice_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawBackoffScenario draws a scenario in which all servers set a rate limit while some of them are not sent requests
// because of a backoff.
func drawBackoffScenario(t *rapid.T) scenario {
	ms := func(from, to int, what string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, what)) * time.Millisecond
	}
	s := drawScenario(t)
	s.rate = rapid.SampledFrom([]float64{0, 0.2, 1, 4}).Draw(t, "rate")
	s.requestInterval = ms(4, 20, "request interval")
	s.backoffServers = rapid.IntRange(1, s.servers).Draw(t, "backoff servers")
	s.refuseFrom, s.refuseFor, s.backoff = ms(500, 4000, "refuse from"), ms(50, 2000, "refuse for"), ms(4000, 6000, "backoff")
	s.limitedServers = s.servers
	s.limitFrom = s.refuseFrom + s.refuseFor + ms(10, 900, "limit after")
	s.limitUntil = s.limitFrom + ms(7000, 12000, "limit for")
	return s
}

// Guards against bursts at the end of backoffs, as in TestRateLimitAppliesAfterABackoff, with other routes, rates,
// moments, servers, gateways and faults.
func TestFleetsComplyAfterBackoffs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawBackoffScenario(t)
		if failure := s.run(); failure != "" {
			t.Fatalf("%s\n%+v", failure, s)
		}
	})
}
