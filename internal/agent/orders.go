package agent

import (
	"context"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/rendezvous"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// Intervals and timeouts of loading and unloading targets.
const (
	reconcileInterval  = time.Second
	engineOrderTimeout = 10 * time.Minute
	// unloadDelay is how long a version stays loaded after the configuration
	// dropped it. It must be longer than a router may continue to send
	// requests for it.
	unloadDelay = 15 * time.Second
)

// target is a model version to be loaded by the engine.
type target struct {
	name    string // "model@version"
	adapter bool
}

// desiredTargets lists the targets that the configuration assigns to a server,
// sorted by name.
func desiredTargets(v *resource.View, server string) []target {
	var out []target
	for name, m := range v.Models {
		if pool := v.Pools[m.Pool]; pool == nil || !pool.HasServer(server) {
			continue
		}
		out = append(out, target{name + "@" + resource.BaseVersion, false})
		for _, r := range v.RolloutsForModel(name) {
			out = append(out, target{name + "@" + r.Version, r.Adapter})
		}
	}
	slices.SortFunc(out, func(a, b target) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return out
}

// reconcileTargets keeps the engine's loaded targets equal to the configured
// ones, with one order at a time. It also reverts orders of a stale agent.
func (a *Agent) reconcileTargets(ctx context.Context) {
	since := map[string]time.Time{} // when each missing or unwanted target was first seen
	for ctx.Err() == nil {
		changed := a.config.Changed()
		if a.config.Ready() && !a.draining.Load() {
			a.reconcileOnce(ctx, since)
		}
		select {
		case <-changed:
		case <-time.After(reconcileInterval):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) reconcileOnce(ctx context.Context, since map[string]time.Time) {
	v := a.config.View()
	loaded, err := a.engine.loadedTargets(ctx)
	if err != nil {
		return
	}
	wanted := desiredTargets(v, a.settings.Name)
	for _, t := range wanted {
		if slices.Contains(loaded, t.name) {
			delete(since, t.name)
		} else if mismatchAge(since, t.name) >= a.loadDelay(v, t.name) {
			a.sendOrder(ctx, engineOrder{Op: "load", Target: t.name, Adapter: t.adapter})
		}
	}
	for _, name := range loaded {
		unwanted := len(wanted) > 0 && !slices.ContainsFunc(wanted, func(t target) bool { return t.name == name })
		if unwanted && mismatchAge(since, name) >= unloadDelay && !a.loop.hasAttemptFor(ctx, name) {
			a.sendOrder(ctx, engineOrder{Op: "unload", Target: name})
			delete(since, name)
		}
	}
}

// mismatchAge returns how long ago a target was first seen missing or unwanted. It
// records the current time on the first call for a target.
func mismatchAge(since map[string]time.Time, name string) time.Duration {
	if _, known := since[name]; !known {
		since[name] = time.Now()
	}
	return time.Since(since[name])
}

// loadDelay returns how long this server waits before it loads a target, so that
// the servers of a pool don't all read from the weight store at once. They load
// in rendezvous order of the target.
func (a *Agent) loadDelay(v *resource.View, name string) time.Duration {
	if a.settings.Weights.TurnMS == 0 {
		return 0
	}
	rank := 0
	for _, pool := range v.PoolsWithServer(a.settings.Name) {
		rank = max(rank, slices.Index(rendezvous.Rank(name, serverNames(v.Pools[pool])), a.settings.Name))
	}
	return time.Duration(rank/a.settings.Weights.AtOnce) * settings.Millis(a.settings.Weights.TurnMS)
}

// sendOrder sends an order to the engine if this process holds the lease. An
// engine that supports fencing rejects orders with an outdated fencing number.
// For other engines the lease is checked on the log just before the order, and
// the next reconciliation corrects the effect of an order sent too late.
func (a *Agent) sendOrder(ctx context.Context, o engineOrder) {
	if a.lease.FencingToken() == 0 || (!a.settings.Server.Fencing && !a.lease.VerifyHeld(ctx)) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, engineOrderTimeout)
	defer cancel()
	o.Fence, o.By = a.lease.FencingToken(), a.incarnation
	err := a.engine.postOrder(ctx, o)
	telemetry.Count("merlinpost_agent_orders_total", "op", o.Op)
	if err != nil {
		telemetry.Count("merlinpost_agent_orders_failed_total", "op", o.Op)
		return
	}
	a.logger.Info("engine carried out order", "op", o.Op, "target", o.Target, "fence", o.Fence)
	if err := a.refreshServing(ctx); err != nil {
		a.logger.Debug("failed to refresh the loaded targets after an order", "error", err)
	}
}
