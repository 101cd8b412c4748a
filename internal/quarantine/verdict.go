package quarantine

import (
	"slices"
	"time"
)

// Verdict is the finding that a request crashes the servers which run it. The request is refused until
// a set time and may then be sent once more as a trial.
type Verdict struct {
	Since  time.Time // when it was reached or the latest trial began
	Until  time.Time
	Trials int
	// Servers are the crashed server instances.
	Servers []string
}

// refusalPeriods are how long a request is refused: after the verdict, after the first trial, and after
// each further one. A failed trial hits every request on its server, so there are only two on the first
// day. The cause is usually removed by another version of the model or its engine, which takes days
// to deploy, and an operator can lift a quarantine earlier.
var refusalPeriods = []time.Duration{time.Minute, 10 * time.Minute, 24 * time.Hour}

// verdictTTL is how long a verdict is kept after its refusal period when no trial is requested.
const verdictTTL = 24 * time.Hour

func refusalPeriod(trials int) time.Duration {
	return refusalPeriods[min(trials, len(refusalPeriods)-1)]
}

// newVerdict returns the verdict for crashes at the given time.
func newVerdict(crashes []Crash, now time.Time) *Verdict {
	return &Verdict{Since: now, Until: now.Add(refusalPeriod(0)), Servers: serversOf(crashes)}
}

// WithTrial returns the verdict while a trial that begins now is running. It stays in force unless the
// trial is answered, because the gateway that runs the trial may not survive to report a failure.
func (v Verdict) WithTrial(now time.Time) Verdict {
	return Verdict{Since: now, Until: now.Add(refusalPeriod(v.Trials + 1)), Trials: v.Trials + 1, Servers: v.Servers}
}

// supersedes reports whether the verdict is newer than another one.
func (v *Verdict) supersedes(other *Verdict) bool {
	if other == nil || v.Trials != other.Trials {
		return other == nil || v.Trials > other.Trials
	}
	return v.Until.After(other.Until.Add(time.Second)) // smaller differences come from datagram delay
}

func serversOf(crashes []Crash) []string {
	var out []string
	for _, crash := range crashes {
		if !slices.Contains(out, crash.Server) {
			out = append(out, crash.Server)
		}
	}
	return out
}
