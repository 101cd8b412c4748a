// Package dev runs a whole deployment in one process: stand-ins of the outside
// systems, agents beside the stand-in backend servers, and a router. All of
// them talk over real sockets on the loopback.
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

// The keys of the deployment.
const (
	TeamKey     = "dev"
	OperatorKey = "dev-operator"
)

const (
	domains      = 2
	anyPort      = "127.0.0.1:0"
	readyWithin  = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
	devStep      = 3 * time.Millisecond
	devSlots     = 16
	defaultEach  = 2
	devKeyWindow = 10 * 60 * 1000
)

// Options is the size of the deployment.
type Options struct {
	Callers, Operators string
	// Engines and Services are numbers of backend servers; 0: two of each.
	Engines, Services int
	// Step is the engines' step time; 0: 3 ms. Slots is their batch size and
	// the agents' slots; 0: 16.
	Step  time.Duration
	Slots int
	// Classes and Teams replace the default ones if not nil.
	Classes map[string]*resource.Class
	Teams   map[string]*resource.Team
	// Tune changes an agent's settings before it starts.
	ConfigureAgent func(*settings.Agent)
	// TuneRouter changes the router's settings before it starts.
	ConfigureRouter func(*settings.Router)
}

// Deployment is a running deployment.
type Deployment struct {
	*assembly.Router
	Log     *logservice.Service
	Members *members.List
	Engines []*engine.Engine
	// EngineAddresses are where the engines can be called directly.
	EngineAddresses []string
	Services        []*plain.Service
	Agents          []*agent.Agent

	logAddress, membersAddress string
	servers                    map[string][]resource.Server
	cancel                     context.CancelFunc
	stopRouter                 chan struct{}
	duties                     sync.WaitGroup
}

// Start starts the deployment and returns when it serves requests.
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
		opts.Engines = defaultEach
	}
	if opts.Services == 0 {
		opts.Services = defaultEach
	}
	if opts.Step == 0 {
		opts.Step = devStep
	}
	if opts.Slots == 0 {
		opts.Slots = devSlots
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
	if err := d.seed(opts); err != nil {
		return err
	}
	if err := d.startRouter(ctx, opts, logger); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

func (d *Deployment) startPlatform(ctx context.Context) (err error) {
	d.Log, d.Members = logservice.New(), members.New(time.Second)
	if d.logAddress, err = standin.Serve(ctx, anyPort, d.Log.Handler()); err != nil {
		return err
	}
	d.membersAddress, err = standin.Serve(ctx, anyPort, d.Members.Handler())
	return err
}

func domain(i int) string { return string(rune('a' + i%domains)) }

func (d *Deployment) addEngine(ctx context.Context, i int, opts Options, logger *slog.Logger) error {
	e := engine.New(engine.Config{Name: fmt.Sprint("engine-", i), Step: opts.Step, StepPerSeq: opts.Step / 150,
		PrefillPerBlock: opts.Step / 6, MaxBatch: opts.Slots, CacheBlocks: 4096, Fencing: i%2 == 0, ReportLag: time.Second,
		EventLossRate: 0.05, LoadedModels: []string{"advisory@" + resource.BaseVersion}, Seed: uint64(i)})
	address, err := standin.Serve(ctx, anyPort, e.Handler())
	if err != nil {
		return err
	}
	d.duties.Go(func() { e.Run(ctx) })
	d.Engines = append(d.Engines, e)
	d.EngineAddresses = append(d.EngineAddresses, address)
	return d.addAgent(ctx, "engines", settings.Server{Kind: "engine", Address: address, Slots: opts.Slots, Fencing: i%2 == 0, StallMS: 10000}, i, opts, logger)
}

func (d *Deployment) addService(ctx context.Context, i int, opts Options, logger *slog.Logger) error {
	s := plain.New("receipts")
	address, err := standin.Serve(ctx, anyPort, s.Handler())
	if err != nil {
		return err
	}
	d.Services = append(d.Services, s)
	return d.addAgent(ctx, "workers", settings.Server{Kind: "service", Address: address, Slots: opts.Slots, StallMS: 10000},
		i, opts, logger)
}

func (d *Deployment) addAgent(ctx context.Context, pool string, server settings.Server, i int, opts Options, logger *slog.Logger) error {
	set := settings.DefaultAgent()
	set.Name, set.FailureDomain = fmt.Sprintf("%s-%d", pool, i), domain(i)
	set.Listen, set.Metrics, set.Server = anyPort, anyPort, server
	set.Log.Address, set.Members.Address = d.logAddress, d.membersAddress
	if opts.ConfigureAgent != nil {
		opts.ConfigureAgent(&set)
	}
	a, err := agent.New(set, logger)
	if err != nil {
		return err
	}
	d.duties.Go(func() {
		if err := a.Run(ctx); err != nil {
			logger.Error("agent ended", "error", err)
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

// seed puts the first configuration on the log.
func (d *Deployment) seed(opts Options) error {
	rec := resource.Record{Operation: "seed", Actor: "dev"}
	put := func(kind resource.Kind, name string, spec resource.Spec) {
		data, err := json.Marshal(spec)
		if err != nil {
			data = nil // the check below names it
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
	put(resource.KindService, "receipts", &resource.Service{Pool: "workers", Path: "/receipts", KeyWindowMS: devKeyWindow})
	put(resource.KindService, "status", &resource.Service{Pool: "workers", Path: "/status", MayRepeat: true})
	if err := resource.NewState().Check(rec); err != nil {
		return err
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return fault.New(fault.Internal, "encode seed: %w", err)
	}
	_, err = d.Log.Append(configlog.StreamConfig, data)
	return err
}

func (d *Deployment) startRouter(ctx context.Context, opts Options, logger *slog.Logger) error {
	set := settings.DefaultRouter()
	set.Name, set.FailureDomain = "router-0", domain(0)
	set.Callers.Listen, set.Operators.Listen = opts.Callers, opts.Operators
	set.Callers.BalancerLagMS = 0 // there is no balancer
	set.Peers.Listen = anyPort
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
	d.Members.Set(membership.Member{Name: set.Name, Role: "router", Address: r.PeersAddress(), FailureDomain: set.FailureDomain, State: membership.Live}, false)
	d.duties.Go(func() {
		if err := r.Serve(ctx, d.stopRouter); err != nil {
			logger.Error("router ended", "error", err)
		}
	})
	return nil
}

// waitReady waits until the router has a link to every agent that serves.
func (d *Deployment) waitReady(ctx context.Context) error {
	deadline := time.NewTimer(readyWithin)
	defer deadline.Stop()
	for !d.ready() {
		select {
		case <-time.After(readyPoll):
		case <-deadline.C:
			return fault.New(fault.NotReady, "the deployment was not ready within %s", readyWithin)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (d *Deployment) ready() bool {
	up := 0
	for _, p := range d.Status() {
		if p.Role == "agent" && p.Up && p.Serving {
			up++
		}
	}
	return d.Ready() && up == len(d.Agents)
}

// Wait waits for stop and then stops gracefully: the router first, the agents
// after it.
func (d *Deployment) Wait(ctx context.Context, stop <-chan struct{}) error {
	select {
	case <-stop:
	case <-ctx.Done():
	}
	close(d.stopRouter)
	for d.InProgress() > 0 && ctx.Err() == nil {
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
		}
	}
	d.Close()
	return nil
}

// Close ends everything at once.
func (d *Deployment) Close() {
	d.cancel()
	d.duties.Wait()
}
