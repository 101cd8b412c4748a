// Package e2e holds the scripted scenarios: deployments of real processes on
// loopback addresses of their own, which are killed, frozen, cut and stopped
// while callers check every answer.
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
	// smallTeamKey is the key of a team with limits.
	smallTeamKey = "small team"
	pollEvery    = 20 * time.Millisecond
	// waitLimit bounds every wait for a state that must come.
	waitLimit = 30 * time.Second
)

// binaries is where TestMain built the programs.
var binaries string

// nextNet gives each cluster loopback addresses of its own.
var nextNet atomic.Uint32

// size is how many processes a cluster has.
type size struct {
	Routers, Engines, Services int
	Domains                    int
	Step                       string // of the engines
	Slots                      int
	KeyWindowMS                int
	Fencing                    bool
	Links                      string // settings of links and logging, else those of the tests
	Cuts                       bool   // links to agents and calls of engines pass through cutters
}

// cluster is a deployment of separate processes.
type cluster struct {
	size
	dir   string
	net   uint32
	mu    sync.Mutex
	procs map[string]*proc
	hosts uint32
	addr  map[string]string // by process
	http  *http.Client
	// cutters stand before agents ("engine-0") and backend servers
	// ("server:engine-0").
	cutters map[string]*cutter
}

func newCluster(dir string, s size) *cluster {
	if s.Domains == 0 {
		s.Domains = 2
	}
	if s.Step == "" {
		s.Step = "3ms"
	}
	if s.Slots == 0 {
		s.Slots = 16
	}
	if s.KeyWindowMS == 0 {
		s.KeyWindowMS = 600_000
	}
	if s.Links == "" {
		s.Links = linkSettings
	}
	return &cluster{size: s, dir: dir, net: uint32(os.Getpid()%200)<<8 + nextNet.Add(1), procs: map[string]*proc{}, addr: map[string]string{}, cutters: map[string]*cutter{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
}

// address gives a process an IP address of its own, so that its ports are free
// and stay its own over restarts.
func (c *cluster) address(name string) string {
	if a := c.addr[name]; a != "" {
		return a
	}
	c.hosts++
	c.addr[name] = fmt.Sprintf("127.%d.%d.%d", 1+(c.net>>8)%250, c.net&0xff, c.hosts)
	return c.addr[name]
}

func (c *cluster) callers(router string) string   { return c.address(router) + ":8080" }
func (c *cluster) operators(router string) string { return c.address(router) + ":8081" }
func (c *cluster) logAddress() string             { return c.address("log") + ":7000" }
func (c *cluster) membersAddress() string         { return c.address("members") + ":7001" }

func (c *cluster) domain(i int) string { return string(rune('a' + i%c.Domains)) }

// start starts every process and waits until the routers reach all agents.
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
	if err := c.seed(); err != nil {
		return err
	}
	return c.waitReady()
}

func (c *cluster) startPlatform() error {
	err := c.run("log", "merlinpost", "standin", "log", "--listen", c.logAddress(), "--file", filepath.Join(c.dir, "log.jsonl"))
	if err != nil {
		return err
	}
	return c.run("members", "merlinpost", "standin", "members", "--listen", c.membersAddress(), "--lag", "500ms")
}

// throughCutter returns the address to use for a target: the target's own, or
// that of a cutter before it.
func (c *cluster) throughCutter(name, target, port string) (string, error) {
	if !c.Cuts {
		return target, nil
	}
	if c.cutters[name] == nil {
		cutter, err := newCutter(c.address("cutter:"+name)+":"+port, target)
		if err != nil {
			return "", err
		}
		c.cutters[name] = cutter
	}
	return c.cutters[name].ln.Addr().String(), nil
}

func (c *cluster) startEngine(i int) error {
	name := fmt.Sprint("engine-", i)
	args := []string{"standin", "engine", "--listen", c.address(name) + ":7100", "--name", name, "--step", c.Step,
		"--batch", fmt.Sprint(c.Slots), "--loaded", "advisory@base", "--seed", fmt.Sprint(i)}
	if c.Fencing {
		args = append(args, "--fencing")
	}
	if err := c.run(name, "merlinpost", args...); err != nil {
		return err
	}
	return c.startAgent("agent-"+name, name, "engine", i)
}

// secondAgent starts one more agent for a backend server that has one.
func (c *cluster) secondAgent(server string, i int) error {
	return c.startAgent("second-agent-"+server, server, "engine", i)
}

func (c *cluster) startService(i int) error {
	name := fmt.Sprint("service-", i)
	if err := c.run(name, "merlinpost", "standin", "service", "--listen", c.address(name)+":7100", "--name", name); err != nil {
		return err
	}
	return c.startAgent("agent-"+name, name, "service", i)
}

// linkSettings makes failures show sooner than the defaults do.
const linkSettings = `
[link]
heartbeat_ms = 200
silent_ms = 700
lost_ms = 1500
[logging]
format = "json"
level = "info"
`

func (c *cluster) startAgent(name, server, kind string, i int) error {
	serverAddress, err := c.throughCutter("server:"+server, c.address(server)+":7100", "7100")
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
%s`, server, c.domain(i), c.address(name), c.address(name), kind, serverAddress, c.Slots, c.Fencing, c.logAddress(), c.membersAddress(), c.Links)
	path := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	return c.run(name, "merlinpost-agent", "--config", path)
}

func (c *cluster) startRouter(i int, extra string) error {
	name := fmt.Sprint("router-", i)
	text := fmt.Sprintf(`name = %q
failure_domain = %q
[callers]
listen = %q
balancer_lag_ms = 500
header_timeout_ms = 1000
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
%s%s`, name, c.domain(i), c.callers(name), c.operators(name), resource.HashAPIKey(operatorKey), c.address(name), c.logAddress(), c.membersAddress(), c.Links, extra)
	path := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	return c.run(name, "merlinpost", "router", "--config", path)
}

// close ends every process by its id.
func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cutter := range c.cutters {
		cutter.close()
	}
	for _, p := range c.procs {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT) // may have ended already
			_ = p.cmd.Process.Kill()                  // may have ended already
		}
	}
	for _, p := range c.procs {
		if p.exited != nil {
			<-p.exited
		}
	}
}

// request makes an HTTP request and returns status, header and body.
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

// faults sets the faults of a stand-in.
func (c *cluster) faults(name, body string) error {
	port := map[string]string{"log": "7000"}[name]
	if port == "" {
		port = "7100"
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status, _, data, err := c.request(ctx, http.MethodPut, "http://"+c.address(name)+":"+port+"/standin/faults", nil, []byte(body))
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("faults of %s: status %d: %s", name, status, data)
	}
	return err
}

// eventually waits until f returns nil.
func eventually(what string, f func() error) error {
	deadline := time.Now().Add(waitLimit)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s: not within %s: %w", what, waitLimit, err)
		}
		time.Sleep(pollEvery)
	}
}
