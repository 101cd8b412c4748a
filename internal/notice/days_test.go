//go:build !race

// Excluded under the race detector, whose runtime fails in some simulations of whole fleets in synthetic
// time.

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
	// maxRefusalTime is half of the time that callers wait.
	maxRefusalTime = 2500 * time.Millisecond
	// drainGrace is the time after which a gateway that has received a draining notice must send the server
	// no requests.
	drainGrace = 2 * time.Second
	// A gateway may send maxDuringBackoff requests from backoffGrace after a refusal with a backoff until
	// the backoff ends.
	backoffGrace, maxDuringBackoff = 500 * time.Millisecond, 2
)

// scenario describes a simulated run: the notices of servers and the faults of gateways.
type scenario struct {
	route             string
	gateways, servers int
	rate              float64
	// limitedServers servers state the rate from limitFrom until limitUntil.
	limitedServers        int
	limitFrom, limitUntil time.Duration
	// drainingServers servers state from drainFrom on that they are draining, while the list has them as ready.
	drainingServers int
	drainFrom       time.Duration
	// backoffServers servers refuse requests from refuseFrom on for refuseFor, and state the backoff.
	backoffServers        int
	refuseFrom, refuseFor time.Duration
	backoff               time.Duration
	requestInterval       time.Duration // time between requests
	// oneGateway sends all requests to the first gateway.
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
	d := scenario{route: rapid.SampledFrom([]string{"once", "again", "stream", "resume"}).Draw(t, "route"),
		gateways: rapid.IntRange(1, 5).Draw(t, "gateways"), servers: rapid.IntRange(1, 8).Draw(t, "servers"),
		rate:      rapid.SampledFrom([]float64{0, 0.2, 1, 4, 60}).Draw(t, "rate"),
		limitFrom: ms(500, 3000, "limit at"), limitUntil: ms(9000, 20000, "lift at"),
		requestInterval: ms(4, 60, "every"), oneGateway: rapid.Bool().Draw(t, "uneven")}
	d.limitedServers = rapid.IntRange(1, d.servers).Draw(t, "limited")
	if rapid.Bool().Draw(t, "leave") {
		d.drainingServers, d.drainFrom = rapid.IntRange(1, d.servers).Draw(t, "leaving"), ms(500, 9000, "leave at")
	}
	if rapid.Bool().Draw(t, "rest") {
		d.backoffServers, d.refuseFrom, d.refuseFor = rapid.IntRange(1, d.servers).Draw(t, "resting"), ms(500, 9000, "refuse at"), ms(50, 2000, "refuse for")
		d.backoff = ms(1000, 6000, "rest for")
	}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		d.faults = append(d.faults, fault{ms(500, 12000, "at"), ms(200, 8000, "lasts"), rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			rapid.IntRange(0, d.gateways-1).Draw(t, "node")})
	}
	return d
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
func (p *scenarioRun) sendRequests() {
	rnd := rand.New(rand.NewPCG(5, 5))
	var pending sync.WaitGroup
	for i := 0; time.Since(p.begin) < scenarioDuration; i++ {
		n := p.Nodes[rnd.IntN(p.gateways)]
		if p.oneGateway {
			n = p.Nodes[0]
		}
		if n.Gateway().Ready() { // as checked by the load balancer
			id := fmt.Sprintf("%s/%s-%d", n.Name, p.route, i)
			pending.Go(func() {
				at := time.Now()
				r := p.SendRequest(n, p.route, id, "body of "+id)
				p.mu.Lock()
				p.replies[id], p.sentAt[id] = r, at
				p.mu.Unlock()
			})
		}
		time.Sleep(p.requestInterval)
	}
	pending.Wait()
}

// setNotices makes servers state the scenario's notices.
func (p *scenarioRun) setNotices() {
	step := 10 * time.Millisecond
	refusing := false
	for now := time.Duration(0); now < scenarioDuration; now += step {
		for i, s := range p.Servers {
			var lines []string
			if i < p.limitedServers && now >= p.limitFrom && now < p.limitUntil {
				lines = append(lines, "Server-Limit: "+strconv.FormatFloat(p.rate, 'g', -1, 64))
			}
			if p.draining(i) && now >= p.drainFrom {
				lines = append(lines, "Server-Leaving: 1")
			}
			p.RunningWorker(s).SetHeaders(lines...)
		}
		if refuse := now >= p.refuseFrom && now < p.refuseFrom+p.refuseFor; p.backoffServers > 0 && refuse != refusing {
			refusing = refuse
			p.SetEventInterval(0)
			for _, s := range p.Servers[:p.backoffServers] {
				if refuse {
					p.RunningWorker(s).SetBehaviour(worker.Behaviour{Reject: true, RetryAfter: strconv.FormatFloat(p.backoff.Seconds(), 'f', 3, 64)})
				}
			}
		}
		p.Sleep(step)
	}
}

// draining reports whether a server is draining in the scenario: the last drainingServers are.
func (p *scenarioRun) draining(i int) bool { return i >= p.servers-p.drainingServers }

// injectFault injects one fault and waits until it is over.
func (p *scenarioRun) injectFault(f fault) {
	p.Sleep(f.at)
	n := p.Nodes[f.node]
	switch f.kind {
	case "kill":
		p.KillNode(n)
		p.StartNode(n)
	case "partition one", "partition in two":
		isolated := func(i int) bool { return f.kind == "partition in two" && i <= f.node || i == f.node }
		p.partition(isolated, true)
		p.Sleep(f.duration)
		p.partition(isolated, false)
	case "join":
		p.AddNode(fmt.Sprint("joined-", f.at))
	case "store partition":
		p.PartitionStore(n, true)
		p.Sleep(f.duration)
		p.PartitionStore(n, false)
	}
}

// partition disconnects the isolated gateways from the others, or reconnects them. All still reach the servers.
func (p *scenarioRun) partition(isolated func(int) bool, cut bool) {
	for i, a := range p.Nodes {
		for j, b := range p.Nodes {
			if i < j && isolated(i) != isolated(j) {
				p.PartitionNodes(a, b, cut)
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

// arrivalsByGateway returns the arrivals at a server by the gateway that sent them. It excludes gateways that
// are killed in the scenario, because they lose their notices.
func (p *scenarioRun) arrivalsByGateway(w *worker.Worker) map[string][]worker.Arrival {
	out := map[string][]worker.Arrival{}
	for _, a := range w.Arrivals() {
		host, _, _ := strings.Cut(a.ID, "/")
		out[host] = append(out[host], a)
	}
	for _, f := range p.faults {
		if f.kind == "kill" {
			delete(out, p.Nodes[f.node].Name)
		}
	}
	return out
}

// checkHeeded returns an error message if a gateway did not follow a notice that it had received, and ""
// otherwise.
func (p *scenarioRun) checkCompliance() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, s := range p.Servers {
		for host, arrivals := range p.arrivalsByGateway(p.RunningWorker(s)) {
			slices.SortFunc(arrivals, func(a, b worker.Arrival) int { return a.At.Compare(b.At) })
			if p.draining(i) {
				if id := requestAfterDraining(arrivals, p.begin.Add(p.drainFrom+10*time.Millisecond), p.sentAt); id != "" {
					return id + " reached a server after its gateway had received a draining notice"
				}
			}
			if i < p.backoffServers {
				from := p.begin.Add(p.refuseFrom + 10*time.Millisecond)
				if n := requestsDuringBackoff(arrivals, from, from.Add(p.refuseFor-20*time.Millisecond), p.backoff); n > maxDuringBackoff {
					return fmt.Sprintf("%s sent %d requests to a server during a backoff", host, n)
				}
			}
		}
	}
	return ""
}

// requestAfterDraining returns the ID of a request that was sent later than drainGrace after its gateway
// received the draining notice, which the server states from the given time on.
func requestAfterDraining(arrivals []worker.Arrival, statedFrom time.Time, sentAt map[string]time.Time) string {
	var received time.Time
	for _, a := range arrivals {
		switch {
		case a.At.Before(statedFrom):
		case received.IsZero():
			received = a.At
		case sentAt[a.ID].Sub(received) > drainGrace:
			return a.ID
		}
	}
	return ""
}

// requestsDuringBackoff returns the highest number of requests during a backoff that was stated between two
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

// check returns an error message if a gateway did not follow the notices or refused a request incorrectly, and
// "" otherwise.
func (p *scenarioRun) check() string {
	if failure := p.checkCompliance(); failure != "" {
		return failure
	}
	from, to := p.begin.Add(p.limitFrom+propagationTime), p.begin.Add(p.limitUntil)
	ran := map[string]bool{}
	for _, s := range p.Servers {
		for _, r := range p.RunningWorker(s).Executions() {
			ran[r.ID] = true
		}
	}
	for _, s := range p.Servers[:p.limitedServers] {
		if n, allowed := maxInWindow(arrivals(p.RunningWorker(s)), from, to), 1.5*p.rate*window.Seconds()+5; float64(n) > allowed {
			return fmt.Sprintf("%s received %d requests in 4 s, allowed %v", s.ID, n, allowed)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, r := range p.replies {
		retryAfter, _ := strconv.ParseFloat(r.RetryAfter, 64)
		switch {
		case r.Status != 429 && r.Status != 503:
		case ran[id]:
			return id + " was refused but ran"
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
func (p *scenarioRun) checkUtilization() string {
	capacity := p.rate * float64(p.limitedServers)
	demand := 1 / p.requestInterval.Seconds()
	if len(p.faults) > 0 || p.drainingServers > 0 || p.backoffServers > 0 || p.limitedServers < p.servers || p.rate < 1 || demand < 1.5*capacity {
		return ""
	}
	from, to := p.begin.Add(p.limitFrom+propagationTime), p.begin.Add(min(p.limitUntil, scenarioDuration-time.Second))
	n := 0
	for _, s := range p.Servers {
		for _, at := range arrivals(p.RunningWorker(s)) {
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
func (d scenario) run() (failure string) {
	synctest.Test(new(testing.T), func(*testing.T) {
		p := &scenarioRun{Fleet: simfleet.New(d.gateways, d.servers, 1, nil), scenario: d, replies: map[string]simfleet.Response{}, sentAt: map[string]time.Time{}}
		defer p.Close()
		p.begin = time.Now()
		var tasks sync.WaitGroup
		tasks.Go(p.sendRequests)
		tasks.Go(p.setNotices)
		tasks.Go(func() {
			var faults sync.WaitGroup
			defer faults.Wait()
			for _, f := range d.faults {
				if f.kind == "kill" || f.kind == "join" {
					continue
				}
				faults.Go(func() { p.injectFault(f) })
			}
			// Kills and joins are injected one at a time.
			slices.SortFunc(d.faults, func(a, b fault) int { return int(a.at - b.at) })
			for _, f := range d.faults {
				if f.kind == "kill" || f.kind == "join" {
					f.at = max(0, f.at-time.Since(p.begin))
					p.injectFault(f)
				}
			}
		})
		tasks.Wait()
		if failure = p.check(); failure == "" {
			failure = p.checkUtilization()
		}
	})
	return failure
}

// With faults of gateways and any distribution of callers:
//   - a server that states a rate receives at most 1.5 times that rate plus 5 requests in any 4 s;
//   - a server that is draining receives no requests, and one that backs off hardly any, from gateways
//     that have received the notice;
//   - refused requests have not run, and are refused quickly and with a Retry-After time;
//   - without faults and other notices, most of the capacity that the limits allow is used.
func TestFleetsHeedNotices(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawScenario(t)
		if failure := d.run(); failure != "" {
			t.Fatalf("%s\n%+v", failure, d)
		}
	})
}
