package agent

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/rendezvous"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// serverHistory remembers the last change of a pool's servers.
type serverHistory struct {
	mu      sync.Mutex
	current map[string][]string // servers by pool
	before  map[string][]string
	changed map[string]time.Time
}

// watchServers notes changes of the servers of this agent's pools: the homes
// and witnesses of keys move with them.
func (a *Agent) watchServers(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.config.Changed()
		if a.config.Ready() && a.witness.history.note(a.config.View(), a.set.Name) {
			a.core.post(ctx, func(now time.Time) { a.core.core.Keys().ServersChanged(now) })
		}
		select {
		case <-changed:
		case <-time.After(servingPoll):
		case <-ctx.Done():
		}
	}
}

// note takes in the present servers and reports whether any pool's changed.
func (h *serverHistory) note(v *resource.View, self string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	any := false
	for _, pool := range v.PoolsWithServer(self) {
		names := serverNames(v.Pools[pool])
		slices.Sort(names)
		old, known := h.current[pool]
		if known && !slices.Equal(old, names) {
			h.before[pool], h.changed[pool] = old, time.Now()
			any = true
		}
		h.current[pool] = names
	}
	return any
}

// homeMoved reports whether another agent was the key's home within its window.
func (a *Agent) homeMoved(o *wire.Offer) bool {
	h := &a.witness.history
	h.mu.Lock()
	defer h.mu.Unlock()
	s := a.config.View().Services[o.Target]
	if s == nil {
		return true
	}
	before := h.before[s.Pool]
	return before != nil && time.Since(h.changed[s.Pool]) < settings.Millis(int(o.KeyRetentionMS)) &&
		rendezvous.First(o.IdempotencyKey, before) != a.set.Name
}
