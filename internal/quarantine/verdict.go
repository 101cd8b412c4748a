package quarantine

import (
	"slices"
	"time"
)

// Verdict is the decision to quarantine a request because it crashes the servers that run it. The
// request is refused until the refusal period ends; then a single trial run is allowed.
type Verdict struct {
	Since   time.Time // time of the decision or start of the latest trial
	Until   time.Time // end of the refusal period
	Trials  int       // number of trials so far
	Servers []string  // instances of the servers that the request crashed
	// Part is the name of a prompt part, nil for a request. Companions are the other parts that a request must also
	// have to be refused.
	Part       *PartName
	Companions []ID
}

// refusalPeriods are the refusal periods after the verdict, after the first trial, and after each
// further trial. A failed trial aborts all requests on its server, so there are at most two on the
// first day. The usual fix is a new version of the model or its engine, which takes days to deploy. An
// operator can lift a quarantine earlier.
var refusalPeriods = []time.Duration{time.Minute, 10 * time.Minute, 24 * time.Hour}

// verdictTTL is how long a verdict is kept after its refusal period if no trial starts.
const verdictTTL = 24 * time.Hour

func refusalPeriod(trials int) time.Duration {
	return refusalPeriods[min(trials, len(refusalPeriods)-1)]
}

// newVerdict returns the verdict for crashes that were found conclusive at the given time.
func newVerdict(crashes []Crash, now time.Time) *Verdict {
	return &Verdict{Since: now, Until: now.Add(refusalPeriod(0)), Servers: serversOf(crashes)}
}

// WithTrial returns the verdict that applies once a trial starts. It stays in force unless the trial
// gets a response: the gateway that runs the trial may itself fail before it can report a crash.
func (v Verdict) WithTrial(now time.Time) Verdict {
	v.Since, v.Until, v.Trials = now, now.Add(refusalPeriod(v.Trials+1)), v.Trials+1
	return v
}

// supersedes reports whether the verdict is newer than another one.
func (v *Verdict) supersedes(other *Verdict) bool {
	if other == nil || v.Trials != other.Trials {
		return other == nil || v.Trials > other.Trials
	}
	// Verdicts are sent with relative times, so datagram delay shifts Until by less than 1 s.
	return v.Until.After(other.Until.Add(time.Second))
}

// serversOf returns the distinct server instances of the crashes.
func serversOf(crashes []Crash) []string {
	var out []string
	for _, crash := range crashes {
		if !slices.Contains(out, crash.Server) {
			out = append(out, crash.Server)
		}
	}
	return out
}
