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

// configTopic derives the timing from the bound: a change of the configuration must be in
// force within ApplyWithin.
func (f *Follower) configTopic() topic {
	set := f.settings.Load()
	bound := bound(set.ApplyWithin, 0.7)
	if _, some := f.Peers.SmallHosts(); some {
		bound.ReadSpread += handOnTime
	}
	return topic{name: f.Topics.Configuration, key: f.Topics.ConfigurationKey, maxKB: newestReadKB, bound: bound, pause: leastPause, waits: true,
		slowestRead: freshness.TransferTime(f.configBytes, set.RecordBytes, float64(f.Peers.SlowestLinkMbps())),
		confirm:     func(at, _ time.Time) { f.Gateway.ConfirmTable(at) }, whole: f.newConfig, added: f.newConfig,
		handedOn: true,
		fromPeer: f.configFromPeer,
		offer:    f.shareConfig,
		watch: func(failed error) {
			f.behind.note(f.Gateway.ConfigVersion(), int64(f.Peers.ReportedState(f.Topics.Configuration)), failed, set.ApplyWithin, time.Now())
		}}
}

// newConfig puts the last configuration of the records in force. One that can't
// be read leaves the one before in force.
func (f *Follower) newConfig(b batch, _ time.Time) uint64 {
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
		if f.Gateway.SetTable(f.sharing(table), b.at) {
			f.Logger.Info("configuration in force", "config", table.Version, "bytes", b.bytes(), "read_ms", b.took.Milliseconds(),
				"apply_ms", time.Since(b.sent.Add(b.took)).Milliseconds(), "reads_for_all", b.first)
		}
		break
	}
	return uint64(f.Gateway.ConfigVersion())
}

// sharing returns the table with the routes and teams of the one in force where they are the
// same: versions that are kept to be handed on then take the memory of what differs.
func (f *Follower) sharing(table *routing.Table) *routing.Table {
	inForce := f.Gateway.Table()
	if inForce == nil || inForce.Version >= table.Version {
		return table
	}
	shared, err := inForce.Apply(routing.Diff(inForce, table))
	if err != nil {
		f.Logger.Error("a change of the configuration can't be applied", "config", table.Version, "error", err)
		return table
	}
	return shared
}

// shareConfig offers the version in force to the other gateways; next is where the topic goes
// on.
func (f *Follower) shareConfig(next logposition.Position) {
	if table := f.Gateway.Table(); table != nil {
		f.Share.Put(configshare.Version{Table: table, Next: next, Bytes: f.configBytes})
	}
}

// configFromPeer takes in the configuration of the gateway that told of a newer one.
func (f *Follower) configFromPeer(ctx context.Context, r *reading) bool {
	at, from, newer := f.Peers.NewerState(f.Topics.Configuration)
	if !newer {
		return false
	}
	start := time.Now()
	v, packed, err := f.Share.Fetch(ctx, from, f.Gateway.Table())
	if err != nil {
		f.Logger.Warn("configuration not fetched", "from", from, "error", err, "took_ms", time.Since(start).Milliseconds())
		return false
	}
	f.configBytes = v.Bytes
	if f.Gateway.SetTable(v.Table, at) {
		f.Logger.Info("configuration in force", "config", v.Table.Version, "fetched_from", from, "fetched_bytes", packed,
			"took_ms", time.Since(start).Milliseconds())
	}
	r.next, r.loaded, r.behind, r.news = logposition.Later(r.next, v.Next), true, false, false
	f.Share.Put(v)
	f.Peers.ReportState(f.Topics.Configuration, uint64(f.Gateway.ConfigVersion()), at, r.since)
	return true
}
