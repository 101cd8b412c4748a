package gateway

import (
	"bytes"
	"strconv"
)

// eventReader splits a stream of server-sent events into complete events.
type eventReader struct {
	pending []byte
	scanned int // length of the prefix of pending that contains no end of an event
}

// add appends bytes of the stream.
func (r *eventReader) add(p []byte) { r.pending = append(r.pending, p...) }

// next returns the next complete event, including its final blank line, or nil if there
// is none yet. The event is valid until the next call of add.
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

// remainder returns the bytes of the last event, which is incomplete.
func (r *eventReader) remainder() []byte { return r.pending }

// eventID returns the value of the event's id field. It returns false if there is none or it is not numeric.
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
