package resource

import (
	"sort"

	"github.com/merlinpost/merlinpost/internal/fault"
)

func (s *State) isLive(ref Ref) bool {
	r := s.resources[ref]
	return r != nil && !r.Deleted()
}

func (s *State) checkReferences(changes []Change) *fault.Error {
	deleted := map[Ref]bool{}
	for _, c := range changes {
		ref := Ref{c.Kind, c.Name}
		if !s.isLive(ref) {
			deleted[ref] = true
			continue
		}
		for _, needed := range s.resources[ref].spec.References() {
			if !s.isLive(needed) {
				return invalid(fieldPath(&c, string(needed.Kind)), "there is no %s %q", needed.Kind, needed.Name)
			}
		}
	}
	if e := s.checkShares(changes); e != nil {
		return e
	}
	if len(deleted) == 0 {
		return nil
	}
	return s.checkInUse(deleted)
}

// checkInUse reports the deleted resource that is still referenced. If there
// are several it reports the first by name, so that the result does not depend
// on the map's iteration order.
func (s *State) checkInUse(deleted map[Ref]bool) *fault.Error {
	first := ""
	for _, r := range s.resources {
		if r.Deleted() {
			continue
		}
		for _, needed := range r.spec.References() {
			name := string(needed.Kind) + "/" + needed.Name
			if deleted[needed] && (first == "" || name < first) {
				first = name
			}
		}
	}
	if first == "" {
		return nil
	}
	return fault.New(fault.InUse, "it is still in use").WithField(first)
}

// rolloutsOf returns the live rollouts of a model, sorted by name.
func (s *State) rolloutsOf(model string) []*Rollout {
	var names []string
	for ref, r := range s.resources {
		if spec, ok := r.spec.(*Rollout); ok && spec.Model == model {
			names = append(names, ref.Name)
		}
	}
	sort.Strings(names)
	out := make([]*Rollout, len(names))
	for i, name := range names {
		out[i] = s.resources[Ref{KindRollout, name}].spec.(*Rollout)
	}
	return out
}

// shareTolerancePercent allows for rounding errors in the sum of shares.
const shareTolerancePercent = 1e-9

// checkShares verifies that the shares of a model's rollouts add up to at most
// 100 percent and that no two of them have the same version.
func (s *State) checkShares(changes []Change) *fault.Error {
	for _, c := range changes {
		changed, ok := s.resources[Ref{c.Kind, c.Name}]
		if !ok || changed.Deleted() || c.Kind != KindRollout {
			continue
		}
		rollout := changed.spec.(*Rollout)
		sum, same := 0.0, 0
		for _, r := range s.rolloutsOf(rollout.Model) {
			sum += r.SharePercent
			if r.Version == rollout.Version {
				same++
			}
		}
		if sum > 100+shareTolerancePercent {
			return invalid(fieldPath(&c, "share_percent"), "the rollouts of model %q take %.4g percent together", rollout.Model, sum)
		}
		if same > 1 {
			return invalid(fieldPath(&c, "version"), "another rollout of model %q has version %q", rollout.Model, rollout.Version)
		}
	}
	return nil
}
