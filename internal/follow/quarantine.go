package follow

import (
	"context"

	"github.com/merlinpost/merlinpost/internal/logposition"
	"github.com/merlinpost/merlinpost/internal/quarantine"
)

// quarantineStore implements quarantine.Store with a topic of the metadata store.
type quarantineStore struct{ f *Follower }

// Quarantine returns the storage for quarantine verdicts.
func (f *Follower) Quarantine() quarantine.Store { return quarantineStore{f} }

// Newest implements quarantine.Store.
func (s quarantineStore) Newest(ctx context.Context) (map[string][]byte, logposition.Position, error) {
	records, end, err := s.f.store.Load().Newest(ctx, s.f.Topics.Quarantine, readTimeout)
	if err != nil {
		return nil, end, err
	}
	values := make(map[string][]byte, len(records))
	for _, r := range records {
		values[r.Key] = r.Value
	}
	return values, end, nil
}

// Put implements quarantine.Store.
func (s quarantineStore) Put(ctx context.Context, key string, value []byte, at *logposition.Position) error {
	r := Record{Key: key, Value: value}
	if at == nil {
		return s.f.store.Load().Put(ctx, s.f.Topics.Quarantine, r, readTimeout)
	}
	return s.f.store.Load().PutAt(ctx, s.f.Topics.Quarantine, r, *at, readTimeout)
}
