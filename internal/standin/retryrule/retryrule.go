// Package retryrule checks the repeated sends of a whole system against the platform's rule: in any window a
// service receives at most a fixed ratio of its requests as repeats, plus a slack. The requests are those of
// the window itself, of the window that begins half a window earlier, or of the window before it, whichever
// has the most.
package retryrule

import (
	"slices"
	"sort"
	"time"
)

// Rule is the platform's bound on repeats.
type Rule struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Window holds the counts of one window.
type Window struct {
	Start    time.Time
	Retries  int
	Requests int // the largest count of the three windows that the rule considers
	// Allowed is the number of repeats that the rule permits.
	Allowed float64
}

// Excess returns the number of repeats above the allowed number; it is negative below it.
func (w Window) Excess() float64 { return float64(w.Retries) - w.Allowed }

// startsPerWindow is the number of evenly spaced window starts that are checked per window length, in addition
// to those at which the number of repeats changes.
const startsPerWindow = 200

// Worst returns the window with the largest excess, or the zero Window if there are no repeats. Requests are
// timed when their callers send them, repeats when they reach a server.
func Worst(rule Rule, requests, repeats []time.Time) Window {
	requests, repeats = sorted(requests), sorted(repeats)
	var worst Window
	for i, begin := range starts(rule, repeats) {
		w := rule.window(begin, requests, repeats)
		if i == 0 || w.Excess() > worst.Excess() {
			worst = w
		}
	}
	return worst
}

// starts returns the window starts to check.
func starts(rule Rule, repeats []time.Time) []time.Time {
	if len(repeats) == 0 {
		return nil
	}
	var out []time.Time
	for _, at := range repeats {
		out = append(out, at, at.Add(time.Nanosecond-rule.Window))
	}
	last := repeats[len(repeats)-1]
	for at := repeats[0].Add(-rule.Window); at.Before(last); at = at.Add(rule.Window / startsPerWindow) {
		out = append(out, at)
	}
	return out
}

// window counts the window that starts at begin.
func (r Rule) window(begin time.Time, requests, repeats []time.Time) Window {
	w := Window{Start: begin, Retries: between(repeats, begin, r.Window)}
	for _, earlier := range []time.Duration{0, r.Window / 2, r.Window} {
		w.Requests = max(w.Requests, between(requests, begin.Add(-earlier), r.Window))
	}
	w.Allowed = r.Ratio*float64(w.Requests) + r.Slack
	return w
}

// WorstSplit is like Worst with a stricter bound: the fraction current of the ratio applies to the requests of the
// window itself, the rest to those of the window before it. Requests is not set in the result.
func WorstSplit(rule Rule, current float64, requests, repeats []time.Time) Window {
	requests, repeats = sorted(requests), sorted(repeats)
	var worst Window
	for i, begin := range starts(rule, repeats) {
		w := Window{Start: begin, Retries: between(repeats, begin, rule.Window)}
		weighted := current*float64(between(requests, begin, rule.Window)) + (1-current)*float64(between(requests, begin.Add(-rule.Window), rule.Window))
		w.Allowed = rule.Ratio*weighted + rule.Slack
		if i == 0 || w.Excess() > worst.Excess() {
			worst = w
		}
	}
	return worst
}

// between counts the times in [begin, begin+span).
func between(times []time.Time, begin time.Time, span time.Duration) int {
	end := begin.Add(span)
	from := sort.Search(len(times), func(i int) bool { return !times[i].Before(begin) })
	to := sort.Search(len(times), func(i int) bool { return !times[i].Before(end) })
	return to - from
}

func sorted(times []time.Time) []time.Time {
	out := slices.Clone(times)
	slices.SortFunc(out, time.Time.Compare)
	return out
}
