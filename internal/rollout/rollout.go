// Package rollout assigns requests to model versions.
package rollout

import (
	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/resource"
)

// hashBuckets is the number of hash buckets. A bucket holds 0.01 percent of the requests.
const hashBuckets = 10000

// Choose returns the model version for a request. Each rollout receives its share of the
// requests, and the base version the rest. The rollouts must be sorted by version. For the
// same rollouts the choice depends only on the request ID, so that a repeated offer of a
// request goes to the same version.
func Choose(rollouts []*resource.Rollout, requestID string) string {
	if len(rollouts) == 0 {
		return resource.BaseVersion
	}
	hashPercent := float64(xxhash.Sum64String(requestID)%hashBuckets) * 100 / hashBuckets
	cumulative := 0.0 // percent of the requests
	for _, r := range rollouts {
		if cumulative += r.SharePercent; hashPercent < cumulative {
			return r.Version
		}
	}
	return resource.BaseVersion
}
