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

func (s *servingSet) set(targets []string) {
	slices.Sort(targets)
	s.targets.Store(&targets)
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
	for ctx.Err() == nil {
		changed := a.config.Changed()
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

func (a *Agent) refreshServing(ctx context.Context) error {
	if a.set.Server.Kind == "service" {
		a.serving.set(servicesOf(a.config.View(), a.set.Name))
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, servingPoll)
	defer cancel()
	loaded, err := a.engine.loaded(ctx)
	if err != nil {
		// A crashed engine serves nothing; a frozen one keeps its list, and
		// its stalled streams speak for themselves.
		if ctx.Err() == nil {
			a.serving.set([]string{})
		}
		return err
	}
	a.serving.set(loaded)
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
