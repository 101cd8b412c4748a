// Package httpsent determines whether a failed HTTP request may have reached the server. If it
// cannot have, the request was certainly not executed; otherwise its outcome is unknown.
package httpsent

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Trace returns a copy of req and a flag that is set before any part of the request is written to a
// connection. If the request fails and the flag is not set, nothing was sent.
func Trace(req *http.Request) (*http.Request, *atomic.Bool) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace)), sent
}
