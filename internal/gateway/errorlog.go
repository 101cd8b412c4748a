package gateway

import (
	"io"
	"log"
)

// discardLog drops net/http's own lines: they tell of callers that leave and of
// malformed requests, which have counters and lines of their own.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
