package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/eventstream"
	"github.com/merlinpost/merlinpost/internal/execution"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/httpsent"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// maxServiceResponseBytes limits the response body of a plain service.
const maxServiceResponseBytes = 1 << 20

// serviceClient calls a plain service over HTTP.
type serviceClient struct {
	baseURL string
	http    *http.Client
}

// newServiceClient returns a client that opens a new connection for each call. On a
// kept-alive connection that the server has closed, net/http would resend the request
// automatically, but a call that may not be repeated must not be sent twice.
func newServiceClient(cfg settings.Server) *serviceClient {
	dialer := &net.Dialer{Timeout: settings.Millis(cfg.StallMS)}
	return &serviceClient{baseURL: "http://" + cfg.Address,
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DialContext: dialer.DialContext},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// call sends one request and returns the complete response. A response with an HTTP
// error status is returned as a response, not as a fault.
func (c *serviceClient) call(ctx context.Context, r execution.Run) ([]byte, wire.End, *fault.Error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.Offer.RunTimeoutMS)*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+r.Offer.Endpoint, bytes.NewReader(r.Offer.Body))
	if err != nil {
		return nil, wire.End{}, fault.New(fault.Internal, "create service request: %w", err).WithOutcome(fault.NotRun)
	}
	req.GetBody = nil // prevents a retry by net/http
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceResponseBytes+1))
	if err == nil && len(body) > maxServiceResponseBytes {
		err = fmt.Errorf("the response exceeds the limit of %d bytes", maxServiceResponseBytes)
	}
	if err == nil && eventstream.EndsInsideEvent(resp.Header, body) {
		err = errors.New("the response ended inside an event")
	}
	if err != nil {
		return nil, wire.End{}, fault.New(fault.EngineFailed, "read the service's response: %w", err).WithOutcome(fault.Unknown)
	}
	return body, wire.End{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type")}, nil
}
