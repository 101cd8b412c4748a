package configlog

import (
	"net/http"
	"net/http/httptrace"
)

// traceSent sets *sent once any byte of the request may have left. It is set
// before Do returns, so reading it after Do is safe.
func traceSent(req *http.Request, sent *bool) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *sent = true }}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
}
