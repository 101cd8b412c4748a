package load

import (
	"context"
	"log/slog"
	"slices"
)

// ExperimentPlan lists the load factors, seeds and variants of an experiment, which runs every
// combination of them. The defaults for empty lists are factor 1, the scenario's seed and all
// variants.
type ExperimentPlan struct {
	Factors      []float64
	Seeds        []uint64
	VariantNames []string
}

// RunExperiment executes the runs of a plan one after another and calls onReport after each. If
// ctx is cancelled, it returns the reports so far, including that of the interrupted run.
func RunExperiment(ctx context.Context, s *Scenario, p ExperimentPlan, logger *slog.Logger, onReport func(*Report)) ([]*Report, error) {
	if len(p.Factors) == 0 {
		p.Factors = []float64{1}
	}
	if len(p.Seeds) == 0 {
		p.Seeds = []uint64{s.Seed}
	}
	var out []*Report
	for _, factor := range p.Factors {
		for _, seed := range p.Seeds {
			for _, v := range s.selectVariants(p.VariantNames) {
				run := *s
				run.Seed = seed
				report, err := Run(ctx, &run, v.Policy, factor, logger)
				if err != nil {
					return out, err
				}
				report.Variant, report.Factor = v.Name, factor
				out = append(out, report)
				onReport(report)
				if ctx.Err() != nil {
					return out, nil
				}
			}
		}
	}
	return out, nil
}

// ownVariant is the name of the variant with the scenario's own policy.
const ownVariant = "merlinpost"

// selectVariants returns the variants to run, the scenario's own policy first. An empty list of
// names selects all.
func (s *Scenario) selectVariants(names []string) []Variant {
	all := []Variant{{Name: ownVariant}}
	if s.Deployment != nil {
		all[0].Policy = s.Deployment.Policy
		all = append(all, s.Variants...)
	}
	if len(names) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(v Variant) bool { return !slices.Contains(names, v.Name) })
}
