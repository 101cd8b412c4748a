// Package chart draws what simulated variants of the policy gave their callers, as
// bars of text: a drawing library would add 3 MiB to the memory of every gateway, which
// is the same program.
package chart

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/merlinpost/merlinpost/internal/simulate"
)

// Series is one variant with the mean share of requests that were on time in each
// class, in the order of the classes.
type Series struct {
	Variant      simulate.Variant
	OnTimeShares []float64
}

// barLength is the length in characters of a bar for a share of 1.
const barLength = 50

// Write draws a group of bars for each class, a bar for each variant.
func Write(out io.Writer, classes []string, series []Series) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i, class := range classes {
		_, _ = fmt.Fprintf(table, "\n%s: share in time\n", class) // a failure shows at Flush
		for _, s := range series {
			share := min(max(s.OnTimeShares[i], 0), 1)
			_, _ = fmt.Fprintf(table, "%s\t%s\t%.3f\n", s.Variant, strings.Repeat("#", int(share*barLength+0.5)), s.OnTimeShares[i])
		}
	}
	return table.Flush()
}

// Mean returns the mean of the results of several seeds of one variant.
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

// Classes returns the names of the classes of a result.
func ClassNames(results []simulate.ClassResult) []string {
	out := make([]string, len(results))
	for i, r := range results {
		out[i] = r.Name
	}
	return out
}
