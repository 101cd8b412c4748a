package agent

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/resource"
)

// targetSet is the set of targets that the backend server serves, in sorted order. The
// zero value is empty. It is safe for concurrent use.
type targetSet struct{ targets atomic.Pointer[[]string] }

// list returns the targets in sorted order. The caller must not modify the slice.
func (s *targetSet) list() []string {
	if p := s.targets.Load(); p != nil {
		return *p
	}
	return []string{}
}

// set replaces the targets and reports whether they changed. It sorts the slice and
// retains it.
func (s *targetSet) set(targets []string) bool {
	slices.Sort(targets)
	changed := !slices.Equal(s.list(), targets)
	s.targets.Store(&targets)
	return changed
}

// has reports whether the set contains the target.
func (s *targetSet) has(target string) bool {
	_, found := slices.BinarySearch(s.list(), target)
	return found
}

// servingPollInterval is how often the engine is queried for its loaded targets, and
// the timeout of such a query.
const servingPollInterval = time.Second

// watchServing keeps the served targets up to date and notifies the peers of a new
// configuration revision. An engine is queried for its loaded targets; the targets of a
// plain service are the services of its pools.
func (a *Agent) watchServing(ctx context.Context) {
	reachable := true
	revision := uint64(0)
	for ctx.Err() == nil {
		changed := a.config.Changed()
		if current := a.config.View().Revision; current != revision {
			revision = current
			a.notifyPeers(ctx)
		}
		err := a.refreshServing(ctx)
		if (err == nil) != reachable && ctx.Err() == nil {
			reachable = err == nil
			a.logger.Info("backend server reachability changed", "reached", reachable, "error", err)
		}
		select {
		case <-changed:
		case <-time.After(servingPollInterval):
		case <-ctx.Done():
		}
	}
}

// notifyPeers sends a heartbeat on every link immediately.
func (a *Agent) notifyPeers(ctx context.Context) {
	a.loop.post(ctx, func(time.Time) { a.loop.triggerHeartbeats() })
}

// updateServing sets the served targets and, if they changed, notifies the peers.
func (a *Agent) updateServing(ctx context.Context, targets []string) {
	if a.servingTargets.set(targets) {
		a.notifyPeers(ctx)
	}
}

// refreshServing determines the served targets and updates them.
func (a *Agent) refreshServing(ctx context.Context) error {
	if a.settings.Server.Kind == "service" {
		a.updateServing(ctx, assignedServices(a.config.View(), a.settings.Name))
		return nil
	}
	queryCtx, cancel := context.WithTimeout(ctx, servingPollInterval)
	defer cancel()
	loaded, err := a.engine.loadedTargets(queryCtx)
	if err != nil {
		// If the query failed, the engine serves no targets. If it timed out, the
		// engine may be unresponsive only for a short time: its targets are kept, and
		// requests that do not progress fail by the stall timeout.
		if queryCtx.Err() == nil {
			a.updateServing(ctx, []string{})
		}
		return err
	}
	a.updateServing(ctx, loaded)
	return nil
}

// assignedServices lists the services whose pool contains the server.
func assignedServices(v *resource.View, server string) []string {
	out := []string{}
	for name, s := range v.Services {
		if pool := v.Pools[s.Pool]; pool != nil && pool.HasServer(server) {
			out = append(out, name)
		}
	}
	return out
}
