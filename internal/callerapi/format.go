package callerapi

import "encoding/json"

// format writes answers in the published format of one endpoint.
type format struct {
	chat     bool
	endpoint string
	id       string
	model    string
	created  int64
	usage    bool // the caller asked for usage at the end of a stream
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

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (f *format) answer(object string, choices ...choice) answer {
	prefix := "cmpl-"
	if f.chat {
		prefix = "chatcmpl-"
	}
	if choices == nil {
		choices = []choice{}
	}
	return answer{ID: prefix + f.id, Object: object, Created: f.created, Model: f.model, Choices: choices}
}

// encode marshals types of this file, which can't fail.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}")
	}
	return data
}

// opening is the first event of a chat stream: the role.
func (f *format) opening() []byte {
	empty := ""
	return encode(f.answer("chat.completion.chunk", choice{Delta: &message{Role: "assistant", Content: &empty}}))
}

// chunk is one event of a stream: text, the finish reason, or the usage.
func (f *format) chunk(text, finish string, use *usage) []byte {
	object := "text_completion"
	if f.chat {
		object = "chat.completion.chunk"
	}
	if use != nil {
		a := f.answer(object)
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
	return encode(f.answer(object, c))
}

// whole is the answer to a request without stream.
func (f *format) whole(text, finish string, use *usage) []byte {
	object, c := "text_completion", choice{Finish: &finish}
	if f.chat {
		object = "chat.completion"
		c.Message = &message{Role: "assistant", Content: &text}
	} else {
		c.Text = &text
	}
	a := f.answer(object, c)
	a.Usage = use
	return encode(a)
}
