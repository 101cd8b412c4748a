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
	"github.com/merlinpost/merlinpost/internal/standin/worker"
	"github.com/merlinpost/merlinpost/platform"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// harness is a gateway in front of stand-in workers, served over real connections.
type harness struct {
	gateway *gateway.Gateway
	servers *registry.Registry
	workers []*worker.Worker
	front   *httptest.Server
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
	for _, r := range routes {
		r.Targets = []routing.Target{{Service: "s", Weight: 1}}
		contents.Routes = append(contents.Routes, r)
	}
	t, err := routing.New(contents)
	Expect(err).NotTo(HaveOccurred())
	return t
}

// ampleRetries is a retry budget that permits each request more repeats than it needs.
var ampleRetries = retrybudget.Settings{Ratio: 5, Window: 10 * time.Second, Slack: 20}

func newHarness(workers int) *harness { return newHarnessWith(ampleRetries, workers) }

func newHarnessWith(retries retrybudget.Settings, workers int) *harness {
	r := &harness{servers: registry.New(), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	r.gateway = gateway.New(gateway.Settings{Retries: retries},
		platform.Dialect{}, r.servers, slog.New(slog.NewJSONHandler(&r.log, nil)))
	var list []registry.Server
	for i := range workers {
		w, err := worker.Start(fmt.Sprintf("i-%d", i))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(w.Close)
		r.workers = append(r.workers, w)
		list = append(list, registry.Server{ID: w.ID, Service: "s", Address: w.Address(), Slots: 8})
	}
	r.servers.Replace(list, time.Now(), time.Time{})
	r.front = httptest.NewServer(r.gateway)
	DeferCleanup(r.front.Close)
	DeferCleanup(r.client.CloseIdleConnections)
	return r
}

// startHarness returns a harness whose gateway has the test configuration.
func startHarness(workers int) *harness { return startHarnessWith(ampleRetries, workers) }

func startHarnessWith(retries retrybudget.Settings, workers int) *harness {
	r := newHarnessWith(retries, workers)
	Expect(r.gateway.SetTable(table(), time.Now())).To(BeTrue())
	return r
}

func (r *harness) request(ctx context.Context, path, id, body string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.front.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Api-Key", "key")
	return req
}

// answer is a response as a caller receives it.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (r *harness) send(req *http.Request) answer {
	resp, err := r.client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(body), err}
}

func (r *harness) post(path, id string) answer {
	return r.send(r.request(context.Background(), path, id, "body of "+id))
}

// runs returns the requests that ran on any worker.
func (r *harness) runs() []worker.Execution {
	var out []worker.Execution
	for _, w := range r.workers {
		out = append(out, w.Executions()...)
	}
	return out
}

// setNextBehaviour sets how each worker handles its next request.
func (r *harness) setNextBehaviour(b worker.Behaviour) {
	for _, w := range r.workers {
		w.QueueBehaviours(b)
	}
}

// raw sends text on a new connection and returns a reader of the response.
func (r *harness) raw(text string) *bufio.Reader {
	c, err := net.Dial("tcp", r.front.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	Expect(c.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	_, err = io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	return bufio.NewReader(c)
}
