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

// engineClient calls the engine by the published completion protocol.
type engineClient struct {
	base  string
	stall time.Duration
	http  *http.Client
}

// maxEvent bounds one line of an engine's event stream, bytes.
const maxEvent = 1 << 20

func newEngineClient(set settings.Server) *engineClient {
	return &engineClient{base: "http://" + set.Address, stall: settings.Millis(set.StallMS),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: set.Slots, DisableCompression: true}}}
}

// requestBody is the caller's body with the fields that the agent sets.
func requestBody(r execution.Run) ([]byte, error) {
	fields := map[string]any{}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(r.Offer.Body, &raw); err != nil {
		return nil, fault.New(fault.BadRequest, "the body is no JSON object: %w", err).WithOutcome(fault.NotRun)
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

// generate runs a request and gives each piece of text to token. An engine
// that gives nothing for the stall time counts as failed.
func (c *engineClient) generate(ctx context.Context, r execution.Run, token func([]byte)) (wire.End, *fault.Error) {
	body, err := requestBody(r)
	if err != nil {
		return wire.End{}, fault.From(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var stalled atomic.Bool
	watch := time.AfterFunc(c.stall, func() { stalled.Store(true); cancel() })
	defer watch.Stop()
	resp, e := c.open(ctx, r.Offer.Endpoint, body)
	if e != nil {
		return wire.End{}, e
	}
	defer resp.Body.Close()
	end, err := readStream(resp.Body, func(data []byte) {
		watch.Reset(c.stall)
		token(data)
	})
	if err != nil {
		cause := "the stream broke"
		if stalled.Load() {
			cause = "the stream stalled"
		}
		return end, fault.New(fault.EngineFailed, "%s: %w", cause, err).WithOutcome(fault.Unknown)
	}
	return end, nil
}

// open sends the request and checks the answer's status.
func (c *engineClient) open(ctx context.Context, endpoint string, body []byte) (*http.Response, *fault.Error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+endpoint, bytes.NewReader(body))
	if err != nil {
		return nil, fault.New(fault.Internal, "engine request: %w", err).WithOutcome(fault.NotRun)
	}
	req.Header.Set("Content-Type", "application/json")
	req, sent := httpsent.Trace(req)
	resp, err := c.http.Do(req)
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
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // the status alone says enough
	return nil, statusFault(resp.StatusCode, string(bytes.TrimSpace(text)))
}

// statusFault types an engine's refusal. Only a refusal before the work is
// sure not to have run.
func statusFault(status int, text string) *fault.Error {
	code, outcome := fault.EngineFailed, fault.Unknown
	switch {
	case status == http.StatusNotFound:
		code, outcome = fault.NoBackendServer, fault.NotRun
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		code, outcome = fault.QueueFull, fault.NotRun
	case status >= 400 && status < 500:
		code, outcome = fault.BadRequest, fault.NotRun
	}
	return fault.New(code, "the engine answered %d: %s", status, text).WithOutcome(outcome)
}

// streamEvent is the part of a published stream event that matters here.
type streamEvent struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
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
	dataPrefix = []byte("data: ")
	doneMark   = []byte("[DONE]")
	errNoEnd   = errors.New("the stream ended without its end mark")
)

// readStream reads server-sent events up to the end mark.
func readStream(r io.Reader, token func([]byte)) (wire.End, error) {
	var end wire.End
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEvent)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMark) {
			return end, nil
		}
		var ev streamEvent
		if err := json.Unmarshal(data, &ev); err != nil {
			return end, fmt.Errorf("decode event: %w", err)
		}
		if ev.Error != nil {
			return end, fault.New(fault.EngineFailed, "%s", ev.Error.Message)
		}
		takeEvent(&ev, &end, token)
	}
	if err := lines.Err(); err != nil {
		return end, err
	}
	return end, errNoEnd
}

func takeEvent(ev *streamEvent, end *wire.End, token func([]byte)) {
	if ev.Usage != nil {
		end.PromptTokens, end.OutputTokens = ev.Usage.Prompt, ev.Usage.Completion
	}
	for _, c := range ev.Choices {
		if text := c.Text + c.Delta.Content; text != "" {
			token([]byte(text))
		}
		if c.Finish != "" {
			end.FinishReason = c.Finish
		}
	}
}

// loaded asks the engine which targets it has loaded.
func (c *engineClient) loaded(ctx context.Context) ([]string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/models", nil)
	if err != nil {
		return nil, fmt.Errorf("engine models: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("engine models: %w", err)
	}
	defer resp.Body.Close()
	var out struct {
		Loaded []string `json:"loaded"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.EngineFailed, "engine models: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxEvent)).Decode(&out); err != nil {
		return nil, fmt.Errorf("engine models: %w", err)
	}
	return out.Loaded, nil
}

// order is the body of an order to the engine.
type order struct {
	Op      string `json:"op"`
	Target  string `json:"target"`
	Adapter bool   `json:"adapter"`
	Fence   uint64 `json:"fence"`
	By      string `json:"by"`
}

// give sends an order; it returns when the engine has carried it out.
func (c *engineClient) give(ctx context.Context, o order) error {
	data, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("engine order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+"/v1/orders", bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("engine order: %w", err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("engine order: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512)) // the status alone says enough
		return fault.New(fault.EngineFailed, "engine order: status %d: %s", resp.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}
