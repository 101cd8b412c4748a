package gateway

import (
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/placement"
	"github.com/merlinpost/merlinpost/internal/registry"
)

// Dialect translates between the platform's HTTP headers and the gateway's types.
// It makes no decisions.
type Dialect interface {
	// ParseRequest parses the headers of a caller's request. Errors name the header.
	ParseRequest(h http.Header) (RequestInfo, error)
	// Forward prepares the headers of a request to a backend server: it removes the
	// API key and headers that callers must not set, and sets those of f.
	Forward(h http.Header, f Forwarding)
	// ParseResponse parses the headers of a backend server's response to the request with this ID.
	ParseResponse(status int, id string, h http.Header) ResponseInfo
	// EchoHeader returns the name of the header in which backend servers echo the request's ID.
	EchoHeader() string
}

// RequestInfo is the information in the headers of a caller's request.
type RequestInfo struct {
	ID          string
	APIKey      string
	Deadline    time.Duration // time left for the request, 0 if not specified
	LastEventID string
	Prompt      placement.Prompt
}

// Forwarding is the information that the gateway adds to a request to a backend server.
type Forwarding struct {
	Deadline time.Duration
	// ServerID identifies the only backend server that may run the request.
	ServerID string
	// Team is empty for a caller without a key.
	Team string
	// Urgency is the scheduling rank at a model engine, where 0 is the most urgent. It is negative
	// for services that are not model engines.
	Urgency int
	// FetchFrom is the IP:PORT of the engine from which cached prompt parts may be copied.
	FetchFrom string
	// LastEventID, if set, is the ID of the event after which a stream is resumed.
	LastEventID string
}

// ResponseInfo is the information in the headers of a backend server's response.
type ResponseInfo struct {
	// NotRun is set if the server guarantees that it did not run the request.
	NotRun bool
	// Sealed is set if the response has a seal, which proves that it is from the server.
	Sealed bool
	// Load is nil if the server did not report its load.
	Load *registry.Load
	// Notices are the server's notices; nil if the response is not from the server itself.
	Notices *notice.ResponseNotices
}
