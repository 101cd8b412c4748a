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

// maxUnpacked bounds a change in bytes: 2,500 teams and 10,000 routes are some 2 MB.
const maxUnpacked = 32 << 20

// bounded closes conn after the longest time or when ctx ends. The returned function closes
// it at once.
func bounded(ctx context.Context, conn net.Conn) (end func()) {
	ctx, cancel := context.WithTimeout(ctx, longest)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // ends its reads and writes
	return func() {
		stop()
		cancel()
		_ = conn.Close() // all that was to be said has been
	}
}

// lively gives up a connection that brings nothing for a while, however long the whole takes.
type lively struct{ net.Conn }

// progress is how much is read or written at once: 13 ms of a link of 10 Mbit/s.
const progress = 16 << 10

func (c lively) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(silence)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p[:min(len(p), progress)])
}

func (c lively) Write(p []byte) (sent int, err error) {
	for len(p) > 0 {
		if err := c.SetWriteDeadline(time.Now().Add(silence)); err != nil {
			return sent, err
		}
		n, err := c.Conn.Write(p[:min(len(p), progress)])
		sent, p = sent+n, p[n:]
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// send sends a message. Errors have code LinkLost.
func send(conn net.Conn, m wire.Message) error {
	w := wire.NewWriter(lively{conn})
	err := w.Write(m)
	if err == nil {
		err = w.Flush()
	}
	if err != nil {
		return fault.New(fault.LinkLost, "%w", err)
	}
	return nil
}

// read reads the one message that is due. Errors have code LinkLost or BadFrame.
func read[M wire.Message](conn net.Conn) (M, error) {
	var none M
	m, err := wire.NewReader(lively{conn}).Read()
	if err != nil {
		return none, fault.New(fault.LinkLost, "%w", err)
	}
	due, ok := m.(M)
	if !ok {
		return none, fault.New(fault.BadFrame, "a message of type %d is not due", m.Type())
	}
	return due, nil
}

// pack encodes a change: 1,400 routes are 19 KB.
func pack(c routing.Change) ([]byte, error) {
	var buf bytes.Buffer
	deflate, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, fault.New(fault.Internal, "%w", err)
	}
	enc := msgpack.NewEncoder(deflate)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	err = enc.Encode(c)
	if err == nil {
		err = deflate.Close()
	}
	if err != nil {
		return nil, fault.New(fault.Internal, "%w", err)
	}
	return buf.Bytes(), nil
}

// unpack decodes a change. Errors have code BadFrame.
func unpack(data []byte) (c routing.Change, err error) {
	defer func() {
		if p := recover(); p != nil { // the decoder's, on hostile input
			err = fault.New(fault.BadFrame, "decoder: %v", p)
		}
	}()
	inflate := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxUnpacked)
	if err := msgpack.NewDecoder(inflate).Decode(&c); err != nil {
		return routing.Change{}, fault.New(fault.BadFrame, "a change can't be read: %w", err)
	}
	return c, nil
}
