package worker

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"strings"
	"time"
)

// Endless describes bytes that a worker sends without end.
type Endless struct {
	Place EndlessPlace
	// Block is the number of bytes that are sent at once, and Interval the time before each block. If Block is 0,
	// large blocks are sent.
	Block    int
	Interval time.Duration
}

// EndlessPlace is where a response goes on without end.
type EndlessPlace string

// The places at which a response goes on without end.
const (
	EndlessHeader         EndlessPlace = "header"
	EndlessInformational  EndlessPlace = "informational responses"
	EndlessOtherResponse  EndlessPlace = "response to another request"
	EndlessRefusal        EndlessPlace = "body of a refusal"
	EndlessFailure        EndlessPlace = "body of a failure"
	EndlessBody           EndlessPlace = "body without length"
	EndlessChunks         EndlessPlace = "body in chunks"
	EndlessChunkExtension EndlessPlace = "chunk extension"
	EndlessTrailer        EndlessPlace = "trailer"
	EndlessLine           EndlessPlace = "line of an event"
	EndlessEvent          EndlessPlace = "lines of an event"
	EndlessRepeatedEvent  EndlessPlace = "event that is sent again"
	EndlessAfterResponse  EndlessPlace = "after a whole response"
	EndlessAfterStream    EndlessPlace = "after a whole stream"
)

// EndlessBodyPlaces are the places in a response that is not streamed, and EndlessStreamPlaces those in a stream.
var (
	EndlessBodyPlaces = []EndlessPlace{EndlessHeader, EndlessInformational, EndlessOtherResponse, EndlessRefusal, EndlessFailure, EndlessBody,
		EndlessChunks, EndlessChunkExtension, EndlessAfterResponse}
	EndlessStreamPlaces = []EndlessPlace{EndlessHeader, EndlessInformational, EndlessOtherResponse, EndlessRefusal, EndlessChunkExtension,
		EndlessTrailer, EndlessLine, EndlessEvent, EndlessRepeatedEvent, EndlessAfterStream}
)

// largeBlock is the size of a block if Endless.Block is 0.
const largeBlock = 32 << 10

// parts returns what precedes the endless bytes, and the text that is repeated without end. chunked tells whether each
// block is a chunk. events is the number of events of a whole stream.
func (w *Worker) parts(id string, place EndlessPlace, events int) (prefix, repeated string, chunked bool) {
	head := func(status int, headers string) string {
		var b strings.Builder
		_ = w.writeHeader(&b, id, status, w.sealHeaders(id), headers) // a builder returns no errors
		return b.String()
	}
	const stream, inChunks = "Content-Type: text/event-stream\r\n", "Transfer-Encoding: chunked\r\n"
	line := strings.Repeat("x", 57)
	switch place {
	case EndlessHeader:
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\n", "X-Filler: " + line + "\r\n", false
	case EndlessInformational:
		return "", "HTTP/1.1 102 Processing\r\n\r\n", false
	case EndlessOtherResponse:
		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 100000000000\r\n\r\n", line, false
	case EndlessRefusal:
		return head(503, "X-Not-Executed: 1\r\n"+inChunks), line, true
	case EndlessFailure:
		return head(500, inChunks), line, true
	case EndlessBody:
		return head(200, "Connection: close\r\n"), line, false
	case EndlessChunks:
		return head(200, inChunks), line, true
	case EndlessChunkExtension:
		return head(200, inChunks) + "5;", line, false
	case EndlessTrailer:
		body := StreamBody(id, 2)
		return head(200, stream+inChunks) + fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body), "X-Filler: " + line + "\r\n", false
	case EndlessLine:
		return head(200, stream+inChunks), line, true
	case EndlessEvent:
		return head(200, stream+inChunks), "data: " + line + "\n", true
	case EndlessRepeatedEvent:
		return head(200, stream+inChunks), Event(id, 1), true
	case EndlessAfterStream:
		body := StreamBody(id, events)
		return head(200, fmt.Sprintf("%sContent-Length: %d\r\n", stream, len(body))) + body, line, false
	default:
		body := ResponseBody(id)
		return head(200, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body, line, false
	}
}

// writeEndless sends a response that does not end until the caller disconnects.
func (w *Worker) writeEndless(c net.Conn, id string, b Behaviour) {
	e := *b.Endless
	prefix, repeated, chunked := w.parts(id, e.Place, b.Events)
	if _, err := io.WriteString(c, prefix); err != nil {
		return
	}
	size := e.Block
	if size == 0 {
		size = largeBlock
	}
	text := strings.Repeat(repeated, size/len(repeated)+2)
	body := UnframedBody{Begun: time.Now()}
	for at := 0; ; at = (at + size) % len(repeated) {
		time.Sleep(e.Interval)
		block := text[at : at+size]
		if chunked {
			block = fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
		}
		n, err := io.WriteString(c, block)
		body.Bytes += int64(n)
		body.Ended, body.ClosedByWorker = time.Now(), errors.Is(err, net.ErrClosed)
		w.mu.Lock()
		w.endlessBytes += int64(n)
		if e.Place == EndlessBody {
			w.unframedBodies[id] = body
		}
		w.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// UnframedBody is a body without length, sent because of EndlessBody. It ends with its connection.
type UnframedBody struct {
	Bytes        int64 // sent so far
	Begun, Ended time.Time
	// ClosedByWorker is set if the worker closed the connection, so that what was sent is the whole body.
	ClosedByWorker bool
}

// IsFiller reports whether a text is the beginning of an endless body.
func IsFiller(text string) bool { return strings.Trim(text, "x") == "" }

// UnframedBodies returns the bodies without length by request ID.
func (w *Worker) UnframedBodies() map[string]UnframedBody {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.unframedBodies)
}

// EndlessBytes returns the number of bytes sent so far because of Behaviour.Endless.
func (w *Worker) EndlessBytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endlessBytes
}
