package exchange

import (
	"errors"
	"io"
	"net/http"
	"regexp"
	"slices"
)

// This file says which response belongs to a send, and what proves that a send did not run at a server. Whatever is not
// listed here may have run.
//
// A response belongs to a send if it has the ID of the send's attempt and arrives on a connection on which no earlier
// send of the attempt went:
//
//   - Servers echo the ID of a request in their responses. A response without an ID answers no request that has one.
//   - An extra response may arrive late, at the point where the next response is expected. Its ID is that of the
//     attempt, which does not tell the sends of the attempt apart; the connection does.
//   - Bytes after a complete response belong to no request. The pool closes idle connections that have unread data.
//   - A response may be cut, and then merges with the one that follows. Merged ones belong to no send.
//
// A send did not run if no connection was opened, if nothing of the request was sent, or if a response that belongs to
// the send rejects the request. No other response states that a request did not run.

// Proof is the reason why a send is known not to have run at a server. It is empty if the send may have run.
type Proof string

// The proofs that a send did not run.
const (
	NotConnected Proof = "not_connected" // no connection was opened
	NotSent      Proof = "not_sent"      // nothing of the request was sent
	Rejected     Proof = "rejected"      // the server states that it did not run the request
	Misdirected  Proof = "misdirected"   // another server than the intended one responded
)

// Proof returns the proof that the send did not run.
func (e *Error) Proof() Proof {
	switch {
	case e.MayHaveRun:
		return ""
	case e.Stage == Connecting:
		return NotConnected
	}
	return NotSent
}

// Proof returns the proof that the send did not run. rejected tells whether the header states it. A success contradicts
// the statement.
func (r *Response) Proof(rejected bool) Proof {
	switch {
	case r.Status == http.StatusMisdirectedRequest:
		return Misdirected
	case rejected && r.Status >= http.StatusBadRequest:
		return Rejected
	}
	return ""
}

// PromisesNotRun reports whether callers understand a status as a promise that the request has not run and never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// reusable reports whether a request may be sent on a connection that has carried others. A response without an ID
// belongs to a send only if the connection has carried no other.
func (r *Request) reusable(c *conn) bool { return r.EchoID != "" && !r.Attempt.used(c) }

// checkResponse returns an empty reason if a response belongs to the current send of the connection, which is one of req.
func (c *conn) checkResponse(resp *http.Response, req *Request) DropReason {
	ids := resp.Header.Values(req.EchoHeader)
	switch {
	case len(ids) > 1 || spliced(resp):
		return malformed
	case len(ids) == 0 && (req.EchoID != "" || c.exchanges > 1):
		return noID
	case len(ids) == 1 && ids[0] != req.EchoID:
		return otherID
	}
	return ""
}

// spliced reports whether the header contains a second status line. A response that is cut inside a line of its header
// merges with the one that follows.
func spliced(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// statusLine matches the start of a status line, of statusLineBytes bytes.
var statusLine = regexp.MustCompile(`HTTP/1\.. [0-9]{3}`)

const statusLineBytes = len("HTTP/1.1 200")

// skipBody reads the body of a response that does not belong to the send. It fails if the body contains a status line: a
// response that is cut inside its body swallows the one that follows, which may be the response to the send.
func skipBody(body io.Reader) error {
	var finder statusLineFinder
	if _, err := io.Copy(&finder, body); err != nil {
		return err
	}
	if finder.found {
		return errSplicedBody
	}
	return nil
}

// errSplicedBody is the error of a skipped body that contains a status line.
var errSplicedBody = errors.New("a response was cut inside its body and merged with the next one")

// statusLineFinder finds a status line in what is written to it.
type statusLineFinder struct {
	window []byte // the end of what precedes, and the data of the current write
	found  bool
}

// Write implements io.Writer.
func (f *statusLineFinder) Write(p []byte) (int, error) {
	f.window = append(f.window, p...)
	f.found = f.found || statusLine.Match(f.window)
	f.window = append(f.window[:0], f.window[max(0, len(f.window)-statusLineBytes+1):]...)
	return len(p), nil
}

// mayFollow reports whether the response to the current send may follow one that was dropped. On a new connection, a
// response without an ID is not a late one: the server does not return IDs.
func (c *conn) mayFollow(resp *http.Response, reason DropReason) bool {
	switch {
	case reason == malformed, framing(resp) == FramedByClose, resp.Request.Method == http.MethodHead:
		return false
	case reason == noID:
		return c.exchanges > 1
	}
	return true
}
