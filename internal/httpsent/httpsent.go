// Package httpsent determines whether a failed HTTP request may have reached the server, which
// distinguishes "not run" from "unknown".
package httpsent

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Trace returns req with a flag that is set before any part of it is written to a connection. If
// the flag is not set after the request has failed, nothing was sent.
func Trace(req *http.Request) (*http.Request, *atomic.Bool) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace)), sent
}
