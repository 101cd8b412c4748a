// Package answer implements reliable, in-order delivery of the chunks of a response.
// At the agent, Buffer retains chunks until they are acknowledged; at the router,
// Assembler detects duplicates and gaps.
package answer

import "github.com/merlinpost/merlinpost/internal/fault"

// Buffer holds the chunks that the router has not acknowledged. Chunks are numbered
// consecutively, starting at the value passed to NewBuffer.
type Buffer struct {
	firstSeq uint32 // sequence number of chunks[0]
	chunks   [][]byte
	nextSeq  uint32 // sequence number of the next chunk to send
	window   uint32 // maximum number of chunks that are sent but not acknowledged
}

// NewBuffer returns an empty Buffer whose first chunk will have the sequence number
// first. At most window chunks, and at least one, may be sent without being acknowledged.
func NewBuffer(first, window uint32) *Buffer {
	return &Buffer{firstSeq: first, nextSeq: first, window: max(1, window)}
}

func (b *Buffer) Append(data []byte) { b.chunks = append(b.chunks, data) }

// EndSeq returns the sequence number that follows that of the last chunk.
func (b *Buffer) EndSeq() uint32 { return b.firstSeq + uint32(len(b.chunks)) }

// Unacknowledged returns the number of chunks, sent or not, that have not been
// acknowledged.
func (b *Buffer) Unacknowledged() int { return len(b.chunks) }

// Peek returns the next chunk to send without marking it as sent. ok is false if there
// is none or the window is full.
func (b *Buffer) Peek() (seq uint32, data []byte, ok bool) {
	if b.nextSeq >= b.EndSeq() || b.nextSeq >= b.firstSeq+b.window {
		return 0, nil, false
	}
	return b.nextSeq, b.chunks[b.nextSeq-b.firstSeq], true
}

// Last returns the last chunk. ok is false if it has been acknowledged or there is none.
func (b *Buffer) Last() (seq uint32, data []byte, ok bool) {
	if len(b.chunks) == 0 {
		return 0, nil, false
	}
	return b.EndSeq() - 1, b.chunks[len(b.chunks)-1], true
}

// MarkSent marks the chunk returned by Peek as sent.
func (b *Buffer) MarkSent() { b.nextSeq++ }

// AllSent reports whether every chunk has been sent.
func (b *Buffer) AllSent() bool { return b.nextSeq == b.EndSeq() }

// Ack drops the chunks before sequence number next. Delayed and duplicate
// acknowledgements, and acknowledgements of chunks that were not sent, have no effect.
func (b *Buffer) Ack(next uint32) {
	if next <= b.firstSeq || next > b.nextSeq {
		return
	}
	n := next - b.firstSeq
	clear(b.chunks[:n])
	b.chunks = b.chunks[n:]
	b.firstSeq = next
}

// Rewind resumes sending at sequence number next and acknowledges the chunks before
// it. It returns an error if the chunk next has already been acknowledged or lies beyond
// the end of the buffer.
func (b *Buffer) Rewind(next uint32) error {
	if next < b.firstSeq || next > b.EndSeq() {
		return fault.New(fault.IncompleteResponse, "cannot resume response at chunk %d: must be between %d and %d", next, b.firstSeq, b.EndSeq())
	}
	b.nextSeq = next
	b.Ack(next)
	return nil
}

// SeqStatus is the status of a received chunk, determined by its sequence number.
type SeqStatus int

const (
	InOrder   SeqStatus = iota // the next expected chunk: deliver it
	Duplicate                  // delivered before: drop it
	Gap                        // preceding chunks are missing: resume from NextSeq
)

// Assembler tracks the sequence numbers of received chunks, so that each chunk is
// delivered once and in order.
type Assembler struct{ nextSeq uint32 }

// NextSeq returns the sequence number of the next expected chunk.
func (a *Assembler) NextSeq() uint32 { return a.nextSeq }

// Accept returns the status of the chunk with sequence number seq. If the chunk is in
// order, the next one is expected from then on.
func (a *Assembler) Accept(seq uint32) SeqStatus {
	switch {
	case seq < a.nextSeq:
		return Duplicate
	case seq > a.nextSeq:
		return Gap
	}
	a.nextSeq++
	return InOrder
}
