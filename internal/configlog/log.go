// Package configlog keeps a process's configuration in step with the
// platform's append-only log: it reads and folds records, takes snapshots
// ahead of retention, and settles the appends that operators ask for.
package configlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/httpcall"
	"github.com/merlinpost/merlinpost/internal/httpsent"
)

// The streams that the system uses on the log.
const (
	StreamConfig    = "config"
	StreamSnapshots = "config-snapshots"
)

// LeaseStream returns the name of the stream of an agent's leases.
func LeaseStream(agent string) string { return "lease." + agent }

// ClaimStream returns the name of the stream of the claims that an agent could
// not leave with a witness.
func ClaimStream(agent string) string { return "claims." + agent }

// ReadAll gives every record that a stream still has to f, and reports whether
// records from the start of the stream are gone.
func ReadAll(ctx context.Context, l Log, stream string, f func(Entry)) (next uint64, truncated bool, err error) {
	for next = 1; ; {
		batch, err := l.Read(ctx, stream, next, 0)
		if fault.Is(err, fault.LogTruncated) {
			truncated, next = true, batch.First
			continue
		}
		if err != nil {
			return next, truncated, err
		}
		for _, e := range batch.Entries {
			f(e)
			next = e.Offset + 1
		}
		if next >= batch.Next {
			return next, truncated, nil
		}
	}
}

// Entry is one record of a stream.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	// First is the oldest offset still kept, Next the one after the newest.
	First   uint64  `json:"first"`
	Next    uint64  `json:"next"`
	Entries []Entry `json:"entries"`
}

// Log is the platform's log service. Offsets start at 1 in each stream.
type Log interface {
	// Append adds a record. A fault of code LogDown means that nothing was
	// written; LogUnsettled means that it may have been.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns records from the offset on, waiting up to wait for one.
	// Code LogTruncated means that the offset is no longer kept; the Batch
	// then still has First and Next.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error)
}

// Client is a Log over the service's HTTP protocol.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

const (
	maxLogResponse = 32 << 20
	// longestRead bounds a read whose reply keeps coming: 20 MB of a link of 10 Mbit/s.
	longestRead = 15 * time.Second
)

// NewClient returns a Client of the log at an IP address and port. timeout bounds an
// append, and how long a read may bring nothing, besides its wait.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{base: "http://" + address + "/v1/streams/", timeout: timeout,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := c.base + url.PathEscape(stream) + "/records"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(data))
	if err != nil {
		return 0, fault.New(fault.Internal, "log append: %w", err)
	}
	req, sent := httpsent.Trace(req)
	resp, err := c.http.Do(req)
	if err != nil {
		if !sent.Load() {
			return 0, fault.New(fault.LogUnavailable, "log append: %w", err).WithOutcome(fault.NotRun)
		}
		return 0, fault.New(fault.LogWriteUnconfirmed, "log append: %w", err).WithOutcome(fault.Unknown)
	}
	defer resp.Body.Close()
	var out struct {
		Offset uint64 `json:"offset"`
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
			return 0, fault.New(fault.LogWriteUnconfirmed, "log append: %w", err).WithOutcome(fault.Unknown)
		}
		return out.Offset, nil
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return 0, fault.New(fault.LogUnavailable, "log append: refused with status %d", resp.StatusCode).WithOutcome(fault.NotRun)
	}
	return 0, fault.New(fault.LogWriteUnconfirmed, "log append: status %d", resp.StatusCode).WithOutcome(fault.Unknown)
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error) {
	q := url.Values{"from": {strconv.FormatUint(from, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	target := c.base + url.PathEscape(stream) + "/records?" + q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Batch{}, fault.New(fault.Internal, "log read: %w", err)
	}
	reply, err := httpcall.Do(c.http, req, httpcall.Limits{ReplyWait: wait, IdleTimeout: c.timeout, Timeout: longestRead, MaxBytes: maxLogResponse})
	status, body := reply.Status, reply.Body
	if err != nil {
		return Batch{}, fault.New(fault.LogUnavailable, "log read: %w", err)
	}
	if status != http.StatusOK && status != http.StatusGone {
		return Batch{}, fault.New(fault.LogUnavailable, "log read: status %d", status)
	}
	var b Batch
	if err := json.Unmarshal(body, &b); err != nil {
		return Batch{}, fault.New(fault.LogUnavailable, "log read: %w", fmt.Errorf("decode: %w", err))
	}
	if status == http.StatusGone {
		return b, fault.New(fault.LogTruncated, "log read: offset %d is gone, the oldest kept is %d", from, b.First)
	}
	return b, nil
}
