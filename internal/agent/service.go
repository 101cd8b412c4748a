package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/execution"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/httpsent"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// maxServiceAnswer bounds a plain service's answer, bytes.
const maxServiceAnswer = 1 << 20

// serviceClient calls the plain service beside the agent.
type serviceClient struct {
	base string
	http *http.Client
}

// newServiceClient returns a client that opens a connection for each call:
// net/http repeats a request by itself when a kept connection turns out to be
// closed, which a call that may not be repeated must never meet.
func newServiceClient(set settings.Server) *serviceClient {
	dial := &net.Dialer{Timeout: settings.Millis(set.StallMS)}
	return &serviceClient{base: "http://" + set.Address,
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dial.DialContext},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// call makes one call and returns the whole answer. An answer with an error
// status of the service's own is an answer, not a failure.
func (c *serviceClient) call(ctx context.Context, r execution.Run) ([]byte, wire.End, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Offer.RunTimeoutMS)*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+r.Offer.Endpoint, bytes.NewReader(r.Offer.Body))
	if err != nil {
		return nil, wire.End{}, fault.New(fault.Internal, "service call: %w", err).WithOutcome(fault.NotRun)
	}
	req.GetBody = nil // never sent a second time
	req.Header.Set("Content-Type", r.Offer.ContentType)
	req.Header.Set("Merlinpost-Request-Id", r.Key.RequestID)
	req, sent := httpsent.Trace(req)
	resp, err := c.http.Do(req)
	if err != nil {
		outcome := fault.Unknown
		if !sent.Load() {
			outcome = fault.NotRun
		}
		return nil, wire.End{}, fault.New(fault.EngineFailed, "call the service: %w", err).WithOutcome(outcome)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceAnswer+1))
	if err == nil && len(body) > maxServiceAnswer {
		err = errors.New("the answer is too large")
	}
	if err != nil {
		return nil, wire.End{}, fault.New(fault.EngineFailed, "read the service's answer: %w", err).WithOutcome(fault.Unknown)
	}
	return body, wire.End{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}, nil
}
