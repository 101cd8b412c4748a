package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/merlinpost/merlinpost/internal/fault"
)

const (
	// MaxFrame bounds a frame's payload in bytes. It is above the largest
	// caller body and the configuration snapshot at the target size (docs/CAPACITY.md).
	MaxFrame = 8 << 20
	// headerSize is a four-byte big-endian payload length and the type byte.
	headerSize  = 5
	ioBufferLen = 16 << 10
)

// Writer encodes messages into frames. It is not safe for concurrent use: one
// goroutine owns the sending side of a link.
type Writer struct {
	out *bufio.Writer
	buf bytes.Buffer
	enc *msgpack.Encoder
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer {
	fw := &Writer{out: bufio.NewWriterSize(w, ioBufferLen)}
	fw.enc = msgpack.NewEncoder(&fw.buf)
	fw.enc.UseArrayEncodedStructs(true)
	fw.enc.UseCompactInts(true)
	return fw
}

// Write appends m to the buffer; Flush sends it. The error has code TooLarge
// or is the connection's.
func (w *Writer) Write(m Message) error {
	w.buf.Reset()
	if err := w.enc.Encode(m); err != nil {
		return fault.New(fault.Internal, "encode message type %d: %w", m.Type(), err)
	}
	if w.buf.Len() > MaxFrame {
		return fault.New(fault.TooLarge, "message type %d has %d bytes, at most %d", m.Type(), w.buf.Len(), MaxFrame)
	}
	var header [headerSize]byte
	binary.BigEndian.PutUint32(header[:4], uint32(w.buf.Len()))
	header[4] = byte(m.Type())
	if _, err := w.out.Write(header[:]); err != nil {
		return fmt.Errorf("write frame header: %w", err)
	}
	if _, err := w.out.Write(w.buf.Bytes()); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// Flush sends what Write buffered.
func (w *Writer) Flush() error { return w.out.Flush() }

// Reader decodes frames. It is not safe for concurrent use.
type Reader struct {
	in  *bufio.Reader
	buf []byte
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, ioBufferLen)} }

// Read returns the next message. Broken input gives a fault of code BadFrame
// or TooLarge; a connection closed between frames gives io.EOF.
func (r *Reader) Read() (Message, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, fault.New(fault.BadFrame, "connection closed inside a frame header: %w", err)
		}
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size > MaxFrame {
		return nil, fault.New(fault.TooLarge, "frame of %d bytes, at most %d", size, MaxFrame)
	}
	m := newMessage(Type(header[4]))
	if m == nil {
		return nil, fault.New(fault.BadFrame, "unknown message type %d", header[4])
	}
	payload, err := r.payload(int(size))
	if err != nil {
		return nil, fault.New(fault.BadFrame, "connection closed inside a frame: %w", err)
	}
	if err := decode(payload, m); err != nil {
		return nil, fault.New(fault.BadFrame, "decode message type %d: %w", header[4], err)
	}
	return m, nil
}

// payload reads size bytes, growing the buffer with what arrives, so that a
// peer that announces a large frame and sends little costs little.
func (r *Reader) payload(size int) ([]byte, error) {
	if cap(r.buf) < size {
		var grown bytes.Buffer
		if _, err := io.CopyN(&grown, r.in, int64(size)); err != nil {
			return nil, err
		}
		if size <= ioBufferLen {
			r.buf = grown.Bytes()
		}
		return grown.Bytes(), nil
	}
	_, err := io.ReadFull(r.in, r.buf[:size])
	return r.buf[:size], err
}

// decode guards against the decoder's panics on hostile input.
func decode(payload []byte, m Message) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("decoder: %v", p)
		}
	}()
	return msgpack.Unmarshal(payload, m)
}
