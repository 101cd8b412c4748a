// Package eventstream splits a stream of server-sent events into events and determines whether it
// ends after a complete event. The format is that of the HTML Living Standard, section 9.2: lines
// end with LF, CRLF or CR, and a blank line ends an event.
package eventstream

import (
	"bytes"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// MediaType is the media type of a stream of server-sent events.
const MediaType = "text/event-stream"

// fieldPrefixes are the starts of lines that have a meaning in a stream of events.
var fieldPrefixes = []string{"id:", "data:", "event:", "retry:", ":"}

// maxFieldPrefix is the length of the longest of fieldPrefixes.
const maxFieldPrefix = len("event:")

// IsEvents reports whether the body of a response is a stream of events: its media type is that of
// event streams, or is missing and the data read so far starts like an event. An encoded body is not.
func (r *Reader) IsEvents(h http.Header) bool {
	if encoding := h.Get("Content-Encoding"); encoding != "" && !strings.EqualFold(encoding, "identity") {
		return false
	}
	if contentType := h.Get("Content-Type"); contentType != "" {
		mediaType, _, _ := mime.ParseMediaType(contentType) // an invalid type is not that of event streams
		return mediaType == MediaType
	}
	return len(r.start) > 0 && slices.ContainsFunc(fieldPrefixes, func(prefix string) bool {
		n := min(len(r.start), len(prefix))
		return string(r.start[:n]) == prefix[:n]
	})
}

// EndsInsideEvent reports whether a whole response body, which consists of blocks, is declared as a
// stream of events and ends inside an event.
func EndsInsideEvent(h http.Header, blocks ...[]byte) bool {
	var r Reader
	if h.Get("Content-Type") == "" || !r.IsEvents(h) {
		return false
	}
	for _, block := range blocks {
		r.Add(block)
		for r.Next(false) != nil {
		}
	}
	for r.Next(true) != nil {
	}
	return r.InsideEvent()
}

// Reader splits a stream into complete events. The zero value is ready for use.
type Reader struct {
	start   []byte // first bytes of the stream, at most maxFieldPrefix
	pending []byte
	blank   int // length of the prefix of pending that consists of blank lines
	scanned int // length of the prefix of pending that contains only complete lines of an incomplete event
	// searched is the length of the prefix of pending that is known to have no further end of a line.
	searched int
	hasLF    bool // a line ended with LF or CRLF
	hasCR    bool // a line ended with CR alone
}

// maxSpareBytes is the capacity above which the memory of an event is not kept for the next one.
const maxSpareBytes = 64 << 10

// Add appends data of the stream.
func (r *Reader) Add(p []byte) {
	if len(r.pending) == 0 && cap(r.pending) > maxSpareBytes {
		r.pending = nil
	}
	r.start = append(r.start, p[:min(len(p), maxFieldPrefix-len(r.start))]...)
	r.pending = append(r.pending, p...)
}

// Next returns the next complete event, including its final blank line and blank lines that precede it, or nil if there is
// none yet. atEnd tells that no more data will be added, so that a CR at the end of the data ends a line.
// The event is valid until the next call of Add.
func (r *Reader) Next(atEnd bool) []byte {
	for at := r.scanned; ; {
		length, ending := r.lineLength(r.pending[at:], max(r.searched-at, 0), atEnd)
		if ending == 0 {
			r.scanned, r.searched = at, at+length
			return nil
		}
		precedesEvent := length == 0 && at == r.blank
		at += length + ending
		switch {
		case precedesEvent:
			r.blank = at
		case length == 0:
			event := r.pending[:at:at]
			r.pending = r.pending[at:]
			r.blank, r.scanned, r.searched = 0, 0, 0
			return event
		}
	}
}

// Incomplete returns the data that follows the last complete event, after Next has returned nil.
func (r *Reader) Incomplete() []byte { return r.pending }

// InsideEvent reports whether the data that follows the last complete event has more than blank lines.
func (r *Reader) InsideEvent() bool { return len(r.pending) > r.blank }

// lineLength returns the lengths of the first line of data and of its ending. Its first searched
// bytes are known to have no ending. The ending is 0 if the line is not complete; length is then
// the number of bytes that have no ending. A CR at the end of data may be the first half of a CRLF,
// unless the stream has only had other endings.
func (r *Reader) lineLength(data []byte, searched int, atEnd bool) (length, ending int) {
	i := bytes.IndexAny(data[searched:], "\r\n")
	if i < 0 {
		return len(data), 0
	}
	i += searched
	switch {
	case data[i] == '\n':
		r.hasLF = true
		return i, 1
	case i+1 < len(data) && data[i+1] == '\n':
		r.hasLF = true
		return i, 2
	case i+1 < len(data):
		r.hasCR = true
		return i, 1
	case r.hasLF || (!r.hasCR && !atEnd):
		return i, 0
	}
	return i, 1
}

// ID returns the value of the event's id field. It returns false if there is none or it is not
// numeric.
func ID(event []byte) (id int64, ok bool) {
	for line := range bytes.FieldsFuncSeq(event, func(r rune) bool { return r == '\n' || r == '\r' }) {
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
