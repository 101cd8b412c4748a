package resource

import (
	"sort"

	"github.com/merlinpost/merlinpost/internal/fault"
)

func (f *State) exists(ref Ref) bool {
	r := f.resources[ref]
	return r != nil && !r.Deleted()
}

func (f *State) checkReferences(changes []Change) *fault.Error {
	deleted := map[Ref]bool{}
	for _, c := range changes {
		ref := Ref{c.Kind, c.Name}
		if !f.exists(ref) {
			deleted[ref] = true
			continue
		}
		for _, needed := range f.resources[ref].spec.References() {
			if !f.exists(needed) {
				return invalid(changeField(&c, string(needed.Kind)), "there is no %s %q", needed.Kind, needed.Name)
			}
		}
	}
	if e := f.checkShares(changes); e != nil {
		return e
	}
	if len(deleted) == 0 {
		return nil
	}
	return f.checkInUse(deleted)
}

// checkInUse names the first resource in use by name: the order in which the
// map is walked must not show in the result.
func (f *State) checkInUse(deleted map[Ref]bool) *fault.Error {
	first := ""
	for _, r := range f.resources {
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

// rolloutsOf returns the live rollouts of a model by name.
func (f *State) rolloutsOf(model string) []*Rollout {
	var names []string
	for ref, r := range f.resources {
		if spec, ok := r.spec.(*Rollout); ok && spec.Model == model {
			names = append(names, ref.Name)
		}
	}
	sort.Strings(names)
	out := make([]*Rollout, len(names))
	for i, name := range names {
		out[i] = f.resources[Ref{KindRollout, name}].spec.(*Rollout)
	}
	return out
}

// shareSlack forgives rounding in the sum of shares, percent.
const shareSlack = 1e-9

// checkShares keeps the shares of a model's rollouts within 100 percent and
// its versions apart.
func (f *State) checkShares(changes []Change) *fault.Error {
	for _, c := range changes {
		changed, ok := f.resources[Ref{c.Kind, c.Name}]
		if !ok || changed.Deleted() || c.Kind != KindRollout {
			continue
		}
		rollout := changed.spec.(*Rollout)
		sum, same := 0.0, 0
		for _, r := range f.rolloutsOf(rollout.Model) {
			sum += r.SharePercent
			if r.Version == rollout.Version {
				same++
			}
		}
		if sum > 100+shareSlack {
			return invalid(changeField(&c, "share_percent"), "the rollouts of model %q take %.4g percent together", rollout.Model, sum)
		}
		if same > 1 {
			return invalid(changeField(&c, "version"), "another rollout of model %q has version %q", rollout.Model, rollout.Version)
		}
	}
	return nil
}
