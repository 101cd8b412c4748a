package follow_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/follow"
	"github.com/merlinpost/merlinpost/internal/gateway"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/platform"
)

const validEntry = `{"service":"s1","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,"state":"ready",` +
	`"cold_remaining_ms":0,"sequence":4,"born":1764720000000,"stage":"colocated"}`

// noPeers is the peers of a gateway that is the only one.
type noPeers struct{ follow.Peers }

func (noPeers) StoreUpSince(string) time.Time { return time.Time{} }
func (noPeers) SetVersioned(string)           {}

// newOfflineFollower returns a follower that is not connected to a store, and its server list.
func newOfflineFollower() (*follow.Follower, *registry.Registry) {
	servers := registry.New()
	gw := gateway.New(gateway.Settings{}, platform.Dialect{}, servers, discardLogger())
	return follow.New(dependencies(gw, servers, noPeers{}), follow.Settings{Address: "127.0.0.1:1"}), servers
}

func readyServers(servers *registry.Registry) []string {
	var out []string
	for _, b := range servers.Ready("s1") {
		s := b.Server()
		out = append(out, s.InstanceID()+" "+s.Address)
	}
	return out
}

// Any series of entries, split anywhere between a full load and incremental changes, results in the
// same server list. Guards against an inconsistency with invalid entries: a full load dropped the
// server, an incremental change left its previous entry in force.
func TestFullLoadAndChangesGiveTheSameList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) follow.Record {
			r := follow.Record{Key: rapid.SampledFrom([]string{"i-1", "i-2", "i-3"}).Draw(t, "server")}
			doc := map[string]any{}
			if err := json.Unmarshal([]byte(validEntry), &doc); err != nil {
				t.Fatal(err)
			}
			doc["address"] = fmt.Sprint("10.0.0.", rapid.IntRange(1, 3).Draw(t, "address"), ":80")
			doc["born"] = rapid.IntRange(1, 2).Draw(t, "born")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				return r // removed
			case 1:
				doc["state"] = "draining"
			case 2:
				delete(doc, rapid.SampledFrom([]string{"service", "address", "zone", "slots", "state", "sequence"}).Draw(t, "missing"))
			case 3:
				r.Value = rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(t, "bytes")
				return r
			}
			var err error
			if r.Value, err = json.Marshal(doc); err != nil {
				t.Fatal(err)
			}
			return r
		})
		written := rapid.SliceOfN(entry, 1, 20).Draw(t, "entries")
		split := rapid.IntRange(0, len(written)).Draw(t, "split")

		newest := func(records []follow.Record) []follow.Record {
			last := map[string]follow.Record{}
			for _, r := range records {
				last[r.Key] = r
			}
			var out []follow.Record
			for _, r := range last {
				if r.Value != nil {
					out = append(out, r)
				}
			}
			slices.SortFunc(out, func(a, b follow.Record) int { return strings.Compare(a.Key, b.Key) })
			return out
		}
		full, fullList := newOfflineFollower()
		fullState := full.ReplaceServers(newest(written), time.Time{})
		changes, changedList := newOfflineFollower()
		changes.ReplaceServers(newest(written[:split]), time.Time{})
		changedState := changes.ApplyServerChanges(written[split:], time.Time{})
		g := NewWithT(t)
		g.Expect(readyServers(changedList)).To(Equal(readyServers(fullList)))
		g.Expect(changedState).To(Equal(fullState))
	})
}

// While removals are deferred after an outage of the store, an invalid entry still takes effect at
// once, because an outage does not explain it.
func TestInvalidEntryIsNotDeferred(t *testing.T) {
	g := NewWithT(t)
	f, servers := newOfflineFollower()
	f.ReplaceServers([]follow.Record{{Key: "i-1", Value: []byte(validEntry)}, {Key: "i-2", Value: []byte(validEntry)}, {Key: "i-3", Value: []byte(validEntry)}}, time.Time{})
	g.Expect(readyServers(servers)).To(HaveLen(3))
	outageEnd := time.Now()
	f.ApplyServerChanges([]follow.Record{{Key: "i-1", Value: []byte(`{}`)}}, outageEnd)
	g.Expect(readyServers(servers)).To(HaveLen(2))
	f.ReplaceServers([]follow.Record{{Key: "i-2", Value: []byte(`x`)}}, outageEnd)
	g.Expect(readyServers(servers)).To(HaveLen(1)) // the removal of i-3 is deferred
}
