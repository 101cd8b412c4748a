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
	MetricsPort int    `arg:"--metrics-port" default:"9464" help:"port of the metrics endpoint on the host's address; 0 disables it"`
	LogOneIn    uint64 `arg:"--log-one-in" default:"16" help:"log one in this many of the successful requests that needed no retry"`
}

// memoryLimitRatio is the Go memory limit as a fraction of the host's memory. The rest
// is for memory that the Go runtime does not account for, such as socket buffers.
const memoryLimitRatio = 0.7

func setMemoryLimit(megabytes float64) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * megabytes * (1 << 20)))
	}
}

func (c *gatewayCmd) run(ctx context.Context, _ io.Writer) error {
	// Must come first: a SIGHUP before this call terminates the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	set, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	setMemoryLimit(set.MemoryMB)
	logWriter := decisionlog.NewWriter(os.Stdout)
	defer logWriter.Close()
	logger := decisionlog.NewLogger(logWriter)
	options := platform.Options{MetricsPort: c.MetricsPort, LogOneIn: c.LogOneIn}
	servers := registry.New()
	gw := gateway.New(set.Gateway(options), platform.Dialect{}, servers, logger)
	peerGroup, err := peers.Open(set.Host, set.PeerAddress(), set.Capacity(), gw, logger)
	if err != nil {
		return err
	}
	gw.UsePeers(peerGroup)
	shareListener, err := net.Listen("tcp", set.PeerAddress())
	if err != nil {
		return fault.New(fault.BadSettings, "%w", err).WithField("peers.listen")
	}
	share := configshare.New((&net.Dialer{}).DialContext, set.LinkMbps, logger)
	ctx, stop := notifyStop(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	follower := follow.New(follow.Dependencies{
		Connect: func(address string) follow.Store { return platform.NewStore(address, logger) }, Topics: platform.Topics, Decoder: platform.Decoder{},
		Gateway: gw, Servers: servers, Peers: peerGroup, Share: share, Logger: logger,
	}, set.Follow())
	quarantineSync := quarantine.NewPersister(gw.Quarantine(), follower.Quarantine(), set.Host, logger)
	partSync := quarantine.NewPartPersister(gw.PromptParts(), quarantineSync)
	gw.UseTrials(quarantineSync, partSync)
	go quarantineSync.Run(ctx)
	go partSync.Run(ctx)
	go share.Serve(ctx, shareListener)
	go follower.Run(ctx)
	go peerGroup.Run(ctx)
	go platform.WatchSettings(ctx, set, reload, logger, func(s platform.Settings) {
		follower.SetSettings(s.Follow())
		gw.SetSettings(s.Gateway(options))
	})
	go func() {
		<-stop
		peerGroup.AnnounceLeave()
	}()
	return gw.Serve(ctx, stop)
}
