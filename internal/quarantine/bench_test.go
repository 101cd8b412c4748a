package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdentify measures the cost that is added to each request while there are suspects: 6 us for
// a body of 8 KB on an idle machine.
func BenchmarkIdentify(b *testing.B) {
	body := make([]byte, 8<<10)
	for b.Loop() {
		Identify("team", "POST", "a.example", "/ask/", body)
	}
}

// BenchmarkRecordCrashFullTracker measures recording a crash under a new request when the tracker is
// full: 0.6 ms on an idle machine. Looking up the other crashed servers for every suspect, instead of
// only for strong ones, increases it to 1.3 ms.
func BenchmarkRecordCrashFullTracker(b *testing.B) {
	tracker := newTrackerWithHistory(12)
	for i := range maxEntries {
		tracker.RecordCrash(id(fmt.Sprint("fill-", i)), crashAt(fmt.Sprint("other-", i%100), 4), at(4))
	}
	i := 0
	for b.Loop() {
		now := at(5).Add(time.Duration(i) * time.Millisecond)
		i++
		tracker.RecordCrash(id(fmt.Sprint("new-", i)), Crash{Server: fmt.Sprint("new-", i), SentAt: now.Add(-time.Second), At: now}, now)
		tracker.DueUpdates(now)
	}
}
