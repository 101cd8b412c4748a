package rollout

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/resource"
)

func TestVersionsGetTheirShares(t *testing.T) {
	g := NewWithT(t)
	count := map[string]int{}
	rollouts := []*resource.Rollout{{Version: "v2", SharePercent: 10}, {Version: "v3", SharePercent: 0}, {Version: "v4", SharePercent: 25}}
	for i := range 20000 {
		count[Choose(rollouts, fmt.Sprint("request", i))]++
	}
	g.Expect(count["v2"]).To(BeNumerically("~", 2000, 200))
	g.Expect(count["v3"]).To(BeZero())
	g.Expect(count["v4"]).To(BeNumerically("~", 5000, 300))
	g.Expect(Choose(nil, "x")).To(Equal(resource.BaseVersion))
}
