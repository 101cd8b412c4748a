package load

import (
	"context"
	"log/slog"
	"slices"
)

// Plan says which runs an experiment makes: each variant with each factor and
// each seed. Empty lists mean 1, the scenario's seed, and all variants.
type ExperimentPlan struct {
	Factors      []float64
	Seeds        []uint64
	VariantNames []string
}

// Experiment makes the runs of a plan, one after another, and reports each.
func RunExperiment(ctx context.Context, s *Scenario, p ExperimentPlan, logger *slog.Logger, done func(*Report)) ([]*Report, error) {
	if len(p.Factors) == 0 {
		p.Factors = []float64{1}
	}
	if len(p.Seeds) == 0 {
		p.Seeds = []uint64{s.Seed}
	}
	var out []*Report
	for _, factor := range p.Factors {
		for _, seed := range p.Seeds {
			for _, v := range s.variants(p.VariantNames) {
				run := *s
				run.Seed = seed
				rep, err := Run(ctx, &run, v.Policy, factor, logger)
				if err != nil {
					return out, err
				}
				rep.Variant, rep.Factor = v.Name, factor
				out = append(out, rep)
				done(rep)
				if ctx.Err() != nil {
					return out, nil
				}
			}
		}
	}
	return out, nil
}

// variants returns the policies to run: the scenario's own first.
func (s *Scenario) variants(only []string) []Variant {
	all := []Variant{{Name: "merlinpost"}}
	if s.Deployment != nil {
		all[0].Policy = s.Deployment.Policy
		all = append(all, s.Variants...)
	}
	if len(only) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(v Variant) bool { return !slices.Contains(only, v.Name) })
}
