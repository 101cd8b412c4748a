package gateway

import (
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/placement"
	"github.com/merlinpost/merlinpost/internal/registry"
)

// Dialect translates between the platform's HTTP headers and the gateway's types.
// It contains no routing or retry logic.
type Dialect interface {
	// ParseRequest parses the headers of a caller's request. An error names the invalid header.
	ParseRequest(h http.Header) (RequestInfo, error)
	// Forward prepares the headers of a request to a backend server. It removes the API key and
	// the headers that callers must not set, and sets those for the fields of f.
	Forward(h http.Header, f Forwarding)
	// ParseResponse parses the headers of a backend server's response to the request with the given ID.
	ParseResponse(status int, id string, h http.Header) ResponseInfo
	// EchoHeader returns the name of the header in which backend servers echo the request's ID.
	EchoHeader() string
}

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	ID          string
	APIKey      string
	Deadline    time.Duration // time left for the request, or 0 if the caller sets no deadline
	LastEventID string
	Prompt      placement.Prompt
}

// Forwarding is the information that the gateway adds to the headers of a request to a backend server.
type Forwarding struct {
	Deadline time.Duration
	// ServerID identifies the only backend server that may run the request.
	ServerID string
	// Team is empty for a caller without a key.
	Team string
	// Urgency is the scheduling rank at a model engine, where 0 is the most urgent. It is negative
	// for services that are not model engines.
	Urgency int
	// FetchFrom is the IP:PORT of an engine from which cached prompt prefixes may be copied, if any.
	FetchFrom string
	// LastEventID, if set, is the ID of the event after which a stream is resumed.
	LastEventID string
}

// ResponseInfo is the information in the headers of a backend server's response.
type ResponseInfo struct {
	// NotRun is set if the server guarantees that it did not run the request.
	NotRun bool
	// Sealed is set if the response has a seal, which proves that the response is from the server itself.
	Sealed bool
	// Load is nil if the server did not report its load.
	Load *registry.Load
	// Notices are the server's notices, or nil if the response is not from the server itself.
	Notices *notice.ResponseNotices
}
