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

// Admit checks a request against the limits of its team. The team's home router
// decides; while it is unreachable, each router enforces an equal share of the
// limits. The returned function must be called when the request has ended.
func (r *Router) Admit(ctx context.Context, name string, team *resource.Team) (func(), *fault.Error) {
	if team.Rate == 0 && team.Concurrency == 0 {
		return func() {}, nil
	}
	peers := r.liveRouters()
	home, listed := peers[rendezvous.First(name, memberNames(peers))]
	if !listed || r.quotaTransport == nil {
		return r.localLimiter.Admit(time.Now(), name, team, len(peers))
	}
	request := quota.GrantRequest{Seq: r.quotaRequestSeq.Add(1), Team: name, Router: r.instanceID()}
	var reply quota.GrantResponse
	answered := true
	if home.Name == r.settings.Name {
		reply = (*quotaHome)(r).Acquire(request)
	} else {
		reply, answered = r.quotaTransport.Acquire(ctx, home.Address, request)
	}
	switch {
	case !answered:
		telemetry.Count("merlinpost_lending_fallback_total")
		r.releaseGrants(name, home, r.localLimiter.DiscardGrant(name, request.Seq)) // the home may have granted it
		return r.localLimiter.Admit(time.Now(), name, team, len(peers))
	case reply.Granted:
		r.localLimiter.BeginGranted(time.Now(), name)
		return func() { r.releaseGrants(name, home, r.localLimiter.EndGranted(name, request.Seq)) }, nil
	}
	return nil, quota.RefusalError(reply, team)
}

// processName identifies this process to the home routers of teams.
func (r *Router) instanceID() string { return r.settings.Name + "/" + r.incarnation }

// reportEnded reports ended requests to the team's home router.
func (r *Router) releaseGrants(name string, home membership.Member, seqs []uint64) {
	notice := quota.ReleaseNotice{Team: name, Router: r.instanceID(), Seqs: seqs}
	if home.Name == r.settings.Name {
		(*quotaHome)(r).Release(notice)
		return
	}
	r.quotaTransport.Release(home.Address, notice)
}

// teamHome is a Router in its role as the home of teams. It implements lending.Home.
type quotaHome Router

// Acquire implements lending.Home.
func (h *quotaHome) Acquire(request quota.GrantRequest) quota.GrantResponse {
	team := h.Config.View().Teams[request.Team]
	if team == nil {
		return quota.GrantResponse{Seq: request.Seq, RetryAfterMS: time.Second.Milliseconds()}
	}
	return h.homeLimiter.Acquire(time.Now(), request, team, len((*Router)(h).liveRouters()))
}

// Release implements lending.Home.
func (h *quotaHome) Release(c quota.ReleaseNotice) { h.homeLimiter.Release(c) }

// MarkReachable implements lending.Home.
func (h *quotaHome) MarkReachable(router string) { h.homeLimiter.MarkReachable(time.Now(), router) }

// PeersAddress returns the address that serves quota requests of other routers,
// or "" if there is none.
func (r *Router) QuotaAddress() string {
	if r.quotaTransport == nil {
		return ""
	}
	return r.quotaTransport.Address()
}

// liveRouters returns the live routers of the membership list. A router with a
// lending endpoint always includes itself, listed or not.
func (r *Router) liveRouters() map[string]membership.Member {
	out := map[string]membership.Member{}
	for name, m := range r.members.Members() {
		if m.Role == "router" && m.State == membership.StateLive {
			out[name] = m
		}
	}
	if _, listed := out[r.settings.Name]; !listed && r.quotaTransport != nil {
		out[r.settings.Name] = membership.Member{Name: r.settings.Name, Role: "router", Address: r.quotaTransport.Address(), State: membership.StateLive}
	}
	return out
}

func memberNames(members map[string]membership.Member) []string {
	out := make([]string, 0, len(members))
	for n := range members {
		out = append(out, n)
	}
	return out
}

// pingPeers pings every live router each quota.PingInterval, and one that is new to
// the membership list at the next check.
func (r *Router) pingPeers(ctx context.Context) {
	lastPing := map[string]time.Time{}
	tick := time.NewTicker(pingCheckInterval)
	defer tick.Stop()
	for {
		now := time.Now()
		peers := r.liveRouters()
		telemetry.SetGauge("merlinpost_router_peers", float64(len(peers)))
		for name, m := range peers {
			if now.Sub(lastPing[name]) >= quota.PingInterval {
				lastPing[name] = now
				r.quotaTransport.Ping(m.Address, r.instanceID())
			}
		}
		for name := range lastPing {
			if _, listed := peers[name]; !listed {
				delete(lastPing, name)
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// pingCheckInterval is how often the membership list is checked for due pings.
const pingCheckInterval = time.Second
