// Package responseguard lets callers of HTTP/1.0 distinguish a response that was broken off from a
// complete one. HTTP/1.0 has no chunks, so that a response without a length ends with its
// connection, and an orderly close makes it look complete. Until a guarded response is complete,
// its connection is reset instead, whatever closes it: an aborted handler, or the exit of the
// process.
package responseguard

import (
	"context"
	"net"
	"net/http"
)

// lingerer is a connection whose close can discard unsent data and reset it, like net.TCPConn.
type lingerer interface{ SetLinger(seconds int) error }

// Values for SetLinger: reset the connection when it is closed, or send all data first.
const (
	resetOnClose = 0
	orderlyClose = -1
)

type connKey struct{}

// ConnContext makes the connection available to Begin. It is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Begin guards the response to a request. It must be called before anything is written; complete
// must be called when everything has been, and not if the response is broken off. For requests of
// HTTP/1.1 and later, and without ConnContext, there is nothing to do.
func Begin(r *http.Request) (complete func()) {
	conn, ok := r.Context().Value(connKey{}).(lingerer)
	if !ok || r.ProtoAtLeast(1, 1) || conn.SetLinger(resetOnClose) != nil {
		return func() {}
	}
	return func() { _ = conn.SetLinger(orderlyClose) } // fails only if the connection is closed
}
