// Package standin provides helpers for the stand-ins, the fakes of external systems
// that tests and demos run against: JSON over HTTP, a sleep that a context can
// cancel, and an HTTP server on a given address. The subpackages implement the
// stand-ins, one per external system.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

const maxRequestBytes = 8 << 20

// WriteJSON writes a response with the given status and v encoded as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the client may have disconnected
}

// ReadJSON decodes the JSON request body into v. If decoding fails, it responds
// with status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// SleepContext waits for d. It returns false if ctx is done earlier.
func SleepContext(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Serve listens on address and serves h in the background until ctx is done. Port
// 0 selects a free port. Serve returns the address on which it listens.
func Serve(ctx context.Context, address string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		_ = srv.Serve(ln) // returns ErrServerClosed after Close
	}()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	return ln.Addr().String(), nil
}
