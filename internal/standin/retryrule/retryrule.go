// Package retryrule checks the retries of a whole system against the platform's rule: in any window, a service
// receives at most a fixed ratio of its requests as retries, plus a slack. The request count is that of the
// window itself, of the window that starts half a window earlier, or of the preceding window, whichever is the
// highest.
package retryrule

import (
	"slices"
	"sort"
	"time"
)

// Rule is the platform's limit on retries.
type Rule struct {
	Ratio  float64 // retries allowed per request
	Window time.Duration
	Slack  float64 // retries allowed per window in addition to Ratio
}

// Window holds the counts for one window.
type Window struct {
	Start    time.Time
	Retries  int
	Requests int // the highest count of the three windows that the rule considers
	// Allowed is the number of retries that the rule permits.
	Allowed float64
}

// Excess returns the number of retries above the allowed number. It is negative if there are fewer.
func (w Window) Excess() float64 { return float64(w.Retries) - w.Allowed }

// startsPerWindow is the number of evenly spaced window starts that are checked per window length, in addition
// to those at which the number of retries changes.
const startsPerWindow = 200

// Worst returns the window with the largest excess, or the zero Window if there are no retries. The time of a
// request is when its caller sends it, the time of a retry is when it reaches a server.
func WorstWindow(rule Rule, requests, retries []time.Time) Window {
	requests, retries = sorted(requests), sorted(retries)
	var worst Window
	for i, start := range candidateStarts(rule, retries) {
		w := rule.windowAt(start, requests, retries)
		if i == 0 || w.Excess() > worst.Excess() {
			worst = w
		}
	}
	return worst
}

// windowStarts returns the window starts to check.
func candidateStarts(rule Rule, retries []time.Time) []time.Time {
	if len(retries) == 0 {
		return nil
	}
	var out []time.Time
	for _, at := range retries {
		out = append(out, at, at.Add(time.Nanosecond-rule.Window))
	}
	last := retries[len(retries)-1]
	for at := retries[0].Add(-rule.Window); at.Before(last); at = at.Add(rule.Window / startsPerWindow) {
		out = append(out, at)
	}
	return out
}

// window returns the counts for the window that starts at start.
func (r Rule) windowAt(start time.Time, requests, retries []time.Time) Window {
	w := Window{Start: start, Retries: countWithin(retries, start, r.Window)}
	for _, earlier := range []time.Duration{0, r.Window / 2, r.Window} {
		w.Requests = max(w.Requests, countWithin(requests, start.Add(-earlier), r.Window))
	}
	w.Allowed = r.Ratio*float64(w.Requests) + r.Slack
	return w
}

// WorstSplit is like Worst with a stricter limit: the fraction current of the ratio applies to the requests of the
// window itself, the rest to those of the preceding window. Requests is not set in the result.
func WorstWeightedWindow(rule Rule, current float64, requests, retries []time.Time) Window {
	requests, retries = sorted(requests), sorted(retries)
	var worst Window
	for i, start := range candidateStarts(rule, retries) {
		w := Window{Start: start, Retries: countWithin(retries, start, rule.Window)}
		weighted := current*float64(countWithin(requests, start, rule.Window)) + (1-current)*float64(countWithin(requests, start.Add(-rule.Window), rule.Window))
		w.Allowed = rule.Ratio*weighted + rule.Slack
		if i == 0 || w.Excess() > worst.Excess() {
			worst = w
		}
	}
	return worst
}

// countWithin returns the number of times in [start, start+span). The times must be sorted.
func countWithin(times []time.Time, start time.Time, span time.Duration) int {
	end := start.Add(span)
	from := sort.Search(len(times), func(i int) bool { return !times[i].Before(start) })
	to := sort.Search(len(times), func(i int) bool { return !times[i].Before(end) })
	return to - from
}

func sorted(times []time.Time) []time.Time {
	out := slices.Clone(times)
	slices.SortFunc(out, time.Time.Compare)
	return out
}
