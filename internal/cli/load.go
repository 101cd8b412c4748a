package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/merlinpost/merlinpost/internal/load"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

type loadCmd struct {
	Scenario string    `arg:"positional,required" help:"scenario file (TOML)"`
	Factors  []float64 `arg:"--factor,separate" help:"factor for every request rate; repeat for several (default 1)"`
	Seeds    []uint64  `arg:"--seed,separate" help:"random seed instead of the scenario's; repeat for several"`
	Variants []string  `arg:"--variant,separate" help:"run only this variant; repeat for several (default all)"`
	JSON     string    `arg:"--json" help:"also write the reports to this file, as JSON"`
}

func (c *loadCmd) run(ctx context.Context, out io.Writer) error {
	s, err := load.ReadScenario(c.Scenario)
	if err != nil {
		return err
	}
	ctx, stop := notifyStop(ctx)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-stop
		cancel()
	}()
	logger := telemetry.NewLogger(os.Stderr, settings.Logging{Format: "text", Level: "error"})
	reports, err := load.RunExperiment(ctx, s, load.ExperimentPlan{Factors: c.Factors, Seeds: c.Seeds, VariantNames: c.Variants}, logger, func(r *load.Report) {
		_, _ = fmt.Fprintf(os.Stderr, "done: variant %q factor %.2f seed %d\n", r.Variant, r.Factor, r.Seed) // progress output; errors are ignored
	})
	if err != nil {
		return err
	}
	if c.JSON != "" {
		if err := writeReports(c.JSON, reports); err != nil {
			return err
		}
	}
	return load.WriteText(out, reports)
}

func writeReports(path string, reports []*load.Report) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := load.WriteJSON(f, reports); err != nil {
		_ = f.Close() // the write error is the one to report
		return err
	}
	return f.Close()
}
