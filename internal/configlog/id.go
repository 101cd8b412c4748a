package configlog

import "github.com/oklog/ulid/v2"

// NewID returns a new ULID to identify an operation, a request or a process.
func NewID() string { return ulid.Make().String() }
