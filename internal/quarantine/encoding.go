package quarantine

import (
	"encoding/json"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// verdictDoc is the JSON form of a verdict in the store.
type verdictDoc struct {
	Since   int64    `json:"since"` // Unix ms
	Until   int64    `json:"until"` // Unix ms
	Trials  int      `json:"trials"`
	Servers []string `json:"servers"`
	By      string   `json:"by"` // the host that wrote it
}

// encodeVerdict returns the stored form of a verdict, written by the host by.
func encodeVerdict(v Verdict, by string) ([]byte, error) {
	return json.Marshal(verdictDoc{v.Since.UnixMilli(), v.Until.UnixMilli(), v.Trials, v.Servers, by})
}

// decodeVerdict parses a stored value. A clock that differs from the writer's never makes a refusal
// longer than its period. Errors have code BadFrame and name the field.
func decodeVerdict(value []byte, now time.Time) (Verdict, error) {
	var doc verdictDoc
	if err := json.Unmarshal(value, &doc); err != nil {
		return Verdict{}, fault.New(fault.BadFrame, "%w", err).WithField("verdict")
	}
	if doc.Trials < 0 || doc.Until < doc.Since {
		return Verdict{}, fault.New(fault.BadFrame, "invalid number of trials or times: %d trials, from %d until %d", doc.Trials, doc.Since, doc.Until).WithField("verdict")
	}
	left := min(time.UnixMilli(doc.Until).Sub(now), refusalPeriod(doc.Trials))
	// Since is not later than now on this host's clock, so that a later clear here takes precedence.
	since := now.Add(min(0, time.UnixMilli(doc.Since).Sub(now)))
	return Verdict{Since: since, Until: now.Add(left), Trials: doc.Trials, Servers: doc.Servers}, nil
}
