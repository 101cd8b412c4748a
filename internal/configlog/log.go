// Package configlog replicates the configuration through the platform's
// append-only log: it reads and applies records, writes snapshots before
// retention drops the records they replace, and appends operators' changes.
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

// Streams of the log.
const (
	StreamConfig    = "config"
	StreamSnapshots = "config-snapshots"
)

// LeaseStream returns the name of the stream with an agent's leases.
func LeaseStream(agent string) string { return "lease." + agent }

// ClaimStream returns the name of the stream with those of an agent's claims to
// idempotency keys that it could not register with a witness.
func ClaimStream(agent string) string { return "claims." + agent }

// ReadAll calls f with every record that is still in a stream. It returns the
// offset after the newest record, and whether the oldest records of the stream have
// been truncated.
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

// Batch is the response to a read.
type Batch struct {
	// First is the oldest offset in the stream, Next the one after the newest.
	First   uint64  `json:"first"`
	Next    uint64  `json:"next"`
	Entries []Entry `json:"entries"`
}

// Log is the platform's log service. Offsets start at 1 in each stream.
type Log interface {
	// Append adds a record and returns its offset. Error code LogUnavailable
	// means that the record was not written, LogWriteUnconfirmed that it may
	// have been.
	Append(ctx context.Context, stream string, data []byte) (uint64, error)
	// Read returns the records from an offset on. If there are none it waits
	// for one, up to the duration wait. Error code LogTruncated means that the offset is no
	// longer in the stream; First and Next of the Batch are valid nevertheless.
	Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error)
}

// Client implements Log with the log service's HTTP API.
type Client struct {
	streamsURL string
	timeout    time.Duration
	http       *http.Client
}

const (
	maxResponseBytes = 32 << 20
	// maxReadDuration limits a read even while data keeps arriving. It allows for
	// about 20 MB over a 10 Mbit/s link.
	maxReadDuration = 15 * time.Second
)

// NewClient returns a Client of the log at an IP address and port. timeout is the
// time limit of a whole append. For a read it limits the time without received data,
// not counting the wait for a new record.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{streamsURL: "http://" + address + "/v1/streams/", timeout: timeout,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := c.streamsURL + url.PathEscape(stream) + "/records"
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
		return 0, fault.New(fault.LogUnavailable, "log append: rejected with status %d", resp.StatusCode).WithOutcome(fault.NotRun)
	}
	return 0, fault.New(fault.LogWriteUnconfirmed, "log append: unexpected status %d", resp.StatusCode).WithOutcome(fault.Unknown)
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (Batch, error) {
	q := url.Values{"from": {strconv.FormatUint(from, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	target := c.streamsURL + url.PathEscape(stream) + "/records?" + q.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Batch{}, fault.New(fault.Internal, "log read: %w", err)
	}
	reply, err := httpcall.Do(c.http, req, httpcall.Limits{ReplyWait: wait, IdleTimeout: c.timeout, Timeout: maxReadDuration, MaxBytes: maxResponseBytes})
	status, body := reply.Status, reply.Body
	if err != nil {
		return Batch{}, fault.New(fault.LogUnavailable, "log read: %w", err)
	}
	if status != http.StatusOK && status != http.StatusGone {
		return Batch{}, fault.New(fault.LogUnavailable, "log read: unexpected status %d", status)
	}
	var b Batch
	if err := json.Unmarshal(body, &b); err != nil {
		return Batch{}, fault.New(fault.LogUnavailable, "log read: %w", fmt.Errorf("decode: %w", err))
	}
	if status == http.StatusGone {
		return b, fault.New(fault.LogTruncated, "log read: offset %d is no longer available, the oldest is %d", from, b.First)
	}
	return b, nil
}
