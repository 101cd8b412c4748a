// Package dev runs a complete deployment in one process: stand-ins for the
// outside systems, stand-in backend servers with an agent each, and a router. They
// communicate over real sockets on the loopback interface.
package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/agent"
	"github.com/merlinpost/merlinpost/internal/assembly"
	"github.com/merlinpost/merlinpost/internal/configlog"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/membership"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/standin"
	"github.com/merlinpost/merlinpost/internal/standin/engine"
	"github.com/merlinpost/merlinpost/internal/standin/logservice"
	"github.com/merlinpost/merlinpost/internal/standin/members"
	"github.com/merlinpost/merlinpost/internal/standin/plain"
)

// Keys for the APIs of the deployment.
const (
	TeamKey     = "dev"
	OperatorKey = "dev-operator"
)

const (
	failureDomains    = 2
	ephemeralAddress  = "127.0.0.1:0"
	readyTimeout      = 15 * time.Second
	readyPollInterval = 20 * time.Millisecond
	defaultStep       = 3 * time.Millisecond
	defaultSlots      = 16
	defaultServers    = 2
	keyWindowMS       = 10 * 60 * 1000
)

// Options configures a deployment.
type Options struct {
	// Callers and Operators are the addresses of the router's APIs.
	Callers, Operators string
	// Engines and Services are the numbers of backend servers (default 2 each).
	Engines, Services int
	// Step is the duration of an engine's decoding step (default 3 ms).
	Step time.Duration
	// Slots is the batch size of the engines and the number of slots of each
	// agent (default 16).
	Slots int
	// Classes and Teams replace the default ones if not nil.
	Classes map[string]*resource.Class
	Teams   map[string]*resource.Team
	// ConfigureAgent, if not nil, modifies an agent's settings before it starts.
	ConfigureAgent func(*settings.Agent)
	// ConfigureRouter, if not nil, modifies the router's settings before it
	// starts.
	ConfigureRouter func(*settings.Router)
}

// Deployment is a running deployment.
type Deployment struct {
	*assembly.Router
	Log     *logservice.Service
	Members *members.List
	Engines []*engine.Engine
	// EngineAddresses are the engines' own addresses, for calls that bypass the
	// router and the agents.
	EngineAddresses []string
	Services        []*plain.Service
	Agents          []*agent.Agent

	logAddress, membersAddress string
	servers                    map[string][]resource.Server
	cancel                     context.CancelFunc
	stopRouter                 chan struct{}
	tasks                      sync.WaitGroup
}

// Start starts a deployment and returns when it is ready to serve requests.
func Start(ctx context.Context, opts Options, logger *slog.Logger) (*Deployment, error) {
	ctx, cancel := context.WithCancel(ctx)
	d := &Deployment{cancel: cancel, servers: map[string][]resource.Server{}, stopRouter: make(chan struct{})}
	if err := d.start(ctx, opts, logger); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context, opts Options, logger *slog.Logger) error {
	if opts.Engines == 0 {
		opts.Engines = defaultServers
	}
	if opts.Services == 0 {
		opts.Services = defaultServers
	}
	if opts.Step == 0 {
		opts.Step = defaultStep
	}
	if opts.Slots == 0 {
		opts.Slots = defaultSlots
	}
	if opts.Classes == nil {
		opts.Classes = defaultClasses()
	}
	if opts.Teams == nil {
		opts.Teams = map[string]*resource.Team{"dev": {KeysSHA256: []string{resource.HashAPIKey(TeamKey)}, DefaultClass: "alert",
			Classes: []string{"helpline", "report"}}}
	}
	if err := d.startPlatform(ctx); err != nil {
		return err
	}
	for i := range opts.Engines {
		if err := d.addEngine(ctx, i, opts, logger); err != nil {
			return err
		}
	}
	for i := range opts.Services {
		if err := d.addService(ctx, i, opts, logger); err != nil {
			return err
		}
	}
	if err := d.writeInitialConfig(opts); err != nil {
		return err
	}
	if err := d.startRouter(ctx, opts, logger); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

func (d *Deployment) startPlatform(ctx context.Context) (err error) {
	d.Log, d.Members = logservice.New(), members.New(time.Second)
	if d.logAddress, err = standin.Serve(ctx, ephemeralAddress, d.Log.Handler()); err != nil {
		return err
	}
	d.membersAddress, err = standin.Serve(ctx, ephemeralAddress, d.Members.Handler())
	return err
}

func failureDomain(i int) string { return string(rune('a' + i%failureDomains)) }

func (d *Deployment) addEngine(ctx context.Context, i int, opts Options, logger *slog.Logger) error {
	e := engine.New(engine.Config{Name: fmt.Sprint("engine-", i), Step: opts.Step, StepPerSeq: opts.Step / 150,
		PrefillPerBlock: opts.Step / 6, MaxBatch: opts.Slots, CacheBlocks: 4096, Fencing: i%2 == 0, ReportLag: time.Second,
		EventLossRate: 0.05, LoadedModels: []string{"advisory@" + resource.BaseVersion}, Seed: uint64(i)})
	address, err := standin.Serve(ctx, ephemeralAddress, e.Handler())
	if err != nil {
		return err
	}
	d.tasks.Go(func() { e.Run(ctx) })
	d.Engines = append(d.Engines, e)
	d.EngineAddresses = append(d.EngineAddresses, address)
	return d.addAgent(ctx, "engines", settings.Server{Kind: "engine", Address: address, Slots: opts.Slots, Fencing: i%2 == 0, StallMS: 10000}, i, opts, logger)
}

func (d *Deployment) addService(ctx context.Context, i int, opts Options, logger *slog.Logger) error {
	s := plain.New("receipts")
	address, err := standin.Serve(ctx, ephemeralAddress, s.Handler())
	if err != nil {
		return err
	}
	d.Services = append(d.Services, s)
	return d.addAgent(ctx, "workers", settings.Server{Kind: "service", Address: address, Slots: opts.Slots, StallMS: 10000},
		i, opts, logger)
}

func (d *Deployment) addAgent(ctx context.Context, pool string, server settings.Server, i int, opts Options, logger *slog.Logger) error {
	set := settings.DefaultAgent()
	set.Name, set.FailureDomain = fmt.Sprintf("%s-%d", pool, i), failureDomain(i)
	set.Listen, set.Metrics, set.Server = ephemeralAddress, ephemeralAddress, server
	set.Log.Address, set.Members.Address = d.logAddress, d.membersAddress
	if opts.ConfigureAgent != nil {
		opts.ConfigureAgent(&set)
	}
	a, err := agent.New(set, logger)
	if err != nil {
		return err
	}
	d.tasks.Go(func() {
		if err := a.Run(ctx); err != nil {
			logger.Error("agent failed", "error", err)
		}
	})
	d.Agents = append(d.Agents, a)
	d.servers[pool] = append(d.servers[pool], resource.Server{Name: set.Name, Agent: a.Address(), FailureDomain: set.FailureDomain})
	return nil
}

func defaultClasses() map[string]*resource.Class {
	return map[string]*resource.Class{
		"helpline": {Tier: 0, FirstTokenMS: 400, BetweenTokensMS: 49, MaxWaitMS: 10000, MaxRunMS: 60000, MaxTokens: 2048},
		"alert":    {Tier: 1, FirstTokenMS: 2000, MaxWaitMS: 30000, MaxRunMS: 120000, Preemptible: true, Floor: 0.05, MaxTokens: 2048},
		"report":   {Tier: 3, MaxWaitMS: 600000, MaxRunMS: 3600000, Preemptible: true, Floor: 0.1, MaxTokens: 8192},
	}
}

// writeInitialConfig appends the initial configuration to the log.
func (d *Deployment) writeInitialConfig(opts Options) error {
	rec := resource.Record{Operation: "seed", Actor: "dev"}
	put := func(kind resource.Kind, name string, spec resource.Spec) {
		data, err := json.Marshal(spec)
		if err != nil {
			data = nil // reported by the check below
		}
		rec.Changes = append(rec.Changes, resource.Change{Verb: resource.Put, Kind: kind, Name: name, Spec: data})
	}
	for name, class := range opts.Classes {
		put(resource.KindClass, name, class)
	}
	for name, team := range opts.Teams {
		put(resource.KindTeam, name, team)
	}
	put(resource.KindPool, "engines", &resource.Pool{Servers: d.servers["engines"]})
	put(resource.KindPool, "workers", &resource.Pool{Servers: d.servers["workers"]})
	put(resource.KindModel, "advisory", &resource.Model{Pool: "engines"})
	put(resource.KindService, "receipts", &resource.Service{Pool: "workers", Path: "/receipts", KeyWindowMS: keyWindowMS})
	put(resource.KindService, "status", &resource.Service{Pool: "workers", Path: "/status", MayRepeat: true})
	if err := resource.NewState().Check(rec); err != nil {
		return err
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return fault.New(fault.Internal, "encode initial configuration: %w", err)
	}
	_, err = d.Log.Append(configlog.StreamConfig, data)
	return err
}

func (d *Deployment) startRouter(ctx context.Context, opts Options, logger *slog.Logger) error {
	set := settings.DefaultRouter()
	set.Name, set.FailureDomain = "router-0", failureDomain(0)
	set.Callers.Listen, set.Operators.Listen = opts.Callers, opts.Operators
	set.Callers.BalancerLagMS = 0 // there is no load balancer to wait for
	set.Peers.Listen = ephemeralAddress
	set.Operators.Keys = []settings.OperatorKey{{Name: "dev", SHA256: resource.HashAPIKey(OperatorKey)}}
	set.Log.Address, set.Members.Address = d.logAddress, d.membersAddress
	if opts.ConfigureRouter != nil {
		opts.ConfigureRouter(&set)
	}
	r, err := assembly.NewRouter(set, logger)
	if err != nil {
		return err
	}
	d.Router = r
	d.Members.Set(membership.Member{Name: set.Name, Role: "router", Address: r.QuotaAddress(), FailureDomain: set.FailureDomain, State: membership.StateLive}, false)
	d.tasks.Go(func() {
		if err := r.Serve(ctx, d.stopRouter); err != nil {
			logger.Error("router failed", "error", err)
		}
	})
	return nil
}

// waitReady waits until the router is ready and has a link to every agent, and
// every agent is serving.
func (d *Deployment) waitReady(ctx context.Context) error {
	deadline := time.NewTimer(readyTimeout)
	defer deadline.Stop()
	for !d.routerAndAgentsReady() {
		select {
		case <-time.After(readyPollInterval):
		case <-deadline.C:
			return fault.New(fault.NotReady, "deployment not ready within %s", readyTimeout)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (d *Deployment) routerAndAgentsReady() bool {
	serving := 0
	for _, p := range d.Status() {
		if p.Role == "agent" && p.Up && p.Serving {
			serving++
		}
	}
	return d.Ready() && serving == len(d.Agents)
}

// Wait waits until stop is closed and then shuts down gracefully: the router
// completes its requests before the agents are stopped. If ctx ends, requests in
// progress are cut off.
func (d *Deployment) Wait(ctx context.Context, stop <-chan struct{}) error {
	select {
	case <-stop:
	case <-ctx.Done():
	}
	close(d.stopRouter)
	for d.InProgress() > 0 && ctx.Err() == nil {
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
		}
	}
	d.Close()
	return nil
}

// Close stops the router, the agents and the stand-ins at once and waits for them.
func (d *Deployment) Close() {
	d.cancel()
	d.tasks.Wait()
}
