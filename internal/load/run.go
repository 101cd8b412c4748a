package load

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/dev"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/standin/engine"
)

// Run runs a scenario once, with every rate multiplied by factor, and returns its report. It
// uses the embedded deployment with the given policy if the scenario has one, and otherwise the
// scenario's routers.
func Run(ctx context.Context, s *Scenario, policy Policy, factor float64, logger *slog.Logger) (*Report, error) {
	if s.Deployment == nil {
		if len(s.Routers) == 0 {
			return nil, fault.New(fault.BadSettings, "the scenario needs routers or a deployment").WithField("routers")
		}
		return sendRequests(ctx, s, s.Routers, factor, func(time.Duration) {}), nil
	}
	d, err := startDeployment(ctx, s, policy, logger)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	slowed := false
	rep := sendRequests(ctx, s, []string{d.CallersAddress()}, factor, func(at time.Duration) {
		if dep := s.Deployment; dep.Slow > 1 && !slowed && at >= settings.Millis(dep.SlowFromMS) {
			slowed = true
			d.Engines[0].SetFaults(engine.Faults{StepTimeFactor: dep.Slow})
		}
	})
	rep.addGeneratedTokens(d)
	return rep, nil
}

// startDeployment starts the embedded deployment of a scenario.
func startDeployment(ctx context.Context, s *Scenario, policy Policy, logger *slog.Logger) (*dev.Deployment, error) {
	dep := s.Deployment
	classes, teams := map[string]*resource.Class{}, map[string]*resource.Team{}
	var names []string
	for i := range s.Streams {
		c := resourceClass(&s.Streams[i])
		if e := validateClass(c); e != nil {
			return nil, e
		}
		classes[s.Streams[i].Class] = c
		names = append(names, s.Streams[i].Class)
	}
	for _, t := range s.Teams {
		teams[t.Name] = &resource.Team{KeysSHA256: []string{resource.HashAPIKey(t.Key)}, DefaultClass: names[0], Classes: names}
	}
	disabled := func(part string) bool { return slices.Contains(policy.Without, part) }
	return dev.Start(ctx, dev.Options{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Engines: dep.Engines, Slots: dep.Slots,
		Step: time.Duration(dep.StepMS * float64(time.Millisecond)), Classes: classes, Teams: teams,
		ConfigureAgent: func(a *settings.Agent) {
			if policy.Order != "" {
				a.Admission.Order = policy.Order
			}
			if policy.MaxPreemptions != nil {
				a.Admission.MaxPreemptions = *policy.MaxPreemptions
			}
			a.Admission.QueueLimit = 100_000
			a.Admission.Preemption, a.Admission.Floors = !disabled("preemption"), !disabled("floors")
			a.Admission.Fairness, a.Admission.EarlyRefusal = !disabled("fairness"), !disabled("early_refusal")
		},
		ConfigureRouter: func(r *settings.Router) {
			if policy.Choice != "" {
				r.Policy.Choice = policy.Choice
			}
			r.Policy.PrefixAffinity, r.Policy.DomainAffinity = !disabled("prefix"), !disabled("domain")
			r.Policy.StragglerPenalty, r.Policy.CountUnreported = !disabled("straggler"), !disabled("corrected")
			r.Callers.MaxRequests = 1_000_000
		}}, logger)
}

func resourceClass(s *Stream) *resource.Class {
	wait := s.MaxWaitMS
	if wait == 0 {
		wait = 60_000
	}
	return &resource.Class{Tier: s.Tier, FirstTokenMS: s.FirstTokenMS, BetweenTokensMS: s.BetweenTokensMS, TotalMS: s.TotalMS,
		MaxWaitMS: wait, MaxRunMS: max(wait, 3_600_000), Floor: s.Floor, Preemptible: s.Preemptible, MaxTokens: max(s.TokensMax, 1)}
}

func validateClass(c *resource.Class) error {
	if c.Tier == 0 && c.Preemptible {
		return fault.New(fault.BadSettings, "a class of tier 0 can't be preemptible, because tier 0 is never preempted").WithField("stream.preemptible")
	}
	return nil
}

// drainTimeout is how long to wait for responses after the end of the scenario.
const drainTimeout = 2 * time.Minute

// sendRequests sends each planned request at its intended time, without waiting for earlier
// responses, and waits for all responses at the end. beforeSend is called before each request
// with its intended offset from the start.
func sendRequests(ctx context.Context, s *Scenario, routers []string, factor float64, beforeSend func(time.Duration)) *Report {
	requests := planRequests(s, factor)
	c := newClient(routers)
	ctx, cancel := context.WithTimeout(ctx, s.duration()+drainTimeout)
	defer cancel()
	results := make([]*result, len(requests))
	var inFlight sync.WaitGroup
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range requests {
		intended := start.Add(requests[i].sendOffset)
		if d := time.Until(intended); d > 0 {
			timer.Reset(d)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		beforeSend(requests[i].sendOffset)
		inFlight.Go(func() { results[i] = c.send(ctx, &requests[i], intended) })
	}
	inFlight.Wait()
	return buildReport(s, results, time.Since(start))
}
