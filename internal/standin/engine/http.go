package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/merlinpost/merlinpost/internal/standin"
)

var errSimulatedFailure = errors.New("injected failure")

// Request is the body of a completion request. The first group of fields are
// those of the public API that the stand-in supports, the second group are
// extensions of the engine.
type Request struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []Message `json:"messages"`
	MinTokens int       `json:"min_tokens"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`

	RequestID string  `json:"request_id"`
	Priority  int     `json:"priority"` // lower values are scheduled first
	Resume    *Resume `json:"resume"`
}

// Message is a chat message.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Resume requests the rest of an answer after the tokens already generated.
type Resume struct {
	Tokens int    `json:"tokens"`
	Text   string `json:"text"` // the text of these tokens
}

// PromptText returns the prompt, or the concatenated messages of a chat.
func (r *Request) PromptText() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	parts := make([]string, len(r.Messages))
	for i, m := range r.Messages {
		parts[i] = m.text()
	}
	return strings.Join(parts, "\n")
}

// text returns the text of a message whose content is a string or a list of parts.
func (m Message) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	var list []struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(m.Content, &list) // content of any other form is treated as empty
	for _, part := range list {
		s += part.Text
	}
	return s
}

// Handler serves the engine's protocol and the /standin endpoints that control
// and inspect the stand-in.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.handleCompletion(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.handleCompletion(w, r, false) })
	mux.HandleFunc("GET /v1/models", e.handleModels)
	mux.HandleFunc("GET /v1/load", e.handleLoad)
	mux.HandleFunc("GET /v1/cache_events", e.handleCacheEvents)
	mux.HandleFunc("POST /v1/orders", e.handleOrder)
	mux.HandleFunc("GET /v1/kv/{id}", e.handleExport)
	mux.HandleFunc("POST /v1/kv", e.handleImport)
	mux.HandleFunc("PUT /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if standin.ReadJSON(w, r, &f) {
			e.SetFaults(f)
		}
	})
	mux.HandleFunc("GET /standin/executions", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, e.Executions())
	})
	mux.HandleFunc("GET /standin/orders", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		standin.WriteJSON(w, http.StatusOK, e.orders)
	})
	return mux
}

// Executions returns what the engine has executed, sorted by request ID.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Execution, 0, len(e.executions))
	for _, x := range e.executions {
		out = append(out, *x)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].RequestID < out[j].RequestID })
	return out
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	var req Request
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	e.mu.Lock()
	loaded := e.loaded[req.Model]
	e.mu.Unlock()
	if !loaded {
		http.Error(w, fmt.Sprintf("model %q is not loaded", req.Model), http.StatusNotFound)
		return
	}
	s, err := newSequence(&req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	e.enqueue(s)
	defer close(s.handlerDone)
	out := &completionWriter{w: w, chat: chat, req: &req, seq: s}
	if req.Stream {
		out.writeStream(r)
		return
	}
	out.writeFull(r)
}

func newSequence(req *Request) (*sequence, error) {
	prompt := req.PromptText()
	s := &sequence{id: req.RequestID, model: req.Model, seed: xxhash.Sum64String(prompt), priority: req.Priority,
		totalTokens: AnswerLength(prompt, req.MinTokens, req.MaxTokens), blocks: blockHashes(prompt), promptWords: len(strings.Fields(prompt)),
		handlerDone: make(chan struct{})}
	if req.Resume != nil {
		var want strings.Builder
		for i := range req.Resume.Tokens {
			want.WriteString(token(s.seed, i))
		}
		if want.String() != req.Resume.Text {
			return nil, fmt.Errorf("resume: text does not match the first %d tokens of the answer", req.Resume.Tokens)
		}
		s.generated = min(req.Resume.Tokens, s.totalTokens)
	}
	s.tokens = make(chan string, s.totalTokens-s.generated+1)
	return s, nil
}

// completionWriter writes an answer in the format of the public API.
type completionWriter struct {
	w    http.ResponseWriter
	chat bool
	req  *Request
	seq  *sequence
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (o *completionWriter) completion(streaming bool, text string, finish string, use *usage) completion {
	b := completion{ID: o.seq.id, Object: "text_completion", Created: time.Now().Unix(), Model: o.req.Model, Usage: use}
	c := choice{}
	switch {
	case o.chat && streaming:
		b.Object, c.Delta = "chat.completion.chunk", &delta{Content: text}
	case o.chat:
		b.Object, c.Message = "chat.completion", &delta{Role: "assistant", Content: text}
	default:
		c.Text = &text
	}
	if finish != "" {
		c.FinishReason = &finish
	}
	b.Choices = []choice{c}
	return b
}

func (o *completionWriter) usage() *usage {
	return &usage{o.seq.promptWords, o.seq.generated, o.seq.promptWords + o.seq.generated}
}

// finishReason returns the reason why the answer ended, as defined by the public
// API.
func (o *completionWriter) finishReason() string {
	if o.req.MaxTokens > 0 && o.seq.totalTokens == o.req.MaxTokens {
		return "length"
	}
	return "stop"
}

func (o *completionWriter) writeEvent(b completion) bool {
	data, err := json.Marshal(b)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(o.w, "data: %s\n\n", data); err != nil {
		return false
	}
	return true
}

func (o *completionWriter) writeStream(r *http.Request) {
	o.w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := o.w.(http.Flusher)
	flusher.Flush()
	for {
		select {
		case text, ok := <-o.seq.tokens:
			if !ok {
				o.finishStream()
				return
			}
			if !o.writeEvent(o.completion(true, text, "", nil)) {
				return
			}
			flusher.Flush()
		case <-r.Context().Done():
			return
		}
	}
}

func (o *completionWriter) finishStream() {
	if o.seq.err != nil {
		panic(http.ErrAbortHandler)
	}
	o.writeEvent(o.completion(true, "", o.finishReason(), o.usage()))
	_, _ = fmt.Fprint(o.w, "data: [DONE]\n\n")
}

func (o *completionWriter) writeFull(r *http.Request) {
	var text strings.Builder
	for {
		select {
		case t, ok := <-o.seq.tokens:
			if ok {
				text.WriteString(t)
				continue
			}
			if o.seq.err != nil {
				http.Error(o.w, o.seq.err.Error(), http.StatusInternalServerError)
				return
			}
			standin.WriteJSON(o.w, http.StatusOK, o.completion(false, text.String(), o.finishReason(), o.usage()))
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) handleModels(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make([]string, 0, len(e.loaded))
	for m := range e.loaded {
		names = append(names, m)
	}
	sort.Strings(names)
	standin.WriteJSON(w, http.StatusOK, map[string]any{"loaded": names, "role": e.role, "fence": e.fencingToken})
}

// handleLoad returns the latest load report that is at least ReportLag old.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.NoReports {
		http.Error(w, "load reports unavailable (simulated fault)", http.StatusServiceUnavailable)
		return
	}
	limit := time.Now().Add(-e.cfg.ReportLag)
	var out LoadReport
	for _, r := range e.loadReports {
		if r.At.After(limit) {
			break
		}
		out = r
	}
	standin.WriteJSON(w, http.StatusOK, out)
}

// handleEvents returns the cache events that are older than ReportLag. Each event
// is dropped with probability EventLossRate.
func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.NoReports {
		http.Error(w, "cache events unavailable (simulated fault)", http.StatusServiceUnavailable)
		return
	}
	limit := time.Now().Add(-e.cfg.ReportLag)
	out := []CacheEvent{}
	for _, ev := range e.cacheEvents {
		if ev.Seq >= from && ev.At.Before(limit) && e.rng.Float64() >= e.cfg.EventLossRate {
			out = append(out, ev)
		}
	}
	standin.WriteJSON(w, http.StatusOK, out)
}
