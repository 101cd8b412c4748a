package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTheTimeOfAnswersIsMeasured(t *testing.T) {
	g := NewWithT(t)
	var a ResponseTimeEstimator
	g.Expect(a.Estimate(100)).To(Equal(100 * firstTokenTime))
	a.Observe(time.Second, 0) // no length was expected
	g.Expect(a.Estimate(100)).To(Equal(100 * firstTokenTime))
	for range 100 {
		a.Observe(800*time.Millisecond, 100)
	}
	g.Expect(a.Estimate(100)).To(BeNumerically("~", 800*time.Millisecond, 5*time.Millisecond))
	a.Observe(80*time.Second, 100) // one that was far off moves it by a tenth
	g.Expect(a.Estimate(100)).To(BeNumerically("<", 10*time.Second))
}
