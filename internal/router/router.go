// Package router wires the process on an entry host: links to agents, the
// choice of a backend server for each request, and the relay of answers. What
// it decides is in packages dispatch, relay and quota; here are sockets, clocks
// and goroutines. The callers' and operators' APIs are packages of their own.
package router

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/configlog"
	"github.com/merlinpost/merlinpost/internal/dispatch"
	"github.com/merlinpost/merlinpost/internal/lending"
	"github.com/merlinpost/merlinpost/internal/membership"
	"github.com/merlinpost/merlinpost/internal/quota"
	"github.com/merlinpost/merlinpost/internal/retrybudget"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// Router is the process. Call New, then Run.
type Router struct {
	set         settings.Router
	logger      *slog.Logger
	incarnation string
	Config      *configlog.Follower
	members     *membership.Reader
	links       *linkSet
	quota       *quota.LocalLimiter
	ledger      *quota.HomeLimiter
	post        *lending.Transport // nil: equal shares only
	askSeq      atomic.Uint64

	mu     sync.Mutex // guards picker and rnd
	picker dispatch.Picker
	rnd    *rand.Rand
	budget *retrybudget.Budget

	open     atomic.Int64 // requests in progress
	stopping atomic.Bool
}

// retryWindow is the span over which retries are held to their share of the
// offers: long enough for some offers at a router with one in ten seconds.
const retryWindow = 10 * time.Second

// New returns a router that has not started yet.
func New(set settings.Router, logger *slog.Logger) (*Router, error) {
	p := set.Policy
	picker, err := dispatch.New(p.Choice, dispatch.Options{PrefixAffinity: p.Prefix, DomainAffinity: p.Domain, StragglerPenalty: p.Straggler, CountUnreported: p.Corrected})
	if err != nil {
		return nil, err
	}
	logger = logger.With("router", set.Name)
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	log := configlog.NewClient(set.Log.Address, settings.Millis(set.Log.TimeoutMS))
	r := &Router{set: set, logger: logger, incarnation: configlog.NewID(), picker: picker, rnd: rnd,
		budget: retrybudget.New(retrybudget.Settings{Ratio: p.RetryShare, Window: retryWindow, Slack: p.RetryBurst}, 1, time.Now()),
		quota:  quota.NewLocalLimiter(time.Now()),
		ledger: quota.NewHomeLimiter(time.Now())}
	r.Config = configlog.NewFollower(log, set.Log, true, logger, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	r.members = membership.NewReader(set.Members.Address, "", settings.Millis(set.Members.PollMS), logger)
	r.links = newLinkSet(r)
	if set.Peers.Listen != "" {
		if r.post, err = lending.Open(set.Peers.Listen, (*teamHome)(r)); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Run works until ctx ends.
func (r *Router) Run(ctx context.Context) {
	var duties sync.WaitGroup
	duties.Go(func() { r.Config.Run(ctx) })
	duties.Go(func() { r.members.Run(ctx) })
	duties.Go(func() { r.links.run(ctx) })
	if r.post != nil {
		duties.Go(func() { r.post.Run(ctx) })
		duties.Go(func() { r.pingPeers(ctx) })
	}
	duties.Wait()
}

// Ready reports whether callers may be sent here.
func (r *Router) Ready() bool { return r.Config.Ready() && !r.stopping.Load() }

// Stop fails the readiness check; requests are still served until the process
// ends.
func (r *Router) BeginDrain() {
	if !r.stopping.Swap(true) {
		r.logger.Info("leaving: the readiness check fails from now on")
	}
}

// Open returns the number of requests in progress.
func (r *Router) InProgress() int64 { return r.open.Load() }

func (r *Router) hello() wire.Hello {
	return wire.Hello{Role: "router", Name: r.set.Name, Incarnation: r.incarnation, FailureDomain: r.set.FailureDomain,
		Revision: r.Config.View().Revision}
}

// ProcessStatus is what a router knows of one process.
type ProcessStatus struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Up       bool   `json:"up"`
	Leaving  bool   `json:"leaving"`
	Serving  bool   `json:"serving"` // an agent whose backend server has something loaded
	Revision uint64 `json:"revision"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
}

// Status lists this router and the agents that it has links to.
func (r *Router) Status() []ProcessStatus {
	out := []ProcessStatus{{Name: r.set.Name, Role: "router", Up: true, Serving: true, Leaving: r.stopping.Load(),
		Revision: r.Config.View().Revision, Running: int(r.InProgress())}}
	return append(out, r.links.status()...)
}

// Serves reports whether an agent of the pool is reached that has the target
// loaded.
func (r *Router) Serves(pool, target string) bool {
	for _, l := range r.links.pool(pool) {
		if l.serves(target) {
			return true
		}
	}
	return false
}
