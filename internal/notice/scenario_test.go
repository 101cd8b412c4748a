//go:build !race

// Excluded under the race detector: its runtime fails in some simulations of whole deployments with a synthetic
// clock.

package notice_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/standin/simfleet"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

const (
	scenarioDuration = 16 * time.Second
	// propagationTime is the time after which all gateways must know a notice.
	propagationTime = 3 * time.Second
	// window is the period over which arrivals are counted.
	window = 4 * time.Second
	// maxRefusalTime is the maximum time until a request is refused: half of the time that callers wait.
	maxRefusalTime = 2500 * time.Millisecond
	// drainGrace is the time after which a gateway that has received a draining notice must send the server
	// no requests.
	drainGrace = 2 * time.Second
	// A gateway may send maxDuringBackoff requests from backoffGrace after a refusal with a backoff until
	// the backoff ends.
	backoffGrace, maxDuringBackoff = 500 * time.Millisecond, 2
)

// scenario describes a simulation: the notices that servers send and the faults of gateways.
type scenario struct {
	route             string
	gateways, servers int
	rate              float64
	// limitedServers is the number of servers that limit the rate from limitFrom until limitUntil.
	limitedServers        int
	limitFrom, limitUntil time.Duration
	// drainingServers is the number of servers that are draining from drainFrom on, while they are listed as ready.
	drainingServers int
	drainFrom       time.Duration
	// backoffServers is the number of servers that refuse requests with a backoff from refuseFrom on for refuseFor.
	backoffServers        int
	refuseFrom, refuseFor time.Duration
	backoff               time.Duration
	requestInterval       time.Duration // time between requests
	// oneGateway is set if all requests are sent to the first gateway.
	oneGateway bool
	faults     []fault
}

// fault is a failure or membership change of a gateway.
type fault struct {
	at, duration time.Duration
	kind         string
	node         int
}

var faultKinds = []string{"kill", "partition one", "partition in two", "join", "store partition"}

func drawScenario(t *rapid.T) scenario {
	ms := func(from, to int, what string) time.Duration {
		return time.Duration(rapid.IntRange(from, to).Draw(t, what)) * time.Millisecond
	}
	s := scenario{route: rapid.SampledFrom([]string{"once", "again", "stream", "resume"}).Draw(t, "route"),
		gateways: rapid.IntRange(1, 5).Draw(t, "gateways"), servers: rapid.IntRange(1, 8).Draw(t, "servers"),
		rate:      rapid.SampledFrom([]float64{0, 0.2, 1, 4, 60}).Draw(t, "rate"),
		limitFrom: ms(500, 3000, "limit from"), limitUntil: ms(9000, 20000, "limit until"),
		requestInterval: ms(4, 60, "request interval"), oneGateway: rapid.Bool().Draw(t, "one gateway")}
	s.limitedServers = rapid.IntRange(1, s.servers).Draw(t, "limited servers")
	if rapid.Bool().Draw(t, "drain") {
		s.drainingServers, s.drainFrom = rapid.IntRange(1, s.servers).Draw(t, "draining servers"), ms(500, 9000, "drain from")
	}
	if rapid.Bool().Draw(t, "back off") {
		s.backoffServers, s.refuseFrom, s.refuseFor = rapid.IntRange(1, s.servers).Draw(t, "backoff servers"), ms(500, 9000, "refuse from"), ms(50, 2000, "refuse for")
		s.backoff = ms(1000, 6000, "backoff")
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		s.faults = append(s.faults, fault{ms(500, 12000, "at"), ms(200, 8000, "duration"), rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			rapid.IntRange(0, s.gateways-1).Draw(t, "node")})
	}
	return s
}

// scenarioRun is the state of a running scenario.
type scenarioRun struct {
	*simfleet.Fleet
	scenario
	begin time.Time

	mu      sync.Mutex
	replies map[string]simfleet.Response
	sentAt  map[string]time.Time
}

// sendRequests sends requests at the scenario's interval until its end.
func (run *scenarioRun) sendRequests() {
	rnd := rand.New(rand.NewPCG(5, 5))
	var pending sync.WaitGroup
	for i := 0; time.Since(run.begin) < scenarioDuration; i++ {
		n := run.Nodes[rnd.IntN(run.gateways)]
		if run.oneGateway {
			n = run.Nodes[0]
		}
		if n.Gateway().Ready() { // as checked by the load balancer
			id := fmt.Sprintf("%s/%s-%d", n.Name, run.route, i)
			pending.Go(func() {
				at := time.Now()
				r := run.SendRequest(n, run.route, id, "body of "+id)
				run.mu.Lock()
				run.replies[id], run.sentAt[id] = r, at
				run.mu.Unlock()
			})
		}
		time.Sleep(run.requestInterval)
	}
	pending.Wait()
}

// setNotices makes the servers send the scenario's notices.
func (run *scenarioRun) setNotices() {
	step := 10 * time.Millisecond
	refusing := false
	for now := time.Duration(0); now < scenarioDuration; now += step {
		for i, s := range run.Servers {
			var headers []string
			if i < run.limitedServers && now >= run.limitFrom && now < run.limitUntil {
				headers = append(headers, "Server-Limit: "+strconv.FormatFloat(run.rate, 'g', -1, 64))
			}
			if run.draining(i) && now >= run.drainFrom {
				headers = append(headers, "Server-Leaving: 1")
			}
			run.RunningWorker(s).SetHeaders(headers...)
		}
		if refuse := now >= run.refuseFrom && now < run.refuseFrom+run.refuseFor; run.backoffServers > 0 && refuse != refusing {
			refusing = refuse
			run.SetEventInterval(0)
			for _, s := range run.Servers[:run.backoffServers] {
				if refuse {
					run.RunningWorker(s).SetBehaviour(worker.Behaviour{Reject: true, RetryAfter: strconv.FormatFloat(run.backoff.Seconds(), 'f', 3, 64)})
				}
			}
		}
		run.Sleep(step)
	}
}

// draining reports whether a server is draining in the scenario: the last drainingServers are.
func (run *scenarioRun) draining(i int) bool { return i >= run.servers-run.drainingServers }

// injectFault injects one fault and waits until it is over.
func (run *scenarioRun) injectFault(f fault) {
	run.Sleep(f.at)
	n := run.Nodes[f.node]
	switch f.kind {
	case "kill":
		run.KillNode(n)
		run.StartNode(n)
	case "partition one", "partition in two":
		isolated := func(i int) bool { return f.kind == "partition in two" && i <= f.node || i == f.node }
		run.partition(isolated, true)
		run.Sleep(f.duration)
		run.partition(isolated, false)
	case "join":
		run.AddNode(fmt.Sprint("joined-", f.at))
	case "store partition":
		run.PartitionStore(n, true)
		run.Sleep(f.duration)
		run.PartitionStore(n, false)
	}
}

// partition disconnects the isolated gateways from the others, or reconnects them. All still reach the servers.
func (run *scenarioRun) partition(isolated func(int) bool, cut bool) {
	for i, a := range run.Nodes {
		for j, b := range run.Nodes {
			if i < j && isolated(i) != isolated(j) {
				run.PartitionNodes(a, b, cut)
			}
		}
	}
}

// arrivals returns the times at which requests arrived at a server, in order.
func arrivals(w *worker.Worker) []time.Time {
	var out []time.Time
	for _, a := range w.Arrivals() {
		out = append(out, a.At)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// maxInWindow returns the highest number of arrivals in any window between two times.
func maxInWindow(at []time.Time, from, to time.Time) (most int) {
	first := 0
	for i := range at {
		if at[i].Before(from) {
			first = i + 1
			continue
		}
		for at[i].Sub(at[first]) > window {
			first++
		}
		if at[i].Before(to) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// arrivalsByGateway returns the arrivals at a server, keyed by the gateway that sent them. It excludes gateways
// that are killed in the scenario, because they lose their notices.
func (run *scenarioRun) arrivalsByGateway(w *worker.Worker) map[string][]worker.Arrival {
	out := map[string][]worker.Arrival{}
	for _, a := range w.Arrivals() {
		host, _, _ := strings.Cut(a.ID, "/")
		out[host] = append(out[host], a)
	}
	for _, f := range run.faults {
		if f.kind == "kill" {
			delete(out, run.Nodes[f.node].Name)
		}
	}
	return out
}

// checkCompliance returns an error message if a gateway did not comply with a notice that it had received, and ""
// otherwise.
func (run *scenarioRun) checkCompliance() string {
	run.mu.Lock()
	defer run.mu.Unlock()
	for i, s := range run.Servers {
		for host, arrivals := range run.arrivalsByGateway(run.RunningWorker(s)) {
			slices.SortFunc(arrivals, func(a, b worker.Arrival) int { return a.At.Compare(b.At) })
			if run.draining(i) {
				if id := requestAfterDraining(arrivals, run.begin.Add(run.drainFrom+10*time.Millisecond), run.sentAt); id != "" {
					return id + " reached a server after its gateway had received a draining notice"
				}
			}
			if i < run.backoffServers {
				from := run.begin.Add(run.refuseFrom + 10*time.Millisecond)
				if n := requestsDuringBackoff(arrivals, from, from.Add(run.refuseFor-20*time.Millisecond), run.backoff); n > maxDuringBackoff {
					return fmt.Sprintf("%s sent %d requests to a server during a backoff", host, n)
				}
			}
		}
	}
	return ""
}

// requestAfterDraining returns the ID of a request that was sent more than drainGrace after its gateway received
// the draining notice, or "" if there is none. The server sends the notice from noticeFrom on.
func requestAfterDraining(arrivals []worker.Arrival, noticeFrom time.Time, sentAt map[string]time.Time) string {
	var received time.Time
	for _, a := range arrivals {
		switch {
		case a.At.Before(noticeFrom):
		case received.IsZero():
			received = a.At
		case sentAt[a.ID].Sub(received) > drainGrace:
			return a.ID
		}
	}
	return ""
}

// requestsDuringBackoff returns the highest number of requests during any backoff that was sent between two
// times.
func requestsDuringBackoff(arrivals []worker.Arrival, from, to time.Time, backoff time.Duration) (most int) {
	for i, first := range arrivals {
		if first.At.Before(from) || first.At.After(to) {
			continue
		}
		n := 0
		for _, a := range arrivals[i:] {
			if since := a.At.Sub(first.At); since > backoffGrace && since < backoff {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// check returns an error message if the gateways did not comply with the notices or refused a request incorrectly,
// and "" otherwise.
func (run *scenarioRun) check() string {
	if failure := run.checkCompliance(); failure != "" {
		return failure
	}
	from, to := run.begin.Add(run.limitFrom+propagationTime), run.begin.Add(run.limitUntil)
	executed := map[string]bool{}
	for _, s := range run.Servers {
		for _, r := range run.RunningWorker(s).Executions() {
			executed[r.ID] = true
		}
	}
	for _, s := range run.Servers[:run.limitedServers] {
		if n, allowed := maxInWindow(arrivals(run.RunningWorker(s)), from, to), 1.5*run.rate*window.Seconds()+5; float64(n) > allowed {
			return fmt.Sprintf("%s received %d requests in 4 s, allowed %v", s.ID, n, allowed)
		}
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	for id, r := range run.replies {
		retryAfter, _ := strconv.ParseFloat(r.RetryAfter, 64)
		switch {
		case r.Status != 429 && r.Status != 503:
		case executed[id]:
			return id + " was refused but executed"
		case retryAfter <= 0:
			return id + " was refused without a Retry-After time"
		case r.Elapsed > maxRefusalTime:
			return fmt.Sprintf("%s was refused after %s", id, r.Elapsed)
		}
	}
	return ""
}

// checkUtilization returns an error message if too little of the limits is used in a scenario without faults or
// other notices, and "" otherwise.
func (run *scenarioRun) checkUtilization() string {
	capacity := run.rate * float64(run.limitedServers)
	demand := 1 / run.requestInterval.Seconds()
	if len(run.faults) > 0 || run.drainingServers > 0 || run.backoffServers > 0 || run.limitedServers < run.servers || run.rate < 1 || demand < 1.5*capacity {
		return ""
	}
	from, to := run.begin.Add(run.limitFrom+propagationTime), run.begin.Add(min(run.limitUntil, scenarioDuration-time.Second))
	n := 0
	for _, s := range run.Servers {
		for _, at := range arrivals(run.RunningWorker(s)) {
			if at.After(from) && at.Before(to) {
				n++
			}
		}
	}
	if allowed := capacity * to.Sub(from).Seconds(); float64(n) < 0.7*allowed {
		return fmt.Sprintf("%d requests were sent, the limits allow %.0f", n, allowed)
	}
	return ""
}

// run simulates the scenario and returns an error message, or "" if all checks pass.
func (s scenario) run() (failure string) {
	synctest.Test(new(testing.T), func(*testing.T) {
		run := &scenarioRun{Fleet: simfleet.New(s.gateways, s.servers, 1, nil), scenario: s, replies: map[string]simfleet.Response{}, sentAt: map[string]time.Time{}}
		defer run.Close()
		run.begin = time.Now()
		var tasks sync.WaitGroup
		tasks.Go(run.sendRequests)
		tasks.Go(run.setNotices)
		tasks.Go(func() {
			var faults sync.WaitGroup
			defer faults.Wait()
			for _, f := range s.faults {
				if f.kind == "kill" || f.kind == "join" {
					continue
				}
				faults.Go(func() { run.injectFault(f) })
			}
			// Kills and joins are injected one at a time.
			slices.SortFunc(s.faults, func(a, b fault) int { return int(a.at - b.at) })
			for _, f := range s.faults {
				if f.kind == "kill" || f.kind == "join" {
					f.at = max(0, f.at-time.Since(run.begin))
					run.injectFault(f)
				}
			}
		})
		tasks.Wait()
		if failure = run.check(); failure == "" {
			failure = run.checkUtilization()
		}
	})
	return failure
}

// Checks, with faults of gateways and any distribution of callers, that
//   - a server with a rate limit receives at most 1.5 times that rate plus 5 requests in any 4 s;
//   - a draining server receives no requests, and a server during a backoff at most maxDuringBackoff, from
//     each gateway that has received the notice, after a grace period;
//   - refused requests have not been executed, and are refused within maxRefusalTime and with a Retry-After header;
//   - without faults and other notices, at least 0.7 of the capacity that the limits allow is used.
func TestFleetsComplyWithNotices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		if failure := s.run(); failure != "" {
			t.Fatalf("%s\n%+v", failure, s)
		}
	})
}

// Guards against a burst of requests at the end of a backoff. If the server has set a rate limit during the backoff,
// the gateways learn of it from the first response afterwards; requests sent before that response are not limited.
func TestRateLimitAppliesAfterABackoff(t *testing.T) {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	s := scenario{route: "again", gateways: 5, servers: 4, limitedServers: 4, limitFrom: ms(2407), limitUntil: ms(9077),
		drainingServers: 1, drainFrom: ms(736), backoffServers: 1, refuseFrom: ms(537), refuseFor: ms(51), backoff: ms(6000),
		requestInterval: ms(5), oneGateway: true, faults: []fault{{ms(500), ms(201), "store partition", 1},
			{ms(1766), ms(202), "join", 4}, {ms(4292), ms(2116), "partition in two", 4}}}
	if failure := s.run(); failure != "" {
		t.Fatalf("%s\n%+v", failure, s)
	}
}
