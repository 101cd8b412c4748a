package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestResponseTimeIsEstimated(t *testing.T) {
	g := NewWithT(t)
	var estimator ResponseTimeEstimator
	g.Expect(estimator.Estimate(100)).To(Equal(100 * initialTokenTime))
	estimator.Observe(time.Second, 0) // ignored without an expected length
	g.Expect(estimator.Estimate(100)).To(Equal(100 * initialTokenTime))
	for range 100 {
		estimator.Observe(800*time.Millisecond, 100)
	}
	g.Expect(estimator.Estimate(100)).To(BeNumerically("~", 800*time.Millisecond, 5*time.Millisecond))
	estimator.Observe(80*time.Second, 100) // an outlier has a tenth of the weight
	g.Expect(estimator.Estimate(100)).To(BeNumerically("<", 10*time.Second))
}
