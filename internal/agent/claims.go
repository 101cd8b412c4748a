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

// claimTimeout is how long a witness may take before the log is used instead.
const claimTimeout = 300 * time.Millisecond

// claim asks the witness of a key and lets the core decide on its word.
func (a *Agent) claim(ctx context.Context, k execution.AttemptKey, o *wire.Offer) {
	select {
	case <-a.lease.Held():
	default: // without a lease on the log nobody could tell a later process of this one
		a.core.settleClaim(ctx, k, o, receipt.WitnessUnreachable, true)
		return
	}
	pool := poolOf(a.config.View(), o.Target)
	names := serverNames(pool)
	ranked := rendezvous.Rank(o.IdempotencyKey, names)
	if len(ranked) == 0 || ranked[0] != a.set.Name { // a router with an older configuration
		a.core.settleClaim(ctx, k, o, receipt.WitnessUnreachable, true)
		return
	}
	moved := a.homeMoved(o)
	if len(ranked) < 2 {
		a.core.settleClaim(ctx, k, o, receipt.NoWitness, moved)
		return
	}
	word := a.witness.ask(ctx, pool.Server(ranked[1]), &wire.ClaimRequest{Key: o.IdempotencyKey, Holder: a.set.Name + "/" + a.incarnation,
		Digest: o.BodyDigest, RetentionMS: o.KeyRetentionMS})
	telemetry.Count("merlinpost_agent_claims_total", "word", word.String())
	a.core.settleClaim(ctx, k, o, word, moved)
}

func poolOf(v *resource.View, service string) *resource.Pool {
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

// keptClaim is a record of an agent's claims stream.
type keptClaim struct {
	Key      string `json:"key"`
	Digest   uint64 `json:"digest"`
	WindowMS int64  `json:"window_ms"`
}

// keepClaim puts a claim on the log, then lets the call start.
func (a *Agent) keepClaim(ctx context.Context, k execution.AttemptKey, o *wire.Offer) {
	decision := receipt.Run
	data, err := json.Marshal(keptClaim{o.IdempotencyKey, o.BodyDigest, o.KeyRetentionMS})
	if err == nil {
		_, err = a.log.Append(ctx, configlog.ClaimStream(a.set.Name), data)
	}
	if err != nil {
		decision = receipt.Refuse
	}
	telemetry.Count("merlinpost_agent_claims_on_log_total")
	a.core.post(ctx, func(now time.Time) { a.core.core.ClaimDecided(now, k, decision) })
}

// recoverClaims reads the claims that an earlier process left on the log.
func (a *Agent) recoverClaims(ctx context.Context) {
	select {
	case <-a.lease.Held():
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		var kept []keptClaim
		_, _, err := configlog.ReadAll(ctx, a.log, configlog.ClaimStream(a.set.Name), func(e configlog.Entry) {
			var c keptClaim
			if json.Unmarshal(e.Data, &c) == nil {
				kept = append(kept, c)
			}
		})
		if err == nil {
			a.core.post(ctx, func(now time.Time) { a.rememberClaims(now, kept) })
			return
		}
		select {
		case <-time.After(leavingPoll):
		case <-ctx.Done():
		}
	}
}

func (a *Agent) rememberClaims(now time.Time, kept []keptClaim) {
	book := a.core.core.Keys()
	for _, c := range kept {
		book.AddLoggedClaim(now, c.Key, c.Digest, settings.Millis(int(c.WindowMS)))
	}
	book.SetLogRead()
	if a.lease.FirstHolder() {
		book.SetFirstProcess(a.poolsNeverChanged())
	}
}

// poolsNeverChanged reports whether the pools that this server is in are still
// as they were first declared.
func (a *Agent) poolsNeverChanged() bool {
	v := a.config.View()
	for _, name := range v.PoolsWithServer(a.set.Name) {
		if r, ok := v.Get(resource.Ref{Kind: resource.KindPool, Name: name}); ok && len(r.Versions) > 1 {
			return false
		}
	}
	return true
}
