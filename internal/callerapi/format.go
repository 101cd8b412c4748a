package callerapi

import "encoding/json"

// responseFormat encodes responses in the OpenAI-compatible format of one endpoint.
type responseFormat struct {
	chat         bool
	endpoint     string
	id           string
	model        string
	created      int64
	includeUsage bool // send a usage chunk at the end of a stream
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (f *responseFormat) newCompletion(object string, choices ...choice) completionResponse {
	prefix := "cmpl-"
	if f.chat {
		prefix = "chatcmpl-"
	}
	if choices == nil {
		choices = []choice{}
	}
	return completionResponse{ID: prefix + f.id, Object: object, Created: f.created, Model: f.model, Choices: choices}
}

// encode marshals a type of this file. Marshalling can't fail for these types.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return data
}

// roleChunk returns the first event of a chat stream, which contains only the role.
func (f *responseFormat) roleChunk() []byte {
	empty := ""
	return encode(f.newCompletion("chat.completion.chunk", choice{Delta: &message{Role: "assistant", Content: &empty}}))
}

// chunk returns one event of a stream, with either text, the finish reason or the
// usage.
func (f *responseFormat) chunk(text, finishReason string, u *usage) []byte {
	object := "text_completion"
	if f.chat {
		object = "chat.completion.chunk"
	}
	if u != nil {
		resp := f.newCompletion(object)
		resp.Usage = u
		return encode(resp)
	}
	c := choice{}
	if finishReason != "" {
		c.FinishReason = &finishReason
	}
	switch {
	case !f.chat:
		c.Text = &text
	case finishReason != "":
		c.Delta = &message{}
	default:
		c.Delta = &message{Content: &text}
	}
	return encode(f.newCompletion(object, c))
}

// response returns the body of a response that is not streamed.
func (f *responseFormat) response(text, finishReason string, u *usage) []byte {
	object, c := "text_completion", choice{FinishReason: &finishReason}
	if f.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: &text}
	} else {
		c.Text = &text
	}
	resp := f.newCompletion(object, c)
	resp.Usage = u
	return encode(resp)
}
