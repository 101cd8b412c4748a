package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
)

// The names of the deployment.
const (
	host         = "ficu95.example"
	apiKey       = "n2ctnfzs989anu6wsjnb"
	modelService = "huvo11a"
	plainService = "wuno96b"
)

// The bounds of the deployment, which are those of the sheets.
const (
	graceSeconds = 8
	drainMs      = 2000
	applyMs      = 2000
)

// gatewayCommand is the command of the role in deploy/system.toml.
var gatewayCommand = []string{"target/merlinpost", "gateway"}

// fleet is a small deployment. The gateways are processes; the store and the workers are stand-ins in this process.
type fleet struct {
	rec      *recorder
	dir      string
	store    *platformstore.Store
	gateways []*gateway
	workers  []*worker
	sequence int
}

// gateway is one process of the system.
type gateway struct {
	name, ip, zone string
	front, ready   string // addresses
	cmd            *exec.Cmd
	log            syncBuffer
	exited         chan struct{} // closed when the process has ended
	exitedAt       time.Time     // valid once exited is closed
}

// syncBuffer is a buffer that is safe for concurrent use.
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

// newFleet starts the store with a configuration. The caller must close the fleet.
func newFleet(rec *recorder, routes []map[string]any) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: platformstore.Start()}
	f.store.PutJSON(platformstore.TopicOperator, "config", map[string]any{"version": 7, "routes": routes,
		"services": []any{
			map[string]any{"name": modelService, "health_path": "/health", "max_connections": 360,
				"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 596763, "stride": 5, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": plainService, "health_path": "/health", "max_connections": 100},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{apiKey}}}})
	return f, nil
}

// route returns a route of the configuration. extra replaces fields.
func route(name, kind, service string, extra map[string]any) map[string]any {
	r := map[string]any{"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "service": service, "timeout_ms": 15000,
		"target_latency_ms": 300, "max_attempts": 1, "priority": 0, "anonymous_access": false, "session_affinity": false, "stream_resumption": false}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

// addWorkers starts workers and registers them as ready.
func (f *fleet) addWorkers(n int, service string, answer func(x *exchange) bool) error {
	for range n {
		id := fmt.Sprintf("i-%s-%d", service, len(f.workers))
		w, err := startWorker(id, service, fmt.Sprint("zone-", len(f.workers)%3), f.rec, answer)
		if err != nil {
			return err
		}
		f.workers = append(f.workers, w)
		f.register(w)
	}
	return nil
}

// register writes the entry of a worker, as the worker does with each status report.
func (f *fleet) register(w *worker) {
	f.sequence++
	slots := 6
	if w.service == modelService {
		slots = 64
	}
	f.store.PutJSON(platformstore.TopicServers, w.id, map[string]any{"service": w.service, "address": w.address(), "zone": w.zone,
		"version": "v1", "slots": slots, "state": "ready", "cold_remaining_ms": 0, "sequence": f.sequence})
}

// startGateways starts gateways on loopback addresses of their own and waits until they are ready.
func (f *fleet) startGateways(n int) error {
	for i := range n {
		g := &gateway{name: fmt.Sprint("edge-", i+1), zone: fmt.Sprint("zone-", i%3)}
		if err := g.chooseAddresses(i); err != nil {
			return err
		}
		f.gateways = append(f.gateways, g)
	}
	for _, g := range f.gateways {
		if err := f.start(g); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, g := range f.gateways {
		for !g.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready; its log:\n%s", g.name, g.log.String())
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // the gateways have found each other
	return nil
}

// Ports, which are the same on all machines of a deployment.
const frontPort, readyPort, internalPort, metricsPort = 8227, 8220, 7340, 9464

// chooseAddresses chooses a loopback address on which the ports are free.
func (g *gateway) chooseAddresses(i int) error {
	for try := range 50 {
		ip := fmt.Sprintf("127.%d.%d.%d", 20+(os.Getpid()+7*try)%200, 1+os.Getpid()/200%250, i+1)
		if portsFree(ip, frontPort, readyPort, internalPort, metricsPort) {
			g.ip, g.front, g.ready = ip, fmt.Sprint(ip, ":", frontPort), fmt.Sprint(ip, ":", readyPort)
			return nil
		}
	}
	return errors.New("no loopback address with free ports")
}

func portsFree(ip string, ports ...int) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp", fmt.Sprint(ip, ":", port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// start starts the process of a gateway with the command of the deploy file and the settings of the platform.
func (f *fleet) start(g *gateway) error {
	path := filepath.Join(f.dir, g.name+".conf")
	if err := os.WriteFile(path, []byte(f.settings(g)), 0o600); err != nil {
		return err
	}
	g.cmd = exec.Command(gatewayCommand[0], gatewayCommand[1:]...)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "MERLINPOST_NODE_FILE=" + path}
	g.cmd.Stdout, g.cmd.Stderr = &g.log, &g.log
	if err := g.cmd.Start(); err != nil {
		return err
	}
	started.mu.Lock()
	started.processes = append(started.processes, g.cmd.Process)
	started.mu.Unlock()
	exited := make(chan struct{})
	g.exited = exited
	go func() {
		_ = g.cmd.Wait() // only the time matters
		g.exitedAt = time.Now()
		f.rec.printf("%s: the process has ended (%s)", g.name, g.cmd.ProcessState)
		close(exited)
	}()
	f.rec.printf("%s: process %d on %s", g.name, g.cmd.Process.Pid, g.ip)
	return nil
}

// settings returns the settings file of a gateway.
func (f *fleet) settings(g *gateway) string {
	return strings.Join([]string{
		"node=" + g.name, "role=gateway", "machine_class=edge", "serves=edge", "ip=" + g.ip, "zone=" + g.zone, "region=ic-anadolu",
		"zones.zone-0=ic-anadolu", "zones.zone-1=ic-anadolu", "zones.zone-2=ic-anadolu",
		"listen.front=" + g.front, "listen.ready=" + g.ready, "internal_ports=7340,7355", "bootstrap=true", "failure_domain_member=false",
		"limits.cpu_share=0.304", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0",
		"discovery=platform", "entry=virtual_ip", "heartbeat_ms=1200",
		"bounds.seed_lag_s=3", "bounds.address_reuse_s=2", "bounds.contact_ms=3000", "bounds.ack_ms=4000", "bounds.catch_up_s=4",
		fmt.Sprint("bounds.drain_ms=", drainMs), fmt.Sprint("bounds.grace_s=", graceSeconds), "bounds.loss_slack_ms=200",
		fmt.Sprint("bounds.config_apply_ms=", applyMs), "bounds.rollback_slack_ms=250", "bounds.outer_bound_ms=5000",
		"bounds.strict_revocation=false", "bounds.revoke_ms=5000", "bounds.retry_budget_ratio=0.2", "bounds.budget_window_s=10",
		"bounds.budget_slack=54", "bounds.recovery_s=12", "bounds.pass_ms=120", "bounds.cache_window_s=10",
		"platform.address=" + f.store.Address(), "platform.form=log", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.parts=12",
		"platform.append_ms=2.0", "platform.record_bytes=262144", "platform.call_bytes=2097152", "platform.keep_s=300", "platform.min_ttl_ms=1000", "",
	}, "\n")
}

// isReady asks a gateway as the platform's balancer does.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + g.ready + "/merlinpost/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal sends a signal to the process of a gateway.
func (f *fleet) signal(g *gateway, s syscall.Signal) {
	f.rec.printf("%s: signal %q to process %d", g.name, s, g.cmd.Process.Pid)
	_ = g.cmd.Process.Signal(s) // the process may have ended
}

// close ends all processes that were started and removes the temporary folder.
func (f *fleet) close() {
	for _, g := range f.gateways {
		if g.exited == nil {
			continue
		}
		_ = g.cmd.Process.Kill() // the process may have ended
		<-g.exited
	}
	for _, w := range f.workers {
		_ = w.listener.Close()
	}
	f.store.CloseClientConnections()
	f.store.Close()
	_ = os.RemoveAll(f.dir)
}
