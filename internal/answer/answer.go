// Package answer keeps the numbered chunks of an answer whole and in order:
// Buffer at the agent until they are acknowledged, Assembler at the router.
package answer

import "github.com/merlinpost/merlinpost/internal/fault"

// Buffer holds the chunks that the router has not acknowledged. Chunks are
// numbered from the value given to NewBuffer.
type Buffer struct {
	base   uint32 // number of chunks[0]
	chunks [][]byte
	next   uint32 // next to send
	window uint32
}

// NewBuffer returns an empty Buffer whose first chunk has the given number;
// window bounds the chunks sent ahead of acknowledgement.
func NewBuffer(first, window uint32) *Buffer {
	return &Buffer{base: first, next: first, window: max(1, window)}
}

// Append adds a chunk.
func (b *Buffer) Append(data []byte) { b.chunks = append(b.chunks, data) }

// Total returns the number of the chunk after the last.
func (b *Buffer) EndSeq() uint32 { return b.base + uint32(len(b.chunks)) }

// Held returns how many chunks are kept.
func (b *Buffer) Unacknowledged() int { return len(b.chunks) }

// Peek returns the next chunk to send, if the window allows one.
func (b *Buffer) Peek() (seq uint32, data []byte, ok bool) {
	if b.next >= b.EndSeq() || b.next >= b.base+b.window {
		return 0, nil, false
	}
	return b.next, b.chunks[b.next-b.base], true
}

// Last returns the newest chunk if it is still kept.
func (b *Buffer) Last() (seq uint32, data []byte, ok bool) {
	if len(b.chunks) == 0 {
		return 0, nil, false
	}
	return b.EndSeq() - 1, b.chunks[len(b.chunks)-1], true
}

// Sent moves past the chunk that Peek returned.
func (b *Buffer) MarkSent() { b.next++ }

// AllSent reports whether every chunk was sent.
func (b *Buffer) AllSent() bool { return b.next == b.EndSeq() }

// Ack forgets the chunks below next. Late and repeated acknowledgements, and
// ones of chunks never sent, have no effect.
func (b *Buffer) Ack(next uint32) {
	if next <= b.base || next > b.next {
		return
	}
	n := next - b.base
	clear(b.chunks[:n])
	b.chunks = b.chunks[n:]
	b.base = next
}

// Rewind sends again from next on, which must not be acknowledged yet.
func (b *Buffer) Rewind(next uint32) error {
	if next < b.base || next > b.EndSeq() {
		return fault.New(fault.IncompleteResponse, "resume at chunk %d, but %d to %d are held", next, b.base, b.EndSeq())
	}
	b.next = next
	b.Ack(next)
	return nil
}

// Place says where a chunk belongs in the order.
type SeqStatus int

// The places.
const (
	InOrder   SeqStatus = iota // the next one: pass it on
	Duplicate                  // passed on before: drop it
	Gap                        // chunks before it are missing: resume
)

// Assembler passes each chunk on once and in order.
type Assembler struct{ next uint32 }

// Next returns the number of the chunk that is expected next.
func (a *Assembler) NextSeq() uint32 { return a.next }

// Accept places chunk seq, and counts it as passed on if it is in order.
func (a *Assembler) Accept(seq uint32) SeqStatus {
	switch {
	case seq < a.next:
		return Duplicate
	case seq > a.next:
		return Gap
	}
	a.next++
	return InOrder
}
