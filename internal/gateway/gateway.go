// Package gateway serves callers in front of backend servers that run without
// an agent: it finds the route, chooses a server, passes the request on byte for
// byte and relays the answer, with retries where a repeat is allowed.
//
// One attempt of a caller is one request here. What became of each send to a
// backend server is typed (see outcome), and only a send that is known not to
// have run lets the gateway promise so.
package gateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/decisionlog"
	"github.com/merlinpost/merlinpost/internal/exchange"
	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/placement"
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/ratelimit"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/retrybudget"
	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// Settings are what a gateway is told at its start.
type Settings struct {
	Host             string // the name of this host
	FailureDomain    string
	CallerAddress    string // IP:PORT for callers
	ReadinessAddress string // IP:PORT for the balancer's readiness checks
	ReadinessPath    string
	MetricsAddress   string // IP:PORT of the metrics page
	// DrainGrace is the time from SIGTERM to the end of the process.
	DrainGrace time.Duration
	Retries    retrybudget.Settings
	// LogOneIn is the share of plain successes that get a log line: one in so
	// many, chosen by ID.
	LogOneIn uint64
}

// Gateway is the state of one process. Its methods are safe for concurrent use.
type Gateway struct {
	settings atomic.Pointer[Settings]
	dialect  Dialect
	logger   *slog.Logger
	now      func() time.Time
	draw     func() float64

	table     atomic.Pointer[routing.Table]
	tableTime atomic.Pointer[time.Time]
	servers   *registry.Registry
	pool      *exchange.Pool
	stopping  atomic.Bool
	// ending ends when requests in progress must be answered at once.
	ending   context.Context
	endNow   context.CancelFunc
	inFlight atomic.Int64
	peers    Peers        // nil: this gateway is alone
	bodies   atomic.Int64 // bytes of bodies in progress

	failureLines decisionlog.Limiter
	ends         endChecks
	ledger       *quarantine.Tracker
	notices      *notice.Registry
	trials       Trials // nil: this gateway is alone

	mu      sync.Mutex
	budgets map[string]*retrybudget.Budget // by service
	// slackShare is this gateway's fraction of the slack of each budget.
	slackShare float64
	// borrowPausedUntil is the time until which other gateways are not asked for repeats, by service.
	borrowPausedUntil map[string]time.Time
	// stalledUntil is the time until which requests do not add to the budgets.
	stalledUntil time.Time
	answers      map[string]*placement.ResponseTimeEstimator // by route
}

// New returns a gateway that knows no configuration and no servers yet.
func New(set Settings, dialect Dialect, servers *registry.Registry, logger *slog.Logger) *Gateway {
	g := &Gateway{
		dialect: dialect, logger: logger, now: time.Now, draw: rand.Float64, servers: servers,
		pool: exchange.NewPool(time.Now, func() {
			telemetry.Count("merlinpost_backend_connections_opened_total")
		}),
		budgets: map[string]*retrybudget.Budget{}, slackShare: 1, borrowPausedUntil: map[string]time.Time{},
		answers: map[string]*placement.ResponseTimeEstimator{},
		ends:    endChecks{byStart: map[string]*endCheck{}, unclear: map[string][]brokenRun{}},
		ledger:  quarantine.New(),
	}
	g.notices = notice.NewRegistry(ratelimit.New(g.draw), g.noticed)
	servers.OnRestart(g.pool.CloseIdle)
	servers.OnEnd(g.startEnded)
	g.settings.Store(&set)
	g.ending, g.endNow = context.WithCancel(context.Background())
	return g
}

// UseNetwork has the gateway reach backend servers over another network than the host's own. It
// is called before the gateway is in use.
func (g *Gateway) UseNetwork(dial exchange.Dial) {
	g.pool = exchange.NewPoolWithDialer(dial, time.Now, func() {})
	g.servers.OnRestart(g.pool.CloseIdle)
}

// SetSettings puts new settings in force. The addresses are those of the start:
// a process that listens elsewhere is another process.
func (g *Gateway) SetSettings(set Settings) {
	old := g.settings.Swap(&set)
	if old.CallerAddress != set.CallerAddress || old.ReadinessAddress != set.ReadinessAddress || old.MetricsAddress != set.MetricsAddress {
		g.logger.Warn("new addresses are used from the next start on", "callers", set.CallerAddress)
	}
	if old.Retries != set.Retries {
		g.eachBudget(func(b *retrybudget.Budget) { b.SetSettings(set.Retries, g.now()) })
	}
}

// SetGateways sets the number of gateways, including this one, that share the slack of the retry budgets;
// 0 while this gateway has no share.
func (g *Gateway) SetGateways(n int) {
	share := 0.0
	if n > 0 {
		share = 1 / float64(n)
	}
	g.mu.Lock()
	changed := g.slackShare != share
	g.slackShare = share
	g.mu.Unlock()
	if changed {
		g.eachBudget(func(b *retrybudget.Budget) { b.SetShare(share, g.now()) })
	}
}

// LendRepeat grants another gateway a repeated send to a service from this gateway's retry budget, and reports whether
// the budget permitted it.
func (g *Gateway) LendRepeat(service string) bool { return g.budget(service).Lend(g.now()) }

// Stalled reports that the process was stalled since the given time. Requests that arrived during the stall may
// be old, so requests counted until the backlog is processed do not add to the retry budgets.
func (g *Gateway) RecordStall(since, until time.Time) {
	g.mu.Lock()
	g.stalledUntil = until
	g.mu.Unlock()
	g.eachBudget(func(b *retrybudget.Budget) { b.Stalled(since, until, g.now()) })
}

// eachBudget calls do for the budget of every service.
func (g *Gateway) eachBudget(do func(*retrybudget.Budget)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.budgets {
		do(b)
	}
}

// SetTable puts a configuration in force that was the newest at a time. A version that is
// not above the one in force is left out: a process never goes back.
func (g *Gateway) SetTable(t *routing.Table, at time.Time) bool {
	for {
		old := g.table.Load()
		if old != nil && t.Version <= old.Version {
			return false
		}
		if g.table.CompareAndSwap(old, t) {
			break
		}
	}
	g.ConfirmTable(at)
	telemetry.SetGauge("merlinpost_config_version", float64(t.Version))
	return true
}

// ConfirmTable records that the configuration in force was found to be the newest
// at a time.
func (g *Gateway) ConfirmTable(at time.Time) { g.tableTime.Store(&at) }

// Table returns the configuration in force, nil for none.
func (g *Gateway) Table() *routing.Table { return g.table.Load() }

// ConfigVersion returns the version in force, 0 for none.
func (g *Gateway) ConfigVersion() int64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// tableAge returns how long ago the configuration was last confirmed.
func (g *Gateway) tableAge() time.Duration {
	at := g.tableTime.Load()
	if at == nil {
		return 0
	}
	return g.now().Sub(*at)
}

// Ready reports whether callers should be sent here.
func (g *Gateway) Ready() bool {
	return !g.stopping.Load() && g.table.Load() != nil && g.servers.Loaded() && (g.trials == nil || g.trials.Loaded())
}

func (g *Gateway) budget(service string) *retrybudget.Budget {
	return of(g, g.budgets, service, func() *retrybudget.Budget {
		now := g.now()
		b := retrybudget.New(g.settings.Load().Retries, g.slackShare, now)
		b.Stalled(now, g.stalledUntil, now)
		return b
	})
}

func (g *Gateway) answerTime(route string) *placement.ResponseTimeEstimator {
	return of(g, g.answers, route, func() *placement.ResponseTimeEstimator { return &placement.ResponseTimeEstimator{} })
}

// of returns what is kept under a name, made when it is first asked for.
func of[T any](g *Gateway, kept map[string]*T, name string, make func() *T) *T {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := kept[name]
	if t == nil {
		t = make()
		kept[name] = t
	}
	return t
}
