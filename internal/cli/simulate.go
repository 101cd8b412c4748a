package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/simulate"
	"github.com/merlinpost/merlinpost/internal/simulate/chart"
)

type simulateCmd struct {
	Scenario string        `arg:"--scenario" default:"advisory" help:"engines and load: advisory, routes, reviews or slow"`
	Engines  int           `arg:"--engines" default:"12" help:"number of engines"`
	Gateways int           `arg:"--gateways" default:"5" help:"number of gateways"`
	Factor   float64       `arg:"--factor" default:"1" help:"factor for the scenario's load"`
	Length   time.Duration `arg:"--length" default:"30s" help:"simulated time during which requests arrive"`
	Seeds    uint64        `arg:"--seeds" default:"3" help:"number of random seeds, starting at 1"`
	Variants []string      `arg:"--variant,separate" help:"variant to simulate: product, no_permits, no_harm, no_pacing, no_order, together, no_learning, no_fetch, by_arrival, patient, no_ranks, least_requests; repeat for several (default all)"`
	Plot     bool          `arg:"--plot" help:"plot the shares of requests answered in time below the table"`
}

func (c *simulateCmd) run(_ context.Context, out io.Writer) error {
	if c.Engines < 1 || c.Gateways < 1 || c.Factor <= 0 || c.Length <= 0 || c.Seeds < 1 {
		return fault.New(fault.BadSettings, "engines, gateways, factor, length and seeds must be greater than 0").WithField("simulate")
	}
	scenario, found := simulate.FindScenario(c.Scenario)
	if !found {
		return fault.New(fault.BadSettings, "unknown scenario %q", c.Scenario).WithField("--scenario")
	}
	variants := simulate.Variants
	if len(c.Variants) > 0 {
		variants = nil
		for _, name := range c.Variants {
			if !slices.Contains(simulate.Variants, simulate.Variant(name)) {
				return fault.New(fault.BadSettings, "unknown variant %q", name).WithField("--variant")
			}
			variants = append(variants, simulate.Variant(name))
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "variant\tseed\tclass\tasked\tin time\tserved\trefused\tfailed\tfirst p50 ms\tp95 ms\t")
	var (
		series  []chart.Series
		classes []string
	)
	for _, v := range variants {
		var seedResults [][]simulate.ClassResult
		for seed := uint64(1); seed <= c.Seeds; seed++ {
			results := simulate.Run(simulate.Config{Engines: c.Engines, Gateways: c.Gateways, Engine: scenario.Engine,
				Classes: scenario.Classes(c.Engines, c.Factor), Duration: c.Length, Seed: seed, Variant: v})
			for _, r := range results {
				_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%.3f\t%.3f\t%d\t%d\t%.0f\t%.0f\t\n", v, seed, r.Name, r.Requests, r.OnTimeShare(), r.ServedShare(),
					r.Refused, r.Failed, r.FirstTokenP50Ms, r.FirstTokenP95Ms)
			}
			seedResults, classes = append(seedResults, results), chart.ClassNames(results)
		}
		series = append(series, chart.MeanSeries(v, seedResults))
	}
	if err := table.Flush(); err != nil {
		return fault.New(fault.BadSettings, "%w", err).WithField("simulate")
	}
	if !c.Plot {
		return nil
	}
	return chart.Write(out, classes, series)
}
