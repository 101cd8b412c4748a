package resource

import (
	"sort"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// isLive reports whether the resource exists and is not deleted.
func (s *State) isLive(ref Ref) bool {
	r := s.resources[ref]
	return r != nil && !r.Deleted()
}

// checkReferences verifies the configuration after the changes: every changed
// resource refers only to live ones, the shares of the rollouts are valid, and no
// live resource refers to a deleted one.
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
	if e := s.checkRolloutShares(changes); e != nil {
		return e
	}
	if len(deleted) == 0 {
		return nil
	}
	return s.checkNotReferenced(deleted)
}

// checkNotReferenced returns an error if a live resource refers to one of the
// deleted resources. If several are still referenced it names the first in order
// of kind and name, so that the result does not depend on the map's iteration
// order.
func (s *State) checkNotReferenced(deleted map[Ref]bool) *fault.Error {
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

// checkRolloutShares verifies that the shares of a model's rollouts add up to at most
// 100 percent and that no two of them have the same version.
func (s *State) checkRolloutShares(changes []Change) *fault.Error {
	for _, c := range changes {
		changed, ok := s.resources[Ref{c.Kind, c.Name}]
		if !ok || changed.Deleted() || c.Kind != KindRollout {
			continue
		}
		rollout := changed.spec.(*Rollout)
		sum, sameVersion := 0.0, 0
		for _, r := range s.rolloutsOf(rollout.Model) {
			sum += r.SharePercent
			if r.Version == rollout.Version {
				sameVersion++
			}
		}
		if sum > 100+shareTolerancePercent {
			return invalid(fieldPath(&c, "share_percent"), "the rollouts of model %q take %.4g percent together", rollout.Model, sum)
		}
		if sameVersion > 1 {
			return invalid(fieldPath(&c, "version"), "another rollout of model %q has version %q", rollout.Model, rollout.Version)
		}
	}
	return nil
}
