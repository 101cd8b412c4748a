package configshare

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/routing"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// maxDecodedBytes limits the size of a decoded difference. 2,500 teams and 10,000 routes have some
// 2 MB.
const maxDecodedBytes = 32 << 20

// closeOnTimeout closes conn after exchangeTimeout or when ctx is done. The returned function
// closes it at once.
func closeOnTimeout(ctx context.Context, conn net.Conn) (end func()) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // unblocks reads and writes
	return func() {
		stop()
		cancel()
		_ = conn.Close() // the exchange is complete
	}
}

// idleTimeoutConn is a connection whose reads and writes fail if no data is transferred for
// idleTimeout, regardless of the total duration.
type idleTimeoutConn struct{ net.Conn }

// maxChunkBytes limits a single read or write. It takes 13 ms on a link of 10 Mbit/s.
const maxIOBytes = 16 << 10

func (c idleTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(idleTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p[:min(len(p), maxIOBytes)])
}

func (c idleTimeoutConn) Write(p []byte) (sent int, err error) {
	for len(p) > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(idleTimeout)); err != nil {
			return sent, err
		}
		n, err := c.Conn.Write(p[:min(len(p), maxIOBytes)])
		sent, p = sent+n, p[n:]
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// send sends a message. Errors have code LinkLost.
func send(conn net.Conn, m wire.Message) error {
	w := wire.NewWriter(idleTimeoutConn{conn})
	err := w.Write(m)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		return fault.New(fault.LinkLost, "%w", err)
	}
	return nil
}

// read reads the next message, which must be of type M. Errors have code LinkLost or BadFrame.
func read[M wire.Message](conn net.Conn) (M, error) {
	var zero M
	m, err := wire.NewReader(idleTimeoutConn{conn}).Read()
	if err != nil {
		return zero, fault.New(fault.LinkLost, "%w", err)
	}
	expected, ok := m.(M)
	if !ok {
		return zero, fault.New(fault.BadFrame, "unexpected message of type %d", m.Type())
	}
	return expected, nil
}

// encodeChange encodes and compresses a difference. 1,400 routes have 19 KB.
func encodeChange(c routing.Change) ([]byte, error) {
	var buf bytes.Buffer
	compressor, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, fault.New(fault.Internal, "%w", err)
	}
	enc := msgpack.NewEncoder(compressor)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err = enc.Encode(c)
	if err == nil {
		err = compressor.Close()
	}
	if err != nil {
		return nil, fault.New(fault.Internal, "%w", err)
	}
	return buf.Bytes(), nil
}

// decodeChange decodes a difference. Errors have code BadFrame.
func decodeChange(data []byte) (c routing.Change, err error) {
	defer func() {
		if p := recover(); p != nil { // the decoder may panic on malicious input
			err = fault.New(fault.BadFrame, "decoder panicked: %v", p)
		}
	}()
	decompressed := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxDecodedBytes)
	if err := msgpack.NewDecoder(decompressed).Decode(&c); err != nil {
		return routing.Change{}, fault.New(fault.BadFrame, "cannot decode configuration difference: %w", err)
	}
	return c, nil
}
