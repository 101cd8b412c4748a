package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/configshare"
	"github.com/merlinpost/merlinpost/internal/follow"
	"github.com/merlinpost/merlinpost/internal/gateway"
	"github.com/merlinpost/merlinpost/internal/peers"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
	"github.com/merlinpost/merlinpost/platform"
)

// within is the timeout for a change to take effect with the simulated store.
const within = 5 * time.Second

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// openPeers returns the peers of a gateway on a loopback address.
func openPeers(host string) *peers.Peers {
	p, err := peers.Open(host, "127.0.0.1:0", peers.Capacity{Cores: 0.3}, gateway.New(gateway.Settings{}, platform.Dialect{}, registry.New(), discardLogger()), discardLogger())
	if err != nil {
		panic(err) // there is no loopback address
	}
	return p
}

// dependencies returns those of a follower of the simulated store, with a share that reaches no
// peer.
func dependencies(gw *gateway.Gateway, servers *registry.Registry, others follow.Peers) follow.Dependencies {
	return follow.Dependencies{
		Connect: func(address string) follow.Store { return platform.NewStore(address, slog.New(slog.DiscardHandler)) }, Topics: platform.Topics, Decoder: platform.Decoder{},
		Gateway: gw, Servers: servers, Peers: others, Share: configshare.New((&net.Dialer{}).DialContext, 0, discardLogger()), Logger: discardLogger(),
	}
}

// configVersion returns a small configuration.
func smallConfig(version int) []byte { return largeConfig(version, 1, 1) }

// largeConfig returns a configuration with the given number of routes, of 270 bytes each, and
// teams, of 110 bytes each.
func largeConfig(version, routes, teams int) []byte {
	type doc = map[string]any
	c := doc{"version": version}
	list, tenants := make([]doc, routes), make([]doc, teams)
	for i := range list {
		list[i] = doc{"name": fmt.Sprintf("r-%07d", i), "host": "ficu95.example", "path_prefix": fmt.Sprintf("/pufi%07d/", i),
			"kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 500, "priority": 0, "service": "huvo11a",
			"max_attempts": 2, "anonymous_access": false, "session_affinity": true, "stream_resumption": true, "target_gap_ms": 400}
	}
	for i := range tenants {
		tenants[i] = doc{"name": fmt.Sprintf("huka%05d", i), "priority": 1,
			"api_keys": []string{fmt.Sprintf("xd9dnn2ctnfzs98%05d", i), fmt.Sprintf("wsjnbanfqasnmgk%05d", i)}}
	}
	c["routes"], c["tenants"] = list, tenants
	value, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and numbers
	}
	return value
}

var _ = Describe("a follower of the store", func() {
	var (
		store   *platformstore.Store
		gw      *gateway.Gateway
		servers *registry.Registry
		set     follow.Settings
	)
	ids := func() []string {
		var out []string
		for _, b := range servers.Ready("s1") {
			out = append(out, b.Server().ID)
		}
		return out
	}
	put := func(id, state string) {
		store.PutJSON(platformstore.TopicServers, id, map[string]any{"service": "s1", "address": "10.0.0.1:80",
			"zone": "z", "version": "v1", "slots": 6, "state": state, "cold_remaining_ms": 0, "sequence": 1})
	}
	start := func() {
		ctx, cancel := context.WithCancel(context.Background())
		others := openPeers("h1")
		var running sync.WaitGroup
		running.Go(func() { others.Run(ctx) })
		running.Go(func() { follow.New(dependencies(gw, servers, others), set).Run(ctx) })
		DeferCleanup(func() { cancel(); running.Wait() })
	}
	BeforeEach(func() {
		store = platformstore.Start()
		DeferCleanup(store.Close)
		servers = registry.New()
		gw = gateway.New(gateway.Settings{}, platform.Dialect{}, servers, discardLogger())
		set = follow.Settings{Address: store.Address(), DrainWithin: 60 * time.Millisecond, ApplyWithin: 200 * time.Millisecond}
	})

	It("makes the gateway ready once the configuration and the servers are loaded", func() {
		put("i-1", "ready")
		start()
		Eventually(ids, within).Should(ConsistOf("i-1"))
		Expect(gw.Ready()).To(BeFalse())
		store.Put(platformstore.TopicOperator, "config", smallConfig(7))
		Eventually(gw.Ready, within).Should(BeTrue())
		Expect(gw.ConfigVersion()).To(BeEquivalentTo(7))
	})

	It("keeps the last valid configuration in force", func() {
		store.Put(platformstore.TopicOperator, "config", smallConfig(7))
		start()
		Eventually(gw.ConfigVersion, within).Should(BeEquivalentTo(7))
		store.Put(platformstore.TopicOperator, "config", []byte(`{"version":8,"routes":[{"kind":"odd"}]}`))
		store.Put(platformstore.TopicOperator, "config", smallConfig(6))
		store.Put(platformstore.TopicOperator, "other", []byte("x"))
		reads := store.RequestCount()
		Eventually(store.RequestCount, within).Should(BeNumerically(">", reads+4))
		Expect(gw.ConfigVersion()).To(BeEquivalentTo(7))
		store.Put(platformstore.TopicOperator, "config", smallConfig(9))
		Eventually(gw.ConfigVersion, within).Should(BeEquivalentTo(9))
	})

	// Guards against a read that restarts forever: reads were limited to 0.7 s in total and
	// returned up to 1,024 KB, so they were cut off and repeated on a link of 10 Mbit/s of which
	// callers use half. The configurations have 1,400 routes or 2,500 teams, and several versions
	// are written while the store is unavailable.
	DescribeTable("has the newest configuration in force over a slow link", func(routes, teams int) {
		set.ApplyWithin = 2 * time.Second
		store.SetBandwidth(5e6)
		store.Put(platformstore.TopicOperator, "config", largeConfig(1, routes, teams))
		start()
		Eventually(gw.ConfigVersion, within).Should(BeEquivalentTo(1))
		store.SetMode(platformstore.ModeUnavailable)
		for version := 2; version <= 6; version++ {
			store.Put(platformstore.TopicOperator, "config", largeConfig(version, routes, teams))
		}
		store.SetMode(platformstore.ModeAvailable)
		Eventually(gw.ConfigVersion, within).Should(BeEquivalentTo(6))
		// The same with a burst of versions.
		for version := 7; version <= 12; version++ {
			store.Put(platformstore.TopicOperator, "config", largeConfig(version, routes, teams))
		}
		Eventually(gw.ConfigVersion, within).Should(BeEquivalentTo(12))
	},
		Entry("1,400 routes", 1400, 24),
		Entry("2,500 teams", 50, 2500),
	)

	It("loads the newest records when older ones have been deleted", func() {
		store.PageSize = 1
		put("i-1", "ready")
		store.Put(platformstore.TopicOperator, "config", smallConfig(7))
		start()
		Eventually(ids, within).Should(ConsistOf("i-1"))
		put("i-2", "ready")
		store.Put(platformstore.TopicServers, "i-1", nil)
		store.Put(platformstore.TopicOperator, "config", smallConfig(8))
		store.Truncate(platformstore.TopicServers)
		store.Truncate(platformstore.TopicOperator)
		Eventually(ids, within).Should(ConsistOf("i-2"))
		Eventually(gw.ConfigVersion, within).Should(BeEquivalentTo(8))
	})

	It("stops using draining and removed servers", func() {
		put("i-1", "ready")
		put("i-2", "ready")
		put("i-3", "ready")
		start()
		Eventually(ids, within).Should(ConsistOf("i-1", "i-2", "i-3"))
		put("i-1", "draining")
		store.Put(platformstore.TopicServers, "i-2", nil)
		Eventually(ids, within).Should(ConsistOf("i-3"))
	})

	It("keeps serving during an outage of the store, and defers the removal of entries that expired meanwhile", func() {
		put("i-1", "ready")
		put("i-2", "ready")
		store.Put(platformstore.TopicOperator, "config", smallConfig(7))
		start()
		Eventually(gw.Ready, within).Should(BeTrue())
		store.SetMode(platformstore.ModeUnavailable)
		reads := store.RequestCount()
		Eventually(store.RequestCount, within).Should(BeNumerically(">", reads+6))
		Expect(gw.Ready()).To(BeTrue())
		Expect(ids()).To(ConsistOf("i-1", "i-2"))
		store.Put(platformstore.TopicServers, "i-1", nil)
		store.Put(platformstore.TopicServers, "i-2", nil)
		store.SetMode(platformstore.ModeAvailable)
		reads = store.RequestCount()
		Eventually(store.RequestCount, within).Should(BeNumerically(">", reads+6))
		Expect(ids()).To(ConsistOf("i-1", "i-2"))
		put("i-1", "ready")
		Eventually(ids, within).Should(ConsistOf("i-1")) // i-2 was not registered again in time
	})

	It("drops servers at once that were removed while only this host was disconnected from the store", func() {
		put("i-1", "ready")
		put("i-2", "ready")
		ctx, cancel := context.WithCancel(context.Background())
		disconnected, other := openPeers("h1"), openPeers("h2")
		var running sync.WaitGroup
		f := follow.New(dependencies(gw, servers, disconnected), set)
		others := registry.New()
		running.Go(func() { disconnected.Run(ctx) })
		running.Go(func() { other.Run(ctx) })
		running.Go(func() { f.Run(ctx) })
		running.Go(func() {
			follow.New(dependencies(gateway.New(gateway.Settings{}, platform.Dialect{}, others, discardLogger()), others, other), set).Run(ctx)
		})
		DeferCleanup(func() { cancel(); running.Wait() })
		Eventually(ids, within).Should(ConsistOf("i-1", "i-2"))
		Eventually(func() int { return disconnected.Rank("x") + other.Rank("x") }, within).Should(Equal(1)) // they have discovered each other
		Eventually(others.Loaded, within).Should(BeTrue())
		reads := store.RequestCount()
		Eventually(store.RequestCount, within).Should(BeNumerically(">", reads+6)) // both have read the store repeatedly
		unreachable := set
		unreachable.Address = "127.0.0.1:1"
		f.SetSettings(unreachable)
		Eventually(f.StoreUnavailable, within).Should(BeTrue())
		store.Put(platformstore.TopicServers, "i-2", nil)
		Eventually(func() bool { return disconnected.StoreUpSince(platform.Topics.Servers).IsZero() }, within).Should(BeFalse())
		f.SetSettings(set)
		Eventually(ids, follow.RecoveryGrace-500*time.Millisecond).Should(ConsistOf("i-1"))
	})

	It("abandons a call that gets no reply", func() {
		store.Put(platformstore.TopicOperator, "config", smallConfig(7))
		store.SetMode(platformstore.ModeUnresponsive)
		start()
		Eventually(store.RequestCount, within).Should(BeNumerically(">=", 2))
		store.SetMode(platformstore.ModeAvailable)
		Eventually(gw.ConfigVersion, within).Should(BeEquivalentTo(7))
	})
})

// Whatever the order and repetition of the records read, the version in force never decreases, and
// is at least the version of the last record.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	others := openPeers("h1")
	rapid.Check(t, func(t *rapid.T) {
		gw := gateway.New(gateway.Settings{}, platform.Dialect{}, registry.New(), discardLogger())
		f := follow.New(dependencies(gw, registry.New(), others), follow.Settings{})
		var last int64
		for range rapid.IntRange(1, 8).Draw(t, "reads") {
			var records []follow.Record
			for range rapid.IntRange(0, 4).Draw(t, "records") {
				records = append(records, follow.Record{Key: platform.Topics.ConfigurationKey, Value: smallConfig(rapid.IntRange(1, 20).Draw(t, "version"))})
			}
			f.ApplyConfig(records)
			version := gw.ConfigVersion()
			if version < last {
				t.Fatalf("version %d after %d", version, last)
			}
			if n := len(records); n > 0 {
				if table, err := platform.DecodeConfig(records[n-1].Value); err == nil && table.Version > version {
					t.Fatalf("version %d is in force, %d was read", version, table.Version)
				}
			}
			last = version
		}
	})
}
