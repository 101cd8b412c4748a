// Package membership reads the platform's list of live and leaving hosts. The
// list lags and may be wrong: it is a hint, never a promise.
package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// State is a member's state on the list.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Member is one process of the system on a host.
type Member struct {
	Name          string `json:"name"`
	Role          string `json:"role"` // "router" or "agent"
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// Reader polls the list. Run is its duty.
type Reader struct {
	url    string
	every  time.Duration
	http   *http.Client
	logger *slog.Logger
	last   atomic.Pointer[map[string]Member]
	etag   string
}

// NewReader returns a Reader of the list at an IP address and port; an empty
// address gives a Reader whose list stays empty. With a name it asks for that
// member only, which keeps the traffic of many agents small.
func NewReader(address, only string, every time.Duration, logger *slog.Logger) *Reader {
	r := &Reader{every: every, http: &http.Client{Timeout: every + time.Second}, logger: logger}
	if address != "" {
		r.url = "http://" + address + "/v1/members"
		if only != "" {
			r.url += "?name=" + url.QueryEscape(only)
		}
	}
	r.last.Store(&map[string]Member{})
	return r
}

// Members returns the newest list, by name. It must not be changed.
func (r *Reader) Members() map[string]Member { return *r.last.Load() }

// Leaving reports whether the list says that the named member leaves.
func (r *Reader) Leaving(name string) bool { return r.Members()[name].State == Leaving }

// Run polls until ctx ends. A list that can't be read keeps its last content.
func (r *Reader) Run(ctx context.Context) {
	if r.url == "" {
		return
	}
	up := true
	tick := time.NewTicker(r.every)
	defer tick.Stop()
	for {
		err := r.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != up {
			up = err == nil
			r.logger.Info("membership list", "reached", up, "error", err)
		}
		if err != nil {
			telemetry.Count("merlinpost_membership_read_failures_total")
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (r *Reader) poll(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url, nil)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	if r.etag != "" {
		req.Header.Set("If-None-Match", r.etag)
	}
	resp, err := r.http.Do(req)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return nil
	}
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.NotReady, "membership: status %d", resp.StatusCode)
	}
	r.etag = resp.Header.Get("ETag")
	var list []Member
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	byName := make(map[string]Member, len(list))
	for _, m := range list {
		byName[m.Name] = m
	}
	r.last.Store(&byName)
	return nil
}
