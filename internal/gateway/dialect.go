package gateway

import (
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/notice"
	"github.com/merlinpost/merlinpost/internal/placement"
	"github.com/merlinpost/merlinpost/internal/registry"
)

// Dialect translates between the headers on the wire and what they mean. It
// decides nothing.
type Dialect interface {
	// Call reads what a caller says of its request. Errors name the field.
	ParseRequest(h http.Header) (RequestInfo, error)
	// Forward removes the headers that only the system may set, and the key, and
	// sets those of f.
	Forward(h http.Header, f Forwarding)
	// Answer reads what a backend server says in the head of its answer to the request with this ID.
	ParseResponse(status int, id string, h http.Header) ResponseInfo
	// EchoHeader is the header in which backend servers repeat the request's ID.
	EchoHeader() string
}

// Call is what a caller says of its request.
type RequestInfo struct {
	ID          string
	APIKey      string
	Deadline    time.Duration // 0: none was given
	LastEventID string
	Prompt      placement.Prompt
}

// Forwarding is what the system tells a backend server.
type Forwarding struct {
	Deadline time.Duration
	// ServerID is the start of a backend server that alone may run the request.
	ServerID string
	// Team is empty for a caller without a key.
	Team string
	// Urgency is the rank at an engine, 0 first; negative for plain services.
	Urgency int
	// FetchFrom is the engine from which cached parts may be copied.
	FetchFrom string
	// LastEventID, when set, is where a stream goes on.
	LastEventID string
}

// Answer is what a backend server says of its answer.
type ResponseInfo struct {
	// NotRun promises that the server did not run the request.
	NotRun bool
	// Sealed answers carry the server's proof.
	Sealed bool
	// Load is nil when the server did not tell it.
	Load *registry.Load
	// Said is what the server says of itself; nil where the answer is not its word.
	Notices *notice.Statement
}
