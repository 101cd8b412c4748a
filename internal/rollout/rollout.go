// Package rollout chooses the version of a model that serves a request.
package rollout

import (
	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/resource"
)

// steps is the resolution of a share: hundredths of a percent.
const steps = 10000

// Choose returns the version for a request: the rollouts take their shares in
// order of version, the base takes the rest. It depends on the request's id
// alone, so a repeated offer goes to the same version.
func Choose(rollouts []*resource.Rollout, requestID string) string {
	if len(rollouts) == 0 {
		return resource.BaseVersion
	}
	point := float64(xxhash.Sum64String(requestID)%steps) * 100 / steps
	sum := 0.0
	for _, r := range rollouts {
		if sum += r.SharePercent; point < sum {
			return r.Version
		}
	}
	return resource.BaseVersion
}
