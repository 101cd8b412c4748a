// Package httpsent tells whether an HTTP request that failed may have reached
// the server. That decides between "not run" and "unknown".
package httpsent

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Trace returns req with a mark that is set before any of it is written to a
// connection. An unset mark after Do failed means that nothing was sent.
func Trace(req *http.Request) (*http.Request, *atomic.Bool) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace)), sent
}
