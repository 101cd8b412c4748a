package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/standin/engine"
)

// requestResult is the result of a request as its caller sees it.
type requestResult struct {
	RequestID  string
	Served     string // model version that served the request
	Status     int
	Text       string
	Complete   bool // the response arrived in full
	Code       fault.Code
	Outcome    fault.Outcome
	RetryAfter string
	Err        error         // failed connection, or truncated or malformed response
	FirstToken time.Duration // time to the first token
}

// apiError is the error body of the callers' API.
type apiError struct {
	Error struct {
		Code    fault.Code    `json:"code"`
		Outcome fault.Outcome `json:"outcome"`
		Message string        `json:"message"`
	} `json:"error"`
}

// sendChat sends a streaming chat request and reads the response to its end.
func (c *cluster) sendChat(ctx context.Context, router, class, prompt string, tokens int) requestResult {
	return c.sendChatWithKey(ctx, teamKey, router, class, prompt, tokens)
}

// sendChatWithKey is like sendChat, with the given API key.
func (c *cluster) sendChatWithKey(ctx context.Context, key, router, class, prompt string, tokens int) requestResult {
	body := fmt.Sprintf(`{"model":"advisory","stream":true,"min_tokens":%d,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, tokens, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.callerAddress(router)+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return requestResult{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Merlinpost-Class", class)
	begin := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return requestResult{Err: err}
	}
	defer resp.Body.Close()
	o := requestResult{RequestID: resp.Header.Get("Merlinpost-Request-Id"), Served: resp.Header.Get("Merlinpost-Served"), Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After")}
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body) // if it fails, the result still has the status
		o.parseError(data)
		return o
	}
	o.readStream(resp.Body, begin)
	return o
}

func (o *requestResult) parseError(data []byte) {
	var e apiError
	if json.Unmarshal(data, &e) == nil {
		o.Code, o.Outcome = e.Error.Code, e.Error.Outcome
	}
}

func (o *requestResult) readStream(r io.Reader, begin time.Time) {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			o.Complete = true
			continue // the response must end too
		}
		var ev struct {
			apiError
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(data, &ev); err != nil {
			o.Err = err
			break
		}
		if ev.Error.Code != "" {
			o.Code, o.Outcome = ev.Error.Code, ev.Error.Outcome
			break
		}
		for _, ch := range ev.Choices {
			if ch.Delta.Content != "" && o.FirstToken == 0 {
				o.FirstToken = time.Since(begin)
			}
			text.WriteString(ch.Delta.Content)
		}
	}
	o.Text = text.String()
	if err := lines.Err(); err != nil && o.Complete {
		o.Complete, o.Err = false, err
	}
	if !o.Complete && o.Code == "" && o.Err == nil {
		o.Err = errors.New("the stream ended without [DONE]")
		if err := lines.Err(); err != nil {
			o.Err = err
		}
	}
}

// checkText checks that the text of the response is the expected answer or, if the response is
// incomplete, a prefix of it.
func (o *requestResult) checkText(prompt string, tokens int) error {
	want := engine.Answer(prompt, tokens, tokens)
	switch {
	case o.Complete && o.Text != want:
		return fmt.Errorf("request %s: wrong text: got %q, want %q", o.RequestID, truncate(o.Text), truncate(want))
	case !strings.HasPrefix(want, o.Text):
		return fmt.Errorf("request %s: text is not a prefix of the expected answer: %q", o.RequestID, truncate(o.Text))
	}
	return nil
}

func truncate(s string) string { return s[:min(len(s), 80)] }

// callService calls a service. An empty key sends no idempotency key.
func (c *cluster) callService(ctx context.Context, router, service, key, body string) requestResult {
	header := map[string]string{"Authorization": "Bearer " + teamKey, "Merlinpost-Class": "alert"}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	status, h, data, err := c.request(ctx, http.MethodPost, "http://"+c.callerAddress(router)+"/v1/services/"+service, header, []byte(body))
	o := requestResult{Status: status, Err: err, Text: string(data)}
	if err != nil {
		return o
	}
	o.RequestID, o.RetryAfter = h.Get("Merlinpost-Request-Id"), h.Get("Retry-After")
	if status == http.StatusOK {
		o.Complete = true
	} else {
		o.parseError(data)
	}
	return o
}

// callerGroup is a group of concurrent callers.
type callerGroup struct {
	cluster *cluster
	cancel  context.CancelFunc // cancels all requests of the group
	apiKey  string             // API key of the callers' team
	wg      sync.WaitGroup
	mu      sync.Mutex
	results []requestResult
	errs    []error
}

// start starts n callers, each with its own prompt. The callers use the given routers in turn.
func (g *callerGroup) start(ctx context.Context, label, class string, n, tokens int, routers []string) {
	for i := range n {
		g.wg.Go(func() {
			prompt := fmt.Sprintf("%s caller %d of class %s asks about its own order", label, i, class)
			key := g.apiKey
			if key == "" {
				key = teamKey
			}
			o := g.cluster.sendChatWithKey(ctx, key, routers[i%len(routers)], class, prompt, tokens)
			g.add(o, o.checkText(prompt, tokens))
		})
	}
}

func (g *callerGroup) add(o requestResult, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.results = append(g.results, o)
	if err != nil {
		g.errs = append(g.errs, err)
	}
}

// completeCount returns the number of complete responses.
func (g *callerGroup) completeCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, o := range g.results {
		if o.Complete {
			n++
		}
	}
	return n
}

// failureSummary counts the requests without a complete response by status and error.
func (g *callerGroup) failureSummary() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := map[string]int{}
	for _, o := range g.results {
		if !o.Complete {
			count[fmt.Sprintf("status %d code %s outcome %s err %v", o.Status, o.Code, o.Outcome, o.Err)]++
		}
	}
	return fmt.Sprint(count)
}
