package e2e

import (
	"bytes"
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

// fleet is a deployment of gateways on the platform's stand-ins: gateways are
// processes, the store and the workers are in this one.
type fleet struct {
	fleetSize
	dir   string
	net   uint32
	store *platformstore.Store
	http  *http.Client // a connection for each request
	kept  *http.Client // keeps connections

	mu       sync.Mutex
	version  int
	gateways []*gatewayProc
	workers  []*worker.Worker
	cutters  map[string]*cutter // before workers, by ID, and before the store, by host
	started  int                // workers so far
	beats    int
	fewSlots map[string]int // of workers that have fewer, by ID
}

// fleetSize says how large a fleet is.
type fleetSize struct {
	gateways, llms, apps int
	// proxied fleets reach workers and the store through cutters.
	proxied bool
}

// gatewayProc is one gateway process.
type gatewayProc struct {
	host    string
	ip      string
	cmd     *exec.Cmd
	log     *lockedBuffer // of the newest start
	earlier lockedBuffer  // of the starts before
	exited  chan struct{}
	code    int
	start   atomic.Int64 // process ID of the newest start
}

func (g *gatewayProc) pid() int { return int(g.start.Load()) }

// lockedBuffer keeps what a process writes.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func newFleet(dir string, size fleetSize) (*fleet, error) {
	f := &fleet{fleetSize: size, dir: dir, net: nextNet.Add(1), store: platformstore.Start(), cutters: map[string]*cutter{}, fewSlots: map[string]int{},
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
		kept: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}}
	f.configure(nil)
	for range size.llms {
		if _, err := f.addWorker(llmService); err != nil {
			return nil, err
		}
	}
	for range size.apps {
		if _, err := f.addWorker(appService); err != nil {
			return nil, err
		}
	}
	for i := range size.gateways {
		g := &gatewayProc{host: fmt.Sprint("edge-", i), ip: fmt.Sprintf("127.%d.%d.%d", 101+os.Getpid()%100, f.net&0xff, i+1)}
		f.gateways = append(f.gateways, g)
		if err := f.start(g); err != nil {
			return nil, err
		}
	}
	return f, f.waitReady()
}

// startFleet starts four gateways, so many servers of one service and one of the other, until the
// test ends.
func startFleet(t *testing.T, service string, servers int) *fleet {
	t.Helper()
	size := fleetSize{gateways: 4, llms: 1, apps: 1}
	if service == llmService {
		size.llms = servers
	} else {
		size.apps = servers
	}
	f, err := newFleet(t.TempDir(), size)
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
	f.kept.CloseIdleConnections()
	f.store.CloseClientConnections()
	for _, c := range f.cutters {
		c.close()
	}
	f.store.Close()
}

// through returns the address at which a target is reached: its own, or in a proxied
// fleet that of the cutter with this name.
func (f *fleet) through(name, target string) (string, error) {
	if !f.proxied {
		return target, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cutters[name] == nil {
		c, err := newCutter("127.0.0.1:0", target)
		if err != nil {
			return "", err
		}
		f.cutters[name] = c
	}
	return f.cutters[name].address(), nil
}

// forgetCutter has the next use of a name get a cutter of its own; the old one stays
// until the fleet closes.
func (f *fleet) forgetCutter(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c := f.cutters[name]; c != nil {
		f.cutters[fmt.Sprintf("%s before %d", name, len(f.cutters))] = c
		delete(f.cutters, name)
	}
}

func (f *fleet) cutter(name string) *cutter {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutters[name]
}

// versionStep is the step between versions: they need not follow each other.
const versionStep = 3

func (f *fleet) newestVersion() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// versionKey is a key that only this version of the configuration knows.
func versionKey(version int) string { return fmt.Sprint("key-of-", version) }

// configure writes the next version of the configuration; change may alter it.
func (f *fleet) configure(change func(config map[string]any)) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version += versionStep
	route := func(name, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "host": fleetHost, "path_prefix": "/" + name + "/", "kind": kind, "service": service,
			"timeout_ms": 6000, "target_latency_ms": 300, "max_attempts": 2, "priority": 0}
		for k, v := range more {
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

// addWorker starts a worker and registers it.
func (f *fleet) addWorker(service string) (*worker.Worker, error) {
	f.mu.Lock()
	f.started++
	id := fmt.Sprintf("i-%s-%d", service, f.started)
	f.mu.Unlock()
	w, err := worker.Start(id)
	if err != nil {
		return nil, err
	}
	if service == llmService {
		w.SetBehaviour(wholeStream)
	}
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	return w, f.register(w, service, "ready")
}

// streamEvents is the length of a stream, with a pause that makes it last.
const streamEvents = 8

var wholeStream = worker.Behaviour{Events: streamEvents, AbortAfterEvents: -1, EventInterval: 5 * time.Millisecond}

func (f *fleet) register(w *worker.Worker, service, state string) error {
	address, err := f.through(w.ID, w.Address())
	if err != nil {
		return err
	}
	f.mu.Lock()
	f.beats++
	n := f.beats
	f.mu.Unlock()
	f.store.PutJSON(platformstore.TopicServers, w.ID, map[string]any{"service": service, "address": address, "zone": "z", "slots": f.slots(w),
		"version": "v1", "cold_remaining_ms": 0, "state": state, "sequence": n, "born": w.StartedMS})
	return nil
}

// workerSlots is what a worker says that it runs at once.
const workerSlots = 64

// slots returns what a worker is to say of its slots.
func (f *fleet) slots(w *worker.Worker) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.fewSlots[w.ID]; n > 0 {
		return n
	}
	return workerSlots
}

func (f *fleet) unregister(w *worker.Worker) { f.store.Put(platformstore.TopicServers, w.ID, nil) }

func (f *fleet) settingsFile(g *gatewayProc) string { return filepath.Join(f.dir, g.host+".conf") }

// budgetSlack is bounds.budget_slack: the repeats that all gateways together may send in a window beyond the ratio.
const budgetSlack = 12

// writeSettings writes a gateway's settings file.
func (f *fleet) writeSettings(g *gatewayProc, graceSeconds int) error {
	store, err := f.through(g.host, f.store.Address())
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
`, g.host, g.ip, g.ip, g.ip, store, graceSeconds, budgetSlack)
	return os.WriteFile(f.settingsFile(g), []byte(text), 0o600)
}

// start starts a gateway process.
func (f *fleet) start(g *gatewayProc) error {
	if err := f.writeSettings(g, 5); err != nil {
		return err
	}
	if g.log != nil {
		_, _ = g.earlier.Write([]byte(g.log.String())) // a buffer does not fail
	}
	g.log, g.exited = &lockedBuffer{}, make(chan struct{})
	g.cmd = exec.Command(filepath.Join(binaries, "merlinpost"), "gateway", "--log-one-in", "1")
	g.cmd.Env = append(os.Environ(), "MERLINPOST_NODE_FILE="+f.settingsFile(g))
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.start.Store(int64(g.cmd.Process.Pid))
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // the code tells
		g.code = cmd.ProcessState.ExitCode()
		close(exited)
	}(g.cmd, g.exited)
	return nil
}

// kill ends a gateway process that this fleet has started.
func (f *fleet) kill(g *gatewayProc) {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Signal(syscall.SIGCONT) // it may be stopped
	_ = g.cmd.Process.Kill()                  // it may have ended
	<-g.exited
}

// ready reports whether the gateway's readiness check answers 200.
func (f *fleet) ready(g *gatewayProc) bool {
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
	end := time.Now().Add(waitLimit)
	for _, g := range f.gateways {
		for !f.ready(g) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready; its log:\n%s", g.host, g.log)
			}
			time.Sleep(pollEvery)
		}
	}
	return nil
}

// fleetAnswer is what a caller of the fleet got.
type fleetAnswer struct {
	status     int
	body       string
	retryAfter string
	err        error
}

// ask sends a request to a gateway and reads the answer whole.
func (f *fleet) ask(ctx context.Context, g *gatewayProc, route, id string) fleetAnswer {
	return f.askWith(ctx, f.http, g, fleetKey, route, id)
}

func (f *fleet) askWith(ctx context.Context, client *http.Client, g *gatewayProc, key, route, id string) fleetAnswer {
	return f.askFor(ctx, client, g, key, route, id, "body of "+id)
}

// askFor sends a request with a body of its own.
func (f *fleet) askFor(ctx context.Context, client *http.Client, g *gatewayProc, key, route, id, body string) fleetAnswer {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.ip+":8080/"+route+"/x", strings.NewReader(body))
	if err != nil {
		return fleetAnswer{err: err}
	}
	req.Host = fleetHost
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Api-Key", key)
	req.Header.Set("X-Request-Deadline", "5000")
	if route == "report" || route == "advice" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Count", "9000,100")
		req.Header.Set("X-Prompt-Prefix", "aa:4000,"+id[len(id)-1:]+"b:5000")
	}
	resp, err := client.Do(req)
	if err != nil {
		return fleetAnswer{err: err}
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	text, err := io.ReadAll(resp.Body)
	return fleetAnswer{status: resp.StatusCode, body: string(text), retryAfter: resp.Header.Get("Retry-After"), err: err}
}

// want is the right body for a request.
func want(route, id string) string {
	if route == "report" || route == "advice" {
		return worker.StreamBody(id, streamEvents)
	}
	return worker.ResponseBody(id)
}

// logLine is a line of a gateway's log.
type logLine struct {
	Msg   string
	ID    string
	Code  string
	Sends []struct{ Server, Result, Cause string }
}

// lines returns the lines of a gateway's log about a request.
func (g *gatewayProc) lines(id string) []logLine {
	var out []logLine
	for _, text := range strings.Split(g.log.String(), "\n") {
		var l logLine
		if json.Unmarshal([]byte(text), &l) == nil && l.ID == id {
			out = append(out, l)
		}
	}
	return out
}
