// Package simfleet runs a complete deployment on an in-memory network: real gateways, and stand-ins for the backend
// servers and the platform's metadata store. It blocks only on channels and timers, so that it can run in a
// testing/synctest bubble, where days of simulated time take seconds.
package simfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/configshare"
	"github.com/merlinpost/merlinpost/internal/follow"
	"github.com/merlinpost/merlinpost/internal/gateway"
	"github.com/merlinpost/merlinpost/internal/peers"
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/retrybudget"
	"github.com/merlinpost/merlinpost/internal/standin/memnet"
	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
	"github.com/merlinpost/merlinpost/platform"
)

const (
	storePort, peerPort, workerPort = 8223, 7340, 9000
	// serviceName is the name of the only service.
	serviceName = "s"
	// StreamEvents is the number of events of each stream.
	StreamEvents = 8
	// RetryRatio, RetryWindow and RetrySlack are the settings of the retry budget.
	RetryRatio, RetryWindow, RetrySlack = 0.2, 10 * time.Second, 12
	// DrainWithin and ApplyWithin are the times within which changes of the server list and of the configuration
	// must take effect.
	DrainWithin, ApplyWithin = 2 * time.Second, 2 * time.Second
	// settleTime is how long New waits for a new fleet to reach a steady state.
	settleTime = 4 * time.Second
	// dialDrainTime is how long Close waits for pending connection attempts to finish.
	dialDrainTime = 5 * time.Second
	// networkDelay is the delay of each message.
	networkDelay = 500 * time.Microsecond
	// serverSlots is the number of requests that a server processes concurrently.
	serverSlots = 64
)

// Node is a host with a gateway, which can be killed and restarted.
type Node struct {
	Name    string
	Host    *memnet.Host
	process atomic.Pointer[gatewayProcess]
}

// gatewayProcess is a gateway from its start until it is killed.
type gatewayProcess struct {
	gateway *gateway.Gateway
	peers   *peers.Peers
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup // background goroutines of the gateway
}

// Gateway returns the running gateway, or the last one if none is running.
func (n *Node) Gateway() *gateway.Gateway { return n.process.Load().gateway }

// Server is a host with a backend server, which can be killed and restarted.
type Server struct {
	ID         string
	host       *memnet.Host
	port       uint16           // of the last start; each start uses a new port
	worker     *worker.Worker   // nil while the server is down
	startCount int              // sequence number of the entry in the server list
	workers    []*worker.Worker // of all starts so far
}

// Fleet is a simulated deployment.
type Fleet struct {
	Nodes         []*Node // the nodes started by New
	Servers       []*Server
	Store         *platformstore.Store
	onServerStart func(*Server, *worker.Worker) // called for each start of a server

	network   *memnet.Network
	storeHost *memnet.Host
	tasks     sync.WaitGroup  // for which Close waits
	ctx       context.Context // done when the fleet is closed
	cancel    context.CancelFunc
	nextID    atomic.Int64

	mu            sync.Mutex
	rng           *rand.Rand
	eventInterval time.Duration
	allNodes      []*Node // all nodes, including those added by AddNode
}

// Routes holds the configured routes by name, with the settings in which they differ.
var Routes = map[string]map[string]any{
	"once":   {"kind": "non_idempotent"},
	"again":  {"kind": "idempotent"},
	"stream": {"kind": "streaming", "session_affinity": true},
	"resume": {"kind": "streaming", "session_affinity": true, "stream_resumption": true},
}

// encodeConfig returns the configuration that the operator publishes.
func encodeConfig() []byte {
	var routes []map[string]any
	for name, settings := range Routes {
		route := map[string]any{"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "service": serviceName,
			"timeout_ms": 6000, "target_latency_ms": 300, "max_attempts": 2, "priority": 0}
		for k, v := range settings {
			route[k] = v
		}
		routes = append(routes, route)
	}
	value, err := json.Marshal(map[string]any{"version": 1, "routes": routes,
		"services": []any{map[string]any{"name": serviceName, "engine": map[string]any{"slots": serverSlots, "kv_capacity_tokens": 500000}}},
		"tenants":  []any{map[string]any{"name": "team", "api_keys": []string{"key"}}}})
	if err != nil {
		panic(err) // can't fail: the values are plain JSON types
	}
	return value
}

// New starts gateways and servers and waits until the fleet has reached a steady state. onServerStart, which may be
// nil, is called for each start of a server, before the server is added to the server list.
func New(gateways, servers int, seed uint64, onServerStart func(*Server, *worker.Worker)) *Fleet {
	if onServerStart == nil {
		onServerStart = func(*Server, *worker.Worker) {}
	}
	f := &Fleet{network: memnet.New(networkDelay), Store: platformstore.New(), rng: rand.New(rand.NewPCG(seed, 1)), onServerStart: onServerStart}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.storeHost = f.network.Host(0)
	listener := f.storeHost.Listen(storePort)
	store := &http.Server{Handler: f.Store.Handler()}
	f.tasks.Go(func() { _ = store.Serve(listener) }) // returns ErrServerClosed after Close
	context.AfterFunc(f.ctx, func() { _ = store.Close() })
	f.Store.Put(platformstore.TopicOperator, "config", encodeConfig())
	for i := range servers {
		s := &Server{ID: fmt.Sprint("i-", i), host: f.network.Host(0), port: workerPort}
		f.Servers = append(f.Servers, s)
		f.StartServer(s)
	}
	for i := range gateways {
		f.Nodes = append(f.Nodes, f.AddNode(fmt.Sprint("edge-", i)))
	}
	time.Sleep(settleTime)
	return f
}

// AddNode starts an additional gateway on a new host.
func (f *Fleet) AddNode(name string) *Node {
	n := &Node{Name: name, Host: f.network.Host(0)}
	f.mu.Lock()
	f.allNodes = append(f.allNodes, n)
	f.mu.Unlock()
	f.StartNode(n)
	return n
}

// Close stops all gateways, servers and background tasks.
func (f *Fleet) Close() {
	for _, n := range f.allNodes {
		f.KillNode(n)
	}
	f.mu.Lock()
	f.cancel()
	for _, s := range f.Servers {
		if s.worker != nil {
			s.worker.Close()
		}
	}
	f.mu.Unlock()
	f.network.Close()
	f.tasks.Wait()
	time.Sleep(dialDrainTime)
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// StartNode starts a gateway, without any state from earlier starts.
func (f *Fleet) StartNode(n *Node) {
	p := &gatewayProcess{}
	p.ctx, p.cancel = context.WithCancel(f.ctx)
	servers := registry.New()
	p.gateway = gateway.New(gateway.Settings{Retries: retrybudget.Settings{Ratio: RetryRatio, Window: RetryWindow, Slack: RetrySlack}},
		platform.Dialect{}, servers, discardLogger())
	p.gateway.UseDialer(n.Host.DialContext)
	gatewayPeers := peers.New(n.Name, n.Host.ListenPacket(peerPort), peers.Capacity{Cores: 0.3}, p.gateway, discardLogger())
	p.gateway.UsePeers(gatewayPeers)
	p.peers = gatewayPeers
	share := configshare.New(n.Host.DialContext, 0, discardLogger())
	follower := follow.New(follow.Dependencies{Connect: func(address string) follow.Store {
		return platform.NewStoreWithDial(n.Host.DialContext, address, discardLogger())
	},
		Topics: platform.Topics, Decoder: platform.Decoder{}, Gateway: p.gateway, Servers: servers, Peers: gatewayPeers, Share: share, Logger: discardLogger()},
		follow.Settings{Address: f.storeHost.Address(storePort).String(), DrainWithin: DrainWithin, ApplyWithin: ApplyWithin})
	persister := quarantine.NewPersister(p.gateway.Quarantine(), follower.Quarantine(), n.Name, discardLogger())
	partPersister := quarantine.NewPartPersister(p.gateway.PromptParts(), persister)
	p.gateway.UseTrials(persister, partPersister)
	shareListener := n.Host.Listen(peerPort)
	for _, task := range []func(){func() { persister.Run(p.ctx) }, func() { partPersister.Run(p.ctx) }, func() { share.Serve(p.ctx, shareListener) }, func() { follower.Run(p.ctx) }, func() { gatewayPeers.Run(p.ctx) }} {
		p.tasks.Go(task)
	}
	n.process.Store(p)
}

// KillNode kills a gateway, whose state is lost.
func (f *Fleet) KillNode(n *Node) {
	p := n.process.Load()
	p.cancel()
	p.tasks.Wait()
}

// AnnounceNodeStop makes a gateway announce that it is about to stop. It keeps serving until it is killed.
func (f *Fleet) AnnounceNodeStop(n *Node) { n.process.Load().peers.AnnounceLeave() }

// StartServer starts a server under its ID at a new port and adds it to the server list.
func (f *Fleet) StartServer(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ctx.Err() != nil {
		return
	}
	s.startCount++
	s.port++
	w := worker.StartOn(s.ID, s.host.Listen(s.port))
	w.SetBehaviour(f.serverBehaviour())
	s.worker = w
	s.workers = append(s.workers, w)
	f.onServerStart(s, w)
	f.publishServer(s, "ready")
}

// SetServerState changes the state of a server in the server list.
func (f *Fleet) SetServerState(s *Server, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publishServer(s, state)
}

// publishServer writes a server's entry in the server list. The caller holds mu.
func (f *Fleet) publishServer(s *Server, state string) {
	f.Store.PutJSON(platformstore.TopicServers, s.ID, map[string]any{"service": serviceName, "address": s.worker.Address(), "zone": "z", "slots": serverSlots,
		"version": "v1", "cold_remaining_ms": 0, "state": state, "sequence": s.startCount, "born": s.worker.StartedMS})
}

// KillServer kills a server without changing the server list. It returns false if the server is not running.
func (f *Fleet) KillServer(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.worker == nil {
		return false
	}
	s.worker.Close()
	s.worker = nil
	return true
}

// RunningWorker returns the running worker of a server, or nil if the server is down.
func (f *Fleet) RunningWorker(s *Server) *worker.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.worker
}

// AllWorkers returns the workers of all starts of a server so far.
func (f *Fleet) AllWorkers(s *Server) []*worker.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*worker.Worker(nil), s.workers...)
}

// Go runs task in the background. Close waits for it to return.
func (f *Fleet) Go(task func()) { f.tasks.Go(task) }

// Sleep waits for d. It returns false if the fleet is closed before that.
func (f *Fleet) Sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-f.ctx.Done():
		return false
	}
}

// RandIntN returns a random number in [0, n) from the fleet's seeded generator.
func (f *Fleet) RandIntN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

// NextID returns a number that is unique in the fleet.
func (f *Fleet) NextID() int64 { return f.nextID.Add(1) }

// PartitionNodes interrupts or restores the path between two gateways' hosts.
func (f *Fleet) PartitionNodes(a, b *Node, interrupted bool) {
	f.network.SetPartitioned(a.Host, b.Host, interrupted)
}

// PartitionStore interrupts or restores the path between a gateway's host and the store.
func (f *Fleet) PartitionStore(n *Node, interrupted bool) {
	f.network.SetPartitioned(n.Host, f.storeHost, interrupted)
}

// SetEventInterval sets the time between the events of streams.
func (f *Fleet) SetEventInterval(interval time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.eventInterval = interval
	for _, s := range f.Servers {
		if s.worker != nil {
			s.worker.SetBehaviour(f.serverBehaviour())
		}
	}
}

// serverBehaviour returns how all servers handle requests. The caller holds mu.
func (f *Fleet) serverBehaviour() worker.Behaviour {
	return worker.Behaviour{Events: StreamEvents, AbortAfterEvents: -1, EventInterval: f.eventInterval}
}

// Response is a gateway's response as its caller sees it.
type Response struct {
	Status     int
	Code       string // error code of a response that the gateway generated itself
	RetryAfter string
	Aborted    bool // the response ended early
	Body       string
	Elapsed    time.Duration
}

// Complete reports whether this is the whole stream that the servers send for the attempt with the given ID.
func (r Response) Complete(id string) bool {
	return r.Status == http.StatusOK && !r.Aborted && r.Body == worker.StreamBody(id, StreamEvents)
}

// SendRequest sends a request for a route to a gateway and waits for the outcome. id is the ID of the attempt.
func (f *Fleet) SendRequest(n *Node, route, id, body string) Response {
	var parts []string
	if route == "stream" || route == "resume" {
		parts = []string{"aa", fmt.Sprintf("%xb", len(body))}
	}
	return f.SendPrompt(n, route, id, body, parts)
}

// SendPrompt is like SendRequest with the parts of a prompt, which may be empty.
func (f *Fleet) SendPrompt(n *Node, route, id, body string, parts []string) (r Response) {
	p, start := n.process.Load(), time.Now()
	req := httptest.NewRequestWithContext(p.ctx, http.MethodPost, "/"+route+"/x", strings.NewReader(body))
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Api-Key", "key")
	req.Header.Set("X-Request-Deadline", "5000")
	if len(parts) > 0 {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Count", fmt.Sprint(400*len(parts), ",40"))
		req.Header.Set("X-Prompt-Prefix", strings.Join(parts, ":400,")+":400")
	}
	w := httptest.NewRecorder()
	defer func() {
		if e := recover(); e != nil && e != http.ErrAbortHandler {
			panic(e)
		} else if e != nil {
			r = Response{Status: w.Code, Aborted: true, Body: w.Body.String(), Elapsed: time.Since(start)}
		}
	}()
	p.gateway.ServeHTTP(w, req)
	r = Response{Status: w.Code, RetryAfter: w.Header().Get("Retry-After"), Body: w.Body.String(), Elapsed: time.Since(start)}
	var errorBody struct {
		Error struct{ Code string }
	}
	if w.Code >= 400 && json.Unmarshal(w.Body.Bytes(), &errorBody) == nil {
		r.Code = errorBody.Error.Code
	}
	return r
}
