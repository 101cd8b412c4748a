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

// shelf is a store in memory.
type shelf struct {
	mu   sync.Mutex
	kept map[string][]byte
	end  int64
	// readers, if set, has reads wait until all of them have read.
	readers *sync.WaitGroup
}

func (s *shelf) Newest(context.Context) (map[string][]byte, logposition.Position, error) {
	s.mu.Lock()
	out, end := map[string][]byte{}, s.end
	for key, value := range s.kept {
		out[key] = value
	}
	readers := s.readers
	s.mu.Unlock()
	if readers != nil {
		readers.Done()
		readers.Wait()
	}
	return out, logposition.Position{Offset: end}, nil
}

func (s *shelf) Put(_ context.Context, key string, value []byte, at *logposition.Position) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readers = nil
	if at != nil && at.Offset != s.end {
		return fault.New(fault.RevisionConflict, "it ends at %d", s.end)
	}
	s.end++
	s.kept[key] = value
	return nil
}

// Of gateways that can't hear each other and have both read that a trial is due, one gets it.
func TestOneGatewayGetsATrial(t *testing.T) {
	g := NewWithT(t)
	store, fatal, now := &shelf{kept: map[string][]byte{}}, id("fatal"), time.Now()
	v := Verdict{Since: now.Add(-time.Minute), Until: now, Servers: []string{"i-1", "i-2", "i-3"}}
	value, err := encodeKept(v, "edge-0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(store.Put(context.Background(), fatal.String(), value, nil)).To(Succeed())
	var both, claims sync.WaitGroup
	both.Add(2)
	store.readers = &both
	won := make(chan *Verdict, 2)
	for i := range 2 {
		ledger := seasoned(12)
		ledger.AdoptVerdict(fatal, v, now)
		keeper := NewPersister(ledger, store, fmt.Sprint("edge-", i), slog.New(slog.NewTextHandler(io.Discard, nil)))
		claims.Go(func() {
			if claimed, err := keeper.Claim(context.Background(), fatal); err == nil {
				won <- claimed
			} else if !fault.Is(err, fault.Quarantined) {
				t.Errorf("not refused as taken: %v", err)
			}
		})
	}
	claims.Wait()
	g.Expect(won).To(HaveLen(1))
	g.Expect((<-won).Trials).To(Equal(1))
}
