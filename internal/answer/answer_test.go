package answer

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Each chunk is delivered exactly once and in order under any sequence of sends, losses,
// duplicates, delayed acknowledgements and resumes.
func TestAnswerArrivesWholeOverLossyLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		total := rapid.IntRange(0, 40).Draw(t, "total")
		window := rapid.Uint32Range(1, 8).Draw(t, "window")
		buf, asm := NewBuffer(0, window), &Assembler{}
		appended := 0
		var delivered, inFlight []uint32
		var delayed []uint32 // chunks still in flight on replaced links
		for steps := 0; asm.NextSeq() < uint32(total); steps++ {
			g.Expect(steps).To(BeNumerically("<", 100000))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				if appended < total {
					buf.Append([]byte(fmt.Sprint(appended)))
					appended++
				}
			case 1:
				if seq, data, ok := buf.Peek(); ok {
					g.Expect(string(data)).To(Equal(fmt.Sprint(seq)))
					buf.MarkSent()
					inFlight = append(inFlight, seq)
				}
			case 2:
				if len(inFlight) > 0 {
					if asm.Accept(inFlight[0]) == InOrder {
						delivered = append(delivered, inFlight[0])
					}
					inFlight = inFlight[1:]
				}
			case 3: // the link breaks and the response resumes on another
				delayed, inFlight = append(delayed, inFlight...), nil
				g.Expect(buf.Rewind(asm.NextSeq())).To(Succeed())
			case 4:
				buf.Ack(rapid.Uint32Range(0, asm.NextSeq()).Draw(t, "ack"))
			case 5: // a delayed chunk arrives from a replaced link
				if len(delayed) > 0 && delayed[0] < asm.NextSeq() {
					g.Expect(asm.Accept(delayed[0])).To(Equal(Duplicate))
					delayed = delayed[1:]
				}
			}
			if len(inFlight) == 0 { // acknowledges everything, so that the window advances
				buf.Ack(asm.NextSeq())
			}
			g.Expect(buf.nextSeq - buf.firstSeq).To(BeNumerically("<=", window))
		}
		g.Expect(delivered).To(HaveLen(total))
		for i, seq := range delivered {
			g.Expect(seq).To(Equal(uint32(i)))
		}
	})
}

func TestRewindBelowAcknowledgedIsRefused(t *testing.T) {
	g := NewWithT(t)
	buf := NewBuffer(5, 4)
	buf.Append([]byte("a"))
	buf.Append([]byte("b"))
	buf.MarkSent()
	buf.Ack(6)
	g.Expect(buf.Rewind(5)).NotTo(Succeed())
	g.Expect(buf.Rewind(8)).NotTo(Succeed())
	g.Expect(buf.Rewind(6)).To(Succeed())
}
