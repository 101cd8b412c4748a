package execution

import "time"

// tombstone is the record of an attempt that is no longer held.
type tombstone struct {
	expires    time.Time
	mayHaveRun bool
}

// tombstoneSet records refused, cancelled and finished attempts for the retention
// period, so that a late offer of such an attempt is refused and a late cancel or
// resume receives the correct outcome. The number of tombstones is limited. If one
// could not be stored, every unknown attempt is reported as one that may have run
// for the following retention period.
type tombstoneSet struct {
	retention       time.Duration
	limit           int
	byKey           map[AttemptKey]tombstone
	insertionOrder  []AttemptKey // oldest first
	incompleteUntil time.Time    // end of the retention period of tombstones that could not be stored
}

// newTombstoneSet returns an empty set that stores at most limit tombstones.
func newTombstoneSet(retention time.Duration, limit int) *tombstoneSet {
	return &tombstoneSet{retention: retention, limit: limit, byKey: map[AttemptKey]tombstone{}}
}

func (t *tombstoneSet) len() int { return len(t.byKey) }

// add records an attempt. It returns false if the limit is reached.
func (t *tombstoneSet) add(now time.Time, k AttemptKey, mayHaveRun bool) bool {
	if old, known := t.byKey[k]; known {
		old.mayHaveRun = old.mayHaveRun || mayHaveRun
		t.byKey[k] = old
		return true
	}
	t.removeExpired(now)
	if len(t.byKey) >= t.limit {
		t.incompleteUntil = now.Add(t.retention)
		return false
	}
	t.byKey[k] = tombstone{now.Add(t.retention), mayHaveRun}
	t.insertionOrder = append(t.insertionOrder, k)
	return true
}

// contains reports whether the attempt has a tombstone that has not expired.
func (t *tombstoneSet) contains(now time.Time, k AttemptKey) bool {
	s, ok := t.byKey[k]
	return ok && now.Before(s.expires)
}

// mayHaveRun reports whether an attempt that is not held may have run. age is the time
// since it was offered.
func (t *tombstoneSet) mayHaveRun(now time.Time, k AttemptKey, age time.Duration) bool {
	if s, ok := t.byKey[k]; ok {
		return s.mayHaveRun
	}
	// The tombstone of an older attempt may have expired. The other half of the
	// retention period is a margin for messages in flight.
	return age >= t.retention/2 || now.Before(t.incompleteUntil)
}

// removeExpired removes the tombstones whose retention period has passed.
func (t *tombstoneSet) removeExpired(now time.Time) {
	n := 0
	for n < len(t.insertionOrder) && !now.Before(t.byKey[t.insertionOrder[n]].expires) {
		delete(t.byKey, t.insertionOrder[n])
		n++
	}
	t.insertionOrder = t.insertionOrder[n:]
}
