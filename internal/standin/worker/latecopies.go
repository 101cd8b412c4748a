package worker

import (
	"fmt"
	"io"
	"net"
	"net/http"
)

// LateCopy is a second copy of a response.
type LateCopy string

// The copies of a response. The default is none.
const (
	NoLateCopy        LateCopy = ""
	LateCopyWithID    LateCopy = "with ID"
	LateCopyWithoutID LateCopy = "without ID"
)

// sendLateCopy sends the pending copy of the previous response of a connection. It returns false if this fails.
func (w *Worker) sendLateCopy(c net.Conn) bool {
	w.mu.Lock()
	text := w.lateCopies[c]
	delete(w.lateCopies, c)
	if text != "" {
		w.lateCopyCount++
	}
	w.mu.Unlock()
	_, err := io.WriteString(c, text)
	return err == nil
}

// setLateCopy stores a copy of a response, to be sent before the next one of the connection.
func (w *Worker) setLateCopy(c net.Conn, kind LateCopy, id string, status int, headers, body string) {
	if kind == NoLateCopy {
		return
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n", status, http.StatusText(status), headers, len(body))
	if kind == LateCopyWithID {
		text += "X-Attempt-Id: " + id + "\r\n"
	}
	w.mu.Lock()
	w.lateCopies[c] = text + "\r\n" + body
	w.mu.Unlock()
}

// LateCopyCount returns the number of late copies sent so far.
func (w *Worker) LateCopyCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lateCopyCount
}
