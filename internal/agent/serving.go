package agent

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/resource"
)

// servingSet is the list of targets that the backend server has loaded. The
// zero value is empty and usable from any goroutine.
type servingSet struct{ targets atomic.Pointer[[]string] }

func (s *servingSet) list() []string {
	if p := s.targets.Load(); p != nil {
		return *p
	}
	return []string{}
}

// set replaces the list and reports whether it changed.
func (s *servingSet) set(targets []string) bool {
	slices.Sort(targets)
	changed := !slices.Equal(s.list(), targets)
	s.targets.Store(&targets)
	return changed
}

func (s *servingSet) has(target string) bool {
	_, found := slices.BinarySearch(s.list(), target)
	return found
}

// servingPoll is how often an engine is asked what it has loaded.
const servingPoll = time.Second

// watchServing keeps the list of targets: an engine is asked, a plain service
// serves the services whose pool it is in.
func (a *Agent) watchServing(ctx context.Context) {
	up := true
	revision := uint64(0)
	for ctx.Err() == nil {
		changed := a.config.Changed()
		if now := a.config.View().Revision; now != revision {
			revision = now
			a.tellRouters(ctx)
		}
		err := a.refreshServing(ctx)
		if (err == nil) != up && ctx.Err() == nil {
			up = err == nil
			a.logger.Info("backend server", "reached", up, "error", err)
		}
		select {
		case <-changed:
		case <-time.After(servingPoll):
		case <-ctx.Done():
		}
	}
}

// tellRouters sends every router a heartbeat with what changed.
func (a *Agent) tellRouters(ctx context.Context) {
	a.core.post(ctx, func(time.Time) { a.core.pokeAll() })
}

// nowServes takes in the list of targets and tells the routers if it changed.
func (a *Agent) nowServes(ctx context.Context, targets []string) {
	if a.serving.set(targets) {
		a.tellRouters(ctx)
	}
}

func (a *Agent) refreshServing(ctx context.Context) error {
	if a.set.Server.Kind == "service" {
		a.nowServes(ctx, servicesOf(a.config.View(), a.set.Name))
		return nil
	}
	asking, cancel := context.WithTimeout(ctx, servingPoll)
	defer cancel()
	loaded, err := a.engine.loaded(asking)
	if err != nil {
		// A crashed engine serves nothing; a frozen one keeps its list, and
		// its stalled streams speak for themselves.
		if asking.Err() == nil {
			a.nowServes(ctx, []string{})
		}
		return err
	}
	a.nowServes(ctx, loaded)
	return nil
}

func servicesOf(v *resource.View, server string) []string {
	out := []string{}
	for name, s := range v.Services {
		if pool := v.Pools[s.Pool]; pool != nil && pool.Has(server) {
			out = append(out, name)
		}
	}
	return out
}
