package scripted

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

// response is an HTTP response.
type response struct {
	status        int
	id            string // empty: without X-Attempt-Id
	notExecuted   bool
	seal          string
	announceClose bool
	chunked, open bool // open: without the last chunk
	body          string
	events        bool
}

// setEvents makes the response a stream of the events from first to last, without those after cut if it is positive.
func (r *response) setEvents(id string, first, last, cut int) {
	r.chunked, r.events = true, true
	if cut > 0 && cut < last {
		last, r.open = cut, true
	}
	for n := first; n <= last; n++ {
		r.body += worker.Event(id, n)
	}
}

func (r response) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status))
	for _, field := range []struct {
		set  bool
		line string
	}{
		{r.id != "", "X-Attempt-Id: " + r.id}, {r.notExecuted, "X-Not-Executed: 1"}, {r.seal != "", "X-Response-Seal: " + r.seal},
		{r.announceClose, "Connection: close"}, {r.events, "Content-Type: text/event-stream"}, {r.chunked, "Transfer-Encoding: chunked"},
		{!r.chunked, fmt.Sprint("Content-Length: ", len(r.body))},
	} {
		if field.set {
			b.WriteString(field.line + "\r\n")
		}
	}
	b.WriteString("\r\n")
	switch {
	case !r.chunked:
		b.WriteString(r.body)
	case len(r.body) > 0:
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(r.body), r.body)
	}
	if r.chunked && !r.open {
		b.WriteString("0\r\n\r\n")
	}
	return b.Bytes()
}

// bytes returns a copy of an answer.
func (c Copy) bytes(answer response) []byte {
	answer.open = false
	if c.Status != 0 {
		answer.status = c.Status
	}
	switch c.ID {
	case NoID:
		answer.id = ""
	case OtherID:
		answer.id = "other-" + answer.id
	}
	answer.notExecuted = answer.notExecuted || c.NotExecuted
	answer.announceClose = c.AnnounceClose
	if c.WithBody || c.Chunked {
		answer.body, answer.chunked = "a copy", c.Chunked
	}
	var informational []byte
	if c.AfterInformational {
		informational = []byte("HTTP/1.1 103 Early Hints\r\n\r\n")
	}
	return append(informational, answer.bytes()...)
}
