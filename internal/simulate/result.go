package simulate

import (
	"slices"
	"time"
)

// results sums up what the callers of each class got.
func (w *world) results() []ClassResult {
	again := 0
	for _, e := range w.engines {
		again += e.again
	}
	out := make([]ClassResult, len(w.Classes))
	for i := range w.Classes {
		class := &w.Classes[i]
		r := ClassResult{Name: class.Name, PrefixMissTokens: again}
		var first []time.Duration
		for _, j := range w.jobs {
			if j.class == class {
				first = r.count(j, first)
			}
		}
		r.LongPromptServedShare = largestServed(w.jobs, class)
		slices.Sort(first)
		r.FirstTokenP50Ms, r.FirstTokenP95Ms = percentile(first, 0.5), percentile(first, 0.95)
		out[i] = r
	}
	return out
}

// largestTenth is the part of a class's requests whose prompts count as its largest.
const largestTenth = 10

// largestServed is the share of the requests with the longest prompts of a class that were
// answered.
func largestServed(jobs []*job, class *Class) float64 {
	var own []*job
	for _, j := range jobs {
		if j.class == class {
			own = append(own, j)
		}
	}
	slices.SortFunc(own, func(a, b *job) int { return b.prompt.Tokens - a.prompt.Tokens })
	own = own[:len(own)/largestTenth]
	served := 0
	for _, j := range own {
		if j.whole() {
			served++
		}
	}
	return float64(served) / float64(max(1, len(own)))
}

// whole reports whether the job was answered before its deadline.
func (j *job) whole() bool { return !j.done.IsZero() && j.done.Sub(j.arrived) <= j.class.Deadline }

func (r *ClassResult) count(j *job, first []time.Duration) []time.Duration {
	r.Requests++
	if !j.first.IsZero() {
		first = append(first, j.first.Sub(j.arrived))
	}
	switch {
	case j.whole() && j.first.Sub(j.arrived) <= j.class.FirstTokenTarget && (j.class.MaxEventGap == 0 || j.seen.LongestGap <= j.class.MaxEventGap):
		r.OnTime++
	case j.whole():
		r.Late++
	case j.refused:
		r.Refused++
	default:
		r.Failed++
	}
	return first
}

func percentile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(p*float64(len(sorted)-1))]) / float64(time.Millisecond)
}
