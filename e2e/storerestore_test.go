package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
)

const (
	// storeOutage is the time that the store is unavailable before it is restored from a copy.
	storeOutage = 700 * time.Millisecond
	// applyTimeout is bounds.config_apply_ms in the settings of the fleet. applyMargin allows for the
	// request that observes the change on a busy machine.
	applyTimeout, applyMargin = 800 * time.Millisecond, 200 * time.Millisecond
	// lostVersions is the number of configuration versions missing from the copy.
	lostVersions = 3
)

// Guards against gateways ignoring configurations written after the store was restored from a copy that is
// some seconds old. The store assigns the offsets of the lost records again. A gateway that waits for records
// from the previous end misses the records written in place of the lost ones if they are equally many, and
// the next configuration never takes effect.
func TestConfigurationAppliesAfterStoreRestore(t *testing.T) {
	for name, writes := range map[string]int{"fewer": 1, "as many": lostVersions, "more": lostVersions + 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, appService, 2)
			backup := f.store.Snapshot()
			for range lostVersions {
				f.publishConfig(nil)
			}
			f.waitConfigApplied(t, f.newestVersion(), waitTimeout)
			f.store.SetMode(platformstore.ModeUnresponsive)
			time.Sleep(storeOutage)
			f.store.Restore(backup)
			f.store.SetMode(platformstore.ModeAvailable)
			for range writes - 1 {
				f.rewriteConfig()
			}
			next := f.publishConfig(nil)
			f.waitConfigApplied(t, next, applyTimeout+applyMargin)
		})
	}
}

// rewriteConfig publishes a configuration under the newest version again.
func (f *fleet) rewriteConfig() {
	f.mu.Lock()
	f.version -= versionStep
	f.mu.Unlock()
	f.publishConfig(nil)
}

// waitConfigApplied waits until all gateways have applied a configuration version.
func (f *fleet) waitConfigApplied(t *testing.T, version int, within time.Duration) {
	t.Helper()
	begin := time.Now()
	for i, g := range f.gateways {
		for n := 0; ; n++ {
			a := f.sendWithKey(context.Background(), f.http, g, versionKey(version), "list", fmt.Sprint("list-", version, "-", i, "-", n))
			if a.status == 200 {
				break
			}
			if time.Since(begin) > within {
				t.Errorf("configuration version %d is not in force on %s after %s", version, g.host, within)
				break
			}
			time.Sleep(pollInterval)
		}
	}
	t.Logf("configuration version %d in force on all gateways after %s", version, time.Since(begin).Round(time.Millisecond))
}
