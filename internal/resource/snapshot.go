package resource

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// snapshot is the encoded form of a State.
type snapshot struct {
	Format     int         `json:"format"`
	Revision   uint64      `json:"revision"`
	Resources  []*Resource `json:"resources"`
	Deleted    []Ref       `json:"deleted"`
	Operations []Result    `json:"operations"`
}

const snapshotFormat = 1

// Snapshot encodes the state deterministically: equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	snap := snapshot{Format: snapshotFormat, Revision: s.revision, Deleted: s.deleted, Operations: s.operations}
	if snap.Deleted == nil {
		snap.Deleted = []Ref{}
	}
	if snap.Operations == nil {
		snap.Operations = []Result{}
	}
	snap.Resources = make([]*Resource, 0, len(s.resources))
	for _, r := range s.resources {
		snap.Resources = append(snap.Resources, r)
	}
	sort.Slice(snap.Resources, func(i, j int) bool {
		a, b := snap.Resources[i], snap.Resources[j]
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		return a.Name < b.Name
	})
	data, err := json.Marshal(snap)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Digest returns the xxHash of an encoded snapshot.
func Digest(snapshot []byte) uint64 { return xxhash.Sum64(snapshot) }

// Restore decodes a snapshot into a new State.
func Restore(data []byte) (*State, error) {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return nil, fault.New(fault.InvalidConfig, "decode snapshot: %w", err)
	}
	if snap.Format != snapshotFormat {
		return nil, fault.New(fault.InvalidConfig, "unsupported snapshot format %d, expected %d", snap.Format, snapshotFormat)
	}
	s := NewState()
	s.revision, s.deleted = snap.Revision, snap.Deleted
	for _, r := range snap.Resources {
		if len(r.Versions) == 0 {
			return nil, fault.New(fault.InvalidConfig, "snapshot: %s/%s has no versions", r.Kind, r.Name)
		}
		if latest := r.Latest(); latest.Spec != nil {
			spec, err := ParseSpec(r.Kind, r.Name, latest.Spec)
			if err != nil {
				return nil, fmt.Errorf("snapshot: %s/%s: %w", r.Kind, r.Name, err)
			}
			r.spec = spec
			s.liveCount++
		}
		s.resources[Ref{r.Kind, r.Name}] = r
	}
	for _, op := range snap.Operations {
		s.storeResult(op)
	}
	return s, nil
}
