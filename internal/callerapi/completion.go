package callerapi

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/rollout"
	"github.com/merlinpost/merlinpost/internal/router"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// completionRequest holds the fields of a completion request that the router
// interprets. The others are passed through to the engine.
type completionRequest struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Tools     json.RawMessage `json:"tools"`
	Functions json.RawMessage `json:"functions"`
	Logprobs  json.RawMessage `json:"logprobs"`
	Echo      bool            `json:"echo"`
}

// maxPrefixBytes is the maximum length of the prompt prefix by which the backend
// servers that cache it are chosen.
const maxPrefixBytes = 512

func (a *API) chat(x *exchange) *fault.Error {
	return x.complete(&format{chat: true, endpoint: "/v1/chat/completions"})
}

func (a *API) completion(x *exchange) *fault.Error {
	return x.complete(&format{endpoint: "/v1/completions"})
}

func (x *exchange) complete(f *format) *fault.Error {
	data, e := x.readBody()
	if e != nil {
		return e
	}
	var in completionRequest
	if err := json.Unmarshal(data, &in); err != nil {
		return decodeError(err)
	}
	if e := in.validate(f.chat, x.class); e != nil {
		return e
	}
	model := x.view.Models[in.Model]
	if model == nil {
		return fault.New(fault.UnknownModel, "there is no model %q", in.Model).WithField("model").WithOutcome(fault.NotRun)
	}
	x.startObservation()
	release, e := x.api.backend.Admit(x.r.Context(), x.teamName, x.team)
	if e != nil {
		return e
	}
	defer release()
	version := rollout.Choose(x.view.RolloutsForModel(in.Model), x.id)
	if version != resource.BaseVersion && !x.api.backend.Serves(model.Pool, in.Model+"@"+version) {
		version = resource.BaseVersion // no reachable agent has the version loaded
	}
	f.id, f.model, f.created, f.includeUsage = x.id, in.Model, x.start.Unix(), in.StreamOptions.IncludeUsage
	x.w.Header().Set(HeaderServed, in.Model+"@"+version)
	req := &router.Request{ID: x.id, Kind: wire.KindGenerate, Endpoint: f.endpoint, Team: x.teamName, ClassName: x.className,
		Class: x.class, Pool: model.Pool, Target: in.Model + "@" + version, MayRepeat: true, Resumable: true,
		MaxTokens: in.tokenLimit(x.class), Prefix: in.promptPrefix(), ContentType: "application/json", Body: withTokenLimit(data, &in, x.class)}
	if in.Stream {
		return x.stream(f, req)
	}
	return x.respond(f, req)
}

func decodeError(err error) *fault.Error {
	e := fault.New(fault.BadRequest, "decode request body: %w", err).WithField("body").WithOutcome(fault.NotRun)
	if typed, ok := err.(*json.UnmarshalTypeError); ok && typed.Field != "" {
		e.Field = typed.Field
	}
	return e
}

// isSet reports whether a field has a value other than null, false or an empty array.
func isSet(raw json.RawMessage) bool {
	return len(raw) > 0 && !bytes.Equal(raw, []byte("null")) && !bytes.Equal(raw, []byte("false")) && !bytes.Equal(raw, []byte("[]"))
}

// validate checks the fields. It rejects requests whose response the router can't
// relay completely: those for several choices, or for anything but text.
func (in *completionRequest) validate(chat bool, class *resource.Class) *fault.Error {
	unsupported := map[string]bool{"n": in.N != nil && *in.N != 1, "best_of": in.BestOf != nil && *in.BestOf != 1,
		"tools": isSet(in.Tools), "functions": isSet(in.Functions), "logprobs": isSet(in.Logprobs), "echo": in.Echo}
	for _, field := range []string{"n", "best_of", "tools", "functions", "logprobs", "echo"} {
		if unsupported[field] {
			return fault.New(fault.UnsupportedField, "this field is not supported").WithField(field).WithOutcome(fault.NotRun)
		}
	}
	if in.Model == "" {
		return fault.New(fault.BadRequest, "model is required").WithField("model").WithOutcome(fault.NotRun)
	}
	if chat && !bytes.HasPrefix(bytes.TrimSpace(in.Messages), []byte("[")) {
		return fault.New(fault.BadRequest, "messages must be an array").WithField("messages").WithOutcome(fault.NotRun)
	}
	if !chat && !bytes.HasPrefix(bytes.TrimSpace(in.Prompt), []byte(`"`)) {
		return fault.New(fault.BadRequest, "prompt must be a single string").WithField("prompt").WithOutcome(fault.NotRun)
	}
	for field, limit := range map[string]*int{"max_tokens": in.MaxTokens, "max_completion_tokens": in.MaxCompletionTokens} {
		if limit != nil && (*limit < 1 || *limit > class.MaxTokens) {
			return fault.New(fault.BadRequest, "%d is not between 1 and %d, the limit of the class", *limit, class.MaxTokens).
				WithField(field).WithOutcome(fault.NotRun)
		}
	}
	return nil
}

// tokenLimit returns the maximum number of tokens in the response.
func (in *completionRequest) tokenLimit(class *resource.Class) int {
	switch {
	case in.MaxCompletionTokens != nil:
		return *in.MaxCompletionTokens
	case in.MaxTokens != nil:
		return *in.MaxTokens
	}
	return class.MaxTokens
}

// withTokenLimit adds the token limit of the class to a body that sets none.
func withTokenLimit(data []byte, in *completionRequest, class *resource.Class) []byte {
	if in.MaxTokens != nil || in.MaxCompletionTokens != nil {
		return data
	}
	fields := map[string]any{}
	var raw map[string]json.RawMessage
	if json.Unmarshal(data, &raw) != nil {
		return data // unreachable: data has been decoded before
	}
	for k, v := range raw {
		fields[k] = v
	}
	fields["max_tokens"] = class.MaxTokens
	out, err := json.Marshal(fields)
	if err != nil {
		return data
	}
	return out
}

func (in *completionRequest) promptPrefix() string {
	text := in.Messages
	if len(text) == 0 {
		text = in.Prompt
	}
	return string(text[:min(len(text), maxPrefixBytes)])
}

// stream relays the response as server-sent events, one per chunk.
func (x *exchange) stream(f *format, req *router.Request) *fault.Error {
	deliver := func(data []byte) error {
		if !x.streamStarted {
			x.startStream(f)
		}
		x.observation.RecordToken(time.Now())
		return x.writeEvent(f.chunk(string(data), "", nil))
	}
	end, e := x.api.backend.Do(x.r.Context(), req, deliver)
	if e != nil {
		return e
	}
	if !x.streamStarted {
		x.startStream(f)
	}
	_ = x.writeEvent(f.chunk("", finishReason(end), nil)) // an error means that the caller has disconnected
	if f.includeUsage {
		_ = x.writeEvent(f.chunk("", "", newUsage(end)))
	}
	_ = x.writeEvent([]byte("[DONE]"))
	return nil
}

func (x *exchange) startStream(f *format) {
	x.streamStarted = true
	x.w.Header().Set("Content-Type", "text/event-stream")
	x.w.Header().Set("Cache-Control", "no-cache")
	x.w.WriteHeader(http.StatusOK)
	if f.chat {
		_ = x.writeEvent(f.roleChunk()) // a disconnected caller is detected at the next event
	}
}

// writeEvent writes and flushes one server-sent event. It returns an error if the
// caller has disconnected or reads nothing for the stall timeout.
func (x *exchange) writeEvent(data []byte) error {
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(time.Now().Add(settings.Millis(x.api.set.StallTimeoutMS))) // fails only for test recorders
	buf := make([]byte, 0, len(data)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	buf = append(buf, '\n', '\n')
	if _, err := x.w.Write(buf); err != nil {
		return err
	}
	return control.Flush()
}

// respond collects the response and writes it as one JSON object.
func (x *exchange) respond(f *format, req *router.Request) *fault.Error {
	var text strings.Builder
	end, e := x.api.backend.Do(x.r.Context(), req, func(data []byte) error {
		x.observation.RecordToken(time.Now())
		text.Write(data)
		return nil
	})
	if e != nil {
		return e
	}
	x.w.Header().Set("Content-Type", "application/json")
	_, _ = x.w.Write(f.response(text.String(), finishReason(end), newUsage(end))) // an error means that the caller has disconnected
	return nil
}

func finishReason(end *wire.End) string {
	if end.FinishReason == "" {
		return "stop"
	}
	return end.FinishReason
}

func newUsage(end *wire.End) *usage {
	return &usage{end.PromptTokens, end.OutputTokens, end.PromptTokens + end.OutputTokens}
}
