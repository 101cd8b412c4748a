package follow

import "time"

// This file exports internals to the tests in package follow_test, which import the platform
// package and its simulated store.

// RecoveryGrace is how long entries that were removed during an outage of the store are kept after
// it.
const RecoveryGrace = recoveryGrace

// ReplaceServers replaces the server list with the newest records of all servers.
func (f *Follower) ReplaceServers(records []Record, graceStart time.Time) uint64 {
	return f.replaceServers(batch{records: records}, graceStart)
}

// ApplyServerChanges applies changes to the server list.
func (f *Follower) ApplyServerChanges(records []Record, graceStart time.Time) uint64 {
	return f.applyServerChanges(batch{records: records}, graceStart)
}

// ApplyConfig applies configuration records.
func (f *Follower) ApplyConfig(records []Record) { f.applyConfig(batch{records: records}, time.Time{}) }

// StoreUnavailable reports whether the server list can't be read.
func (f *Follower) StoreUnavailable() bool { return f.storeUnavailable.Load() }
