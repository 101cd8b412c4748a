package quarantine

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/logposition"
)

// memoryStore is an in-memory Store.
type memoryStore struct {
	mu     sync.Mutex
	values map[string][]byte
	end    int64
	// concurrentReads, if set, makes reads wait for each other, so that all return the same state.
	concurrentReads *sync.WaitGroup
}

func (s *memoryStore) Newest(context.Context) (map[string][]byte, logposition.Position, error) {
	s.mu.Lock()
	out, end := map[string][]byte{}, s.end
	for key, value := range s.values {
		out[key] = value
	}
	readers := s.concurrentReads
	s.mu.Unlock()
	if readers != nil {
		readers.Done()
		readers.Wait()
	}
	return out, logposition.Position{Offset: end}, nil
}

func (s *memoryStore) Put(_ context.Context, key string, value []byte, at *logposition.Position) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.concurrentReads = nil
	if at != nil && at.Offset != s.end {
		return fault.New(fault.RevisionConflict, "it ends at %d", s.end)
	}
	s.end++
	s.values[key] = value
	return nil
}

// Two gateways that can't reach each other and have both read that a trial is due: one gets it.
func TestATrialIsClaimedByOneGateway(t *testing.T) {
	g := NewWithT(t)
	store, fatal, now := &memoryStore{values: map[string][]byte{}}, id("fatal"), time.Now()
	v := Verdict{Since: now.Add(-time.Minute), Until: now, Servers: []string{"i-1", "i-2", "i-3"}}
	value, err := encodeVerdict(v, "edge-0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(store.Put(context.Background(), fatal.String(), value, nil)).To(Succeed())
	var both, claims sync.WaitGroup
	both.Add(2)
	store.concurrentReads = &both
	won := make(chan *Verdict, 2)
	for i := range 2 {
		tracker := newTrackerWithHistory(12)
		tracker.AdoptVerdict(fatal, v, now)
		persister := NewPersister(tracker, store, fmt.Sprint("edge-", i), slog.New(slog.NewTextHandler(io.Discard, nil)))
		claims.Go(func() {
			if claimed, err := persister.Claim(context.Background(), fatal); err == nil {
				won <- claimed
			} else if !fault.Is(err, fault.Quarantined) {
				t.Errorf("claim failed with something else than quarantined: %v", err)
			}
		})
	}
	claims.Wait()
	g.Expect(won).To(HaveLen(1))
	g.Expect((<-won).Trials).To(Equal(1))
}
