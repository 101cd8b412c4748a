package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
)

const (
	// storeAway is how long the store is away before it comes back from a copy.
	storeAway = 700 * time.Millisecond
	// applyWithin is the time in which a change is in force, by the fleet's settings, and settingsMargin the
	// way of the request that shows it on a busy machine.
	applyWithin, settingsMargin = 800 * time.Millisecond, 200 * time.Millisecond
	// lostVersions is how many versions of the configuration the copy lacks.
	lostVersions = 3
)

// What operators would see: in a drill the store comes back from a copy some seconds old, they write what
// they had written again, and the next configuration is not in force on any gateway, for as long as one
// waits. Offsets are given out again: gateways that wait for records from the old end on never learn of
// those that came in the place of the lost ones, where these are just as many.
func TestTheNextConfigurationIsInForceAfterTheStoreComesBackFromACopy(t *testing.T) {
	for name, again := range map[string]int{"fewer": 1, "as many": lostVersions, "more": lostVersions + 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, appService, 2)
			old := f.store.Snapshot()
			for range lostVersions {
				f.configure(nil)
			}
			f.waitInForce(t, f.newestVersion(), waitLimit)
			f.store.SetMode(platformstore.ModeUnresponsive)
			time.Sleep(storeAway)
			f.store.Restore(old)
			f.store.SetMode(platformstore.ModeAvailable)
			for range again - 1 {
				f.writeAgain()
			}
			next := f.configure(nil)
			f.waitInForce(t, next, applyWithin+settingsMargin)
		})
	}
}

// writeAgain has the operator write the newest configuration once more.
func (f *fleet) writeAgain() {
	f.mu.Lock()
	f.version -= versionStep
	f.mu.Unlock()
	f.configure(nil)
}

// waitInForce waits until a version is in force on all gateways.
func (f *fleet) waitInForce(t *testing.T, version int, within time.Duration) {
	t.Helper()
	begin := time.Now()
	for i, g := range f.gateways {
		for n := 0; ; n++ {
			a := f.askWith(context.Background(), f.http, g, versionKey(version), "list", fmt.Sprint("list-", version, "-", i, "-", n))
			if a.status == 200 {
				break
			}
			if time.Since(begin) > within {
				t.Errorf("version %d is not in force on %s after %s", version, g.host, within)
				break
			}
			time.Sleep(pollEvery)
		}
	}
	t.Logf("version %d in force on all after %s", version, time.Since(begin).Round(time.Millisecond))
}
