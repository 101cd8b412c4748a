package agent

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/resource"
)

// targetSet is the set of targets that the backend server serves. The zero value
// is empty. It is safe for concurrent use.
type targetSet struct{ targets atomic.Pointer[[]string] }

func (s *targetSet) list() []string {
	if p := s.targets.Load(); p != nil {
		return *p
	}
	return []string{}
}

// set replaces the targets and reports whether they changed. It sorts the slice
// and keeps it.
func (s *targetSet) set(targets []string) bool {
	slices.Sort(targets)
	changed := !slices.Equal(s.list(), targets)
	s.targets.Store(&targets)
	return changed
}

func (s *targetSet) has(target string) bool {
	_, found := slices.BinarySearch(s.list(), target)
	return found
}

// servingPollInterval is how often the engine is queried for its loaded targets.
const servingPollInterval = time.Second

// watchServing keeps the served targets up to date. An engine is queried for its
// loaded targets; a plain service serves the services of the pools it is in.
func (a *Agent) watchServing(ctx context.Context) {
	up := true
	revision := uint64(0)
	for ctx.Err() == nil {
		changed := a.config.Changed()
		if now := a.config.View().Revision; now != revision {
			revision = now
			a.notifyPeers(ctx)
		}
		err := a.refreshServing(ctx)
		if (err == nil) != up && ctx.Err() == nil {
			up = err == nil
			a.logger.Info("backend server reachability changed", "reached", up, "error", err)
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

// updateServing sets the served targets and notifies the peers of a change.
func (a *Agent) updateServing(ctx context.Context, targets []string) {
	if a.servingTargets.set(targets) {
		a.notifyPeers(ctx)
	}
}

func (a *Agent) refreshServing(ctx context.Context) error {
	if a.settings.Server.Kind == "service" {
		a.updateServing(ctx, assignedServices(a.config.View(), a.settings.Name))
		return nil
	}
	queryCtx, cancel := context.WithTimeout(ctx, servingPollInterval)
	defer cancel()
	loaded, err := a.engine.loadedTargets(queryCtx)
	if err != nil {
		// An engine that fails the query serves nothing. If the query timed out,
		// the engine may only be frozen: it keeps its targets, and its requests
		// fail by the stall timeout.
		if queryCtx.Err() == nil {
			a.updateServing(ctx, []string{})
		}
		return err
	}
	a.updateServing(ctx, loaded)
	return nil
}

func assignedServices(v *resource.View, server string) []string {
	out := []string{}
	for name, s := range v.Services {
		if pool := v.Pools[s.Pool]; pool != nil && pool.HasServer(server) {
			out = append(out, name)
		}
	}
	return out
}
