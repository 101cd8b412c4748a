package e2e

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

const (
	fleetHost  = "a.example"
	fleetKey   = "key"
	llmService = "llm"
	appService = "app"
)

// fleet is a deployment of gateways with stand-ins for the platform's store and for the backend
// servers (workers). The gateways are separate processes; the stand-ins run in the test process.
type fleet struct {
	fleetConfig
	dir       string
	subnet    uint32
	store     *platformstore.Store
	http      *http.Client // uses a new connection for each request
	keepAlive *http.Client // reuses connections

	mu             sync.Mutex
	version        int
	gateways       []*gatewayProcess
	workers        []*worker.Worker
	proxies        map[string]*faultProxy // in front of workers, by worker ID, and of the store, by gateway host
	workersStarted int                    // number of workers started
	entrySequence  int
	slotOverrides  map[string]int // slots by worker ID, default workerSlots
}

// fleetConfig configures a fleet.
type fleetConfig struct {
	gateways, llms, apps int // numbers of gateways and of workers of each service
	// proxied connects gateways to workers and to the store through fault proxies.
	proxied bool
	// retrySlack is bounds.budget_slack; 0 means retryBudgetSlack.
	retrySlack int
}

// gatewayProcess is one gateway process.
type gatewayProcess struct {
	host       string
	ip         string
	cmd        *exec.Cmd
	log        *syncBuffer   // output of the current process
	earlierLog syncBuffer    // output of previous processes
	exited     chan struct{} // closed when the current process has exited
	code       int           // exit code, valid once exited is closed
	currentPID atomic.Int64
}

func (g *gatewayProcess) pid() int { return int(g.currentPID.Load()) }

// syncBuffer is a buffer for the output of a process that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newFleet(dir string, config fleetConfig) (*fleet, error) {
	f := &fleet{fleetConfig: config, dir: dir, subnet: nextSubnet.Add(1), store: platformstore.Start(), proxies: map[string]*faultProxy{}, slotOverrides: map[string]int{},
		http:      &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		keepAlive: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}}
	f.publishConfig(nil)
	for range config.llms {
		if _, err := f.addWorker(llmService); err != nil {
			return nil, err
		}
	}
	for range config.apps {
		if _, err := f.addWorker(appService); err != nil {
			return nil, err
		}
	}
	for i := range config.gateways {
		g := &gatewayProcess{host: fmt.Sprint("edge-", i), ip: fmt.Sprintf("127.%d.%d.%d", 101+os.Getpid()%100, f.subnet&0xff, i+1)}
		f.gateways = append(f.gateways, g)
		if err := f.start(g); err != nil {
			return nil, err
		}
	}
	return f, f.waitReady()
}

// startFleet starts four gateways, the given number of servers of a service and one server of the
// other service, and stops them when the test ends.
func startFleet(t *testing.T, service string, servers int) *fleet {
	t.Helper()
	config := fleetConfig{gateways: 4, llms: 1, apps: 1}
	if service == llmService {
		config.llms = servers
	} else {
		config.apps = servers
	}
	return startFleetWith(t, config)
}

// startFleetWith starts a fleet and ends it with the test.
func startFleetWith(t *testing.T, config fleetConfig) *fleet {
	t.Helper()
	f, err := newFleet(t.TempDir(), config)
	if f != nil {
		t.Cleanup(f.close)
	}
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *fleet) close() {
	for _, g := range f.gateways {
		f.kill(g)
	}
	for _, w := range f.workers {
		w.Close()
	}
	f.keepAlive.CloseIdleConnections()
	f.store.CloseClientConnections()
	for _, proxy := range f.proxies {
		proxy.close()
	}
	f.store.Close()
}

// viaProxy returns the address at which to reach a target: in a proxied fleet that of the
// fault proxy with this name, otherwise the target itself.
func (f *fleet) viaProxy(name, target string) (string, error) {
	if !f.proxied {
		return target, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.proxies[name] == nil {
		proxy, err := newFaultProxy("127.0.0.1:0", target)
		if err != nil {
			return "", err
		}
		f.proxies[name] = proxy
	}
	return f.proxies[name].address(), nil
}

// replaceProxy makes the next viaProxy call with this name create a new proxy. The old proxy
// keeps running until the fleet is closed.
func (f *fleet) replaceProxy(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.proxies[name]; old != nil {
		f.proxies[fmt.Sprintf("%s replaced %d", name, len(f.proxies))] = old
		delete(f.proxies, name)
	}
}

func (f *fleet) proxy(name string) *faultProxy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.proxies[name]
}

// versionStep is the difference between successive configuration versions, which need
// not be consecutive.
const versionStep = 3

func (f *fleet) newestVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// versionKey returns an API key that is valid only in this version of the configuration. Tests use it to
// observe which version a gateway has applied.
func versionKey(version int) string { return fmt.Sprint("key-of-", version) }

// publishConfig writes the next version of the configuration to the store and returns this version.
// If change is not nil, it is applied to the configuration first.
func (f *fleet) publishConfig(change func(config map[string]any)) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += versionStep
	route := func(name, kind, service string, extra map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": fleetHost, "path_prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": 6000, "target_latency_ms": 300, "max_attempts": 2, "priority": 0}
		for k, v := range extra {
			r[k] = v
		}
		return r
	}
	config := map[string]any{"version": f.version,
		"routes": []any{
			route("post", "non_idempotent", appService, nil),
			route("list", "idempotent", appService, nil),
			route("advice", "streaming", llmService, map[string]any{"session_affinity": true}),
			route("report", "streaming", llmService, map[string]any{"session_affinity": true, "stream_resumption": true,
				"target_latency_ms": 2500, "priority": 2}),
		},
		"services": []any{map[string]any{"name": llmService, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 500000}},
			map[string]any{"name": appService}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "team", "api_keys": []string{fleetKey, versionKey(f.version)}}}}
	if change != nil {
		change(config)
	}
	f.store.PutJSON(platformstore.TopicOperator, "config", config)
	return f.version
}

// addWorker starts a worker and registers it as ready.
func (f *fleet) addWorker(service string) (*worker.Worker, error) {
	f.mu.Lock()
	f.workersStarted++
	id := fmt.Sprintf("i-%s-%d", service, f.workersStarted)
	f.mu.Unlock()
	w, err := worker.Start(id)
	if err != nil {
		return nil, err
	}
	if service == llmService {
		w.SetBehaviour(streamBehaviour)
	}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	return w, f.register(w, service, "ready")
}

// streamEvents is the number of events in a streamed response.
const streamEvents = 8

// minEventBytes is the size of the smallest event of a streamed response.
var minEventBytes = len(worker.Event("advice-0-0", 1))

// streamBehaviour makes a worker stream its responses.
var streamBehaviour = worker.Behaviour{Events: streamEvents, AbortAfterEvents: -1, EventInterval: 5 * time.Millisecond}

// register writes the registry entry of a worker, with the given state, to the store.
func (f *fleet) register(w *worker.Worker, service, state string) error {
	address, err := f.viaProxy(w.ID, w.Address())
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.entrySequence++
	n := f.entrySequence
	f.mu.Unlock()
	f.store.PutJSON(platformstore.TopicServers, w.ID, map[string]any{"service": service, "address": address, "zone": "z", "slots": f.slots(w),
		"version": "v1", "cold_remaining_ms": 0, "state": state, "sequence": n, "born": w.StartedMS})
	return nil
}

// workerSlots is the number of concurrent requests that a worker advertises.
const workerSlots = 64

func (f *fleet) slots(w *worker.Worker) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.slotOverrides[w.ID]; n > 0 {
		return n
	}
	return workerSlots
}

func (f *fleet) unregister(w *worker.Worker) { f.store.Put(platformstore.TopicServers, w.ID, nil) }

func (f *fleet) settingsFile(g *gatewayProcess) string { return filepath.Join(f.dir, g.host+".conf") }

// retryBudgetSlack is bounds.budget_slack: the number of retries that all gateways together may send in a
// window in addition to the ratio.
const retryBudgetSlack = 12

// writeSettings writes the settings file of a gateway.
func (f *fleet) writeSettings(g *gatewayProcess, graceSeconds int) error {
	store, err := f.viaProxy(g.host, f.store.Address())
	if err != nil {
		return err
	}
	text := fmt.Sprintf(`node=%s
ip=%s
zone=z
listen.front=%s:8080
listen.ready=%s:8081
internal_ports=7340,7355
platform.address=%s
limits.cpu_share=0.3
limits.memory_mb=284
bounds.drain_ms=600
bounds.config_apply_ms=800
bounds.grace_s=%d
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=%d
`, g.host, g.ip, g.ip, g.ip, store, graceSeconds, cmp.Or(f.retrySlack, retryBudgetSlack))
	return os.WriteFile(f.settingsFile(g), []byte(text), 0o600)
}

// start starts a gateway process. It also restarts a gateway that has exited.
func (f *fleet) start(g *gatewayProcess) error {
	if err := f.writeSettings(g, 5); err != nil {
		return err
	}
	if g.log != nil {
		_, _ = g.earlierLog.Write([]byte(g.log.String())) // the buffer returns no errors
	}
	g.log, g.exited = &syncBuffer{}, make(chan struct{})
	g.cmd = exec.Command(filepath.Join(binDir, "merlinpost"), "gateway", "--log-one-in", "1")
	g.cmd.Env = append(os.Environ(), "MERLINPOST_NODE_FILE="+f.settingsFile(g))
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.currentPID.Store(int64(g.cmd.Process.Pid))
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // the exit code is read from ProcessState
		g.code = cmd.ProcessState.ExitCode()
		close(exited)
	}(g.cmd, g.exited)
	return nil
}

// kill kills the process of a gateway, if it was started, and waits until it has exited.
func (f *fleet) kill(g *gatewayProcess) {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Signal(syscall.SIGCONT) // may be suspended
	_ = g.cmd.Process.Kill()                  // may have exited
	<-g.exited
}

// ready reports whether the readiness endpoint of a gateway returns 200.
func (f *fleet) ready(g *gatewayProcess) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ip+":8081/merlinpost/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) waitReady() error {
	deadline := time.Now().Add(waitTimeout)
	for _, g := range f.gateways {
		for !f.ready(g) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready; log:\n%s", g.host, g.log)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// fleetResponse is a response from a gateway of a fleet, or the error instead of one.
type fleetResponse struct {
	status     int
	body       string
	retryAfter string
	err        error
}

// send sends a request to a gateway and reads the complete response.
func (f *fleet) send(ctx context.Context, g *gatewayProcess, route, id string) fleetResponse {
	return f.sendWithKey(ctx, f.http, g, fleetKey, route, id)
}

func (f *fleet) sendWithKey(ctx context.Context, client *http.Client, g *gatewayProcess, key, route, id string) fleetResponse {
	return f.sendBody(ctx, client, g, key, route, id, "body of "+id)
}

// sendBody sends a request with the given body and the attempt ID id to a gateway and reads the complete
// response.
func (f *fleet) sendBody(ctx context.Context, client *http.Client, g *gatewayProcess, key, route, id, body string) fleetResponse {
	return f.sendPrompt(ctx, client, g, key, route, id, body, "aa:4000,"+id[len(id)-1:]+"b:5000")
}

// sendPrompt is like sendBody with the parts of the prompt, which are sent on the routes of the LLM service only.
func (f *fleet) sendPrompt(ctx context.Context, client *http.Client, g *gatewayProcess, key, route, id, body, parts string) fleetResponse {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.ip+":8080/"+route+"/x", strings.NewReader(body))
	if err != nil {
		return fleetResponse{err: err}
	}
	req.Host = fleetHost
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Api-Key", key)
	req.Header.Set("X-Request-Deadline", "5000")
	if route == "report" || route == "advice" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Count", "9000,100")
		req.Header.Set("X-Prompt-Prefix", parts)
	}
	resp, err := client.Do(req)
	if err != nil {
		return fleetResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	text, err := io.ReadAll(resp.Body)
	return fleetResponse{status: resp.StatusCode, body: string(text), retryAfter: resp.Header.Get("Retry-After"), err: err}
}

// wantBody returns the expected response body for a request.
func wantBody(route, id string) string {
	if route == "report" || route == "advice" {
		return worker.StreamBody(id, streamEvents)
	}
	return worker.ResponseBody(id)
}

// logLine is a line of the log of a gateway.
type logLine struct {
	Msg   string
	ID    string
	Code  string
	Sends []struct{ Server, Result, Cause string }
}

// logLines returns the log lines of a gateway for a request.
func (g *gatewayProcess) logLines(id string) []logLine {
	var out []logLine
	for _, text := range strings.Split(g.log.String(), "\n") {
		var l logLine
		if json.Unmarshal([]byte(text), &l) == nil && l.ID == id {
			out = append(out, l)
		}
	}
	return out
}
