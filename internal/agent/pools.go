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

// poolHistory records the current servers of each pool and the last change.
type poolHistory struct {
	mu              sync.Mutex
	currentServers  map[string][]string // servers by pool
	previousServers map[string][]string
	changedAt       map[string]time.Time
}

// watchPools tracks changes to the servers of this agent's pools, because they
// change the home and witness agents of idempotency keys.
func (a *Agent) watchPools(ctx context.Context) {
	for ctx.Err() == nil {
		changed := a.config.Changed()
		if a.config.Ready() && a.witnesses.history.update(a.config.View(), a.settings.Name) {
			a.loop.post(ctx, func(now time.Time) { a.loop.core.Keys().ServersChanged(now) })
		}
		select {
		case <-changed:
		case <-time.After(servingPollInterval):
		case <-ctx.Done():
		}
	}
}

// update records the current servers of the pools that self is in and reports
// whether those of any pool changed.
func (h *poolHistory) update(v *resource.View, self string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	for _, pool := range v.PoolsWithServer(self) {
		names := serverNames(v.Pools[pool])
		slices.Sort(names)
		before, known := h.currentServers[pool]
		if known && !slices.Equal(before, names) {
			h.previousServers[pool], h.changedAt[pool] = before, time.Now()
			changed = true
		}
		h.currentServers[pool] = names
	}
	return changed
}

// homeMoved reports whether another agent was the key's home within its window.
func (a *Agent) homeMoved(o *wire.Offer) bool {
	h := &a.witnesses.history
	h.mu.Lock()
	defer h.mu.Unlock()
	s := a.config.View().Services[o.Target]
	if s == nil {
		return true
	}
	before := h.previousServers[s.Pool]
	return before != nil && time.Since(h.changedAt[s.Pool]) < settings.Millis(int(o.KeyRetentionMS)) &&
		rendezvous.First(o.IdempotencyKey, before) != a.settings.Name
}
