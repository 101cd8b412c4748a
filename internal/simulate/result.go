package simulate

import (
	"slices"
	"time"
)

// results aggregates the outcomes of the jobs by class.
func (s *simulation) results() []ClassResult {
	prefixMisses := 0
	for _, e := range s.engines {
		prefixMisses += e.prefixMissTokens
	}
	out := make([]ClassResult, len(s.Classes))
	for i := range s.Classes {
		class := &s.Classes[i]
		r := ClassResult{Name: class.Name, PrefixMissTokens: prefixMisses}
		var firstTokens []time.Duration
		for _, j := range s.jobs {
			if j.class == class {
				firstTokens = r.addJob(j, firstTokens)
			}
		}
		r.LongPromptServedShare = longPromptServedShare(s.jobs, class)
		slices.Sort(firstTokens)
		r.FirstTokenP50Ms, r.FirstTokenP95Ms = percentile(firstTokens, 0.5), percentile(firstTokens, 0.95)
		out[i] = r
	}
	return out
}

// longPromptDivisor defines the long prompts of a class: the longest tenth.
const longPromptDivisor = 10

// longPromptServedShare returns the share of a class's long prompts that were answered by
// their deadline.
func longPromptServedShare(jobs []*job, class *Class) float64 {
	var classJobs []*job
	for _, j := range jobs {
		if j.class == class {
			classJobs = append(classJobs, j)
		}
	}
	slices.SortFunc(classJobs, func(a, b *job) int { return b.prompt.Tokens - a.prompt.Tokens })
	classJobs = classJobs[:len(classJobs)/longPromptDivisor]
	served := 0
	for _, j := range classJobs {
		if j.metDeadline() {
			served++
		}
	}
	return float64(served) / float64(max(1, len(classJobs)))
}

// metDeadline reports whether the response was complete by the deadline.
func (j *job) metDeadline() bool {
	return !j.completedAt.IsZero() && j.completedAt.Sub(j.arrivedAt) <= j.class.Deadline
}

// add counts the job and appends its time to first token, if it has one, to firstTokens.
func (r *ClassResult) addJob(j *job, firstTokens []time.Duration) []time.Duration {
	r.Requests++
	if !j.firstTokenAt.IsZero() {
		firstTokens = append(firstTokens, j.firstTokenAt.Sub(j.arrivedAt))
	}
	switch {
	case j.metDeadline() && j.firstTokenAt.Sub(j.arrivedAt) <= j.class.FirstTokenTarget && (j.class.MaxEventGap == 0 || j.streamStats.LongestGap <= j.class.MaxEventGap):
		r.OnTime++
	case j.metDeadline():
		r.Late++
	case j.refused:
		r.Refused++
	default:
		r.Failed++
	}
	return firstTokens
}

func percentile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(p*float64(len(sorted)-1))]) / float64(time.Millisecond)
}
