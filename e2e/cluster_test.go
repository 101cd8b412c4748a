// Package e2e contains end-to-end tests. They deploy the built programs as
// separate processes on loopback addresses, inject failures such as crashes,
// suspended processes and broken connections, and check every response.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/merlinpost/merlinpost/internal/resource"
)

const (
	operatorKey = "operator"
	teamKey     = "team"
	// smallTeamKey is the key of a team with rate and concurrency limits.
	smallTeamKey = "small team"
	pollInterval = 20 * time.Millisecond
	// waitTimeout is the timeout of every wait for an expected state.
	waitTimeout = 30 * time.Second
)

// binDir is the directory in which TestMain builds the programs.
var binDir string

// nextSubnet numbers the loopback subnets, of which each deployment uses its own.
var nextSubnet atomic.Uint32

// clusterConfig configures a cluster.
type clusterConfig struct {
	Routers, Engines, Services int
	FailureDomains             int
	TokenTime                  string // time per token of the engines
	Slots                      int
	KeyWindowMS                int
	Fencing                    bool
	LinkSettings               string // link and logging settings; default testLinkSettings
	Proxied                    bool   // links to agents and calls to backend servers pass through fault proxies
}

// cluster is a deployment of routers, agents and stand-in backend servers as separate processes.
type cluster struct {
	clusterConfig
	dir       string // settings, logs and data of the processes
	subnet    uint32
	mu        sync.Mutex
	processes map[string]*process
	hostCount uint32            // number of addresses assigned
	ipByName  map[string]string // IP address by process name
	http      *http.Client
	// proxies holds the fault proxies in front of agents ("engine-0") and
	// backend servers ("server:engine-0").
	proxies map[string]*faultProxy
}

func newCluster(dir string, config clusterConfig) *cluster {
	if config.FailureDomains == 0 {
		config.FailureDomains = 2
	}
	if config.TokenTime == "" {
		config.TokenTime = "3ms"
	}
	if config.Slots == 0 {
		config.Slots = 16
	}
	if config.KeyWindowMS == 0 {
		config.KeyWindowMS = 600_000
	}
	if config.LinkSettings == "" {
		config.LinkSettings = testLinkSettings
	}
	return &cluster{clusterConfig: config, dir: dir, subnet: uint32(os.Getpid()%200)<<8 + nextSubnet.Add(1), processes: map[string]*process{}, ipByName: map[string]string{}, proxies: map[string]*faultProxy{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
}

// address returns the IP address of a process. Each process has its own
// address, so that its ports are free and stay reserved across restarts.
func (c *cluster) address(name string) string {
	if a := c.ipByName[name]; a != "" {
		return a
	}
	c.hostCount++
	c.ipByName[name] = fmt.Sprintf("127.%d.%d.%d", 1+(c.subnet>>8)%250, c.subnet&0xff, c.hostCount)
	return c.ipByName[name]
}

func (c *cluster) callerAddress(router string) string   { return c.address(router) + ":8080" }
func (c *cluster) operatorAddress(router string) string { return c.address(router) + ":8081" }
func (c *cluster) logAddress() string                   { return c.address("log") + ":7000" }
func (c *cluster) membersAddress() string               { return c.address("members") + ":7001" }

func (c *cluster) failureDomain(i int) string { return string(rune('a' + i%c.FailureDomains)) }

// start starts all processes and waits until the routers reach all agents.
func (c *cluster) start() error {
	if err := c.startPlatform(); err != nil {
		return err
	}
	for i := range c.Engines {
		if err := c.startEngine(i); err != nil {
			return err
		}
	}
	for i := range c.Services {
		if err := c.startService(i); err != nil {
			return err
		}
	}
	for i := range c.Routers {
		if err := c.startRouter(i, ""); err != nil {
			return err
		}
	}
	if err := c.applyConfig(); err != nil {
		return err
	}
	return c.waitReady()
}

func (c *cluster) startPlatform() error {
	err := c.startProcess("log", "merlinpost", "standin", "log", "--listen", c.logAddress(), "--file", filepath.Join(c.dir, "log.jsonl"))
	if err != nil {
		return err
	}
	return c.startProcess("members", "merlinpost", "standin", "members", "--listen", c.membersAddress(), "--lag", "500ms")
}

// viaProxy returns the address at which to reach a target: the address of its
// fault proxy in a proxied cluster, otherwise the target itself.
func (c *cluster) viaProxy(name, target, port string) (string, error) {
	if !c.Proxied {
		return target, nil
	}
	if c.proxies[name] == nil {
		proxy, err := newFaultProxy(c.address("proxy:"+name)+":"+port, target)
		if err != nil {
			return "", err
		}
		c.proxies[name] = proxy
	}
	return c.proxies[name].ln.Addr().String(), nil
}

func (c *cluster) startEngine(i int) error {
	name := fmt.Sprint("engine-", i)
	args := []string{"standin", "engine", "--listen", c.address(name) + ":7100", "--name", name, "--step", c.TokenTime,
		"--batch", fmt.Sprint(c.Slots), "--loaded", "advisory@base", "--seed", fmt.Sprint(i)}
	if c.Fencing {
		args = append(args, "--fencing")
	}
	if err := c.startProcess(name, "merlinpost", args...); err != nil {
		return err
	}
	return c.startAgent("agent-"+name, name, "engine", i)
}

// startSecondAgent starts another agent for a backend server that already has one.
func (c *cluster) startSecondAgent(server string, i int) error {
	return c.startAgent("second-agent-"+server, server, "engine", i)
}

func (c *cluster) startService(i int) error {
	name := fmt.Sprint("service-", i)
	if err := c.startProcess(name, "merlinpost", "standin", "service", "--listen", c.address(name)+":7100", "--name", name); err != nil {
		return err
	}
	return c.startAgent("agent-"+name, name, "service", i)
}

// testLinkSettings detects link failures sooner than the default settings do.
const testLinkSettings = `
[link]
heartbeat_ms = 200
silent_ms = 700
lost_ms = 1500
[logging]
format = "json"
level = "info"
`

func (c *cluster) startAgent(name, server, kind string, i int) error {
	serverAddress, err := c.viaProxy("server:"+server, c.address(server)+":7100", "7100")
	if err != nil {
		return err
	}
	text := fmt.Sprintf(`name = %q
failure_domain = %q
listen = "%s:7300"
metrics = "%s:7301"
[server]
kind = %q
address = %q
slots = %d
fencing = %t
stall_ms = 3000
[log]
address = %q
timeout_ms = 1000
[members]
address = %q
poll_ms = 300
%s`, server, c.failureDomain(i), c.address(name), c.address(name), kind, serverAddress, c.Slots, c.Fencing, c.logAddress(), c.membersAddress(), c.LinkSettings)
	path := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	return c.startProcess(name, "merlinpost-agent", "--config", path)
}

func (c *cluster) startRouter(i int, extra string) error {
	name := fmt.Sprint("router-", i)
	text := fmt.Sprintf(`name = %q
failure_domain = %q
[callers]
listen = %q
balancer_lag_ms = 500
header_timeout_ms = 5000
body_timeout_ms = 1000
stall_timeout_ms = 1500
[operators]
listen = %q
[[operators.keys]]
name = "test"
sha256 = %q
[peers]
listen = "%s:7400"
[log]
address = %q
timeout_ms = 1000
snapshot_every = 20
[members]
address = %q
poll_ms = 300
%s%s`, name, c.failureDomain(i), c.callerAddress(name), c.operatorAddress(name), resource.HashAPIKey(operatorKey), c.address(name), c.logAddress(), c.membersAddress(), c.LinkSettings, extra)
	path := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	return c.startProcess(name, "merlinpost", "router", "--config", path)
}

// close kills all processes of the cluster and closes its fault proxies.
func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, proxy := range c.proxies {
		proxy.close()
	}
	for _, p := range c.processes {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT) // may have exited already
			_ = p.cmd.Process.Kill()                  // may have exited already
		}
	}
	for _, p := range c.processes {
		if p.exited != nil {
			<-p.exited
		}
	}
}

// request sends an HTTP request and returns the status, header and body of the response.
func (c *cluster) request(ctx context.Context, method, url string, header map[string]string, body []byte) (int, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, data, err
}

// getJSON sends a GET request with the operator's key and decodes the response.
func (c *cluster) getJSON(url string, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status, _, data, err := c.request(ctx, http.MethodGet, url, map[string]string{"Authorization": "Bearer " + operatorKey}, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", url, status, data)
	}
	return json.Unmarshal(data, out)
}

// setFaults configures the faults that a stand-in simulates.
func (c *cluster) setFaults(name, body string) error {
	port := map[string]string{"log": "7000"}[name]
	if port == "" {
		port = "7100"
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status, _, data, err := c.request(ctx, http.MethodPut, "http://"+c.address(name)+":"+port+"/standin/faults", nil, []byte(body))
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("set faults of %s: status %d: %s", name, status, data)
	}
	return err
}

// waitFor polls f until it returns nil or waitTimeout has passed.
func waitFor(what string, f func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: timed out after %s: %w", what, waitTimeout, err)
		}
		time.Sleep(pollInterval)
	}
}
