package placement

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestTheTimeOfAnswersIsMeasured(t *testing.T) {
	g := NewWithT(t)
	var a AnswerTime
	g.Expect(a.Of(100)).To(Equal(100 * firstTokenTime))
	a.Add(time.Second, 0) // no length was expected
	g.Expect(a.Of(100)).To(Equal(100 * firstTokenTime))
	for range 100 {
		a.Add(800*time.Millisecond, 100)
	}
	g.Expect(a.Of(100)).To(BeNumerically("~", 800*time.Millisecond, 5*time.Millisecond))
	a.Add(80*time.Second, 100) // one that was far off moves it by a tenth
	g.Expect(a.Of(100)).To(BeNumerically("<", 10*time.Second))
}
