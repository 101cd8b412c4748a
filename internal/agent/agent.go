// Package agent implements the process that runs next to each backend server. It
// does the I/O: links to routers and other agents, calls to the backend server,
// timers and the configuration log. The decisions are made by packages
// execution and receipt. Each task runs in its own goroutine; tasks communicate
// over bounded queues.
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

// leaseRenewInterval is how often the lease is renewed on the log. It must be
// well below the log's retention period.
const leaseRenewInterval = 10 * time.Minute

// Agent is an agent process. Create it with New and start it with Run.
type Agent struct {
	settings        settings.Agent
	logger          *slog.Logger
	incarnation     string
	configLog       configlog.Log
	config          *configlog.Follower
	members         *membership.Reader
	lease           *lease.Lease
	loop            *coreLoop
	engine          *engineClient
	service         *serviceClient
	witnesses       *witnessClient
	servingTargets  targetSet
	listener        net.Listener
	metricsListener net.Listener
	draining        atomic.Bool
	stop            chan struct{} // closed by Stop
	stopOnce        sync.Once
}

// New listens on the configured addresses and returns an agent that has not been
// started.
func New(cfg settings.Agent, logger *slog.Logger) (*Agent, error) {
	a := &Agent{settings: cfg, logger: logger.With("agent", cfg.Name), incarnation: configlog.NewID(), stop: make(chan struct{})}
	a.configLog = configlog.NewClient(cfg.Log.Address, settings.Millis(cfg.Log.TimeoutMS))
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	a.config = configlog.NewFollower(a.configLog, cfg.Log, false, a.logger, rnd)
	a.members = membership.NewReader(cfg.Members.Address, cfg.Name, settings.Millis(cfg.Members.PollMS), a.logger)
	a.lease = lease.New(a.configLog, cfg.Name, a.incarnation, leaseRenewInterval, a.logger)
	a.engine = newEngineClient(cfg.Server)
	a.service = newServiceClient(cfg.Server)
	a.witnesses = newWitnessClient(a)
	a.loop = newCoreLoop(a)
	var err error
	if a.listener, err = net.Listen("tcp", cfg.Listen); err != nil {
		return nil, fault.New(fault.BadSettings, "%w", err).WithField("listen")
	}
	if a.metricsListener, err = net.Listen("tcp", cfg.Metrics); err != nil {
		_ = a.listener.Close() // the listen error is the one to report
		return nil, fault.New(fault.BadSettings, "%w", err).WithField("metrics")
	}
	return a, nil
}

// Address returns the address that routers and other agents connect to.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// MetricsAddress returns the address of the metrics, health and status endpoints.
func (a *Agent) MetricsAddress() string { return a.metricsListener.Addr().String() }

// Stop starts a graceful shutdown: the agent refuses new work and completes the
// attempts it holds, then Run returns.
func (a *Agent) Stop() { a.stopOnce.Do(func() { close(a.stop) }) }

// Run runs the agent until a graceful shutdown is complete or ctx is cancelled.
// Cancelling ctx aborts the work in progress.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { a.config.Run(ctx) })
	tasks.Go(func() { a.members.Run(ctx) })
	tasks.Go(func() { a.lease.Run(ctx, a.Stop) })
	tasks.Go(func() { a.loop.run(ctx) })
	tasks.Go(func() { a.acceptLinks(ctx) })
	tasks.Go(func() { a.watchServing(ctx) })
	tasks.Go(func() { a.recoverClaims(ctx) })
	tasks.Go(func() { a.watchPools(ctx) })
	if a.settings.Server.Kind == "engine" {
		tasks.Go(func() { a.reconcileTargets(ctx) })
	}
	server := &http.Server{Handler: a.httpHandler(), ReadHeaderTimeout: 5 * time.Second}
	tasks.Go(func() { _ = server.Serve(a.metricsListener) }) // returns ErrServerClosed on shutdown
	a.logger.Info("agent started", "listen", a.Address(), "incarnation", a.incarnation)
	a.waitUntilDrained(ctx)
	cancel()
	_ = a.listener.Close() // makes acceptLinks return
	_ = server.Close()     // makes Serve return
	tasks.Wait()
	a.logger.Info("agent stopped")
	return nil
}

// drainPollInterval is how often a running agent checks whether the membership
// list marks it as leaving, and a draining one whether it still holds attempts.
// It is also the retry interval of recoverClaims.
const drainPollInterval = 50 * time.Millisecond

func (a *Agent) waitUntilDrained(ctx context.Context) {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.stop:
			a.drain()
		case <-tick.C:
			if a.members.Leaving(a.settings.Name) {
				a.drain()
			}
		}
		if !a.draining.Load() {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if a.loop.isIdle(ctx) {
			return
		}
	}
}

func (a *Agent) drain() {
	if a.draining.Swap(true) {
		return
	}
	a.logger.Info("draining: refusing new work")
	a.loop.drain()
}

func (a *Agent) newHello(role string) wire.Hello {
	return wire.Hello{Role: role, Name: a.settings.Name, Incarnation: a.incarnation, FailureDomain: a.settings.FailureDomain,
		Revision: a.config.View().Revision}
}

func (a *Agent) linkOptions(heartbeat func() *wire.Heartbeat) link.Options {
	return link.Options{HeartbeatInterval: settings.Millis(a.settings.Link.HeartbeatMS), PeerTimeout: settings.Millis(a.settings.Link.SilentMS), NewHeartbeat: heartbeat}
}

// httpHandler serves the metrics, health and status endpoints.
func (a *Agent) httpHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !a.config.Ready() || a.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a.status()) // fails only if the client has disconnected
	})
	return mux
}

// Status is the response of GET /v1/status.
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
	return Status{a.settings.Name, a.incarnation, a.config.View().Revision, a.lease.FencingToken(), a.config.LogUp(),
		a.draining.Load(), a.servingTargets.list()}
}
