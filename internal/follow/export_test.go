package follow

import "time"

// This file exports internals to the tests in package follow_test, which import the platform
// package and its simulated store.

// RecoveryGrace is how long removals are deferred after an outage of the store.
const RecoveryGrace = recoveryGrace

// ReplaceServers replaces the server list with the newest records of all servers and returns the
// digest of the list.
func (f *Follower) ReplaceServers(records []Record, graceStart time.Time) uint64 {
	return f.replaceServers(batch{records: records}, graceStart)
}

// ApplyServerChanges applies changes to the server list and returns the digest of the list.
func (f *Follower) ApplyServerChanges(records []Record, graceStart time.Time) uint64 {
	return f.applyServerChanges(batch{records: records}, graceStart)
}

// ApplyConfig applies configuration records.
func (f *Follower) ApplyConfig(records []Record) { f.applyConfig(batch{records: records}, time.Time{}) }

// StoreUnavailable returns whether the server list cannot be read from the store.
func (f *Follower) StoreUnavailable() bool { return f.storeUnavailable.Load() }
