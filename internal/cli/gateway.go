package cli

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/merlinpost/merlinpost/internal/configshare"
	"github.com/merlinpost/merlinpost/internal/decisionlog"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/follow"
	"github.com/merlinpost/merlinpost/internal/gateway"
	"github.com/merlinpost/merlinpost/internal/peers"
	"github.com/merlinpost/merlinpost/internal/quarantine"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/platform"
)

type gatewayCmd struct {
	MetricsPort int    `arg:"--metrics-port" default:"9464" help:"port of the metrics page on the host's address; 0 for none"`
	LogOneIn    uint64 `arg:"--log-one-in" default:"16" help:"log one in so many plain successes"`
}

// memoryShare is the part of the host's memory at which the garbage collector
// works harder; the rest is for what it does not see, such as socket buffers.
const memoryShare = 0.7

func limitMemory(megabytes float64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * megabytes * (1 << 20)))
	}
}

func (c *gatewayCmd) run(ctx context.Context, _ io.Writer) error {
	// Before anything else: a SIGHUP that comes during the start must not end the
	// process.
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	set, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	limitMemory(set.MemoryMB)
	lines := decisionlog.NewWriter(os.Stdout)
	defer lines.Close()
	logger := decisionlog.NewLogger(lines)
	own := platform.Options{MetricsPort: c.MetricsPort, LogOneIn: c.LogOneIn}
	servers := registry.New()
	g := gateway.New(set.Gateway(own), platform.Dialect{}, servers, logger)
	others, err := peers.Open(set.Host, set.PeerAddress(), set.Capacity(), g, logger)
	if err != nil {
		return err
	}
	g.UsePeers(others)
	asks, err := net.Listen("tcp", set.PeerAddress())
	if err != nil {
		return fault.New(fault.BadSettings, "%w", err).WithField("peers.listen")
	}
	share := configshare.New((&net.Dialer{}).DialContext, set.LinkMbps, logger)
	ctx, stop := stopSignals(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	follower := follow.New(follow.Dependencies{
		Connect: func(address string) follow.Store { return platform.NewStore(address, logger) }, Topics: platform.Topics, Decoder: platform.Decoder{},
		Gateway: g, Servers: servers, Peers: others, Share: share, Logger: logger,
	}, set.Follow())
	keeper := quarantine.NewPersister(g.Quarantine(), follower.Quarantine(), set.Host, logger)
	g.UseTrials(keeper)
	go keeper.Run(ctx)
	go share.Serve(ctx, asks)
	go follower.Run(ctx)
	go others.Run(ctx)
	go platform.WatchSettings(ctx, set, hangup, logger, func(s platform.Settings) {
		follower.SetSettings(s.Follow())
		g.SetSettings(s.Gateway(own))
	})
	go func() {
		<-stop
		others.AnnounceLeave()
	}()
	return g.Serve(ctx, stop)
}
