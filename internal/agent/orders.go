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

// Timing of orders.
const (
	convergeEvery = time.Second
	loadTimeout   = 10 * time.Minute
	// unloadAfter is how long a version stays loaded that the configuration
	// no longer wants: longer than a router may go on sending to it.
	unloadAfter = 15 * time.Second
)

// target is a model version that the engine should have loaded.
type target struct {
	name    string // "model@version"
	adapter bool
}

// desired lists what the configuration wants loaded on a server.
func desired(v *resource.View, server string) []target {
	var out []target
	for name, m := range v.Models {
		if pool := v.Pools[m.Pool]; pool == nil || !pool.Has(server) {
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

// converge brings the engine to what the configuration wants, one order at a
// time, and repairs what a stale agent ordered.
func (a *Agent) converge(ctx context.Context) {
	since := map[string]time.Time{} // when a wrong target was first seen
	for ctx.Err() == nil {
		changed := a.config.Changed()
		if a.config.Ready() && !a.stopping.Load() {
			a.convergeOnce(ctx, since)
		}
		select {
		case <-changed:
		case <-time.After(convergeEvery):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) convergeOnce(ctx context.Context, since map[string]time.Time) {
	v := a.config.View()
	loaded, err := a.engine.loaded(ctx)
	if err != nil {
		return
	}
	want := desired(v, a.set.Name)
	for _, t := range want {
		if slices.Contains(loaded, t.name) {
			delete(since, t.name)
		} else if waited(since, t.name) >= a.turn(v, t.name) {
			a.order(ctx, order{Op: "load", Target: t.name, Adapter: t.adapter})
		}
	}
	for _, name := range loaded {
		unwanted := len(want) > 0 && !slices.ContainsFunc(want, func(t target) bool { return t.name == name })
		if unwanted && waited(since, name) >= unloadAfter && !a.core.uses(ctx, name) {
			a.order(ctx, order{Op: "unload", Target: name})
			delete(since, name)
		}
	}
}

// waited returns how long ago a target was first found wrong.
func waited(since map[string]time.Time, name string) time.Duration {
	if _, known := since[name]; !known {
		since[name] = time.Now()
	}
	return time.Since(since[name])
}

// turn returns how long this server waits for its turn at the weight store:
// the servers of the pool go in rendezvous order of the target.
func (a *Agent) turn(v *resource.View, name string) time.Duration {
	if a.set.Weights.TurnMS == 0 {
		return 0
	}
	place := 0
	for _, pool := range v.PoolsWithServer(a.set.Name) {
		place = max(place, slices.Index(rendezvous.Rank(name, serverNames(v.Pools[pool])), a.set.Name))
	}
	return time.Duration(place/a.set.Weights.AtOnce) * settings.Millis(a.set.Weights.TurnMS)
}

// order gives one order if this process still holds the lease. The engine
// checks the fencing number where it can; where it can't, the log is asked
// just before, and the state is looked at again at the next turn.
func (a *Agent) order(ctx context.Context, o order) {
	if a.lease.FencingToken() == 0 || (!a.set.Server.Fencing && !a.lease.VerifyHeld(ctx)) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	o.Fence, o.By = a.lease.FencingToken(), a.incarnation
	err := a.engine.give(ctx, o)
	telemetry.Count("merlinpost_agent_orders_total", "op", o.Op)
	if err != nil {
		telemetry.Count("merlinpost_agent_orders_failed_total", "op", o.Op)
		return
	}
	a.logger.Info("order carried out", "op", o.Op, "target", o.Target, "fence", o.Fence)
	if err := a.refreshServing(ctx); err != nil {
		a.logger.Debug("engine not asked again", "error", err)
	}
}
