// Package membership polls the platform's list of live and leaving hosts. The list is delayed and
// may be wrong, so it is only a hint.
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

// State is the state of a member.
type State string

// States of a member.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Member is a router or agent process on a host.
type Member struct {
	Name          string `json:"name"`
	Role          string `json:"role"` // "router" or "agent"
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	State         State  `json:"state"`
}

// Reader polls the list and is started with Run.
type Reader struct {
	url      string
	interval time.Duration
	client   *http.Client
	logger   *slog.Logger
	members  atomic.Pointer[map[string]Member]
	etag     string
}

// NewReader returns a Reader for the list at an IP address and port. If address is empty, the list
// stays empty. If name is set, only that member is requested, which limits the traffic of large
// numbers of agents.
func NewReader(address, name string, interval time.Duration, logger *slog.Logger) *Reader {
	r := &Reader{interval: interval, client: &http.Client{Timeout: interval + time.Second}, logger: logger}
	if address != "" {
		r.url = "http://" + address + "/v1/members"
		if name != "" {
			r.url += "?name=" + url.QueryEscape(name)
		}
	}
	r.members.Store(&map[string]Member{})
	return r
}

// Members returns the members of the newest list by name. The map must not be modified.
func (r *Reader) Members() map[string]Member { return *r.members.Load() }

// Leaving reports whether the named member is listed as leaving.
func (r *Reader) Leaving(name string) bool { return r.Members()[name].State == StateLeaving }

// Run polls until ctx is done. If the list can't be read, the last one stays in use.
func (r *Reader) Run(ctx context.Context) {
	if r.url == "" {
		return
	}
	reachable := true
	tick := time.NewTicker(r.interval)
	defer tick.Stop()
	for {
		err := r.poll(ctx)
		if ctx.Err() != nil {
			return
		}
		if (err == nil) != reachable {
			reachable = err == nil
			r.logger.Info("membership list reachability changed", "reached", reachable, "error", err)
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
		return fmt.Errorf("cannot read membership list: %w", err)
	}
	if r.etag != "" {
		req.Header.Set("If-None-Match", r.etag)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return fmt.Errorf("cannot read membership list: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return nil
	}
	if resp.StatusCode != http.StatusOK {
		return fault.New(fault.NotReady, "membership list: unexpected status %d", resp.StatusCode)
	}
	r.etag = resp.Header.Get("ETag")
	var list []Member
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return fmt.Errorf("cannot read membership list: %w", err)
	}
	byName := make(map[string]Member, len(list))
	for _, m := range list {
		byName[m.Name] = m
	}
	r.members.Store(&byName)
	return nil
}
