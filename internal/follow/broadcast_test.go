package follow

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestBroadcastWakesAllWaiters(t *testing.T) {
	g := NewWithT(t)
	var s broadcast
	s.notify() // no goroutine is waiting
	first, second := s.wait(), s.wait()
	g.Expect(first).NotTo(BeClosed())
	s.notify()
	g.Expect(first).To(BeClosed())
	g.Expect(second).To(BeClosed())
	g.Expect(s.wait()).NotTo(BeClosed())
}
