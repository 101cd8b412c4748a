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

// outcome is what one caller got.
type outcome struct {
	RequestID  string
	Served     string // the version that answered
	Status     int
	Text       string
	Complete   bool // the answer ended as it should
	Code       fault.Code
	Outcome    fault.Outcome
	RetryAfter string
	Err        error // the connection failed
	First      time.Duration
}

// apiError is the error shape of the callers' API.
type apiError struct {
	Error struct {
		Code    fault.Code    `json:"code"`
		Outcome fault.Outcome `json:"outcome"`
		Message string        `json:"message"`
	} `json:"error"`
}

// ask sends one streaming chat request and reads its answer to the end.
func (c *cluster) ask(ctx context.Context, router, class, prompt string, tokens int) outcome {
	return c.askAs(ctx, teamKey, router, class, prompt, tokens)
}

// askAs is ask with another team's key.
func (c *cluster) askAs(ctx context.Context, key, router, class, prompt string, tokens int) outcome {
	body := fmt.Sprintf(`{"model":"advisory","stream":true,"min_tokens":%d,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, tokens, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.callers(router)+"/v1/chat/completions", strings.NewReader(body))
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
		data, _ := io.ReadAll(resp.Body) // the status is what counts
		o.takeError(data)
		return o
	}
	o.readStream(resp.Body, begin)
	return o
}

func (o *outcome) takeError(data []byte) {
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
		o.Err = errors.New("the stream ended without its end")
		if err := lines.Err(); err != nil {
			o.Err = err
		}
	}
}

// check compares an answer with what the prompt must give.
func (o *outcome) check(prompt string, tokens int) error {
	want := engine.Answer(prompt, tokens, tokens)
	switch {
	case o.Complete && o.Text != want:
		return fmt.Errorf("request %s: a wrong answer: %q instead of %q", o.RequestID, clip(o.Text), clip(want))
	case !strings.HasPrefix(want, o.Text):
		return fmt.Errorf("request %s: a part of another answer: %q", o.RequestID, clip(o.Text))
	}
	return nil
}

func clip(s string) string { return s[:min(len(s), 80)] }

// call makes one plain service call.
func (c *cluster) call(ctx context.Context, router, service, key, body string) outcome {
	header := map[string]string{"Authorization": "Bearer " + teamKey, "Merlinpost-Class": "alert"}
	if key != "" {
		header["Idempotency-Key"] = key
	}
	status, h, data, err := c.request(ctx, http.MethodPost, "http://"+c.callers(router)+"/v1/services/"+service, header, []byte(body))
	o := outcome{Status: status, Err: err, Text: string(data)}
	if err != nil {
		return o
	}
	o.RequestID, o.RetryAfter = h.Get("Merlinpost-Request-Id"), h.Get("Retry-After")
	if status == http.StatusOK {
		o.Complete = true
	} else {
		o.takeError(data)
	}
	return o
}

// crowd is a number of callers at work.
type crowd struct {
	c        *cluster
	cancel   context.CancelFunc // makes the callers go away
	key      string             // of the callers' team
	wg       sync.WaitGroup
	mu       sync.Mutex
	outcomes []outcome
	errs     []error
}

// ask starts n callers with prompts of their own, over all routers in turn.
func (w *crowd) ask(ctx context.Context, label, class string, n, tokens int, routers []string) {
	for i := range n {
		w.wg.Go(func() {
			prompt := fmt.Sprintf("%s caller %d of class %s asks about its own canal", label, i, class)
			key := w.key
			if key == "" {
				key = teamKey
			}
			o := w.c.askAs(ctx, key, routers[i%len(routers)], class, prompt, tokens)
			w.add(o, o.check(prompt, tokens))
		})
	}
}

func (w *crowd) add(o outcome, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes = append(w.outcomes, o)
	if err != nil {
		w.errs = append(w.errs, err)
	}
}

// whole counts the whole answers.
func (w *crowd) whole() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, o := range w.outcomes {
		if o.Complete {
			n++
		}
	}
	return n
}

// failures describes what did not get a whole answer.
func (w *crowd) failures() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := map[string]int{}
	for _, o := range w.outcomes {
		if !o.Complete {
			count[fmt.Sprintf("status %d code %s outcome %s err %v", o.Status, o.Code, o.Outcome, o.Err)]++
		}
	}
	return fmt.Sprint(count)
}
