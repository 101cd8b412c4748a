package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
)

const (
	// The ports of a gateway. Each gateway has a loopback address of its own.
	frontPort, readyPort = 8227, 8220
	// readyTimeout limits the start of a gateway, stopTimeout its end after SIGTERM.
	readyTimeout, stopTimeout = 10 * time.Second, 12 * time.Second
	// consumerHost is the host name that consumers send.
	consumerHost = "ficu95.example"
	consumerKey  = "n2ctnfzs989anu6wsjnb"
)

// deployment is a small deployment of gateways with a stand-in for the platform's store.
type deployment struct {
	program string
	trouble bool
	dir     string
	store   *platformstore.Store
	subnet  int
	start   time.Time

	closeOnce sync.Once
	trafficAt atomic.Int64 // Unix time in ns, 0 before the traffic

	gateways []*gatewayProcess
	workers  []*streamWorkerProcess

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	seq    int
}

// gatewayProcess is a gateway that runs as a process of its own.
type gatewayProcess struct {
	name, ip string
	cmd      *exec.Cmd
	exited   chan struct{} // closed when the process has exited
}

func (g *gatewayProcess) front() string { return fmt.Sprintf("%s:%d", g.ip, frontPort) }

func newDeployment(program, record string, trouble bool) (*deployment, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	subnet, err := freeSubnet()
	if err != nil {
		return nil, err
	}
	return &deployment{program: program, trouble: trouble, dir: dir, store: platformstore.Start(), subnet: subnet,
		start: time.Now(), record: bufio.NewWriter(file), file: file}, nil
}

// maxSubnets limits the loopback subnets that are tried.
const maxSubnets = 50

// freeSubnet returns a loopback subnet in which no gateway listens, so that cases may run side by side.
func freeSubnet() (int, error) {
	for range maxSubnets {
		subnet := 1 + rand.IntN(250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", gatewayIP(subnet, 1), frontPort))
		if err == nil {
			return subnet, l.Close()
		}
	}
	return 0, errors.New("no free loopback addresses")
}

// gatewayIP returns the address of the nth gateway of a deployment.
func gatewayIP(subnet, n int) string { return fmt.Sprintf("127.77.%d.%d", subnet, n) }

// close ends all processes that the deployment started. It may be called repeatedly.
func (d *deployment) close() { d.closeOnce.Do(d.doClose) }

func (d *deployment) doClose() {
	for _, g := range d.gateways {
		_ = g.cmd.Process.Signal(syscall.SIGCONT)
		_ = g.cmd.Process.Kill()
		<-g.exited
	}
	for _, w := range d.workers {
		_ = w.cmd.Process.Kill()
		<-w.exited
	}
	d.store.CloseClientConnections()
	d.store.Close()
	_ = os.RemoveAll(d.dir)
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.record.Flush()
	_ = d.file.Close()
}

// abort ends a case that cannot be completed.
func (d *deployment) abort(reason string) {
	fmt.Fprintln(os.Stderr, "the case could not run:", reason)
	d.close()
	os.Exit(exitFailed)
}

// logf writes a line to the record, with the time since the start.
func (d *deployment) logf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%9.4f ", time.Since(d.start).Seconds())
	fmt.Fprintf(d.record, format, args...)
	_, _ = d.record.WriteString("\n")
}

// summaryf writes a line to the record and to standard output.
func (d *deployment) summaryf(format string, args ...any) {
	d.logf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// settings are the settings file of a gateway; the bounds are those of SYSTEM.md.
const settings = `node=%[1]s
role=gateway
machine_class=edge
serves=edge
ip=%[2]s
zone=%[3]s
region=ic-anadolu
listen.front=%[2]s:%[4]d
listen.ready=%[2]s:%[5]d
internal_ports=7340,7355
bootstrap=true
limits.cpu_share=0.304
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=virtual_ip
heartbeat_ms=1200
bounds.contact_ms=3000
bounds.drain_ms=2000
bounds.grace_s=8
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.retry_budget_ratio=0.2
bounds.budget_window_s=10
bounds.budget_slack=54
bounds.recovery_s=12
platform.address=%[6]s
platform.form=log
platform.record_bytes=262144
`

// startGateway starts a gateway with the command of deploy/system.toml and waits until it is ready.
func (d *deployment) startGateway(zone string) error {
	n := len(d.gateways) + 1
	g := &gatewayProcess{name: fmt.Sprintf("edge-%d", n), ip: gatewayIP(d.subnet, n), exited: make(chan struct{})}
	path := filepath.Join(d.dir, g.name+".conf")
	text := fmt.Sprintf(settings, g.name, g.ip, zone, frontPort, readyPort, d.store.Address())
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(d.dir, g.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	g.cmd = exec.Command(d.program, "gateway")
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.cmd.Env = append(os.Environ(), "MERLINPOST_NODE_FILE="+path)
	g.cmd.Stdout, g.cmd.Stderr = output, output
	if err := g.cmd.Start(); err != nil {
		return err
	}
	d.gateways = append(d.gateways, g)
	go func() {
		_ = g.cmd.Wait()
		close(g.exited)
	}()
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/merlinpost/readiness", g.ip, readyPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		select {
		case <-g.exited:
			return errors.New(g.name + " has exited")
		default:
		}
		if resp.StatusCode == http.StatusOK {
			d.logf("%s is ready at %s", g.name, g.front())
			return nil
		}
	}
	return errors.New(g.name + " did not become ready")
}

// publishConfig writes a configuration with the given routes and services to the store.
func (d *deployment) publishConfig(version int, routes, services []any) {
	d.store.PutJSON(platformstore.TopicOperator, "config", map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{consumerKey}}},
	})
}

// publishServer writes a worker's entry to the store.
func (d *deployment) publishServer(id, service, address, zone, state string, slots int) {
	d.mu.Lock()
	d.seq++
	sequence := d.seq
	d.mu.Unlock()
	d.store.PutJSON(platformstore.TopicServers, id, map[string]any{"service": service, "address": address, "zone": zone, "version": "v1",
		"slots": slots, "state": state, "cold_remaining_ms": 0, "sequence": sequence})
	d.logf("store: servers/%s is %s at %s", id, state, address)
}

// listen opens a listener on a free loopback port.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// removeServer deletes a worker's entry from the store.
func (d *deployment) removeServer(id string) {
	d.store.Put(platformstore.TopicServers, id, nil)
	d.logf("store: servers/%s is removed", id)
}

// Disruptions come in bursts of troubleTime, the length that the site file gives, with troublePause between them.
const troubleTime, troublePause = 5 * time.Second, 2500 * time.Millisecond

// beginTraffic records the start of the traffic, from which the bursts of a disruption are counted.
func (d *deployment) beginTraffic() { d.trafficAt.Store(time.Now().UnixNano()) }

// troubled reports whether a burst of the disruption is on.
func (d *deployment) troubled() bool {
	at := d.trafficAt.Load()
	return d.trouble && at > 0 && time.Duration(time.Now().UnixNano()-at)%(troubleTime+troublePause) < troubleTime
}
