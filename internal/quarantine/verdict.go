package quarantine

import (
	"slices"
	"time"
)

// Verdict is that a request ends the servers which run it. It is refused until a time, and may
// then be sent once more, on trial.
type Verdict struct {
	Since  time.Time // when it was reached or the last trial began
	Until  time.Time
	Trials int
	// Servers are the starts of servers that ended.
	Servers []string
}

// rests are the times for which a request is refused: after the verdict, after the first trial,
// after each further one. Each trial that fails costs everybody who runs on its server, so that
// there are two in the first day; what changes the cause, another version of the model or its
// engine, is put into service within days, and an operator can end a quarantine before that.
var rests = []time.Duration{time.Minute, 10 * time.Minute, 24 * time.Hour}

// forgetAfter is how long a verdict is kept when its rest is over and nobody asks.
const forgetAfter = 24 * time.Hour

func rest(trials int) time.Duration { return rests[min(trials, len(rests)-1)] }

// newVerdict returns the verdict that the ends give at now.
func newVerdict(ends []Crash, now time.Time) *Verdict {
	return &Verdict{Since: now, Until: now.Add(rest(0)), Servers: servers(ends)}
}

// Tried returns the verdict as it is while a trial runs that begins now. It holds however the
// trial ends, unless that is with an answer: who tries may be gone by then.
func (v Verdict) WithTrial(now time.Time) Verdict {
	return Verdict{Since: now, Until: now.Add(rest(v.Trials + 1)), Trials: v.Trials + 1, Servers: v.Servers}
}

// replaces reports whether the verdict says more than another one.
func (v *Verdict) replaces(other *Verdict) bool {
	if other == nil || v.Trials != other.Trials {
		return other == nil || v.Trials > other.Trials
	}
	return v.Until.After(other.Until.Add(time.Second)) // less is the time that a datagram takes
}

func servers(ends []Crash) []string {
	var out []string
	for _, end := range ends {
		if !slices.Contains(out, end.Server) {
			out = append(out, end.Server)
		}
	}
	return out
}
