package gateway_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/gateway"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/standin/scripted"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
	"github.com/merlinpost/merlinpost/platform"
)

var (
	drawnSends = flag.Int("drawn-sends", 20_000, "sends of the test with drawn responses")
	drawnSeed  = flag.Uint64("drawn-seed", 1, "seed of the test with drawn responses")
)

const (
	drawnEvents = 4
	// drawnRequests is the number of requests in a case.
	drawnRequests = 600
	drawnTimeout  = 2 * time.Second
	drawnCallers  = 24
	// drawnParallel is the number of cases that are played at the same time. Most of their time is waiting.
	drawnParallel = 8
)

// drawnRoutes are routes of all kinds.
var drawnRoutes = []routing.Route{
	{Name: "once", PathPrefix: "/once/", Kind: routing.NonIdempotent, MaxAttempts: 1},
	{Name: "again", PathPrefix: "/again/", Kind: routing.Idempotent, MaxAttempts: 3},
	{Name: "stream", PathPrefix: "/stream/", Kind: routing.Streaming, MaxAttempts: 1, PrefixAffinity: true},
	{Name: "resume", PathPrefix: "/resume/", Kind: routing.Streaming, Resumable: true, MaxAttempts: 3, PrefixAffinity: true},
}

// drawnCase is a set of gateways in front of servers that respond at random.
type drawnCase struct {
	servers []*scripted.Server
	fronts  []*httptest.Server
	logs    []*logBuffer

	draw *scripted.Draw

	mu        sync.Mutex
	responses []drawnResponse
	// signs describes what the servers do with a request, by its ID. It may be nil.
	signs    map[string]string
	overlaps scripted.OverlapCheck
}

// drawnResponse is what a caller got.
type drawnResponse struct {
	route  routing.Route
	id     string
	status int
	body   string
	err    error
	took   time.Duration
}

// Guards against running a request twice that may run once, reporting a request that ran as not run, delivering the
// response to another request and losing a complete response, whatever servers send.
func TestDrawnResponsesDoNotRunARequestTwice(t *testing.T) {
	RegisterTestingT(t)
	var sends, next atomic.Int64
	next.Store(int64(*drawnSeed))
	var cases sync.WaitGroup
	for range drawnParallel {
		cases.Go(func() {
			for sends.Load() < int64(*drawnSends) && !t.Failed() {
				sends.Add(int64(playDrawnCase(t, uint64(next.Add(1)-1))))
			}
		})
	}
	cases.Wait()
	t.Logf("%d sends, seeds %d to %d", sends.Load(), *drawnSeed, next.Load()-1)
}

// playDrawnCase plays the case with a seed and returns the number of sends.
func playDrawnCase(t *testing.T, seed uint64) (sends int) {
	c := &drawnCase{draw: scripted.NewDraw(seed, eventsOf)}
	for i := range 1 + c.draw.IntN(3) {
		s, err := scripted.Start(fmt.Sprintf("i-%d", i), c.overlaps.Watch(c.allServers, c.draw.Step))
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		c.servers = append(c.servers, s)
	}
	registries := c.startGateways(1 + c.draw.IntN(12))
	for _, front := range c.fronts {
		defer front.Close()
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: drawnCallers}}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithCancel(t.Context())
	var restarts, callers sync.WaitGroup
	restarts.Go(func() { c.restartServers(ctx, registries) })
	for caller := range drawnCallers {
		callers.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(1+caller)))
			for n := range drawnRequests / drawnCallers {
				route := drawnRoutes[r.IntN(len(drawnRoutes))]
				c.request(client, c.fronts[r.IntN(len(c.fronts))], route, fmt.Sprintf("%s-%d-%d-%d", route.Name, seed, caller, n))
			}
		})
	}
	callers.Wait()
	cancel()
	restarts.Wait()
	c.check(t, seed)
	for _, s := range c.servers {
		sends += s.ArrivalCount()
	}
	return sends
}

// startGateways starts gateways and returns their server lists.
func (c *drawnCase) startGateways(n int) []*registry.Registry {
	contents := routing.Config{Version: 1, Limits: routing.Limits{BodyBytes: 1000, HeaderBytes: 2000}, Teams: map[string]*routing.Team{"key": {Name: "team"}}}
	for _, route := range drawnRoutes {
		route.Host, route.Timeout, route.Targets = "a.example", drawnTimeout, []routing.Target{{Service: "s", Weight: 1}}
		contents.Routes = append(contents.Routes, route)
	}
	table, err := routing.New(contents)
	Expect(err).NotTo(HaveOccurred())
	var registries []*registry.Registry
	for range n {
		servers, log := registry.New(), &logBuffer{}
		g := gateway.New(gateway.Settings{Retries: ampleRetries, LogOneIn: 1}, platform.Dialect{}, servers, slog.New(slog.NewJSONHandler(log, nil)))
		Expect(g.SetTable(table, time.Now())).To(BeTrue())
		servers.Replace(c.serverList(), time.Now(), time.Time{})
		c.fronts, c.logs, registries = append(c.fronts, httptest.NewServer(g)), append(c.logs, log), append(registries, servers)
	}
	return registries
}

func (c *drawnCase) allServers() []*scripted.Server { return c.servers }

func (c *drawnCase) serverList() []registry.Server {
	var list []registry.Server
	for _, s := range c.servers {
		list = append(list, registry.Server{ID: s.ID(), Service: "s", Address: s.Address(), Slots: 64})
	}
	return list
}

// restartServers replaces servers by others at the same addresses from time to time, which the gateways hear later.
func (c *drawnCase) restartServers(ctx context.Context, registries []*registry.Registry) {
	for n := 0; ctx.Err() == nil; n++ {
		pause, i := time.Duration(20+c.draw.IntN(300))*time.Millisecond, c.draw.IntN(len(c.servers))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		c.servers[i].Crash(fmt.Sprintf("i-%d-%d", i, n))
		time.Sleep(pause / 20)
		for _, r := range registries {
			r.Replace(c.serverList(), time.Now(), time.Time{})
		}
	}
}

// request sends a request and records the response.
func (c *drawnCase) request(client *http.Client, front *httptest.Server, route routing.Route, id string) {
	req, err := http.NewRequest(http.MethodPost, front.URL+route.PathPrefix, strings.NewReader("body of "+id))
	if err != nil {
		panic(err) // the URL is that of a test server
	}
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Api-Key", "key")
	out, start := drawnResponse{route: route, id: id}, time.Now()
	resp, err := client.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		out.status, out.body = resp.StatusCode, string(text)
	}
	out.err, out.took = err, time.Since(start)
	c.mu.Lock()
	c.responses = append(c.responses, out)
	c.mu.Unlock()
}

// check compares what callers got with what the servers ran.
func (c *drawnCase) check(t *testing.T, seed uint64) {
	for _, r := range c.responses {
		violation := r.violation(c.servers)
		if violation == "" && c.overlaps.Of(r.id) {
			violation = "a server still worked on it after another one had begun"
		}
		if violation != "" {
			t.Errorf("seed %d: %s %s: %s (status %d, body %q, error %v)\n%s", seed, r.id, c.signs[r.id], violation, r.status, r.body, r.err, c.logOf(r.id))
		}
	}
}

// violation returns the guarantee that a response violates.
func (r drawnResponse) violation(servers []*scripted.Server) string {
	want := worker.ResponseBody(r.id)
	if r.route.Kind == routing.Streaming {
		want = worker.StreamBody(r.id, drawnEvents)
	}
	return scripted.Violation(servers, r.id, r.route.MayRepeat(), want, scripted.Response{Status: r.status, Body: r.body, Err: r.err, InTime: r.took < drawnTimeout})
}

// logOf returns the log lines about a request.
func (c *drawnCase) logOf(id string) string {
	var out []string
	for _, log := range c.logs {
		for _, line := range strings.Split(log.String(), "\n") {
			if strings.Contains(line, `"id":"`+id+`"`) {
				out = append(out, line)
			}
		}
	}
	return strings.Join(out, "\n")
}

// eventsOf returns the number of events of the response to a request.
func eventsOf(id string) int {
	if strings.HasPrefix(id, "stream") || strings.HasPrefix(id, "resume") {
		return drawnEvents
	}
	return 0
}
