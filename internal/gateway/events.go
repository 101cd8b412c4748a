package gateway

import (
	"bytes"
	"strconv"
)

// eventReader cuts a stream into whole events.
type eventReader struct {
	pending []byte
	scanned int // bytes of pending in which no end was found
}

// add appends bytes of the stream.
func (r *eventReader) add(p []byte) { r.pending = append(r.pending, p...) }

// next returns the next whole event with its final blank line, nil if there is
// none yet. It is valid until the next call of add.
func (r *eventReader) next() []byte {
	for at := r.scanned; ; {
		i := bytes.IndexByte(r.pending[at:], '\n')
		if i < 0 {
			r.scanned = at
			return nil
		}
		line := r.pending[at : at+i]
		at += i + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			event := r.pending[:at:at]
			r.pending = r.pending[at:]
			r.scanned = 0
			return event
		}
	}
}

// rest returns what has come of an event that is not whole.
func (r *eventReader) rest() []byte { return r.pending }

// eventID returns the number in the event's id field; false if it has none.
func eventID(event []byte) (int64, bool) {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
