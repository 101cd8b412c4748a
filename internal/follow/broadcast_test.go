package follow

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestBroadcastWakesAllWaiters(t *testing.T) {
	g := NewWithT(t)
	var b broadcast
	b.notify() // no goroutine is waiting
	first, second := b.wait(), b.wait()
	g.Expect(first).NotTo(BeClosed())
	b.notify()
	g.Expect(first).To(BeClosed())
	g.Expect(second).To(BeClosed())
	g.Expect(b.wait()).NotTo(BeClosed())
}
