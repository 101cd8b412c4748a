package answer

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Any mix of sends, losses, repeats, late acknowledgements and resumes passes
// on each chunk once and in order, and ends with all of them.
func TestAnswerArrivesWholeOverLossyLinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		total := rapid.IntRange(0, 40).Draw(t, "total")
		window := rapid.Uint32Range(1, 8).Draw(t, "window")
		buf, asm := NewBuffer(0, window), &Assembler{}
		made := 0
		var got, inFlight []uint32
		var old []uint32 // what a replaced link may still bring
		for steps := 0; asm.NextSeq() < uint32(total); steps++ {
			g.Expect(steps).To(BeNumerically("<", 100000))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				if made < total {
					buf.Append([]byte(fmt.Sprint(made)))
					made++
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
						got = append(got, inFlight[0])
					}
					inFlight = inFlight[1:]
				}
			case 3: // the link breaks; the answer resumes on another
				old, inFlight = append(old, inFlight...), nil
				g.Expect(buf.Rewind(asm.NextSeq())).To(Succeed())
			case 4:
				buf.Ack(rapid.Uint32Range(0, asm.NextSeq()).Draw(t, "ack"))
			case 5: // a chunk of an old link that would be out of order
				if len(old) > 0 && old[0] < asm.NextSeq() {
					g.Expect(asm.Accept(old[0])).To(Equal(Duplicate))
					old = old[1:]
				}
			}
			if len(inFlight) == 0 { // let the window move on
				buf.Ack(asm.NextSeq())
			}
			g.Expect(buf.next - buf.base).To(BeNumerically("<=", window))
		}
		g.Expect(got).To(HaveLen(total))
		for i, seq := range got {
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
