package cli

import (
	"context"
	"os"

	"github.com/merlinpost/merlinpost/internal/decisionlog"
	"github.com/merlinpost/merlinpost/internal/permit"
	"github.com/merlinpost/merlinpost/platform"
)

// runPermits is the agent's duty on the platform: it tells gateways when a long
// prompt may be sent to the engine beside it. It holds no request, so that it
// may end at once.
func runPermits(ctx context.Context) error {
	set, err := platform.ReadEngineSettings()
	if err != nil {
		return err
	}
	limitMemory(set.MemoryMB)
	lines := decisionlog.NewWriter(os.Stdout)
	defer lines.Close()
	logger := decisionlog.NewLogger(lines)
	server, err := permit.Listen(set.Permits, platform.EngineReporter(set.Engine), logger)
	if err != nil {
		return err
	}
	ctx, stop := stopSignals(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-stop
		cancel()
	}()
	ignoreHangup()
	logger.Info("agent started", "host", set.Host, "permits", set.Permits, "engine", set.Engine)
	server.Run(ctx)
	logger.Info("agent stopped")
	return nil
}
