package cli

import (
	"context"
	"io"
	"os"

	"github.com/merlinpost/merlinpost/internal/decisionlog"
	"github.com/merlinpost/merlinpost/internal/gateway"
	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/platform"
)

type gatewayCmd struct {
	MetricsPort int `arg:"--metrics-port" default:"9464" help:"port of the metrics page on the host's address; 0 for none"`
}

func (c *gatewayCmd) run(ctx context.Context, out io.Writer) error {
	set, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	lines := decisionlog.NewWriter(os.Stdout)
	logger := decisionlog.NewLogger(lines)
	servers := registry.New()
	g := gateway.New(set.Gateway(c.MetricsPort), platform.Dialect{}, servers, logger)
	ctx, stop := stopSignals(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	follower := platform.NewFollower(set, g, servers, logger)
	go follower.Run(ctx)
	go platform.WatchSettings(ctx, set, logger, func(s platform.Settings) {
		follower.SetSettings(s)
		g.SetSettings(s.Gateway(c.MetricsPort))
	})
	return g.Serve(ctx, stop)
}
