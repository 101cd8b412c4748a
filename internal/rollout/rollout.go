// Package rollout assigns requests to model versions.
package rollout

import (
	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/resource"
)

// shareResolution is the number of hash buckets. A bucket is 0.01 percent of the requests.
const hashBuckets = 10000

// Choose returns the version for a request. The rollouts get their shares in the order
// given, which must be by version; the base version gets the rest. For given rollouts the
// choice depends only on the request ID, so a repeated offer goes to the same version.
func Choose(rollouts []*resource.Rollout, requestID string) string {
	if len(rollouts) == 0 {
		return resource.BaseVersion
	}
	percentile := float64(xxhash.Sum64String(requestID)%hashBuckets) * 100 / hashBuckets
	cumulative := 0.0
	for _, r := range rollouts {
		if cumulative += r.SharePercent; percentile < cumulative {
			return r.Version
		}
	}
	return resource.BaseVersion
}
