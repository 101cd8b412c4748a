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

// outcome is the result of a request as its caller sees it.
type outcome struct {
	RequestID  string
	Served     string // model version that served the request
	Status     int
	Text       string
	Complete   bool // the response ended regularly
	Code       fault.Code
	Outcome    fault.Outcome
	RetryAfter string
	Err        error // the connection failed
	First      time.Duration
}

// apiError is the error body of the callers' API.
type apiError struct {
	Error struct {
		Code    fault.Code    `json:"code"`
		Outcome fault.Outcome `json:"outcome"`
		Message string        `json:"message"`
	} `json:"error"`
}

// chat sends a streaming chat request and reads the response to its end.
func (c *cluster) chat(ctx context.Context, router, class, prompt string, tokens int) outcome {
	return c.chatWithKey(ctx, teamKey, router, class, prompt, tokens)
}

// chatWithKey is chat with the key of another team.
func (c *cluster) chatWithKey(ctx context.Context, key, router, class, prompt string, tokens int) outcome {
	body := fmt.Sprintf(`{"model":"advisory","stream":true,"min_tokens":%d,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, tokens, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.callerAddress(router)+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return outcome{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Merlinpost-Class", class)
	begin := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return outcome{Err: err}
	}
	defer resp.Body.Close()
	o := outcome{RequestID: resp.Header.Get("Merlinpost-Request-Id"), Served: resp.Header.Get("Merlinpost-Served"), Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After")}
	if resp.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(resp.Body) // the status is sufficient
		o.parseError(data)
		return o
	}
	o.readStream(resp.Body, begin)
	return o
}

func (o *outcome) parseError(data []byte) {
	var e apiError
	if json.Unmarshal(data, &e) == nil {
		o.Code, o.Outcome = e.Error.Code, e.Error.Outcome
	}
}

func (o *outcome) readStream(r io.Reader, begin time.Time) {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			o.Complete = true
			break
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
			if ch.Delta.Content != "" && o.First == 0 {
				o.First = time.Since(begin)
			}
			text.WriteString(ch.Delta.Content)
		}
	}
	o.Text = text.String()
	if !o.Complete && o.Code == "" && o.Err == nil {
		o.Err = errors.New("the stream ended without [DONE]")
		if err := lines.Err(); err != nil {
			o.Err = err
		}
	}
}

// check checks that the text of the response is the expected answer or a prefix of it.
func (o *outcome) check(prompt string, tokens int) error {
	want := engine.Answer(prompt, tokens, tokens)
	switch {
	case o.Complete && o.Text != want:
		return fmt.Errorf("request %s: wrong answer: got %q, want %q", o.RequestID, clip(o.Text), clip(want))
	case !strings.HasPrefix(want, o.Text):
		return fmt.Errorf("request %s: not a prefix of the expected answer: %q", o.RequestID, clip(o.Text))
	}
	return nil
}

func clip(s string) string { return s[:min(len(s), 80)] }

// call calls a service.
func (c *cluster) call(ctx context.Context, router, service, key, body string) outcome {
	header := map[string]string{"Authorization": "Bearer " + teamKey, "Merlinpost-Class": "alert"}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	status, h, data, err := c.request(ctx, http.MethodPost, "http://"+c.callerAddress(router)+"/v1/services/"+service, header, []byte(body))
	o := outcome{Status: status, Err: err, Text: string(data)}
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
	c        *cluster
	cancel   context.CancelFunc // cancels all requests of the group
	key      string             // API key of the callers' team
	wg       sync.WaitGroup
	mu       sync.Mutex
	outcomes []outcome
	errs     []error
}

// start starts n callers, each with its own prompt, at the given routers in turn.
func (g *callerGroup) start(ctx context.Context, label, class string, n, tokens int, routers []string) {
	for i := range n {
		g.wg.Go(func() {
			prompt := fmt.Sprintf("%s caller %d of class %s asks about its own canal", label, i, class)
			key := g.key
			if key == "" {
				key = teamKey
			}
			o := g.c.chatWithKey(ctx, key, routers[i%len(routers)], class, prompt, tokens)
			g.add(o, o.check(prompt, tokens))
		})
	}
}

func (g *callerGroup) add(o outcome, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.outcomes = append(g.outcomes, o)
	if err != nil {
		g.errs = append(g.errs, err)
	}
}

// completeCount returns the number of complete responses.
func (g *callerGroup) completeCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, o := range g.outcomes {
		if o.Complete {
			n++
		}
	}
	return n
}

// failures summarizes the requests without a complete response.
func (g *callerGroup) failures() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := map[string]int{}
	for _, o := range g.outcomes {
		if !o.Complete {
			count[fmt.Sprintf("status %d code %s outcome %s err %v", o.Status, o.Code, o.Outcome, o.Err)]++
		}
	}
	return fmt.Sprint(count)
}
