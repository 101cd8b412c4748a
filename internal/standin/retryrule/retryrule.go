// Package retryrule checks the retries of a whole deployment against the platform's retry limit: in any window of
// time, a service receives at most a fixed ratio of its requests as retries, plus a slack. The number of requests
// is that of the window itself, of the window that starts half a window earlier, or of the preceding window,
// whichever is highest.
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
	Slack  float64 // retries allowed per window in addition to those of Ratio
}

// Window holds the counts for one window.
type Window struct {
	Start    time.Time
	Retries  int
	Requests int // highest count of the three windows that the rule considers
	// Allowed is the number of retries that the rule allows.
	Allowed float64
}

// Excess returns the number of retries above the allowed number. It is negative if there are fewer retries.
func (w Window) Excess() float64 { return float64(w.Retries) - w.Allowed }

// startsPerWindow is the number of evenly spaced window starts that are checked per window length, in addition
// to those at which the number of retries changes.
const startsPerWindow = 200

// WorstWindow returns the window with the largest excess, or the zero Window if there are no retries. The time of
// a request is when its caller sends it, the time of a retry is when it reaches a server.
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

// candidateStarts returns the window starts to check.
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

// windowAt returns the counts for the window that starts at start.
func (r Rule) windowAt(start time.Time, requests, retries []time.Time) Window {
	w := Window{Start: start, Retries: countWithin(retries, start, r.Window)}
	for _, shift := range []time.Duration{0, r.Window / 2, r.Window} {
		w.Requests = max(w.Requests, countWithin(requests, start.Add(-shift), r.Window))
	}
	w.Allowed = r.Ratio*float64(w.Requests) + r.Slack
	return w
}

// WorstWeightedWindow is like WorstWindow with a stricter limit: the requests of the window itself count with
// weight currentWeight, those of the preceding window with the remaining weight. Requests is not set in the result.
func WorstWeightedWindow(rule Rule, currentWeight float64, requests, retries []time.Time) Window {
	requests, retries = sorted(requests), sorted(retries)
	var worst Window
	for i, start := range candidateStarts(rule, retries) {
		w := Window{Start: start, Retries: countWithin(retries, start, rule.Window)}
		weighted := currentWeight*float64(countWithin(requests, start, rule.Window)) + (1-currentWeight)*float64(countWithin(requests, start.Add(-rule.Window), rule.Window))
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
