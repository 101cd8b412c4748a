package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/merlinpost/merlinpost/internal/fault"
)

func encodeAll(t interface{ Fatal(...any) }, msgs ...Message) []byte {
	var out bytes.Buffer
	w := NewWriter(&out)
	for _, m := range msgs {
		if err := w.Write(m); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

func TestMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		offer := &Offer{ID: rapid.String().Draw(t, "id"), Attempt: rapid.Uint32().Draw(t, "attempt"),
			Body: rapid.SliceOfN(rapid.Byte(), 1, 40000).Draw(t, "body"), Retryable: rapid.Bool().Draw(t, "retryable")}
		end := &End{ID: offer.ID, Total: 7, Fault: EncodeFault(fault.New(fault.EngineFailed, "gone").WithOutcome(fault.Partial)),
			Load: &Load{Queued: []int{1, 2}, Serving: []string{"advisory@base"}}}
		r := NewReader(bytes.NewReader(encodeAll(t, offer, end)))
		got, err := r.Read()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(offer))
		got, err = r.Read()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(end))
		_, err = r.Read()
		g.Expect(err).To(Equal(io.EOF))
	})
}

func TestMalformedFramesReturnTypedErrors(t *testing.T) {
	valid := encodeAll(t, &Heartbeat{Revision: 9})
	oversize := append([]byte(nil), valid...)
	binary.BigEndian.PutUint32(oversize, MaxPayloadBytes+1)
	unknown := append([]byte(nil), valid...)
	unknown[4] = 200
	garbage := append([]byte(nil), valid...)
	garbage[5] = 0xc1
	for name, c := range map[string]struct {
		in   []byte
		code fault.Code
	}{
		"truncated header":  {valid[:3], fault.BadFrame},
		"truncated payload": {valid[:len(valid)-1], fault.BadFrame},
		"oversize":          {oversize, fault.TooLarge},
		"unknown type":      {unknown, fault.BadFrame},
		"garbage":           {garbage, fault.BadFrame},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := NewReader(bytes.NewReader(c.in)).Read()
			NewWithT(t).Expect(fault.Is(err, c.code)).To(BeTrue(), "%v", err)
		})
	}
}

func FuzzReader(f *testing.F) {
	f.Add(encodeAll(f, &Hello{Version: Version, Name: "a"}, &Chunk{ID: "x", Data: []byte("y")}))
	f.Add([]byte{0, 0, 0, 1, byte(TypeOffer), 0xdc})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := NewReader(bytes.NewReader(data))
		for {
			if _, err := r.Read(); err != nil {
				return
			}
		}
	})
}

func BenchmarkChunkRoundTrip(b *testing.B) {
	var buf bytes.Buffer
	w, r := NewWriter(&buf), NewReader(&buf)
	m := &Chunk{ID: "01J00000000000000000000000", Attempt: 1, Seq: 300, Data: []byte(" token")}
	b.ReportAllocs()
	for b.Loop() {
		_ = w.Write(m)
		_ = w.Flush()
		if _, err := r.Read(); err != nil {
			b.Fatal(err)
		}
	}
}
