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
	By      string   `json:"by"` // host of the gateway that wrote the verdict
	// Part and Companions are set for prompt parts only.
	Part       *PartName `json:"part,omitempty"`
	Companions []string  `json:"companions,omitempty"`
}

// encodeVerdict returns the stored form of a verdict. The host is that of the writing gateway.
func encodeVerdict(v Verdict, host string) ([]byte, error) {
	doc := verdictDoc{Since: v.Since.UnixMilli(), Until: v.Until.UnixMilli(), Trials: v.Trials, Servers: v.Servers, By: host, Part: v.Part}
	for _, id := range v.Companions {
		doc.Companions = append(doc.Companions, id.String())
	}
	return json.Marshal(doc)
}

// decodeVerdict parses a stored verdict. The remaining refusal time is capped at the refusal period, as
// the clock may differ from the writer's. Errors have code BadFrame and name the field.
func decodeVerdict(value []byte, now time.Time) (Verdict, error) {
	var doc verdictDoc
	if err := json.Unmarshal(value, &doc); err != nil {
		return Verdict{}, fault.New(fault.BadFrame, "%w", err).WithField("verdict")
	}
	if doc.Trials < 0 || doc.Until < doc.Since {
		return Verdict{}, fault.New(fault.BadFrame, "invalid number of trials or times: %d trials, from %d until %d", doc.Trials, doc.Since, doc.Until).WithField("verdict")
	}
	remaining := min(time.UnixMilli(doc.Until).Sub(now), refusalPeriod(doc.Trials))
	// Since is capped at the current time of this host, so that clearing the request afterwards
	// always removes the verdict.
	since := now.Add(min(0, time.UnixMilli(doc.Since).Sub(now)))
	v := Verdict{Since: since, Until: now.Add(remaining), Trials: doc.Trials, Servers: doc.Servers, Part: doc.Part}
	for _, text := range doc.Companions {
		id, err := ParseID(text)
		if err != nil {
			return Verdict{}, fault.New(fault.BadFrame, "%w", err).WithField("companions")
		}
		v.Companions = append(v.Companions, id)
	}
	return v, nil
}
