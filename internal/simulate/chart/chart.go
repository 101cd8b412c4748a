// Package chart draws simulation results as text bar charts. It uses no graphics library,
// because one would add 3 MiB to the memory of every gateway, which runs the same binary.
package chart

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/merlinpost/merlinpost/internal/simulate"
)

// Series holds the mean on-time shares of one variant, by class.
type Series struct {
	Variant      simulate.Variant
	OnTimeShares []float64
}

// barLength is the length in characters of the bar for a share of 1.
const barLength = 50

// Write draws one group of bars for each class, with one bar for each variant. The shares of
// each series must be in the order of classes.
func Write(out io.Writer, classes []string, series []Series) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i, class := range classes {
		_, _ = fmt.Fprintf(table, "\n%s: share on time\n", class) // Flush reports a write error
		for _, s := range series {
			share := min(max(s.OnTimeShares[i], 0), 1)
			_, _ = fmt.Fprintf(table, "%s\t%s\t%.3f\n", s.Variant, strings.Repeat("#", int(share*barLength+0.5)), s.OnTimeShares[i])
		}
	}
	return table.Flush()
}

// MeanSeries averages the results of one variant over several seeds.
func MeanSeries(v simulate.Variant, seeds [][]simulate.ClassResult) Series {
	out := Series{Variant: v}
	for _, results := range seeds {
		if out.OnTimeShares == nil {
			out.OnTimeShares = make([]float64, len(results))
		}
		for i, r := range results {
			out.OnTimeShares[i] += r.OnTimeShare() / float64(len(seeds))
		}
	}
	return out
}

// ClassNames returns the class names of the results, in their order.
func ClassNames(results []simulate.ClassResult) []string {
	out := make([]string, len(results))
	for i, r := range results {
		out[i] = r.Name
	}
	return out
}
