package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

const (
	// requestInterval is the interval between requests, each to a random gateway.
	requestInterval = 20 * time.Millisecond
	// limitWindow is the window in which arrivals are counted.
	limitWindow = 4 * time.Second
	// A server may get at most maxLimitRatio times its limit plus limitSlack requests in any limitWindow.
	// If all servers are limited, at least the share minLimitUtilization of their limits must be used. If
	// other servers have capacity, at least the share minServedShareUnlimited of the requests must be served.
	maxLimitRatio, limitSlack = 1.5, 5
	minLimitUtilization       = 0.7
	minServedShareUnlimited   = 0.99
	// maxRefusalDelay is half of the callers' deadline.
	maxRefusalDelay = 2500 * time.Millisecond
	// leavingNoticeTimeout is the time after which a server that sent a leaving notice must get no requests.
	leavingNoticeTimeout = 2 * time.Second
	// retryAfterSeconds is the Retry-After that servers send with a refusal. From retryAfterGrace after the
	// refusal until this time has passed, a gateway may send the server maxSendsInRetryAfter requests.
	retryAfterSeconds, retryAfterGrace, maxSendsInRetryAfter = 4, 500 * time.Millisecond, 2
	// limitResetTimeout is the time within which gateways must lift a limit that a server no longer states.
	limitResetTimeout = 3 * time.Second
)

// noticeTest is a fleet in which the servers of one service send notices about themselves, such as a
// rate limit, in the headers of their responses.
type noticeTest struct {
	*fleet
	t                 *testing.T
	route             string
	rnd               *rand.Rand
	servers           []*worker.Worker // of the route's service
	gatewaysDisrupted bool             // the test kills, stops or suspends gateways
	pending           sync.WaitGroup

	mu        sync.Mutex
	responses []timedResponse
}

// timedResponse is a response with the time of its request.
type timedResponse struct {
	fleetResponse
	id      string
	sentAt  time.Time
	latency time.Duration
}

func startNoticeTest(t *testing.T, route string, servers int, seed uint64) *noticeTest {
	t.Helper()
	f := startFleet(t, serviceByRoute[route], servers)
	s := &noticeTest{fleet: f, t: t, route: route, rnd: rand.New(rand.NewPCG(seed, 1))}
	for _, w := range f.workers {
		if serviceOfWorker(w) == serviceByRoute[route] {
			setNotices(w)
			s.servers = append(s.servers, w)
		}
	}
	t.Cleanup(s.pending.Wait)
	return s
}

// setNotices sets the notice headers of a server. It also sets Connection: close, because the server
// closes its connections, as it does after a stream. Without this header gateways could send a request on
// a connection that is being closed. The request would get no response and, if no other server accepts it,
// fail.
func setNotices(w *worker.Worker, lines ...string) {
	w.SetHeaders(append(lines, "Connection: close")...)
}

// sendFor sends requests at requestInterval to random gateways for a duration.
func (s *noticeTest) sendFor(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		s.sendRequest(s.gateways[s.rnd.IntN(len(s.gateways))])
		time.Sleep(requestInterval)
	}
}

func (s *noticeTest) sendRequest(g *gatewayProcess) {
	id := fmt.Sprintf("%s/%s/%d", g.host, s.route, s.rnd.Uint64())
	sentAt := time.Now()
	s.pending.Go(func() {
		resp := s.send(context.Background(), g, s.route, id)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.responses = append(s.responses, timedResponse{resp, id, sentAt, time.Since(sentAt)})
	})
}

// busiestServer returns the server that has got the most requests.
func (s *noticeTest) busiestServer() *worker.Worker {
	return slices.MaxFunc(s.servers, func(a, b *worker.Worker) int { return a.RequestCount() - b.RequestCount() })
}

// maxArrivals returns the largest number of arrivals at a server in any limitWindow after the given time.
func maxArrivals(w *worker.Worker, from time.Time) int {
	var at []time.Time
	for _, a := range w.Arrivals() {
		if a.At.After(from) {
			at = append(at, a.At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	most, first := 0, 0
	for i := range at {
		for at[i].Sub(at[first]) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// allowedArrivals returns the number of requests that a server may get in limitWindow with a limit per second.
func allowedArrivals(limit float64) int {
	return int(maxLimitRatio*limit*limitWindow.Seconds()) + limitSlack
}

// checkLimit checks that a server got no more requests than its limit allows. It ignores requests until
// propagationTimeout after the server stated the limit.
func (s *noticeTest) checkLimit(w *worker.Worker, limit float64, stated time.Time) {
	s.t.Helper()
	most := maxArrivals(w, stated.Add(propagationTimeout))
	s.t.Logf("%s: %s stated a limit of %v/s and got at most %d requests in 4 s, allowed %d", s.route, w.ID, limit, most, allowedArrivals(limit))
	if most > allowedArrivals(limit) {
		s.t.Errorf("%s: %s got %d requests in 4 s, allowed %d", s.route, w.ID, most, allowedArrivals(limit))
	}
}

// checkServed checks that at least the share minServedShareUnlimited of the requests was served. If the test
// disrupts gateways, requests with a connection error do not count.
func (s *noticeTest) checkServed() {
	s.t.Helper()
	s.pending.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	served, total := 0, 0
	for _, resp := range s.responses {
		if resp.err != nil && s.gatewaysDisrupted {
			continue
		}
		total++
		if resp.status == 200 && resp.body == wantBody(s.route, resp.id) {
			served++
		} else {
			s.t.Logf("%s: status %d after %s: body %s, error %v", resp.id, resp.status, resp.latency, resp.body, resp.err)
		}
	}
	if share := float64(served) / float64(max(1, total)); share < minServedShareUnlimited {
		s.t.Errorf("%s: %d of %d requests served", s.route, served, total)
	}
}

// checkRefusals checks that each request was either served or refused. Refusals must be prompt and have a
// Retry-After header, and the refused requests must not have run.
func (s *noticeTest) checkRefusals() {
	s.t.Helper()
	s.pending.Wait()
	ran := map[string]bool{}
	for _, w := range s.servers {
		for _, r := range w.Executions() {
			ran[r.ID] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := 0
	for _, resp := range s.responses {
		if resp.err != nil {
			s.t.Errorf("%s: %v", resp.id, resp.err)
			continue
		}
		if resp.status == 200 {
			continue
		}
		refused++
		retryAfter, err := strconv.ParseFloat(resp.retryAfter, 64)
		switch {
		case resp.status != 429 && resp.status != 503:
			s.t.Errorf("%s: unexpected status %d: %s", resp.id, resp.status, resp.body)
		case err != nil || retryAfter <= 0:
			s.t.Errorf("%s was refused without a valid Retry-After: %q", resp.id, resp.retryAfter)
		case resp.latency > maxRefusalDelay:
			s.t.Errorf("%s was refused only after %s", resp.id, resp.latency)
		case ran[resp.id]:
			s.t.Errorf("%s was refused but ran", resp.id)
		}
	}
	s.t.Logf("%s: %d of %d refused", s.route, refused, len(s.responses))
}

// Guards against gateways ignoring the rate limit that a backend server states in its responses. Gateways
// read only the load from the responses and chose servers by load and by shared prompt prefixes. A server
// with a limit of 1/s for all hosts together got 3 to 10 requests per second on all kinds of routes, also
// from gateways that had just logged the limit. The failure was not visible to callers.
func TestServerRateLimitIsRespected(t *testing.T) {
	run := func(name, route string, seed uint64, disrupt func(s *noticeTest)) {
		t.Run(name+"/"+route, func(t *testing.T) {
			t.Parallel()
			s := startNoticeTest(t, route, 6, seed)
			s.sendFor(time.Second)
			w := s.busiestServer()
			setNotices(w, "Server-Limit: 1")
			stated := time.Now()
			s.sendFor(propagationTimeout)
			disrupt(s)
			s.checkLimit(w, 1, stated)
			s.checkServed()
		})
	}
	for route := range serviceByRoute {
		run("undisturbed", route, 1, func(s *noticeTest) { s.sendFor(limitWindow + 2*time.Second) })
	}
	for _, route := range []string{"list", "advice"} {
		run("restarts", route, 2, (*noticeTest).restartEachGateway)
		run("suspensions", route, 8, (*noticeTest).suspendEachGateway)
		run("planned stops", route, 9, (*noticeTest).stopEachGateway)
	}
}

// suspendEachGateway suspends and resumes one gateway after another while requests are sent.
func (s *noticeTest) suspendEachGateway() {
	s.gatewaysDisrupted = true
	for _, g := range s.gateways {
		_ = g.cmd.Process.Signal(syscall.SIGSTOP) // started by this test and running
		s.sendFor(time.Second)
		_ = g.cmd.Process.Signal(syscall.SIGCONT)
		s.sendFor(time.Second)
	}
}

// stopEachGateway stops and restarts one gateway after another while requests are sent.
func (s *noticeTest) stopEachGateway() {
	s.gatewaysDisrupted = true
	for _, g := range s.gateways {
		_ = g.cmd.Process.Signal(syscall.SIGTERM)
		s.sendFor(500 * time.Millisecond)
		<-g.exited
		if err := s.start(g); err != nil {
			s.t.Fatal(err)
		}
		s.sendFor(time.Second)
	}
}

// restartEachGateway kills and restarts one gateway after another while requests are sent.
func (s *noticeTest) restartEachGateway() {
	s.gatewaysDisrupted = true
	for _, g := range s.gateways {
		s.kill(g)
		if err := s.start(g); err != nil {
			s.t.Fatal(err)
		}
		s.sendFor(1500 * time.Millisecond)
	}
}

// Guards against gateways exceeding or underusing the rate limits when the limits of all servers together
// are half the load, and against late refusals and refusals without a Retry-After header.
func TestRateLimitsOnAllServers(t *testing.T) {
	const limit = 4.0
	for _, route := range []string{"list", "advice"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			s := startNoticeTest(t, route, 6, 3)
			for _, w := range s.servers {
				setNotices(w, fmt.Sprint("Server-Limit: ", limit))
			}
			stated := time.Now()
			s.sendFor(propagationTimeout)
			before := 0
			for _, w := range s.servers {
				before += w.RequestCount()
			}
			const during = 6 * time.Second
			s.sendFor(during)
			used := -before
			for _, w := range s.servers {
				used += w.RequestCount()
				s.checkLimit(w, limit, stated)
			}
			capacity := limit * float64(len(s.servers)) * during.Seconds()
			t.Logf("%s: sent %d of the %.0f requests that the limits allow", route, used, capacity)
			if float64(used) < minLimitUtilization*capacity {
				t.Errorf("%s: only %d of the %.0f requests that the limits allow were sent", route, used, capacity)
			}
			s.checkRefusals()
		})
	}
}

// Guards against gateways enforcing a rate limit that the server no longer states.
func TestWithdrawnRateLimitIsLifted(t *testing.T) {
	for _, route := range []string{"list", "advice"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			s := startNoticeTest(t, route, 2, 4)
			for _, w := range s.servers {
				setNotices(w, "Server-Limit: 1")
			}
			s.sendFor(propagationTimeout + time.Second)
			for _, w := range s.servers {
				setNotices(w)
			}
			s.sendFor(limitResetTimeout)
			s.pending.Wait()
			s.mu.Lock()
			s.responses = nil
			s.mu.Unlock()
			s.sendFor(time.Second)
			s.checkServed()
		})
	}
}

// Guards against gateways sending requests to a backend server that has announced in its responses that it
// is leaving. Gateways took this state only from the registry. While the store was unresponsive the server
// could not update its entry, and gateways chose it by an entry that was seconds old, even right after they
// had forwarded a response with the notice. The same happened on all kinds of routes with a healthy store
// while the entry still said ready.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	run := func(name, route string, servers int, disrupt func(s *noticeTest), served bool) {
		t.Run(name+"/"+route, func(t *testing.T) {
			t.Parallel()
			s := startNoticeTest(t, route, servers, 5)
			s.sendFor(time.Second)
			disrupt(s)
			w := s.busiestServer()
			setNotices(w, "Server-Leaving: 1")
			announced := time.Now()
			s.sendFor(leavingNoticeTimeout + 3*time.Second)
			s.checkNoLateArrivals(w, announced)
			if served {
				s.checkServed()
			} else {
				s.checkRefusals()
			}
		})
	}
	for route := range serviceByRoute {
		run("registered as ready", route, 4, func(*noticeTest) {}, true)
	}
	for _, route := range []string{"post", "report"} {
		run("store unresponsive", route, 4, func(s *noticeTest) { s.store.SetMode(platformstore.ModeUnresponsive) }, true)
		run("only server", route, 1, func(*noticeTest) {}, false)
	}
}

// checkNoLateArrivals checks that no request reached a server more than leavingNoticeTimeout after its first
// response with the leaving notice. Gateways learn of the notice from this response: the gateway that gets it
// informs the others.
func (s *noticeTest) checkNoLateArrivals(w *worker.Worker, announced time.Time) {
	s.t.Helper()
	late := 0
	arrivals := w.Arrivals()
	firstNotice := firstArrivalAfter(arrivals, announced)
	for _, a := range arrivals {
		if a.At.After(firstNotice.Add(leavingNoticeTimeout)) {
			late++
		}
	}
	s.t.Logf("%s: %d requests reached %s more than %s after its leaving notice", s.route, late, w.ID, leavingNoticeTimeout)
	if late > 0 {
		s.t.Errorf("%s: %d requests reached %s more than %s after its leaving notice", s.route, late, w.ID, leavingNoticeTimeout)
	}
}

// Guards against gateways applying the leaving notice of a server to its successor at the same address.
func TestRestartedServerServesAfterLeaving(t *testing.T) {
	s := startNoticeTest(t, "list", 1, 6)
	previous := s.servers[0]
	setNotices(previous, "Server-Leaving: 1")
	s.sendFor(500 * time.Millisecond)
	s.pending.Wait()
	previous.Close()
	next, err := worker.StartAt(previous.ID, previous.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(next.Close)
	next.StartedMS = previous.StartedMS + 1
	if err := s.register(next, appService, "ready"); err != nil {
		t.Fatal(err)
	}
	s.sendFor(time.Second) // until the gateways have read the registry
	s.pending.Wait()
	s.mu.Lock()
	s.responses = nil
	s.mu.Unlock()
	s.sendFor(500 * time.Millisecond)
	s.checkServed()
}

// Guards against gateways ignoring the Retry-After header of servers. When all servers of a service answered
// 503 with Retry-After: 4, each gateway sent them requests again within milliseconds, because it did not read
// the header. If only one server refused, gateways avoided it only during the back-off after a failure, which
// is at most 2 s.
func TestServerRetryAfterIsRespected(t *testing.T) {
	for route := range serviceByRoute {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			s := startNoticeTest(t, route, 4, 7)
			s.sendFor(time.Second)
			for _, w := range s.servers {
				w.SetBehaviour(worker.Behaviour{Reject: true, RetryAfter: fmt.Sprint(retryAfterSeconds)})
			}
			refusing := time.Now()
			s.sendFor(time.Second)
			for _, w := range s.servers {
				if serviceByRoute[route] == llmService {
					w.SetBehaviour(streamBehaviour)
				} else {
					w.SetBehaviour(worker.Behaviour{AbortAfterEvents: -1})
				}
			}
			s.sendFor(retryAfterSeconds*time.Second + time.Second)
			s.checkRetryAfter(refusing, refusing.Add(time.Second))
			s.checkRefusals()
			s.mu.Lock()
			s.responses = nil
			s.mu.Unlock()
			s.sendFor(time.Second)
			s.checkServed()
		})
	}
}

// gatewayOf returns the host of the gateway to which a request was sent.
func gatewayOf(id string) string {
	host, _, _ := strings.Cut(id, "/")
	return host
}

// checkRetryAfter checks that no gateway sent a server more than maxSendsInRetryAfter requests during the
// Retry-After period of a refusal. It considers refusals of requests that arrived between the given times.
func (s *noticeTest) checkRetryAfter(from, to time.Time) {
	s.t.Helper()
	worst := 0
	for _, w := range s.servers {
		arrivals := w.Arrivals()
		for _, first := range arrivals {
			if first.At.Before(from) || first.At.After(to) {
				continue
			}
			n := 0
			for _, a := range arrivals {
				since := a.At.Sub(first.At)
				if gatewayOf(a.ID) == gatewayOf(first.ID) && since > retryAfterGrace && since < retryAfterSeconds*time.Second {
					n++
				}
			}
			worst = max(worst, n)
		}
	}
	s.t.Logf("%s: at most %d requests from one gateway to a server in a Retry-After period, allowed %d", s.route, worst, maxSendsInRetryAfter)
	if worst > maxSendsInRetryAfter {
		s.t.Errorf("%s: %d requests from one gateway to a server in a Retry-After period, allowed %d", s.route, worst, maxSendsInRetryAfter)
	}
}
