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

// poolHistory records, for each pool, the current servers, those before the last change
// and the time of that change.
type poolHistory struct {
	mu              sync.Mutex
	currentServers  map[string][]string  // by pool, sorted
	previousServers map[string][]string  // by pool, before the last change
	changedAt       map[string]time.Time // by pool
}

// watchPools tracks changes to the servers of this agent's pools. Such a change may
// assign idempotency keys to other home and witness agents.
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

// update records the current servers of the pools that contain self and reports
// whether any of these pools changed.
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

// homeMoved reports whether another agent was the home of the offer's idempotency key
// within the key's retention period, or may have been.
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
