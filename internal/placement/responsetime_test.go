package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestResponseTimeIsEstimated(t *testing.T) {
	g := NewWithT(t)
	var a ResponseTimeEstimator
	g.Expect(a.Estimate(100)).To(Equal(100 * initialTokenTime))
	a.Observe(time.Second, 0) // without an expected length
	g.Expect(a.Estimate(100)).To(Equal(100 * initialTokenTime))
	for range 100 {
		a.Observe(800*time.Millisecond, 100)
	}
	g.Expect(a.Estimate(100)).To(BeNumerically("~", 800*time.Millisecond, 5*time.Millisecond))
	a.Observe(80*time.Second, 100) // an outlier moves the average by a tenth
	g.Expect(a.Estimate(100)).To(BeNumerically("<", 10*time.Second))
}
