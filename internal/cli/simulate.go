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
)

type simulateCmd struct {
	Engines  int           `arg:"--engines" default:"12" help:"number of engines"`
	Gateways int           `arg:"--gateways" default:"5" help:"number of gateways"`
	Factor   float64       `arg:"--factor" default:"1" help:"load against the Board's"`
	Length   time.Duration `arg:"--length" default:"30s" help:"simulated time with arrivals"`
	Seeds    uint64        `arg:"--seeds" default:"3" help:"number of seeds, from 1 on"`
	Variants []string      `arg:"--variant,separate" help:"product, no_permits, no_parts or least_requests; all if left out"`
}

func (c *simulateCmd) run(_ context.Context, out io.Writer) error {
	if c.Engines < 1 || c.Gateways < 1 || c.Factor <= 0 || c.Length <= 0 || c.Seeds < 1 {
		return fault.New(fault.BadSettings, "engines, gateways, factor, length and seeds must be above 0").InField("simulate")
	}
	variants := simulate.Variants
	if len(c.Variants) > 0 {
		variants = nil
		for _, name := range c.Variants {
			if !slices.Contains(simulate.Variants, simulate.Variant(name)) {
				return fault.New(fault.BadSettings, "%q is no variant", name).InField("--variant")
			}
			variants = append(variants, simulate.Variant(name))
		}
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "variant\tseed\tclass\tasked\tin time\tserved\trefused\tfailed\tfirst p50 ms\tp95 ms\t")
	for _, v := range variants {
		for seed := uint64(1); seed <= c.Seeds; seed++ {
			for _, r := range simulate.Run(simulate.Config{Engines: c.Engines, Gateways: c.Gateways, Engine: simulate.DefaultEngine(),
				Classes: simulate.Board(c.Engines, c.Factor), Length: c.Length, Seed: seed, Variant: v}) {
				_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%.3f\t%.3f\t%d\t%d\t%.0f\t%.0f\t\n", v, seed, r.Name, r.Asked, r.InTime(), r.Served(),
					r.Refused, r.Failed, r.FirstTokenP50, r.FirstTokenP95Ms)
			}
		}
	}
	return table.Flush()
}
