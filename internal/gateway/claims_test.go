package gateway

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/merlinpost/merlinpost/internal/registry"
	"github.com/merlinpost/merlinpost/internal/retrybudget"
	"github.com/merlinpost/merlinpost/internal/routing"
)

// Guards against claimRepeat polling without a pause when a claim expires within GrantInterval of the last decision.
func TestClaimsThatExpireBetweenDecisionsAreDenied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New(Settings{Retries: retrybudget.Settings{Ratio: 0.2, Window: 10 * time.Second}}, nil, registry.New(),
			slog.New(slog.NewTextHandler(io.Discard, nil)))
		var claims sync.WaitGroup
		for i := range 20 {
			claims.Go(func() {
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				start := time.Now()
				q := &request{service: "s", route: &routing.Route{}, start: start, deadline: start.Add(5 * time.Second)}
				d := g.claimRetry(context.Background(), q, &relay{})
				if d.Granted || time.Since(start) > 4*retrybudget.GrantInterval {
					t.Errorf("claim %d: got %+v after %s, want a denial within %s", i, d, time.Since(start), 4*retrybudget.GrantInterval)
				}
			})
		}
		claims.Wait()
	})
}
