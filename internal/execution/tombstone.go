package execution

import "time"

// tombstone is what is remembered of an attempt that is gone.
type tombstone struct {
	until time.Time
	ran   bool
}

// tombstones remembers refused and finished attempts for a time, so that a
// late offer of one is refused and a late question about one is answered with
// the truth. Memory is bounded; after something had to be left out, the answer
// to a question about an unknown attempt is "may have run" for as long.
type tombstones struct {
	keep       time.Duration
	limit      int
	byKey      map[AttemptKey]tombstone
	order      []AttemptKey // by time of insertion
	lossyUntil time.Time
}

func newTombstones(keep time.Duration, limit int) *tombstones {
	return &tombstones{keep: keep, limit: limit, byKey: map[AttemptKey]tombstone{}}
}

func (t *tombstones) len() int { return len(t.byKey) }

// add remembers k and reports whether there was room.
func (t *tombstones) add(now time.Time, k AttemptKey, ran bool) bool {
	if old, known := t.byKey[k]; known {
		old.ran = old.ran || ran
		t.byKey[k] = old
		return true
	}
	t.sweep(now)
	if len(t.byKey) >= t.limit {
		t.lossyUntil = now.Add(t.keep)
		return false
	}
	t.byKey[k] = tombstone{now.Add(t.keep), ran}
	t.order = append(t.order, k)
	return true
}

func (t *tombstones) has(now time.Time, k AttemptKey) bool {
	s, ok := t.byKey[k]
	return ok && now.Before(s.until)
}

// mayHaveRun answers a question about an attempt that is not held and was
// offered age ago.
func (t *tombstones) mayHaveRun(now time.Time, k AttemptKey, age time.Duration) bool {
	if s, ok := t.byKey[k]; ok {
		return s.ran
	}
	// Half the time is left as a margin for what was under way.
	return age >= t.keep/2 || now.Before(t.lossyUntil)
}

func (t *tombstones) sweep(now time.Time) {
	n := 0
	for n < len(t.order) && !now.Before(t.byKey[t.order[n]].until) {
		delete(t.byKey, t.order[n])
		n++
	}
	t.order = t.order[n:]
}
