package follow

import (
	"context"
	"slices"
	"time"

	"github.com/merlinpost/merlinpost/internal/configshare"
	"github.com/merlinpost/merlinpost/internal/freshness"
	"github.com/merlinpost/merlinpost/internal/logposition"
	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// configTopic returns how the configuration topic is followed. Its timing is derived from
// ApplyWithin, the time within which a change must be in force.
func (f *Follower) configTopic() topic {
	settings := f.settings.Load()
	timing := newTiming(settings.ApplyWithin, 0.7)
	if _, anySmall := f.Peers.SmallHosts(); anySmall {
		timing.ReadSpread += smallHostDelay
	}
	return topic{name: f.Topics.Configuration, key: f.Topics.ConfigurationKey, maxKB: maxConfigReadKB, timing: timing, interval: minReadInterval, longPoll: true,
		slowestTransfer: freshness.EstimateTransferTime(f.configBytes, settings.RecordBytes, float64(f.Peers.SlowestLinkMbps())),
		confirm:         func(at, _ time.Time) { f.Gateway.ConfirmTable(at) }, replace: f.applyConfig, apply: f.applyConfig,
		sharedByPeers: true,
		fetchFromPeer: f.fetchConfigFromPeer,
		publish:       f.publishConfig,
		updateLag: func(err error) {
			f.configLag.update(f.Gateway.ConfigVersion(), int64(f.Peers.ReportedState(f.Topics.Configuration)), err, settings.ApplyWithin, time.Now())
		}}
}

// applyConfig applies the last configuration among the records. If it can't be decoded, the
// previous one stays in force.
func (f *Follower) applyConfig(b batch, _ time.Time) uint64 {
	for _, r := range slices.Backward(b.records) {
		if r.Key != f.Topics.ConfigurationKey || r.Value == nil {
			continue
		}
		table, err := f.Decoder.Config(r.Value)
		if err != nil {
			telemetry.Count("merlinpost_config_rejected_total")
			f.Logger.Error("configuration rejected", "error", err)
			continue
		}
		f.configBytes = len(r.Value)
		if f.Gateway.SetTable(f.reuseUnchanged(table), b.confirmedAt) {
			f.Logger.Info("configuration in force", "config", table.Version, "bytes", b.bytes(), "read_ms", b.duration.Milliseconds(),
				"apply_ms", time.Since(b.sentAt.Add(b.duration)).Milliseconds(), "reads_for_all", b.byPrimary)
		}
		break
	}
	return uint64(f.Gateway.ConfigVersion())
}

// shareUnchanged returns the table with the routes and teams of the active one reused where they
// are equal, so that the earlier versions kept for peers only take memory for what differs.
func (f *Follower) reuseUnchanged(table *routing.Table) *routing.Table {
	active := f.Gateway.Table()
	if active == nil || active.Version >= table.Version {
		return table
	}
	shared, err := active.Apply(routing.Diff(active, table))
	if err != nil {
		f.Logger.Error("cannot reuse unchanged parts of the active configuration", "config", table.Version, "error", err)
		return table
	}
	return shared
}

// publishConfig makes the active version available to peers; next is the position from which to
// read the topic after it.
func (f *Follower) publishConfig(next logposition.Position) {
	if table := f.Gateway.Table(); table != nil {
		f.Share.Put(configshare.Version{Table: table, Next: next, Bytes: f.configBytes})
	}
}

// fetchConfigFromPeer fetches and applies the configuration of a peer that reported a newer
// version. It reports whether that succeeded.
func (f *Follower) fetchConfigFromPeer(ctx context.Context, r *readState) bool {
	at, from, newer := f.Peers.NewerState(f.Topics.Configuration)
	if !newer {
		return false
	}
	start := time.Now()
	v, fetchedBytes, err := f.Share.Fetch(ctx, from, f.Gateway.Table())
	if err != nil {
		f.Logger.Warn("configuration not fetched", "from", from, "error", err, "took_ms", time.Since(start).Milliseconds())
		return false
	}
	f.configBytes = v.Bytes
	if f.Gateway.SetTable(v.Table, at) {
		f.Logger.Info("configuration in force", "config", v.Table.Version, "fetched_from", from, "fetched_bytes", fetchedBytes,
			"took_ms", time.Since(start).Milliseconds())
	}
	r.next, r.loaded, r.moreAvailable, r.gotRecords = logposition.Later(r.next, v.Next), true, false, false
	f.Share.Put(v)
	f.Peers.ReportState(f.Topics.Configuration, uint64(f.Gateway.ConfigVersion()), at, r.availableSince)
	return true
}
