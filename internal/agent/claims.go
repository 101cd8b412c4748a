package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/merlinpost/merlinpost/internal/configlog"
	"github.com/merlinpost/merlinpost/internal/execution"
	"github.com/merlinpost/merlinpost/internal/receipt"
	"github.com/merlinpost/merlinpost/internal/rendezvous"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// claimTimeout limits how long a claim waits for the witness before it is made on
// the log.
const claimTimeout = 300 * time.Millisecond

// claimKey claims a key with its witness and passes the result to the core, which
// decides on it.
func (a *Agent) claimKey(ctx context.Context, k execution.AttemptKey, o *wire.Offer) {
	select {
	case <-a.lease.Held():
	default: // without a lease on the log, a later process could not know of this one
		a.loop.decideClaim(ctx, k, o, receipt.WitnessUnreachable, true)
		return
	}
	pool := poolOfService(a.config.View(), o.Target)
	names := serverNames(pool)
	ranked := rendezvous.Rank(o.IdempotencyKey, names)
	if len(ranked) == 0 || ranked[0] != a.settings.Name { // the router used an older configuration
		a.loop.decideClaim(ctx, k, o, receipt.WitnessUnreachable, true)
		return
	}
	moved := a.homeMoved(o)
	if len(ranked) < 2 {
		a.loop.decideClaim(ctx, k, o, receipt.NoWitness, moved)
		return
	}
	answer := a.witnesses.claim(ctx, pool.Server(ranked[1]), &wire.ClaimRequest{Key: o.IdempotencyKey, Holder: a.settings.Name + "/" + a.incarnation,
		Digest: o.BodyDigest, RetentionMS: o.KeyRetentionMS})
	telemetry.Count("merlinpost_agent_claims_total", "word", answer.String())
	a.loop.decideClaim(ctx, k, o, answer, moved)
}

func poolOfService(v *resource.View, service string) *resource.Pool {
	if s := v.Services[service]; s != nil {
		return v.Pools[s.Pool]
	}
	return nil
}

func serverNames(p *resource.Pool) []string {
	if p == nil {
		return nil
	}
	names := make([]string, len(p.Servers))
	for i, s := range p.Servers {
		names[i] = s.Name
	}
	return names
}

// loggedClaim is a record in an agent's claim stream on the log.
type claimRecord struct {
	Key      string `json:"key"`
	Digest   uint64 `json:"digest"`
	WindowMS int64  `json:"window_ms"`
}

// logClaim appends a claim to the log and then lets the call start. The call is
// refused if the append fails.
func (a *Agent) appendClaim(ctx context.Context, k execution.AttemptKey, o *wire.Offer) {
	decision := receipt.Run
	data, err := json.Marshal(claimRecord{o.IdempotencyKey, o.BodyDigest, o.KeyRetentionMS})
	if err == nil {
		_, err = a.configLog.Append(ctx, configlog.ClaimStream(a.settings.Name), data)
	}
	if err != nil {
		decision = receipt.Refuse
	}
	telemetry.Count("merlinpost_agent_claims_on_log_total")
	a.loop.post(ctx, func(now time.Time) { a.loop.core.ClaimDecided(now, k, decision) })
}

// recoverClaims reads the claims of earlier processes of this agent from the log.
func (a *Agent) recoverClaims(ctx context.Context) {
	select {
	case <-a.lease.Held():
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		var claims []claimRecord
		_, _, err := configlog.ReadAll(ctx, a.configLog, configlog.ClaimStream(a.settings.Name), func(e configlog.Entry) {
			var c claimRecord
			if json.Unmarshal(e.Data, &c) == nil {
				claims = append(claims, c)
			}
		})
		if err == nil {
			a.loop.post(ctx, func(now time.Time) { a.restoreClaims(now, claims) })
			return
		}
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) restoreClaims(now time.Time, claims []claimRecord) {
	keys := a.loop.core.Keys()
	for _, c := range claims {
		keys.AddLoggedClaim(now, c.Key, c.Digest, settings.Millis(int(c.WindowMS)))
	}
	keys.SetLogRead()
	if a.lease.FirstHolder() {
		keys.SetFirstProcess(a.poolsUnchanged())
	}
}

// poolsUnchanged reports whether none of the pools that this server is in was
// changed since it was first declared.
func (a *Agent) poolsUnchanged() bool {
	v := a.config.View()
	for _, name := range v.PoolsWithServer(a.settings.Name) {
		if r, ok := v.Get(resource.Ref{Kind: resource.KindPool, Name: name}); ok && len(r.Versions) > 1 {
			return false
		}
	}
	return true
}
