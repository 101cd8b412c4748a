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

// completionBody is the part of a completion request that the router reads.
// The rest passes through to the engine as it is.
type completionBody struct {
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

// prefixBytes is how much of the prompt decides which servers keep its prefix.
const prefixBytes = 512

func (a *API) chat(x *exchange) *fault.Error {
	return x.complete(&format{chat: true, endpoint: "/v1/chat/completions"})
}

func (a *API) completion(x *exchange) *fault.Error {
	return x.complete(&format{endpoint: "/v1/completions"})
}

func (x *exchange) complete(f *format) *fault.Error {
	data, e := x.body()
	if e != nil {
		return e
	}
	var in completionBody
	if err := json.Unmarshal(data, &in); err != nil {
		return badJSON(err)
	}
	if e := in.check(f.chat, x.class); e != nil {
		return e
	}
	model := x.view.Models[in.Model]
	if model == nil {
		return fault.New(fault.UnknownModel, "there is no model %q", in.Model).WithField("model").WithOutcome(fault.NotRun)
	}
	x.startObserving()
	release, e := x.api.backend.Admit(x.r.Context(), x.teamName, x.team)
	if e != nil {
		return e
	}
	defer release()
	version := rollout.Choose(x.view.RolloutsForModel(in.Model), x.id)
	if version != resource.BaseVersion && !x.api.backend.Serves(model.Pool, in.Model+"@"+version) {
		version = resource.BaseVersion // no agent has loaded it yet, or any more
	}
	f.id, f.model, f.created, f.usage = x.id, in.Model, x.start.Unix(), in.StreamOptions.IncludeUsage
	x.w.Header().Set(HeaderServed, in.Model+"@"+version)
	req := &router.Request{ID: x.id, Kind: wire.KindGenerate, Endpoint: f.endpoint, Team: x.teamName, ClassName: x.className,
		Class: x.class, Pool: model.Pool, Target: in.Model + "@" + version, MayRepeat: true, Resumable: true,
		MaxTokens: in.limit(x.class), Prefix: in.prefix(), ContentType: "application/json", Body: withLimit(data, &in, x.class)}
	if in.Stream {
		return x.stream(f, req)
	}
	return x.whole(f, req)
}

func badJSON(err error) *fault.Error {
	e := fault.New(fault.BadRequest, "the body is no such JSON object: %w", err).WithField("body").WithOutcome(fault.NotRun)
	if typed, ok := err.(*json.UnmarshalTypeError); ok && typed.Field != "" {
		e.Field = typed.Field
	}
	return e
}

func present(raw json.RawMessage) bool {
	return len(raw) > 0 && !bytes.Equal(raw, []byte("null")) && !bytes.Equal(raw, []byte("false")) && !bytes.Equal(raw, []byte("[]"))
}

// check refuses what the router can't pass on whole: several choices in one
// answer, and parts of an answer other than its text.
func (in *completionBody) check(chat bool, class *resource.Class) *fault.Error {
	unsupported := map[string]bool{"n": in.N != nil && *in.N != 1, "best_of": in.BestOf != nil && *in.BestOf != 1,
		"tools": present(in.Tools), "functions": present(in.Functions), "logprobs": present(in.Logprobs), "echo": in.Echo}
	for _, field := range []string{"n", "best_of", "tools", "functions", "logprobs", "echo"} {
		if unsupported[field] {
			return fault.New(fault.UnsupportedField, "this field is not supported").WithField(field).WithOutcome(fault.NotRun)
		}
	}
	if in.Model == "" {
		return fault.New(fault.BadRequest, "a model is needed").WithField("model").WithOutcome(fault.NotRun)
	}
	if chat && !bytes.HasPrefix(bytes.TrimSpace(in.Messages), []byte("[")) {
		return fault.New(fault.BadRequest, "a list of messages is needed").WithField("messages").WithOutcome(fault.NotRun)
	}
	if !chat && !bytes.HasPrefix(bytes.TrimSpace(in.Prompt), []byte(`"`)) {
		return fault.New(fault.BadRequest, "one text is needed").WithField("prompt").WithOutcome(fault.NotRun)
	}
	for field, limit := range map[string]*int{"max_tokens": in.MaxTokens, "max_completion_tokens": in.MaxCompletionTokens} {
		if limit != nil && (*limit < 1 || *limit > class.MaxTokens) {
			return fault.New(fault.BadRequest, "%d is not within 1 to %d, the limit of the class", *limit, class.MaxTokens).
				WithField(field).WithOutcome(fault.NotRun)
		}
	}
	return nil
}

// limit returns the most tokens that the answer may have.
func (in *completionBody) limit(class *resource.Class) int {
	switch {
	case in.MaxCompletionTokens != nil:
		return *in.MaxCompletionTokens
	case in.MaxTokens != nil:
		return *in.MaxTokens
	}
	return class.MaxTokens
}

// withLimit adds the class's limit to a body that has none of its own.
func withLimit(data []byte, in *completionBody, class *resource.Class) []byte {
	if in.MaxTokens != nil || in.MaxCompletionTokens != nil {
		return data
	}
	fields := map[string]any{}
	var raw map[string]json.RawMessage
	if json.Unmarshal(data, &raw) != nil {
		return data // it was decoded before, so this does not happen
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

func (in *completionBody) prefix() string {
	text := in.Messages
	if len(text) == 0 {
		text = in.Prompt
	}
	return string(text[:min(len(text), prefixBytes)])
}

// stream passes the answer on piece by piece as server-sent events.
func (x *exchange) stream(f *format, req *router.Request) *fault.Error {
	deliver := func(data []byte) error {
		if !x.began {
			x.beginStream(f)
		}
		x.observe.Token(time.Now())
		return x.event(f.chunk(string(data), "", nil))
	}
	end, e := x.api.backend.Do(x.r.Context(), req, deliver)
	if e != nil {
		return e
	}
	if !x.began {
		x.beginStream(f)
	}
	_ = x.event(f.chunk("", finishReason(end), nil)) // a caller that went away is counted as such
	if f.usage {
		_ = x.event(f.chunk("", "", usageOf(end)))
	}
	_ = x.event([]byte("[DONE]"))
	return nil
}

func (x *exchange) beginStream(f *format) {
	x.began = true
	x.w.Header().Set("Content-Type", "text/event-stream")
	x.w.Header().Set("Cache-Control", "no-cache")
	x.w.WriteHeader(http.StatusOK)
	if f.chat {
		_ = x.event(f.opening()) // a caller that went away shows at the next event
	}
}

// event writes one server-sent event and flushes it. A reader that takes
// nothing for the stall time counts as gone.
func (x *exchange) event(data []byte) error {
	control := http.NewResponseController(x.w)
	_ = control.SetWriteDeadline(time.Now().Add(settings.Millis(x.api.set.StallTimeoutMS))) // only test recorders refuse
	buf := make([]byte, 0, len(data)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	buf = append(buf, '\n', '\n')
	if _, err := x.w.Write(buf); err != nil {
		return err
	}
	return control.Flush()
}

// whole collects the answer and gives it as one JSON object.
func (x *exchange) whole(f *format, req *router.Request) *fault.Error {
	var text strings.Builder
	end, e := x.api.backend.Do(x.r.Context(), req, func(data []byte) error {
		x.observe.Token(time.Now())
		text.Write(data)
		return nil
	})
	if e != nil {
		return e
	}
	x.w.Header().Set("Content-Type", "application/json")
	_, _ = x.w.Write(f.whole(text.String(), finishReason(end), usageOf(end))) // a caller that went away is its own matter
	return nil
}

func finishReason(end *wire.End) string {
	if end.FinishReason == "" {
		return "stop"
	}
	return end.FinishReason
}

func usageOf(end *wire.End) *usage {
	return &usage{end.PromptTokens, end.OutputTokens, end.PromptTokens + end.OutputTokens}
}
