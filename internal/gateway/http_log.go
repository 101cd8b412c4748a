package gateway

import (
	"io"
	"log"
	"net/http"
	"runtime/debug"
)

// discardLogger returns a logger for net/http that drops all messages. They are about disconnected callers
// and malformed requests, which the gateway counts and logs itself.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

// logPanic is deferred by the request handler. It logs a panic and panics again, so that net/http closes the
// connection. net/http's own log message is dropped by discardLogger.
func (g *Gateway) logPanic() {
	value := recover()
	if value == nil {
		return
	}
	if value != http.ErrAbortHandler {
		g.logger.Error("request handler panicked", "failure", value, "stack", string(debug.Stack()))
	}
	panic(value)
}
