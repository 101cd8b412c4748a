package worker

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// Framing is how the end of a response body is determined.
type Framing string

// The framings of a response body. The default is FramedByChunks for streams and FramedByLength for others.
const (
	DefaultFraming Framing = ""
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	FramedByClose  Framing = "close" // the body ends with the connection
)

// Cut makes a worker break off a response body.
type Cut struct {
	// Bytes is the number of bytes of the body that are sent. The body is not cut if it is not longer.
	Bytes  int
	Ending CutEnding
}

// CutEnding is how a body ends that is cut.
type CutEnding int

// The endings of a body that is cut.
const (
	// CutRegularly ends the body as if it were complete: its length is that of the cut body, its last chunk is
	// sent, or the connection is closed if that delimits the body.
	CutRegularly CutEnding = iota
	// CutByClose closes the connection before the announced end of the body.
	CutByClose
	// CutByReset resets the connection.
	CutByReset
)

// bodyWriter writes a response body with a given framing, up to the cut if there is one.
type bodyWriter struct {
	conn    net.Conn
	framing Framing
	cut     *Cut
	written int
}

// newBodyWriter returns a writer for a body of the given size.
func newBodyWriter(c net.Conn, framing Framing, size int, cut *Cut) *bodyWriter {
	if cut != nil && cut.Bytes >= size {
		cut = nil
	}
	return &bodyWriter{conn: c, framing: framing, cut: cut}
}

// headers returns the header lines that announce a body of the given size.
func (b *bodyWriter) headers(size int) string {
	switch b.framing {
	case FramedByChunks:
		return "Transfer-Encoding: chunked\r\n"
	case FramedByClose:
		return "Connection: close\r\n"
	}
	if b.cut != nil && b.cut.Ending == CutRegularly {
		size = b.cut.Bytes
	}
	return fmt.Sprintf("Content-Length: %d\r\n", size)
}

// write writes a part of the body. It returns false if the body has been cut or the connection has failed.
func (b *bodyWriter) write(part string) bool {
	cut := b.cut != nil && b.written+len(part) > b.cut.Bytes
	if cut {
		part = part[:b.cut.Bytes-b.written]
	}
	b.written += len(part)
	if part == "" {
		return !cut
	}
	if b.framing == FramedByChunks {
		part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	_, err := io.WriteString(b.conn, part)
	return err == nil && !cut
}

// end ends the body. It returns false if the connection must be closed.
func (b *bodyWriter) end() bool {
	if b.cut != nil && b.cut.Ending != CutRegularly {
		if c, ok := b.conn.(interface{ SetLinger(int) error }); ok && b.cut.Ending == CutByReset {
			_ = c.SetLinger(0) // the connection is closed in any case
		}
		return false
	}
	if b.framing == FramedByChunks {
		_, err := io.WriteString(b.conn, "0\r\n\r\n")
		return err == nil
	}
	return b.framing == FramedByLength
}

// streamCut returns where a stream of events is to be cut, nil if it is not. first is the number of the first event.
func (b Behaviour) streamCut(events []string, first int) *Cut {
	if b.Cut != nil || b.AbortAfterEvents < 0 {
		return b.Cut
	}
	whole := min(max(b.AbortAfterEvents-first+1, 0), len(events))
	if whole == len(events) {
		return nil
	}
	return &Cut{Bytes: len(strings.Join(events[:whole], "")) + len(events[whole])/2, Ending: CutByClose}
}

// framing returns the framing of the response body.
func (b Behaviour) framing() Framing {
	switch {
	case b.Framing != DefaultFraming:
		return b.Framing
	case b.Events > 0:
		return FramedByChunks
	}
	return FramedByLength
}
