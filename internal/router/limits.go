package router

import (
	"context"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/membership"
	"github.com/merlinpost/merlinpost/internal/quota"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// Admit takes a request of the team in if its limits allow. The team's home
// router decides; while it can't be reached, each router enforces an equal
// share. The caller calls the returned function when the request has ended.
func (r *Router) Admit(ctx context.Context, name string, team *resource.Team) (func(), *fault.Error) {
	if team.Rate == 0 && team.Concurrency == 0 {
		return func() {}, nil
	}
	peers := r.peers()
	home, listed := peers[rendezvous.First(name, names(peers))]
	if !listed || r.post == nil {
		return r.quota.Admit(time.Now(), name, team, len(peers))
	}
	ask := quota.GrantRequest{Seq: r.askSeq.Add(1), Team: name, Router: r.processName()}
	var lent quota.GrantResponse
	answered := true
	if home.Name == r.set.Name {
		lent = (*teamHome)(r).Acquire(ask)
	} else {
		lent, answered = r.post.Acquire(ctx, home.Address, ask)
	}
	switch {
	case !answered:
		telemetry.Count("merlinpost_lending_fallback_total")
		r.tellClosed(name, home, r.quota.DiscardGrant(name, ask.Seq)) // it may have been granted
		return r.quota.Admit(time.Now(), name, team, len(peers))
	case lent.Granted:
		r.quota.StartGranted(time.Now(), name)
		return func() { r.tellClosed(name, home, r.quota.EndGranted(name, ask.Seq)) }, nil
	}
	return nil, quota.RefusalError(lent, team)
}

// processName names this process to the homes of teams.
func (r *Router) processName() string { return r.set.Name + "/" + r.incarnation }

// tellClosed tells a team's home that requests ended.
func (r *Router) tellClosed(name string, home membership.Member, seqs []uint64) {
	closed := quota.ReleaseNotice{Team: name, Router: r.processName(), Seqs: seqs}
	if home.Name == r.set.Name {
		(*teamHome)(r).Release(closed)
		return
	}
	r.post.Release(home.Address, closed)
}

// teamHome is a router as the home of teams; it implements lending.Home.
type teamHome Router

// Lend implements lending.Home.
func (h *teamHome) Acquire(ask quota.GrantRequest) quota.GrantResponse {
	team := h.Config.View().Teams[ask.Team]
	if team == nil {
		return quota.GrantResponse{Seq: ask.Seq, RetryAfterMS: time.Second.Milliseconds()}
	}
	return h.ledger.Acquire(time.Now(), ask, team, len((*Router)(h).peers()))
}

// Close implements lending.Home.
func (h *teamHome) Release(c quota.ReleaseNotice) { h.ledger.Release(c) }

// Heard implements lending.Home.
func (h *teamHome) MarkReachable(router string) { h.ledger.MarkReachable(time.Now(), router) }

// PeersAddress returns the address for the asks of other routers; empty if
// there is none.
func (r *Router) PeersAddress() string {
	if r.post == nil {
		return ""
	}
	return r.post.Address()
}

// peers returns the live routers of the membership list, and this one.
func (r *Router) peers() map[string]membership.Member {
	out := map[string]membership.Member{}
	for name, m := range r.members.Members() {
		if m.Role == "router" && m.State == membership.Live {
			out[name] = m
		}
	}
	if _, listed := out[r.set.Name]; !listed && r.post != nil {
		out[r.set.Name] = membership.Member{Name: r.set.Name, Role: "router", Address: r.post.Address(), State: membership.Live}
	}
	return out
}

func names(members map[string]membership.Member) []string {
	out := make([]string, 0, len(members))
	for n := range members {
		out = append(out, n)
	}
	return out
}

// pingPeers tells every other router, in turn, that this one reaches it; a
// router new to the list is told at once.
func (r *Router) pingPeers(ctx context.Context) {
	told := map[string]time.Time{}
	tick := time.NewTicker(pingTick)
	defer tick.Stop()
	for {
		now := time.Now()
		peers := r.peers()
		telemetry.SetGauge("merlinpost_router_peers", float64(len(peers)))
		for name, m := range peers {
			if now.Sub(told[name]) >= quota.PingInterval {
				told[name] = now
				r.post.Ping(m.Address, r.processName())
			}
		}
		for name := range told {
			if _, listed := peers[name]; !listed {
				delete(told, name)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// pingTick is how often the list is looked through for routers to ping.
const pingTick = time.Second
