// Package retryrule judges the repeated sends of a whole system by the platform's rule: in any window a
// service gets at most a share of its requests as repeats, and a slack beyond. The requests are those of
// the window, of the one before it, or of the one half a window before it, whichever has most.
package retryrule

import (
	"slices"
	"sort"
	"time"
)

// Rule is the platform's bound.
type Rule struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// Window is what was counted in one window.
type Window struct {
	Begin    time.Time
	Repeats  int
	Requests int // of the three windows that count, the most
	// Allowed is the number of repeats that the rule bears.
	Allowed float64
}

// Excess is how many repeats are beyond what is allowed, negative where none are.
func (w Window) Excess() float64 { return float64(w.Repeats) - w.Allowed }

// gridPerWindow is the number of starts in one window that are looked at besides those at which the
// number of repeats changes.
const gridPerWindow = 200

// Worst returns the window with the largest excess. Requests are counted when their callers sent them,
// repeats when they reached a server. Without repeats it is the zero window.
func Worst(rule Rule, requests, repeats []time.Time) Window {
	requests, repeats = sorted(requests), sorted(repeats)
	var worst Window
	for i, begin := range starts(rule, repeats) {
		w := rule.at(begin, requests, repeats)
		if i == 0 || w.Excess() > worst.Excess() {
			worst = w
		}
	}
	return worst
}

// starts are the starts of windows that are looked at.
func starts(rule Rule, repeats []time.Time) []time.Time {
	if len(repeats) == 0 {
		return nil
	}
	var out []time.Time
	for _, at := range repeats {
		out = append(out, at, at.Add(time.Nanosecond-rule.Window))
	}
	last := repeats[len(repeats)-1]
	for at := repeats[0].Add(-rule.Window); at.Before(last); at = at.Add(rule.Window / gridPerWindow) {
		out = append(out, at)
	}
	return out
}

// at counts the window that begins at a time.
func (r Rule) at(begin time.Time, requests, repeats []time.Time) Window {
	w := Window{Begin: begin, Repeats: between(repeats, begin, r.Window)}
	for _, earlier := range []time.Duration{0, r.Window / 2, r.Window} {
		w.Requests = max(w.Requests, between(requests, begin.Add(-earlier), r.Window))
	}
	w.Allowed = r.Ratio*float64(w.Requests) + r.Slack
	return w
}

// between counts the times in a span, its end left out.
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
