package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
)

const (
	// outageDuration is the time for which the store is unavailable before it is restored from a backup.
	outageDuration = 700 * time.Millisecond
	// applyTimeout is bounds.config_apply_ms in the settings of the fleet. applyMargin covers the
	// request that observes the change on a busy machine.
	applyTimeout, applyMargin = 800 * time.Millisecond, 200 * time.Millisecond
	// lostVersions is the number of configuration versions missing from the backup.
	lostVersions = 3
)

// Guards against gateways ignoring configurations that are written after the store was restored from a
// backup some seconds old. The store then assigns the offsets of the lost records again. A gateway that reads
// on from its previous offset skips the records that replaced the lost ones if there are equally many, and the
// newest configuration never takes effect.
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
			time.Sleep(outageDuration)
			f.store.Restore(backup)
			f.store.SetMode(platformstore.ModeAvailable)
			for range writes - 1 {
				f.republishConfig()
			}
			next := f.publishConfig(nil)
			f.waitConfigApplied(t, next, applyTimeout+applyMargin)
		})
	}
}

// republishConfig publishes a configuration with the newest version number again.
func (f *fleet) republishConfig() {
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
			resp := f.sendWithKey(context.Background(), f.http, g, versionKey(version), "list", fmt.Sprint("list-", version, "-", i, "-", n))
			if resp.status == 200 {
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
