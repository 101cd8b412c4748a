// Package router implements the router process of an entry host: it keeps links
// to agents, chooses a backend server for each request and relays the answer.
// The decision logic is in packages dispatch, relay and quota; this package adds
// sockets, clocks and goroutines. The callers' and operators' APIs are in
// packages of their own.
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

// Router is a router process. Create it with New and start it with Serve or Run.
type Router struct {
	settings        settings.Router
	logger          *slog.Logger
	incarnation     string
	Config          *configlog.Follower
	members         *membership.Reader
	links           *linkSet
	localLimiter    *quota.LocalLimiter
	homeLimiter     *quota.HomeLimiter
	quotaTransport  *lending.Transport // nil if every router enforces equal shares only
	quotaRequestSeq atomic.Uint64

	mu     sync.Mutex // guards picker, rng and budget
	picker dispatch.Picker
	rng    *rand.Rand
	budget *retrybudget.Budget

	inProgress atomic.Int64
	draining   atomic.Bool
}

// retryBudgetWindow is the period over which retries are limited to a share of
// the requests. It is long enough to contain requests even at a router that gets
// only one in ten seconds.
const retryBudgetWindow = 10 * time.Second

// New returns a router that is not running yet. If a peer address is configured,
// its socket is opened here.
func New(set settings.Router, logger *slog.Logger) (*Router, error) {
	p := set.Policy
	picker, err := dispatch.New(p.Choice, dispatch.Options{PrefixAffinity: p.PrefixAffinity, DomainAffinity: p.DomainAffinity, StragglerPenalty: p.StragglerPenalty, CountUnreported: p.CountUnreported})
	if err != nil {
		return nil, err
	}
	logger = logger.With("router", set.Name)
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	log := configlog.NewClient(set.Log.Address, settings.Millis(set.Log.TimeoutMS))
	r := &Router{settings: set, logger: logger, incarnation: configlog.NewID(), picker: picker, rng: rng,
		budget:       retrybudget.New(retrybudget.Settings{Ratio: p.RetryShare, Window: retryBudgetWindow, Slack: p.RetryBurst}, 1, time.Now()),
		localLimiter: quota.NewLocalLimiter(time.Now()),
		homeLimiter:  quota.NewHomeLimiter(time.Now())}
	r.Config = configlog.NewFollower(log, set.Log, true, logger, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	r.members = membership.NewReader(set.Members.Address, "", settings.Millis(set.Members.PollMS), logger)
	r.links = newLinkSet(r)
	if set.Peers.Listen != "" {
		if r.quotaTransport, err = lending.Open(set.Peers.Listen, (*quotaHome)(r)); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Run runs the background tasks of the router until ctx ends.
func (r *Router) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { r.Config.Run(ctx) })
	tasks.Go(func() { r.members.Run(ctx) })
	tasks.Go(func() { r.links.run(ctx) })
	if r.quotaTransport != nil {
		tasks.Go(func() { r.quotaTransport.Run(ctx) })
		tasks.Go(func() { r.pingPeers(ctx) })
	}
	tasks.Wait()
}

// Ready reports whether the router has a configuration and is not draining.
func (r *Router) Ready() bool { return r.Config.Ready() && !r.draining.Load() }

// BeginDrain makes the readiness check fail. Requests are still served until the
// process ends.
func (r *Router) BeginDrain() {
	if !r.draining.Swap(true) {
		r.logger.Info("draining: readiness check now fails")
	}
}

func (r *Router) InProgress() int64 { return r.inProgress.Load() }

func (r *Router) hello() wire.Hello {
	return wire.Hello{Role: "router", Name: r.settings.Name, Incarnation: r.incarnation, FailureDomain: r.settings.FailureDomain,
		Revision: r.Config.View().Revision}
}

// ProcessStatus is the state of one process as known to a router.
type ProcessStatus struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Up       bool   `json:"up"`
	Draining bool   `json:"leaving"`
	Serving  bool   `json:"serving"` // for an agent: its backend server has something loaded
	Revision uint64 `json:"revision"`
	Running  int    `json:"running"`
	Queued   int    `json:"queued"`
}

// Status returns the state of this router and of the agents it has links to.
func (r *Router) Status() []ProcessStatus {
	out := []ProcessStatus{{Name: r.settings.Name, Role: "router", Up: true, Serving: true, Draining: r.draining.Load(),
		Revision: r.Config.View().Revision, Running: int(r.InProgress())}}
	return append(out, r.links.status()...)
}

// Serves reports whether a connected, non-draining agent of the pool has the
// target loaded.
func (r *Router) Serves(pool, target string) bool {
	for _, l := range r.links.subsetLinks(pool) {
		if l.serves(target) {
			return true
		}
	}
	return false
}
