package exchange

import (
	"net/http"
	"slices"
)

// Attempt is one attempt of a caller. Its sends have the same ID, also in the responses of the servers. It must not be
// used concurrently.
type Attempt struct {
	Sends []*Send
}

// Send describes a send of an attempt to a server.
type Send struct {
	// Connection identifies the connection within the process. It is 0 if none could be opened.
	Connection uint64 `json:"conn,omitempty"`
	// Exchange is the number of the request on its connection, 1 if the connection was opened for it.
	Exchange int `json:"exchange,omitempty"`
	// Dropped are responses that arrived on the connection and do not belong to the send.
	Dropped Dropped `json:"dropped,omitzero"`
}

// begin adds a send to the attempt, which may be nil.
func (a *Attempt) begin() *Send {
	s := &Send{}
	if a != nil {
		a.Sends = append(a.Sends, s)
	}
	return s
}

// used reports whether an earlier send of the attempt, which may be nil, went on a connection.
func (a *Attempt) used(c *conn) bool {
	return a != nil && slices.ContainsFunc(a.Sends, func(s *Send) bool { return s.Connection == c.id })
}

// Last returns the last send of the attempt, or an empty one if there is none.
func (a *Attempt) Last() *Send {
	if len(a.Sends) == 0 {
		return &Send{}
	}
	return a.Sends[len(a.Sends)-1]
}

// Dropped are responses that belong to no send.
type Dropped struct {
	Count int `json:"count"`
	// First is the first of them.
	First DroppedResponse `json:"first"`
}

// DroppedResponse describes a response that belongs to no send.
type DroppedResponse struct {
	Status int        `json:"status"`
	Reason DropReason `json:"reason"`
	// ID is the start of the ID in the response.
	ID string `json:"id,omitempty"`
}

// DropReason is why a response does not belong to a send.
type DropReason string

// The reasons to drop a response.
const (
	noID      DropReason = "no_id"
	otherID   DropReason = "other_id"
	malformed DropReason = "malformed" // several IDs, or two headers merged into one
)

// maxLoggedIDLength limits the length of an ID in a DroppedResponse, which a server chooses.
const maxLoggedIDLength = 40

// drop records a response that does not belong to the current send.
func (c *conn) drop(resp *http.Response, reason DropReason) {
	d := c.dropped
	d.Count++
	if d.Count > 1 {
		return
	}
	id := resp.Header.Get(c.echoHeader)
	d.First = DroppedResponse{Status: resp.StatusCode, Reason: reason, ID: id[:min(len(id), maxLoggedIDLength)]}
}
