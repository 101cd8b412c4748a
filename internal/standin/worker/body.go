package worker

import (
	"bufio"
	"fmt"
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

// Cut makes a worker break off a response body. The body is not cut if it is not longer.
type Cut struct {
	// Events is the number of whole events of a stream that are sent, and Bytes the number of bytes after them.
	Events, Bytes int
	Ending        CutEnding
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

// maxBufferedResponseBytes is the size up to which a response is sent at once unless it is flushed. If it were sent in
// parts, a connection that is closed between them would look like the end of a body that is FramedByClose.
const maxBufferedResponseBytes = 64 << 10

// bodyWriter writes a response body with a given framing, up to the cut if there is one.
type bodyWriter struct {
	*bufio.Writer
	conn    net.Conn
	framing Framing
	parts   []string // up to the cut
	size    int      // without the cut
	isCut   bool
	ending  CutEnding
}

// newBodyWriter returns a writer for a body that consists of parts, which are the events of a stream.
func newBodyWriter(c net.Conn, framing Framing, parts []string, cut *Cut) *bodyWriter {
	b := &bodyWriter{Writer: bufio.NewWriterSize(c, maxBufferedResponseBytes), conn: c, framing: framing, parts: parts, size: totalLength(parts)}
	if cut == nil {
		return b
	}
	limit := totalLength(parts[:min(cut.Events, len(parts))]) + cut.Bytes
	if limit < b.size {
		b.parts, b.isCut, b.ending = truncate(parts, limit), true, cut.Ending
	}
	return b
}

func totalLength(parts []string) int { return len(strings.Join(parts, "")) }

// truncate returns the first limit bytes of parts, without empty parts.
func truncate(parts []string, limit int) []string {
	var out []string
	for _, part := range parts {
		part = part[:min(limit, len(part))]
		limit -= len(part)
		if part != "" {
			out = append(out, part)
		}
	}
	return out
}

// headers returns the header lines that announce the body.
func (b *bodyWriter) headers() string {
	switch b.framing {
	case FramedByChunks:
		return "Transfer-Encoding: chunked\r\n"
	case FramedByClose:
		return "Connection: close\r\n"
	}
	size := b.size
	if b.isCut && b.ending == CutRegularly {
		size = totalLength(b.parts)
	}
	return fmt.Sprintf("Content-Length: %d\r\n", size)
}

// writePart writes a part of the body. Errors are returned by Flush and end.
func (b *bodyWriter) writePart(part string) {
	if b.framing == FramedByChunks {
		part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	_, _ = b.WriteString(part) // the error is returned by Flush
}

// end ends the body. It returns false if the connection must be closed.
func (b *bodyWriter) end() bool {
	brokenOff := b.isCut && b.ending != CutRegularly
	if b.framing == FramedByChunks && !brokenOff {
		_, _ = b.WriteString("0\r\n\r\n") // the error is returned by Flush
	}
	err := b.Flush()
	if c, ok := b.conn.(interface{ SetLinger(int) error }); ok && brokenOff && b.ending == CutByReset {
		_ = c.SetLinger(0) // the connection is closed in any case
	}
	return err == nil && !brokenOff && b.framing != FramedByClose
}

// streamCut returns where a stream is to be cut whose first event has the given number, nil if it is not.
func (b Behaviour) streamCut(first int) *Cut {
	if b.Cut != nil || b.AbortAfterEvents < 0 {
		return b.Cut
	}
	whole := max(b.AbortAfterEvents-first+1, 0)
	return &Cut{Events: whole, Bytes: len(Event("", first+whole)) / 2, Ending: CutByClose}
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
