package follow

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// replaceServers replaces the server list with the newest records of all servers.
func (f *Follower) replaceServers(b batch, graceStart time.Time) uint64 {
	clear(f.entryDigests)
	var (
		list    []registry.Server
		invalid []registry.Change
	)
	for _, r := range b.records {
		if s := f.decodeServer(r); s != nil {
			list = append(list, *s)
		} else {
			invalid = append(invalid, registry.Change{ID: r.Key, Invalid: true})
		}
	}
	now := time.Now()
	f.logRemoved(f.Servers.Apply(invalid, now, time.Time{}))
	f.logRemoved(f.Servers.Replace(list, now, graceEnd(graceStart)))
	return f.serversDigest()
}

// applyServerChanges applies changes to the server list.
func (f *Follower) applyServerChanges(b batch, graceStart time.Time) uint64 {
	changes := make([]registry.Change, 0, len(b.records))
	for _, r := range b.records {
		if r.Value == nil {
			delete(f.entryDigests, r.Key)
			changes = append(changes, registry.Change{ID: r.Key})
			continue
		}
		s := f.decodeServer(r)
		changes = append(changes, registry.Change{ID: r.Key, Server: s, Invalid: s == nil})
	}
	f.logRemoved(f.Servers.Apply(changes, time.Now(), graceEnd(graceStart)))
	return f.serversDigest()
}

// confirmServers records that the server list was unchanged at a time.
func (f *Follower) confirmServers(at, graceStart time.Time) {
	f.logRemoved(f.Servers.Confirm(at, time.Now(), graceEnd(graceStart)))
}

// serversDigest returns the digest of the server list.
func (f *Follower) serversDigest() uint64 {
	var state uint64
	for _, digest := range f.entryDigests {
		state += digest
	}
	return state
}

// decodeServer decodes an entry. It logs an invalid one and returns nil.
func (f *Follower) decodeServer(r Record) *registry.Server {
	s, err := f.Decoder.Server(r.Key, r.Value)
	if err != nil {
		delete(f.entryDigests, r.Key)
		reason := fault.From(err).Field
		telemetry.Count("merlinpost_server_entries_rejected_total", "reason", reason)
		if f.rejectionLogLimiter.Allow(reason, time.Now()) {
			f.Logger.Error("server entry rejected", "server", r.Key, "field", reason, "error", err)
		}
		return nil
	}
	f.entryDigests[r.Key] = xxhash.Sum64String(fmt.Sprintf("%s %s %s %s %d %t %d", s.ID, s.Service, s.Address, s.FailureDomain, s.Slots, s.Draining, s.StartUnixMs))
	return s
}

func (f *Follower) logRemoved(ids []string) {
	if len(ids) > 0 {
		f.Logger.Info("backend servers dropped", "servers", ids)
	}
}
