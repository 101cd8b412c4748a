package resource

import (
	"encoding/json"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// snapshot is the encoded form of a Fold.
type snapshot struct {
	Format     int         `json:"format"`
	Revision   uint64      `json:"revision"`
	Resources  []*Resource `json:"resources"`
	Deleted    []Ref       `json:"deleted"`
	Operations []Result    `json:"operations"`
}

const snapshotFormat = 1

// Snapshot encodes the state; equal states give equal bytes.
func (f *State) Snapshot() ([]byte, error) {
	s := snapshot{Format: snapshotFormat, Revision: f.revision, Deleted: f.deleted, Operations: f.ops}
	if s.Deleted == nil {
		s.Deleted = []Ref{}
	}
	if s.Operations == nil {
		s.Operations = []Result{}
	}
	s.Resources = make([]*Resource, 0, len(f.resources))
	for _, r := range f.resources {
		s.Resources = append(s.Resources, r)
	}
	sort.Slice(s.Resources, func(i, j int) bool {
		a, b := s.Resources[i], s.Resources[j]
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		return a.Name < b.Name
	})
	data, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Digest returns a hash of a snapshot's bytes.
func Digest(snapshot []byte) uint64 { return xxhash.Sum64(snapshot) }

// Restore decodes a snapshot into a new Fold.
func Restore(data []byte) (*State, error) {
	var s snapshot
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, fault.New(fault.InvalidConfig, "decode snapshot: %w", err)
	}
	if s.Format != snapshotFormat {
		return nil, fault.New(fault.InvalidConfig, "snapshot format %d, this program reads %d", s.Format, snapshotFormat)
	}
	f := NewState()
	f.revision, f.deleted = s.Revision, s.Deleted
	for _, r := range s.Resources {
		if len(r.Versions) == 0 {
			return nil, fault.New(fault.InvalidConfig, "snapshot: %s/%s has no version", r.Kind, r.Name)
		}
		if latest := r.Latest(); latest.Spec != nil {
			spec, err := ParseSpec(r.Kind, r.Name, latest.Spec)
			if err != nil {
				return nil, fmt.Errorf("snapshot: %s/%s: %w", r.Kind, r.Name, err)
			}
			r.spec = spec
			f.live++
		}
		f.resources[Ref{r.Kind, r.Name}] = r
	}
	for _, op := range s.Operations {
		f.remember(op)
	}
	return f, nil
}
