package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/merlinpost/merlinpost/internal/execution"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/httpsent"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// engineClient calls an inference engine over its HTTP completion API.
type engineClient struct {
	baseURL      string
	stallTimeout time.Duration
	// completions opens a new connection for each request. Engines don't return the ID of a request, so that nothing else
	// distinguishes the response to a request from a late one to an earlier request.
	completions *http.Client
	http        *http.Client // for all other requests
}

// maxEventBytes limits a line of the engine's event stream, and the list of loaded
// targets.
const maxEventBytes = 1 << 20

func newEngineClient(cfg settings.Server) *engineClient {
	return &engineClient{baseURL: "http://" + cfg.Address, stallTimeout: settings.Millis(cfg.StallMS),
		// DisableKeepAlives would announce the close, after which some servers do not notice that a client disconnects.
		completions: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: -1, DisableCompression: true}},
		http:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.Slots, DisableCompression: true}}}
}

// completionRequestBody returns the caller's body with the fields that the agent sets
// added or replaced.
func completionRequestBody(r execution.Run) ([]byte, error) {
	fields := map[string]any{}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(r.Offer.Body, &raw); err != nil {
		return nil, fault.New(fault.BadRequest, "the request body is not a JSON object: %w", err).WithOutcome(fault.NotRun)
	}
	for k, v := range raw {
		fields[k] = v
	}
	fields["model"] = r.Offer.Target
	fields["stream"] = true
	fields["stream_options"] = map[string]bool{"include_usage": true}
	fields["priority"] = r.Offer.Tier
	fields["request_id"] = r.Key.RequestID
	if r.GeneratedTokens > 0 {
		fields["resume"] = map[string]any{"tokens": r.GeneratedTokens, "text": r.GeneratedText}
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return nil, fault.New(fault.Internal, "encode engine request: %w", err).WithOutcome(fault.NotRun)
	}
	return data, nil
}

// generate runs a completion request and passes each piece of generated text to
// onText. It fails if the engine sends no text for the duration of the stall timeout.
func (c *engineClient) generate(ctx context.Context, r execution.Run, onText func([]byte)) (wire.End, *fault.Error) {
	body, err := completionRequestBody(r)
	if err != nil {
		return wire.End{}, fault.From(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stalled atomic.Bool
	stallTimer := time.AfterFunc(c.stallTimeout, func() { stalled.Store(true); cancel() })
	defer stallTimer.Stop()
	resp, e := c.postCompletion(ctx, r.Offer.Endpoint, body)
	if e != nil {
		return wire.End{}, e
	}
	defer resp.Body.Close()
	end, err := readStream(resp.Body, func(data []byte) {
		stallTimer.Reset(c.stallTimeout)
		onText(data)
	})
	if err != nil {
		cause := "read the engine's event stream"
		if stalled.Load() {
			cause = fmt.Sprintf("the engine sent no text for %s", c.stallTimeout)
		}
		return end, fault.New(fault.EngineFailed, "%s: %w", cause, err).WithOutcome(fault.Unknown)
	}
	return end, nil
}

// postCompletion sends a completion request. A response with another status than 200
// is returned as a fault.
func (c *engineClient) postCompletion(ctx context.Context, endpoint string, body []byte) (*http.Response, *fault.Error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+endpoint, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.Internal, "create engine request: %w", err).WithOutcome(fault.NotRun)
	}
	req.Header.Set("Content-Type", "application/json")
	req, sent := httpsent.Trace(req)
	resp, err := c.completions.Do(req)
	if err != nil {
		outcome := fault.Unknown
		if !sent.Load() {
			outcome = fault.NotRun
		}
		return nil, fault.New(fault.EngineFailed, "call the engine: %w", err).WithOutcome(outcome)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // after a read error the status is reported without the text
	return nil, faultFromStatus(resp.StatusCode, string(bytes.TrimSpace(text)))
}

// faultFromStatus converts an error status of the engine to a fault. The outcome is
// NotRun only for the statuses with which an engine rejects a request before
// starting it.
func faultFromStatus(status int, text string) *fault.Error {
	code, outcome := fault.EngineFailed, fault.Unknown
	switch {
	case status == http.StatusNotFound:
		code, outcome = fault.NoBackendServer, fault.NotRun
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		code, outcome = fault.QueueFull, fault.NotRun
	case status >= 400 && status < 500:
		code, outcome = fault.BadRequest, fault.NotRun
	}
	return fault.New(code, "the engine returned status %d: %s", status, text).WithOutcome(outcome)
}

// streamEvent is an event of the completion stream, with only the fields used here.
type streamEvent struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

var (
	eventDataPrefix     = []byte("data: ")
	streamEndMarker     = []byte("[DONE]")
	errMissingEndMarker = errors.New("the event stream ended without [DONE]")
)

// readStream reads server-sent events up to the end marker. It returns an error if the
// stream ends without one.
func readStream(r io.Reader, onText func([]byte)) (wire.End, error) {
	var end wire.End
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), eventDataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, streamEndMarker) {
			return end, nil
		}
		var ev streamEvent
		if err := json.Unmarshal(data, &ev); err != nil {
			return end, fmt.Errorf("decode event: %w", err)
		}
		if ev.Error != nil {
			return end, fault.New(fault.EngineFailed, "%s", ev.Error.Message)
		}
		applyEvent(&ev, &end, onText)
	}
	if err := lines.Err(); err != nil {
		return end, err
	}
	return end, errMissingEndMarker
}

// applyEvent passes the event's text to onText and copies its token counts and finish
// reason to end.
func applyEvent(ev *streamEvent, end *wire.End, onText func([]byte)) {
	if ev.Usage != nil {
		end.PromptTokens, end.OutputTokens = ev.Usage.Prompt, ev.Usage.Completion
	}
	for _, c := range ev.Choices {
		if text := c.Text + c.Delta.Content; text != "" {
			onText([]byte(text))
		}
		if c.FinishReason != "" {
			end.FinishReason = c.FinishReason
		}
	}
}

// loadedTargets asks the engine which targets it has loaded.
func (c *engineClient) loadedTargets(ctx context.Context) ([]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/v1/models", nil)
	if err != nil {
		return nil, fmt.Errorf("query the engine's loaded targets: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("query the engine's loaded targets: %w", err)
	}
	defer resp.Body.Close()
	var out struct {
		Loaded []string `json:"loaded"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.EngineFailed, "query the engine's loaded targets: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEventBytes)).Decode(&out); err != nil {
		return nil, fmt.Errorf("query the engine's loaded targets: %w", err)
	}
	return out.Loaded, nil
}

// engineOrder is the request body of POST /v1/orders, by which the engine loads or
// unloads a target.
type engineOrder struct {
	Op      string `json:"op"`
	Target  string `json:"target"`
	Adapter bool   `json:"adapter"`
	Fence   uint64 `json:"fence"`
	By      string `json:"by"`
}

// postOrder sends an order and waits until the engine has completed it.
func (c *engineClient) postOrder(ctx context.Context, o engineOrder) error {
	data, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("send order to the engine: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+"/v1/orders", bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("send order to the engine: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("send order to the engine: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // after a read error the status is reported without the text
		return fault.New(fault.EngineFailed, "the engine returned status %d for an order: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}
