package follow

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// wholeList takes in the newest records of all servers.
func (f *Follower) wholeList(b batch, returned time.Time) uint64 {
	clear(f.entries)
	var (
		list       []registry.Server
		unreadable []registry.Change
	)
	for _, r := range b.records {
		if s := f.decode(r); s != nil {
			list = append(list, *s)
		} else {
			unreadable = append(unreadable, registry.Change{ID: r.Key, Invalid: true})
		}
	}
	now := time.Now()
	f.logDropped(f.Servers.Apply(unreadable, now, time.Time{}))
	f.logDropped(f.Servers.Replace(list, now, grace(returned)))
	return f.listState()
}

// newEntries takes in changes of the list.
func (f *Follower) newEntries(b batch, returned time.Time) uint64 {
	changes := make([]registry.Change, 0, len(b.records))
	for _, r := range b.records {
		if r.Value == nil {
			delete(f.entries, r.Key)
			changes = append(changes, registry.Change{ID: r.Key})
			continue
		}
		s := f.decode(r)
		changes = append(changes, registry.Change{ID: r.Key, Server: s, Invalid: s == nil})
	}
	f.logDropped(f.Servers.Apply(changes, time.Now(), grace(returned)))
	return f.listState()
}

// confirmList takes in that the list was found unchanged.
func (f *Follower) confirmList(at, returned time.Time) {
	f.logDropped(f.Servers.Confirm(at, time.Now(), grace(returned)))
}

// listState is the digest of the list.
func (f *Follower) listState() uint64 {
	var state uint64
	for _, digest := range f.entries {
		state += digest
	}
	return state
}

// decode reads an entry; nil for one that names no server to use, which is logged.
func (f *Follower) decode(r Record) *registry.Server {
	s, err := f.Decoder.Server(r.Key, r.Value)
	if err != nil {
		delete(f.entries, r.Key)
		reason := fault.From(err).Field
		telemetry.Count("merlinpost_server_entries_rejected_total", "reason", reason)
		if f.rejected.Allow(reason, time.Now()) {
			f.Logger.Error("server entry rejected", "server", r.Key, "field", reason, "error", err)
		}
		return nil
	}
	f.entries[r.Key] = xxhash.Sum64String(fmt.Sprintf("%s %s %s %s %d %t %d", s.ID, s.Service, s.Address, s.FailureDomain, s.Slots, s.Draining, s.StartUnixMs))
	return s
}

func (f *Follower) logDropped(ids []string) {
	if len(ids) > 0 {
		f.Logger.Info("backend servers dropped", "servers", ids)
	}
}
