package quota

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// The bound on what n routers admit together, over random arrivals.
func TestRoutersTogetherStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := rapid.IntRange(1, 8).Draw(t, "routers")
		team := &resource.Team{Rate: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: rapid.IntRange(1, 50).Draw(t, "burst"),
			Concurrency: rapid.IntRange(0, 20).Draw(t, "concurrency")}
		routers := make([]*Teams, n)
		for i := range routers {
			routers[i] = NewTeams(epoch)
		}
		now, admitted := epoch, 0
		var open []func()
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if len(open) > 0 && rapid.Bool().Draw(t, "one ends") {
				open[0]()
				open = open[1:]
			}
			release, e := routers[rapid.IntRange(0, n-1).Draw(t, "router")].Admit(now, "team", team, n)
			if e != nil {
				g.Expect(e.Outcome).To(Equal(fault.NotRun))
				g.Expect(e.RetryAfter).To(BeNumerically(">", 0))
				continue
			}
			admitted++
			open = append(open, release)
			if team.Concurrency > 0 {
				g.Expect(len(open)).To(BeNumerically("<=", team.Concurrency+n-1))
			}
		}
		bound := team.Rate*now.Sub(epoch).Seconds() + float64(team.Burst) + float64(n)
		g.Expect(float64(admitted)).To(BeNumerically("<=", bound+1e-6))
	})
}

func TestARefusedTeamIsToldWhenToComeBack(t *testing.T) {
	g := NewWithT(t)
	q := NewTeams(epoch)
	team := &resource.Team{Rate: 2, Burst: 1}
	_, e := q.Admit(epoch, "a", team, 1)
	g.Expect(e).To(BeNil())
	_, e = q.Admit(epoch, "a", team, 1)
	g.Expect(e.Code).To(Equal(fault.TeamRate))
	_, e = q.Admit(epoch.Add(e.RetryAfter), "a", team, 1)
	g.Expect(e).To(BeNil())
	_, e = q.Admit(epoch, "b", team, 1)
	g.Expect(e).To(BeNil(), "another team has limits of its own")
}

func TestIdleTeamsAreForgotten(t *testing.T) {
	g := NewWithT(t)
	q := NewTeams(epoch)
	release, _ := q.Admit(epoch, "a", &resource.Team{}, 1)
	release()
	_, _ = q.Admit(epoch.Add(2*forgetAfter), "b", &resource.Team{}, 1)
	g.Expect(q.teams).To(HaveLen(1))
}
