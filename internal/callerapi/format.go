package callerapi

import "encoding/json"

// format encodes responses in the OpenAI-compatible format of one endpoint.
type format struct {
	chat         bool
	endpoint     string
	id           string
	model        string
	created      int64
	includeUsage bool // send a usage chunk at the end of a stream
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type message struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Text    *string  `json:"text,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (f *format) newCompletion(object string, choices ...choice) completion {
	prefix := "cmpl-"
	if f.chat {
		prefix = "chatcmpl-"
	}
	if choices == nil {
		choices = []choice{}
	}
	return completion{ID: prefix + f.id, Object: object, Created: f.created, Model: f.model, Choices: choices}
}

// encode marshals the types of this file, for which marshalling can't fail.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return data
}

// roleChunk returns the first event of a chat stream, which has the role only.
func (f *format) roleChunk() []byte {
	empty := ""
	return encode(f.newCompletion("chat.completion.chunk", choice{Delta: &message{Role: "assistant", Content: &empty}}))
}

// chunk returns one event of a stream: text, the finish reason, or the usage.
func (f *format) chunk(text, finish string, use *usage) []byte {
	object := "text_completion"
	if f.chat {
		object = "chat.completion.chunk"
	}
	if use != nil {
		a := f.newCompletion(object)
		a.Usage = use
		return encode(a)
	}
	c := choice{}
	if finish != "" {
		c.Finish = &finish
	}
	switch {
	case !f.chat:
		c.Text = &text
	case finish != "":
		c.Delta = &message{}
	default:
		c.Delta = &message{Content: &text}
	}
	return encode(f.newCompletion(object, c))
}

// response returns the body of a response that is not streamed.
func (f *format) response(text, finish string, use *usage) []byte {
	object, c := "text_completion", choice{Finish: &finish}
	if f.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: &text}
	} else {
		c.Text = &text
	}
	a := f.newCompletion(object, c)
	a.Usage = use
	return encode(a)
}
