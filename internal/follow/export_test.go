package follow

import "time"

// What the tests, which follow the platform's store over its stand-in, use of a follower.

// ReturnGrace is how long entries are kept that were removed while the store was away.
const RecoveryGrace = returnGrace

// WholeList takes in the newest records of all servers.
func (f *Follower) ReplaceServers(records []Record, returned time.Time) uint64 {
	return f.wholeList(batch{records: records}, returned)
}

// NewEntries takes in changes of the list.
func (f *Follower) ApplyServerChanges(records []Record, returned time.Time) uint64 {
	return f.newEntries(batch{records: records}, returned)
}

// NewConfig takes in values of the configuration.
func (f *Follower) ApplyConfig(records []Record) { f.newConfig(batch{records: records}, time.Time{}) }

// LostStore reports whether the list can't be read.
func (f *Follower) StoreUnavailable() bool { return f.lostStore.Load() }
