package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/gateway"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/retrybudget"
	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/standin/scripted"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
	"github.com/merlinpost/merlinpost/platform"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// harness runs a gateway in front of stand-in workers, over real connections.
type harness struct {
	gateway *gateway.Gateway
	servers *registry.Registry
	workers []*worker.Worker
	server  *httptest.Server
	client  *http.Client
	log     logBuffer
}

// logBuffer stores a gateway's log output. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// routes are the routes of the test configuration, all on host a.example.
var routes = []routing.Route{
	{Name: "once", Host: "a.example", PathPrefix: "/once/", Kind: routing.NonIdempotent, Timeout: 5 * time.Second, MaxAttempts: 2},
	{Name: "again", Host: "a.example", PathPrefix: "/again/", Kind: routing.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 2},
	{Name: "stream", Host: "a.example", PathPrefix: "/stream/", Kind: routing.Streaming, Timeout: 5 * time.Second, MaxAttempts: 2, PrefixAffinity: true},
	{Name: "resume", Host: "a.example", PathPrefix: "/resume/", Kind: routing.Streaming, Resumable: true, Timeout: 5 * time.Second, MaxAttempts: 2, PrefixAffinity: true},
	{Name: "report", Host: "a.example", PathPrefix: "/report/", Kind: routing.Streaming, Timeout: 5 * time.Second, MaxAttempts: 2, PrefixAffinity: true,
		TargetLatency: 2500 * time.Millisecond},
	{Name: "open", Host: "a.example", PathPrefix: "/open/", Kind: routing.Idempotent, Timeout: 5 * time.Second, MaxAttempts: 1, Anonymous: true},
	{Name: "short", Host: "a.example", PathPrefix: "/short/", Kind: routing.Idempotent, Timeout: 50 * time.Millisecond, MaxAttempts: 1},
}

func table() *routing.Table {
	contents := routing.Config{Version: 1, Limits: routing.Limits{BodyBytes: 1000, HeaderBytes: 2000},
		Teams: map[string]*routing.Team{"key": {Name: "team"}}}
	for _, route := range routes {
		route.Targets = []routing.Target{{Service: "s", Weight: 1}}
		contents.Routes = append(contents.Routes, route)
	}
	t, err := routing.New(contents)
	Expect(err).NotTo(HaveOccurred())
	return t
}

// ampleRetries configures a retry budget that permits more retries for each request than it needs.
var ampleRetries = retrybudget.Settings{Ratio: 5, Window: 10 * time.Second, Slack: 20}

func newHarness(workers int) *harness { return newHarnessWith(ampleRetries, workers) }

func newHarnessWith(retries retrybudget.Settings, workers int) *harness {
	return buildHarness(func(f func()) { DeferCleanup(f) }, retries, workers)
}

// harnessForTest returns a harness with the test configuration for a test outside of the suite.
func harnessForTest(t *testing.T, workers int) *harness {
	RegisterTestingT(t)
	h := buildHarness(t.Cleanup, ampleRetries, workers)
	Expect(h.gateway.SetTable(table(), time.Now())).To(BeTrue())
	return h
}

// buildHarness returns a harness that registers its cleanup functions with cleanup.
func buildHarness(cleanup func(func()), retries retrybudget.Settings, workers int) *harness {
	h := &harness{servers: registry.New(), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	h.gateway = gateway.New(gateway.Settings{Retries: retries},
		platform.Dialect{}, h.servers, slog.New(slog.NewJSONHandler(&h.log, nil)))
	var list []registry.Server
	for i := range workers {
		w, err := worker.Start(fmt.Sprintf("i-%d", i))
		Expect(err).NotTo(HaveOccurred())
		cleanup(w.Close)
		h.workers = append(h.workers, w)
		list = append(list, registry.Server{ID: w.ID, Service: "s", Address: w.Address(), Slots: 8})
	}
	h.servers.Replace(list, time.Now(), time.Time{})
	h.server = httptest.NewServer(h.gateway)
	cleanup(h.server.Close)
	cleanup(h.client.CloseIdleConnections)
	return h
}

// scriptedHarness returns a harness in front of servers that follow a script.
func scriptedHarness(t *testing.T, servers int, script scripted.Script) (*harness, []*scripted.Server) {
	RegisterTestingT(t)
	h := &harness{client: http.DefaultClient, servers: registry.New()}
	var started []*scripted.Server
	var list []registry.Server
	for i := range servers {
		s, err := scripted.Start(fmt.Sprint("i-", i), script)
		Expect(err).NotTo(HaveOccurred())
		t.Cleanup(s.Close)
		started = append(started, s)
		list = append(list, registry.Server{ID: s.ID(), Service: "s", Address: s.Address(), Slots: 8})
	}
	h.servers.Replace(list, time.Now(), time.Time{})
	h.gateway = gateway.New(gateway.Settings{Retries: ampleRetries, LogOneIn: 1}, platform.Dialect{}, h.servers, slog.New(slog.NewJSONHandler(&h.log, nil)))
	Expect(h.gateway.SetTable(table(), time.Now())).To(BeTrue())
	h.server = httptest.NewServer(h.gateway)
	t.Cleanup(h.server.Close)
	return h, started
}

// startHarness returns a harness whose gateway has the test configuration.
func startHarness(workers int) *harness { return startHarnessWith(ampleRetries, workers) }

func startHarnessWith(retries retrybudget.Settings, workers int) *harness {
	h := newHarnessWith(retries, workers)
	Expect(h.gateway.SetTable(table(), time.Now())).To(BeTrue())
	return h
}

func (h *harness) request(ctx context.Context, path, id, body string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Api-Key", "key")
	return req
}

// response is a response as a caller receives it.
type response struct {
	status int
	header http.Header
	body   string
	err    error
}

func (h *harness) send(req *http.Request) response {
	resp, err := h.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(body), err}
}

func (h *harness) post(path, id string) response {
	return h.send(h.request(context.Background(), path, id, "body of "+id))
}

// runs returns the requests that the workers ran.
func (h *harness) runs() []worker.Execution {
	var out []worker.Execution
	for _, w := range h.workers {
		out = append(out, w.Executions()...)
	}
	return out
}

// setNextBehaviour sets how each worker handles its next request.
func (h *harness) setNextBehaviour(b worker.Behaviour) {
	for _, w := range h.workers {
		w.QueueBehaviours(b)
	}
}

// sendRaw sends text on a new connection and returns a reader of the response.
func (h *harness) sendRaw(text string) *bufio.Reader {
	c, err := net.Dial("tcp", h.server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	return bufio.NewReader(c)
}
