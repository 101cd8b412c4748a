package worker

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against dating a retry to the first arrival of its request, depending on the order of the workers.
func TestRetriesAreDatedToTheLaterArrivals(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	first := &Worker{arrivals: []Arrival{{"a", at(30)}, {"b", at(5)}}}
	second := &Worker{arrivals: []Arrival{{"a", at(10)}, {"c", at(20)}, {"a", at(40)}}}
	for _, workers := range [][]*Worker{{first, second}, {second, first}} {
		NewWithT(t).Expect(Retries(workers)).To(Equal([]time.Time{at(30), at(40)}))
	}
}
