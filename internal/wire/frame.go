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
	// MaxFrame is the maximum payload size of a frame in bytes. It exceeds the largest
	// request body and the configuration snapshot at the target size (docs/CAPACITY.md).
	MaxPayloadBytes = 8 << 20
	// headerSize covers a four-byte big-endian payload length and the type byte.
	headerBytes   = 5
	ioBufferBytes = 16 << 10
)

// Writer encodes messages into frames. It is not safe for concurrent use: a single
// goroutine writes to a link.
type Writer struct {
	out *bufio.Writer
	buf bytes.Buffer
	enc *msgpack.Encoder
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer {
	fw := &Writer{out: bufio.NewWriterSize(w, ioBufferBytes)}
	fw.enc = msgpack.NewEncoder(&fw.buf)
	fw.enc.UseArrayEncodedStructs(true)
	fw.enc.UseCompactInts(true)
	return fw
}

// Write buffers m; Flush sends it. An error has code TooLarge or Internal, or wraps the
// error of the underlying writer.
func (w *Writer) Write(m Message) error {
	w.buf.Reset()
	if err := w.enc.Encode(m); err != nil {
		return fault.New(fault.Internal, "encode message type %d: %w", m.Type(), err)
	}
	if w.buf.Len() > MaxPayloadBytes {
		return fault.New(fault.TooLarge, "message type %d too large: %d bytes, limit %d", m.Type(), w.buf.Len(), MaxPayloadBytes)
	}
	var header [headerBytes]byte
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

// Flush sends the buffered messages.
func (w *Writer) Flush() error { return w.out.Flush() }

// Reader decodes frames. It is not safe for concurrent use.
type Reader struct {
	in  *bufio.Reader
	buf []byte
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(r, ioBufferBytes)} }

// Read returns the next message. Malformed input gives an error with code BadFrame or
// TooLarge; a connection closed between frames gives io.EOF.
func (r *Reader) Read() (Message, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, fault.New(fault.BadFrame, "connection closed within a frame header: %w", err)
		}
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:4])
	if size > MaxPayloadBytes {
		return nil, fault.New(fault.TooLarge, "frame too large: %d bytes, limit %d", size, MaxPayloadBytes)
	}
	m := newMessage(Type(header[4]))
	if m == nil {
		return nil, fault.New(fault.BadFrame, "unknown message type %d", header[4])
	}
	payload, err := r.readPayload(int(size))
	if err != nil {
		return nil, fault.New(fault.BadFrame, "connection closed within a frame payload: %w", err)
	}
	if err := decodePayload(payload, m); err != nil {
		return nil, fault.New(fault.BadFrame, "decode message type %d: %w", header[4], err)
	}
	return m, nil
}

// payload reads size bytes. It grows the buffer as data arrives, so that a peer cannot
// make it allocate a large buffer by announcing a large frame and sending little.
func (r *Reader) readPayload(size int) ([]byte, error) {
	if cap(r.buf) < size {
		var grown bytes.Buffer
		if _, err := io.CopyN(&grown, r.in, int64(size)); err != nil {
			return nil, err
		}
		if size <= ioBufferBytes {
			r.buf = grown.Bytes()
		}
		return grown.Bytes(), nil
	}
	_, err := io.ReadFull(r.in, r.buf[:size])
	return r.buf[:size], err
}

// decode converts panics of the decoder on malicious input to errors.
func decodePayload(payload []byte, m Message) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("decoder panicked: %v", p)
		}
	}()
	return msgpack.Unmarshal(payload, m)
}
