// Package standin holds what the stand-ins of outside systems share: JSON over
// HTTP, and listening on a port of the loopback or a given address. The
// stand-ins live in the packages below it, one for each outside system.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

const maxBody = 8 << 20

// WriteJSON answers with v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that went away is its own matter
}

// ReadJSON decodes the request into v; it answers 400 and returns false when
// that fails.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// Pause waits for d and reports whether the context is still alive.
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

// Serve listens on address and serves h until ctx ends; it returns the address
// in use. Port 0 takes a free port.
func Serve(ctx context.Context, address string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		_ = srv.Serve(ln) // ends with ErrServerClosed
	}()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	return ln.Addr().String(), nil
}
