// Package simfleet runs gateways, backend servers and the platform's store as they are on one network in
// memory. It waits on channels and timers alone, so that it lives in a testing/synctest bubble, where
// days of it take seconds.
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
	// service is the only service.
	service = "s"
	// Events is the length of a stream.
	StreamEvents = 8
	// RetryRatio, RetryWindow and RetrySlack are the settings of the retry budget.
	RetryRatio, RetryWindow, RetrySlack = 0.2, 10 * time.Second, 12
	// DrainWithin and ApplyWithin are the times in which the list and the configuration must be in force.
	DrainWithin, ApplyWithin = 2 * time.Second, 2 * time.Second
	// settled is how long a new fleet is left alone.
	settled = 4 * time.Second
)

// Node is an entry host. Its gateway can be killed and started again.
type Node struct {
	Name string
	Host *memnet.Host
	at   atomic.Pointer[process]
}

// process is one start of a gateway.
type process struct {
	gateway *gateway.Gateway
	peers   *peers.Peers
	up      context.Context
	kill    context.CancelFunc
	duties  sync.WaitGroup
}

// Gateway returns the gateway that runs now, or ran last.
func (n *Node) Gateway() *gateway.Gateway { return n.at.Load().gateway }

// Server is a host of a backend server.
type Server struct {
	ID    string
	link  *memnet.Host
	port  uint16
	at    *worker.Worker // nil while it is away
	start int
	all   []*worker.Worker // of all its starts
}

// Fleet is the deployment.
type Fleet struct {
	Nodes   []*Node // those of the begin
	Servers []*Server
	Store   *platformstore.Store
	started func(*Server, *worker.Worker) // called with each start of a server

	net     *memnet.Network
	storeAt *memnet.Host
	running sync.WaitGroup
	stop    context.Context
	cancel  context.CancelFunc
	nextID  atomic.Int64

	mu    sync.Mutex
	rnd   *rand.Rand
	pace  time.Duration
	nodes []*Node // all of them
}

// Routes are the kinds of route, by name.
var Routes = map[string]map[string]any{
	"once":   {"kind": "non_idempotent"},
	"again":  {"kind": "idempotent"},
	"stream": {"kind": "streaming", "session_affinity": true},
	"resume": {"kind": "streaming", "session_affinity": true, "stream_resumption": true},
}

func configuration() []byte {
	var routes []map[string]any
	for name, more := range Routes {
		route := map[string]any{"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "service": service,
			"timeout_ms": 6000, "target_latency_ms": 300, "max_attempts": 2, "priority": 0}
		for k, v := range more {
			route[k] = v
		}
		routes = append(routes, route)
	}
	value, err := json.Marshal(map[string]any{"version": 1, "routes": routes,
		"services": []any{map[string]any{"name": service, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 500000}}},
		"tenants":  []any{map[string]any{"name": "team", "api_keys": []string{"key"}}}})
	if err != nil {
		panic(err) // strings and numbers
	}
	return value
}

// New starts gateways and servers and waits until all is settled. Started is called with each start of a
// server before it is listed; nil for nothing.
func New(gateways, servers int, seed uint64, started func(*Server, *worker.Worker)) *Fleet {
	if started == nil {
		started = func(*Server, *worker.Worker) {}
	}
	f := &Fleet{net: memnet.New(500 * time.Microsecond), Store: platformstore.New(), rnd: rand.New(rand.NewPCG(seed, 1)), started: started}
	f.stop, f.cancel = context.WithCancel(context.Background())
	f.storeAt = f.net.Host(0)
	listener := f.storeAt.Listen(storePort)
	store := &http.Server{Handler: f.Store.Handler()}
	f.running.Go(func() { _ = store.Serve(listener) }) // ends with ErrServerClosed
	context.AfterFunc(f.stop, func() { _ = store.Close() })
	f.Store.Put(platformstore.TopicOperator, "config", configuration())
	for i := range servers {
		s := &Server{ID: fmt.Sprint("i-", i), link: f.net.Host(0), port: workerPort}
		f.Servers = append(f.Servers, s)
		f.StartServer(s)
	}
	for i := range gateways {
		f.Nodes = append(f.Nodes, f.AddNode(fmt.Sprint("edge-", i)))
	}
	time.Sleep(settled)
	return f
}

// AddNode starts a further gateway on a host of its own.
func (f *Fleet) AddNode(name string) *Node {
	n := &Node{Name: name, Host: f.net.Host(0)}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	f.StartNode(n)
	return n
}

// End ends everything.
func (f *Fleet) Close() {
	for _, n := range f.nodes {
		f.KillNode(n)
	}
	f.mu.Lock()
	f.cancel()
	for _, s := range f.Servers {
		if s.at != nil {
			s.at.Close()
		}
	}
	f.mu.Unlock()
	f.net.Close()
	f.running.Wait()
	time.Sleep(5 * time.Second) // connections that were being opened
}

func quiet() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// StartNode starts a gateway that knows nothing.
func (f *Fleet) StartNode(n *Node) {
	p := &process{}
	p.up, p.kill = context.WithCancel(f.stop)
	servers := registry.New()
	p.gateway = gateway.New(gateway.Settings{Retries: retrybudget.Settings{Ratio: RetryRatio, Window: RetryWindow, Slack: RetrySlack}},
		platform.Dialect{}, servers, quiet())
	p.gateway.UseNetwork(n.Host.DialContext)
	others := peers.New(n.Name, n.Host.ListenPacket(peerPort), peers.Capacity{Cores: 0.3}, p.gateway, quiet())
	p.gateway.UsePeers(others)
	p.peers = others
	share := configshare.New(n.Host.DialContext, 0, quiet())
	follower := follow.New(follow.Dependencies{Connect: func(address string) follow.Store { return platform.NewStoreOver(n.Host.DialContext, address, quiet()) },
		Topics: platform.Topics, Decoder: platform.Decoder{}, Gateway: p.gateway, Servers: servers, Peers: others, Share: share, Logger: quiet()},
		follow.Settings{Address: f.storeAt.Address(storePort).String(), DrainWithin: DrainWithin, ApplyWithin: ApplyWithin})
	keeper := quarantine.NewPersister(p.gateway.Quarantine(), follower.Quarantine(), n.Name, quiet())
	p.gateway.UseTrials(keeper)
	asks := n.Host.Listen(peerPort)
	for _, duty := range []func(){func() { keeper.Run(p.up) }, func() { share.Serve(p.up, asks) }, func() { follower.Run(p.up) }, func() { others.Run(p.up) }} {
		p.duties.Go(duty)
	}
	n.at.Store(p)
}

// KillNode ends a gateway with everything that it knows.
func (f *Fleet) KillNode(n *Node) {
	p := n.at.Load()
	p.kill()
	p.duties.Wait()
}

// LeaveNode has a gateway announce that it is about to stop. It keeps serving until it is killed.
func (f *Fleet) AnnounceNodeStop(n *Node) { n.at.Load().peers.AnnounceLeave() }

// StartServer starts a server as another start under its ID, at another address, and lists it.
func (f *Fleet) StartServer(s *Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stop.Err() != nil {
		return
	}
	s.start++
	s.port++
	w := worker.StartOn(s.ID, s.link.Listen(s.port))
	w.SetBehaviour(f.behaviour())
	s.at = w
	s.all = append(s.all, w)
	f.started(s, w)
	f.list(s, "ready")
}

// List writes a server's entry with another state.
func (f *Fleet) SetServerState(s *Server, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list(s, state)
}

func (f *Fleet) list(s *Server, state string) {
	f.Store.PutJSON(platformstore.TopicServers, s.ID, map[string]any{"service": service, "address": s.at.Address(), "zone": "z", "slots": 64,
		"version": "v1", "cold_remaining_ms": 0, "state": state, "sequence": s.start, "born": s.at.StartedMS})
}

// EndServer ends a server without a word; false if it is away.
func (f *Fleet) KillServer(s *Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s.at == nil {
		return false
	}
	s.at.Close()
	s.at = nil
	return true
}

// Running returns the start of a server that runs, nil for none.
func (f *Fleet) CurrentWorker(s *Server) *worker.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.at
}

// Starts returns all starts of a server so far.
func (f *Fleet) Workers(s *Server) []*worker.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*worker.Worker(nil), s.all...)
}

// Go has something go on until the fleet ends, which waits for it.
func (f *Fleet) Go(duty func()) { f.running.Go(duty) }

// Pause waits; false when the fleet has ended.
func (f *Fleet) Sleep(t time.Duration) bool {
	select {
	case <-time.After(t):
		return true
	case <-f.stop.Done():
		return false
	}
}

// Draw returns a random number below n.
func (f *Fleet) RandIntN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n)
}

// NextID returns a number that was not returned before.
func (f *Fleet) NextID() int64 { return f.nextID.Add(1) }

// CutNodes ends or restores the links between two gateways' hosts.
func (f *Fleet) PartitionNodes(a, b *Node, cut bool) { f.net.SetPartitioned(a.Host, b.Host, cut) }

// CutStore ends or restores the link from a gateway's host to the store.
func (f *Fleet) PartitionStore(n *Node, cut bool) { f.net.SetPartitioned(n.Host, f.storeAt, cut) }

// SetPace sets the pause between the events of streams.
func (f *Fleet) SetEventInterval(pace time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pace = pace
	for _, s := range f.Servers {
		if s.at != nil {
			s.at.SetBehaviour(f.behaviour())
		}
	}
}

// behaviour is what servers do.
func (f *Fleet) behaviour() worker.Behaviour {
	return worker.Behaviour{Events: StreamEvents, AbortAfterEvents: -1, EventInterval: f.pace}
}

// Reply is what a caller got.
type Response struct {
	Status     int
	Code       string // of the gateway's own answers
	RetryAfter string
	Aborted    bool // the answer was not whole
	Elapsed    time.Duration
}

// Ask sends a request to a gateway and waits for what comes of it.
func (f *Fleet) SendRequest(n *Node, route, id, body string) (r Response) {
	p, begin := n.at.Load(), time.Now()
	req := httptest.NewRequestWithContext(p.up, http.MethodPost, "/"+route+"/x", strings.NewReader(body))
	req.Host = "a.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Api-Key", "key")
	req.Header.Set("X-Request-Deadline", "5000")
	if route == "stream" || route == "resume" {
		req.Header.Set("X-Model", "m")
		req.Header.Set("X-Token-Count", "900,40")
		req.Header.Set("X-Prompt-Prefix", "aa:400,"+fmt.Sprintf("%x", len(body))+"b:500")
	}
	w := httptest.NewRecorder()
	defer func() {
		if e := recover(); e != nil && e != http.ErrAbortHandler {
			panic(e)
		} else if e != nil {
			r = Response{Status: w.Code, Aborted: true, Elapsed: time.Since(begin)}
		}
	}()
	p.gateway.ServeHTTP(w, req)
	r = Response{Status: w.Code, RetryAfter: w.Header().Get("Retry-After"), Elapsed: time.Since(begin)}
	var doc struct {
		Error struct{ Code string }
	}
	if w.Code >= 400 && json.Unmarshal(w.Body.Bytes(), &doc) == nil {
		r.Code = doc.Error.Code
	}
	return r
}
