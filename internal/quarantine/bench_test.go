package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdentify is what a request costs while there are suspects: 6 us for 8 KB on a quiet machine.
func BenchmarkIdentify(b *testing.B) {
	body := make([]byte, 8<<10)
	for b.Loop() {
		Identify("team", "POST", "a.example", "/ask/", body)
	}
}

// BenchmarkFlood is a server that ends under one more of many different requests, with all that may be
// kept: 0.6 ms on a quiet machine, 1.3 ms where what else ended was looked up for each suspect.
func BenchmarkFlood(b *testing.B) {
	l := seasoned(12)
	for i := range maxRequests {
		l.RecordCrash(id(fmt.Sprint("flood-", i)), end(fmt.Sprint("o-", i%100), 4), at(4))
	}
	i := 0
	for b.Loop() {
		now := at(5).Add(time.Duration(i) * time.Millisecond)
		i++
		l.RecordCrash(id(fmt.Sprint("more-", i)), Crash{Server: fmt.Sprint("m-", i), SentAt: now.Add(-time.Second), At: now}, now)
		l.DueUpdates(now)
	}
}
