package execution

import "time"

// tombstone records an attempt that is no longer held.
type tombstone struct {
	expires    time.Time
	mayHaveRun bool
}

// tombstones records refused, cancelled and finished attempts for the retention
// period, so that a late offer of one is refused and a late cancel or resume
// gets the correct outcome. The number of tombstones is limited. For one
// retention period after a tombstone could not be stored, every unknown attempt
// is reported as one that may have run.
type tombstoneSet struct {
	retention       time.Duration
	limit           int
	byKey           map[AttemptKey]tombstone
	insertionOrder  []AttemptKey // oldest first
	incompleteUntil time.Time
}

func newTombstoneSet(retention time.Duration, limit int) *tombstoneSet {
	return &tombstoneSet{retention: retention, limit: limit, byKey: map[AttemptKey]tombstone{}}
}

func (t *tombstoneSet) len() int { return len(t.byKey) }

// add records k and reports whether there was room.
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

func (t *tombstoneSet) contains(now time.Time, k AttemptKey) bool {
	s, ok := t.byKey[k]
	return ok && now.Before(s.expires)
}

// mayHaveRun reports whether an attempt that is not held, and was offered age
// ago, may have run.
func (t *tombstoneSet) mayHaveRun(now time.Time, k AttemptKey, age time.Duration) bool {
	if s, ok := t.byKey[k]; ok {
		return s.mayHaveRun
	}
	// The tombstone of an older attempt may have expired. Half the retention
	// period is a safety margin for messages in flight.
	return age >= t.retention/2 || now.Before(t.incompleteUntil)
}

func (t *tombstoneSet) removeExpired(now time.Time) {
	n := 0
	for n < len(t.insertionOrder) && !now.Before(t.byKey[t.insertionOrder[n]].expires) {
		delete(t.byKey, t.insertionOrder[n])
		n++
	}
	t.insertionOrder = t.insertionOrder[n:]
}
