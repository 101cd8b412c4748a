package quarantine

import (
	"encoding/json"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
)

// keptDoc is a verdict in the store, under the request's ID.
type keptDoc struct {
	Since   int64    `json:"since"` // Unix ms
	Until   int64    `json:"until"` // Unix ms
	Trials  int      `json:"trials"`
	Servers []string `json:"servers"`
	By      string   `json:"by"` // the host that wrote it
}

// encodeKept returns the value for the store.
func encodeKept(v Verdict, by string) ([]byte, error) {
	return json.Marshal(keptDoc{v.Since.UnixMilli(), v.Until.UnixMilli(), v.Trials, v.Servers, by})
}

// decodeKept reads a value of the store. A clock that differs from that of the host that
// wrote it makes no rest longer than it is to be. Errors have code BadFrame and name the field.
func decodeKept(value []byte, now time.Time) (Verdict, error) {
	var doc keptDoc
	if err := json.Unmarshal(value, &doc); err != nil {
		return Verdict{}, fault.New(fault.BadFrame, "%w", err).WithField("verdict")
	}
	if doc.Trials < 0 || doc.Until < doc.Since {
		return Verdict{}, fault.New(fault.BadFrame, "%d trials, from %d until %d", doc.Trials, doc.Since, doc.Until).WithField("verdict")
	}
	left := min(time.UnixMilli(doc.Until).Sub(now), rest(doc.Trials))
	// Since goes by this host's clock: what it cleared after that stands.
	since := now.Add(min(0, time.UnixMilli(doc.Since).Sub(now)))
	return Verdict{Since: since, Until: now.Add(left), Trials: doc.Trials, Servers: doc.Servers}, nil
}
