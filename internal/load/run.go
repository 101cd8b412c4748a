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

// Run runs a scenario once, with every rate multiplied by factor, and reports.
func Run(ctx context.Context, s *Scenario, policy Policy, factor float64, logger *slog.Logger) (*Report, error) {
	if s.Deployment == nil {
		if len(s.Routers) == 0 {
			return nil, fault.New(fault.BadSettings, "either routers or a deployment is needed").WithField("routers")
		}
		return drive(ctx, s, s.Routers, factor, func(time.Duration) {}), nil
	}
	d, err := start(ctx, s, policy, logger)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	slowed := false
	rep := drive(ctx, s, []string{d.CallersAddress()}, factor, func(at time.Duration) {
		if dep := s.Deployment; dep.Slow > 1 && !slowed && at >= settings.Millis(dep.SlowFromMS) {
			slowed = true
			d.Engines[0].SetFaults(engine.Faults{StepTimeFactor: dep.Slow})
		}
	})
	rep.addMade(d)
	return rep, nil
}

// start starts the embedded deployment of a scenario.
func start(ctx context.Context, s *Scenario, policy Policy, logger *slog.Logger) (*dev.Deployment, error) {
	dep := s.Deployment
	classes, teams := map[string]*resource.Class{}, map[string]*resource.Team{}
	var names []string
	for i := range s.Streams {
		c := classOf(&s.Streams[i])
		if e := checkClass(c); e != nil {
			return nil, e
		}
		classes[s.Streams[i].Class] = c
		names = append(names, s.Streams[i].Class)
	}
	for _, t := range s.Teams {
		teams[t.Name] = &resource.Team{KeysSHA256: []string{resource.HashAPIKey(t.Key)}, DefaultClass: names[0], Classes: names}
	}
	off := func(part string) bool { return slices.Contains(policy.Without, part) }
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
			a.Admission.Preemption, a.Admission.Floors = !off("preemption"), !off("floors")
			a.Admission.Fairness, a.Admission.EarlyRefusal = !off("fairness"), !off("early_refusal")
		},
		ConfigureRouter: func(r *settings.Router) {
			if policy.Choice != "" {
				r.Policy.Choice = policy.Choice
			}
			r.Policy.Prefix, r.Policy.Domain = !off("prefix"), !off("domain")
			r.Policy.Straggler, r.Policy.Corrected = !off("straggler"), !off("corrected")
			r.Callers.MaxRequests = 1_000_000
		}}, logger)
}

func classOf(s *Stream) *resource.Class {
	wait := s.MaxWaitMS
	if wait == 0 {
		wait = 60_000
	}
	return &resource.Class{Tier: s.Tier, FirstTokenMS: s.FirstTokenMS, BetweenTokensMS: s.BetweenTokensMS, TotalMS: s.TotalMS,
		MaxWaitMS: wait, MaxRunMS: max(wait, 3_600_000), Floor: s.Floor, Preemptible: s.Preemptible, MaxTokens: max(s.TokensMax, 1)}
}

func checkClass(c *resource.Class) error {
	if c.Tier == 0 && c.Preemptible {
		return fault.New(fault.BadSettings, "the top tier is never preempted").WithField("stream.preemptible")
	}
	return nil
}

// tail is how long answers are waited for after the last request was sent.
const tail = 2 * time.Minute

// drive sends the planned requests, each at its time, and waits for the
// answers. each is called before every request with the time since the start.
func drive(ctx context.Context, s *Scenario, routers []string, factor float64, each func(time.Duration)) *Report {
	plan := schedule(s, factor)
	c := newClient(routers)
	ctx, cancel := context.WithTimeout(ctx, s.duration()+tail)
	defer cancel()
	results := make([]*result, len(plan))
	var callers sync.WaitGroup
	begin := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range plan {
		intended := begin.Add(plan[i].at)
		if d := time.Until(intended); d > 0 {
			timer.Reset(d)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		each(plan[i].at)
		callers.Go(func() { results[i] = c.do(ctx, &plan[i], intended) })
	}
	callers.Wait()
	return report(s, results, time.Since(begin))
}
