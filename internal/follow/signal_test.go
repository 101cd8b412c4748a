package follow

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestASignalWakesAllWhoWait(t *testing.T) {
	g := NewWithT(t)
	var s signal
	s.tell() // nobody waits
	first, second := s.next(), s.next()
	g.Expect(first).NotTo(BeClosed())
	s.tell()
	g.Expect(first).To(BeClosed())
	g.Expect(second).To(BeClosed())
	g.Expect(s.next()).NotTo(BeClosed())
}
