// Package gateway implements a reverse proxy for backend servers that run without an
// agent. It routes each request, selects a backend server, forwards the request
// with its body unmodified, relays the response, and retries where the route permits it.
//
// Each caller attempt is handled as a separate request. The gateway classifies the
// result of every send to a backend server (see sendResult), and reports a request as
// not run only if none of the servers that it was sent to can have run it.
package gateway

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/bytebudget"
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

// Settings configures a gateway.
type Settings struct {
	Host             string // name of this host
	FailureDomain    string
	CallerAddress    string // IP:PORT on which callers are served
	ReadinessAddress string // IP:PORT for the load balancer's readiness checks
	ReadinessPath    string
	MetricsAddress   string // IP:PORT of metrics and quarantine endpoints; empty disables them
	// DrainGrace is the maximum time between SIGTERM and process exit.
	DrainGrace time.Duration
	Retries    retrybudget.Settings
	// LogOneIn is the sampling rate for log lines of successful requests: one request in
	// LogOneIn is logged, selected by request ID.
	LogOneIn uint64
}

// Gateway forwards requests to backend servers. It is safe for concurrent use.
type Gateway struct {
	settings atomic.Pointer[Settings]
	dialect  Dialect
	logger   *slog.Logger
	now      func() time.Time
	random   func() float64

	table            atomic.Pointer[routing.Table]
	tableConfirmedAt atomic.Pointer[time.Time]
	servers          *registry.Registry
	pool             *exchange.Pool
	shutdown         *shutdown
	inFlight         atomic.Int64
	peers            Peers // nil if there are no other gateways
	memory           *bytebudget.Budget

	logLimiter decisionlog.Limiter
	exits      exitTracker
	quarantine *quarantine.Tracker
	parts      *quarantine.PartTracker
	notices    *notice.Registry
	// trials and partTrials are nil if trials are not coordinated with other gateways.
	trials, partTrials Trials

	mu      sync.Mutex
	budgets map[string]*retrybudget.Budget // keyed by service
	// slackShare is the fraction of each budget's slack that this gateway may use.
	slackShare float64
	// borrowPausedUntil is the time until which other gateways are not asked for retries, keyed by service.
	borrowPausedUntil map[string]time.Time
	// stalledUntil is the time until which requests do not add to the budgets; see RecordStall.
	stalledUntil  time.Time
	responseTimes map[string]*placement.ResponseTimeEstimator // keyed by route
}

// New returns a gateway without a configuration. It is not ready before SetTable has been called and servers has
// been loaded.
func New(settings Settings, dialect Dialect, servers *registry.Registry, logger *slog.Logger) *Gateway {
	g := &Gateway{
		dialect: dialect, logger: logger, now: time.Now, random: rand.Float64, servers: servers, shutdown: newShutdown(), memory: bytebudget.New(memoryLimits),
		pool: exchange.NewPool(time.Now, func() {
			telemetry.Count("merlinpost_backend_connections_opened_total")
		}),
		budgets: map[string]*retrybudget.Budget{}, slackShare: 1, borrowPausedUntil: map[string]time.Time{},
		responseTimes: map[string]*placement.ResponseTimeEstimator{},
		exits:         exitTracker{exitChecks: map[string]*exitCheck{}, pendingRuns: map[string][]interruptedRun{}},
		quarantine:    quarantine.New(), parts: quarantine.NewPartTracker(),
	}
	g.notices = notice.NewRegistry(ratelimit.New(g.random), g.logNoticeChange)
	servers.OnRestart(g.pool.CloseIdle)
	servers.OnUnexpectedExit(g.serverExited)
	g.settings.Store(&settings)
	return g
}

// UseDialer sets the function that opens connections to backend servers. It must be called before the
// gateway handles requests.
func (g *Gateway) UseDialer(dial exchange.Dial) {
	g.pool = exchange.NewPoolWithDialer(dial, time.Now, func() {})
	g.servers.OnRestart(g.pool.CloseIdle)
}

// SetSettings applies new settings. Changes to listen addresses take effect only when the
// process restarts.
func (g *Gateway) SetSettings(settings Settings) {
	old := g.settings.Swap(&settings)
	if old.CallerAddress != settings.CallerAddress || old.ReadinessAddress != settings.ReadinessAddress || old.MetricsAddress != settings.MetricsAddress {
		g.logger.Warn("listen addresses changed; restart required to apply them", "callers", settings.CallerAddress)
	}
	if old.Retries != settings.Retries {
		g.forEachBudget(func(b *retrybudget.Budget) { b.SetSettings(settings.Retries, g.now()) })
	}
}

// SetGateways sets the number of gateways, including this one, that share the slack of the retry budgets.
// If n is 0, this gateway has no share of the slack.
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
		g.forEachBudget(func(b *retrybudget.Budget) { b.SetSlackShare(share, g.now()) })
	}
}

// LendRetry grants another gateway one retry to a service from this gateway's retry budget, and reports whether the
// budget permitted it.
func (g *Gateway) LendRetry(service string) bool { return g.budget(service).Lend(g.now()) }

// RecordStall records that the process has been stalled since the given time and is expected to have processed its
// backlog by until. The backlog may contain requests that arrived long ago, so requests counted before until do not
// add to the retry budgets.
func (g *Gateway) RecordStall(since, until time.Time) {
	g.mu.Lock()
	g.stalledUntil = until
	g.mu.Unlock()
	g.forEachBudget(func(b *retrybudget.Budget) { b.RecordStall(since, until, g.now()) })
}

func (g *Gateway) forEachBudget(f func(*retrybudget.Budget)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, b := range g.budgets {
		f(b)
	}
}

// SetTable activates a configuration that was the latest version at the given time, and reports
// whether it was activated. A version that is not newer than the active one is ignored, so that a
// process never reverts to an older configuration.
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

// ConfirmTable records that the active configuration was the latest version at the given time.
func (g *Gateway) ConfirmTable(at time.Time) { g.tableConfirmedAt.Store(&at) }

// Table returns the active configuration, or nil if there is none.
func (g *Gateway) Table() *routing.Table { return g.table.Load() }

// ConfigVersion returns the version of the active configuration, or 0 if there is none.
func (g *Gateway) ConfigVersion() int64 {
	if t := g.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// tableAge returns the time since the active configuration was last confirmed to be the latest version, or 0 if there
// is no configuration.
func (g *Gateway) tableAge() time.Duration {
	at := g.tableConfirmedAt.Load()
	if at == nil {
		return 0
	}
	return g.now().Sub(*at)
}

// Ready reports whether the load balancer should send requests to this gateway.
func (g *Gateway) Ready() bool {
	return !g.shutdown.started() && g.table.Load() != nil && g.servers.Loaded() && (g.trials == nil || g.trials.Loaded() && g.partTrials.Loaded())
}

func (g *Gateway) budget(service string) *retrybudget.Budget {
	return getOrCreate(g, g.budgets, service, func() *retrybudget.Budget {
		now := g.now()
		b := retrybudget.New(g.settings.Load().Retries, g.slackShare, now)
		b.RecordStall(now, g.stalledUntil, now)
		return b
	})
}

func (g *Gateway) responseTime(route string) *placement.ResponseTimeEstimator {
	return getOrCreate(g, g.responseTimes, route, func() *placement.ResponseTimeEstimator { return &placement.ResponseTimeEstimator{} })
}

// getOrCreate returns m[key]. If there is no such value, it stores the result of create. m is guarded by g.mu.
func getOrCreate[T any](g *Gateway, m map[string]*T, key string, create func() *T) *T {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := m[key]
	if v == nil {
		v = create()
		m[key] = v
	}
	return v
}
