// Package agent wires the process beside a backend server: a goroutine for
// each duty, joined by bounded rings. What it decides is in packages execution
// and receipt; here are sockets, clocks and calls.
package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/configlog"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/lease"
	"github.com/merlinpost/merlinpost/internal/link"
	"github.com/merlinpost/merlinpost/internal/membership"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// renewLease is how often the lease is renewed on the log; the log's retention
// must be well above it.
const renewLease = 10 * time.Minute

// Agent is the process. Call New, then Run.
type Agent struct {
	set         settings.Agent
	logger      *slog.Logger
	incarnation string
	log         configlog.Log
	config      *configlog.Follower
	members     *membership.Reader
	lease       *lease.Lease
	core        *coreDuty
	engine      *engineClient
	service     *serviceClient
	witness     *witnessLinks
	serving     servingSet
	listener    net.Listener
	metrics     net.Listener
	stopping    atomic.Bool
	stop        chan struct{} // closed when the agent is to leave
	stopOnce    sync.Once
}

// New listens on the settings' addresses and returns an agent that has not
// started yet.
func New(set settings.Agent, logger *slog.Logger) (*Agent, error) {
	a := &Agent{set: set, logger: logger.With("agent", set.Name), incarnation: configlog.NewID(), stop: make(chan struct{})}
	a.log = configlog.NewClient(set.Log.Address, settings.Millis(set.Log.TimeoutMS))
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	a.config = configlog.NewFollower(a.log, set.Log, false, a.logger, rnd)
	a.members = membership.NewReader(set.Members.Address, set.Name, settings.Millis(set.Members.PollMS), a.logger)
	a.lease = lease.New(a.log, set.Name, a.incarnation, renewLease, a.logger)
	a.engine = newEngineClient(set.Server)
	a.service = newServiceClient(set.Server)
	a.witness = newWitnessLinks(a)
	a.core = newCoreDuty(a)
	var err error
	if a.listener, err = net.Listen("tcp", set.Listen); err != nil {
		return nil, fault.New(fault.BadSettings, "%w", err).WithField("listen")
	}
	if a.metrics, err = net.Listen("tcp", set.Metrics); err != nil {
		_ = a.listener.Close() // the listen error is the one to report
		return nil, fault.New(fault.BadSettings, "%w", err).WithField("metrics")
	}
	return a, nil
}

// Address returns the address that routers dial.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// MetricsAddress returns the address of the metrics and health pages.
func (a *Agent) MetricsAddress() string { return a.metrics.Addr().String() }

// Stop begins a graceful shutdown: no new work is taken, what is held goes on
// to its end, then Run returns.
func (a *Agent) Stop() { a.stopOnce.Do(func() { close(a.stop) }) }

// Run works until ctx ends, which cuts off what is in progress, or until a
// graceful shutdown has finished.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var duties sync.WaitGroup
	duties.Go(func() { a.config.Run(ctx) })
	duties.Go(func() { a.members.Run(ctx) })
	duties.Go(func() { a.lease.Run(ctx, a.Stop) })
	duties.Go(func() { a.core.run(ctx) })
	duties.Go(func() { a.acceptLinks(ctx) })
	duties.Go(func() { a.watchServing(ctx) })
	duties.Go(func() { a.recoverClaims(ctx) })
	duties.Go(func() { a.watchServers(ctx) })
	if a.set.Server.Kind == "engine" {
		duties.Go(func() { a.converge(ctx) })
	}
	server := &http.Server{Handler: a.pages(), ReadHeaderTimeout: 5 * time.Second}
	duties.Go(func() { _ = server.Serve(a.metrics) }) // ends with ErrServerClosed
	a.logger.Info("agent started", "listen", a.Address(), "incarnation", a.incarnation)
	a.waitForStop(ctx)
	cancel()
	_ = a.listener.Close() // ends acceptLinks
	_ = server.Close()     // ends the pages
	duties.Wait()
	a.logger.Info("agent stopped")
	return nil
}

// leavingPoll is how often a stopping agent looks whether it is done, and a
// running one whether the membership list says that it leaves.
const leavingPoll = 50 * time.Millisecond

func (a *Agent) waitForStop(ctx context.Context) {
	tick := time.NewTicker(leavingPoll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.stop:
			a.drain()
		case <-tick.C:
			if a.members.Leaving(a.set.Name) {
				a.drain()
			}
		}
		if !a.stopping.Load() {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if a.core.idle(ctx) {
			return
		}
	}
}

func (a *Agent) drain() {
	if a.stopping.Swap(true) {
		return
	}
	a.logger.Info("leaving: no new work is taken")
	a.core.drain()
}

func (a *Agent) hello(role string) wire.Hello {
	return wire.Hello{Role: role, Name: a.set.Name, Incarnation: a.incarnation, FailureDomain: a.set.FailureDomain,
		Revision: a.config.View().Revision}
}

func (a *Agent) linkOptions(beat func() *wire.Heartbeat) link.Options {
	return link.Options{HeartbeatInterval: settings.Millis(a.set.Link.HeartbeatMS), PeerTimeout: settings.Millis(a.set.Link.SilentMS), NewHeartbeat: beat}
}

// pages serves metrics, health and the agent's own status.
func (a *Agent) pages() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !a.config.Ready() || a.stopping.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a.status()) // a client that went away is its own matter
	})
	return mux
}

// Status is what an agent says of itself.
type Status struct {
	Name        string   `json:"name"`
	Incarnation string   `json:"incarnation"`
	Revision    uint64   `json:"revision"`
	Fence       uint64   `json:"fence"`
	LogUp       bool     `json:"log_up"`
	Stopping    bool     `json:"stopping"`
	Serving     []string `json:"serving"`
}

func (a *Agent) status() Status {
	return Status{a.set.Name, a.incarnation, a.config.View().Revision, a.lease.FencingToken(), a.config.LogUp(),
		a.stopping.Load(), a.serving.list()}
}
