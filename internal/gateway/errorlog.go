package gateway

import (
	"io"
	"log"
	"net/http"
	"runtime/debug"
)

// discardLog drops net/http's own lines: they tell of callers that leave and of
// malformed requests, which have counters and lines of their own.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// logFailed logs a handler that has failed and lets it go on to fail: net/http closes the connection, and
// its own line of it is dropped.
func (g *Gateway) logFailed() {
	failure := recover()
	if failure == nil {
		return
	}
	if failure != http.ErrAbortHandler {
		g.logger.Error("request handler failed", "failure", failure, "stack", string(debug.Stack()))
	}
	panic(failure)
}
