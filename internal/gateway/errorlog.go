package gateway

import (
	"io"
	"log"
	"net/http"
	"runtime/debug"
)

// discardLogger returns a logger that drops net/http's messages. They concern disconnected callers
// and malformed requests, which the gateway counts and logs itself.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

// logPanic logs a panic of a handler and panics again, so that net/http closes the connection. net/http's
// own log message is dropped by discardLogger.
func (g *Gateway) logPanic() {
	failure := recover()
	if failure == nil {
		return
	}
	if failure != http.ErrAbortHandler {
		g.logger.Error("request handler failed", "failure", failure, "stack", string(debug.Stack()))
	}
	panic(failure)
}
