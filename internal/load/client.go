package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/engine"
)

// result is what became of one request.
type result struct {
	req     *request
	first   time.Duration // from the intended time to the first token
	whole   time.Duration // from the intended time to the end
	gaps    []time.Duration
	tokens  int // delivered
	code    string
	outcome string
	retry   bool // a time to come back was told
	wrong   bool // a text that is not the prompt's
	short   bool // ended as whole, but is not
}

// answered reports whether the answer came whole.
func (r *result) answered() bool { return r.code == "" && !r.wrong && !r.short }

// slowGapShare is the share of gaps between tokens that may be above target.
const slowGapShare = 0.05

// attained reports whether the answer came whole and met its class's targets.
func (r *result) attained() bool {
	s := r.req.stream
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	if !r.answered() || (s.FirstTokenMS > 0 && r.first > ms(s.FirstTokenMS)) || (s.TotalMS > 0 && r.whole > ms(s.TotalMS)) {
		return false
	}
	slow := 0
	for _, g := range r.gaps {
		if s.BetweenTokensMS > 0 && g > ms(s.BetweenTokensMS) {
			slow++
		}
	}
	return float64(slow) <= slowGapShare*float64(len(r.gaps))
}

// client sends requests.
type client struct {
	http    *http.Client
	routers []string
}

func newClient(routers []string) *client {
	return &client{routers: routers, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}}
}

// do sends a request that was intended for the given time.
func (c *client) do(ctx context.Context, r *request, intended time.Time) *result {
	out := &result{req: r}
	path, body := "/v1/chat/completions", chatBody(r)
	if r.stream.Service != "" {
		path, body = "/v1/services/"+r.stream.Service, []byte(r.prompt)
	}
	router := c.routers[r.number%len(c.routers)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, bytes.NewReader(body))
	if err != nil {
		return out.failed("bad_request", err)
	}
	req.Header.Set("Authorization", "Bearer "+r.team.Key)
	req.Header.Set("Merlinpost-Class", r.stream.Class)
	req.Header.Set("Content-Type", "application/json")
	if r.stream.Service != "" {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", r.prompt, r.number))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return out.failed("connection", err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode != http.StatusOK:
		out.retry = resp.Header.Get("Retry-After") != ""
		data, _ := io.ReadAll(resp.Body) // the status is what counts
		out.takeError(data, resp.StatusCode)
	case r.stream.Service != "":
		out.takeReply(resp.Body, intended)
	default:
		out.readStream(resp.Body, intended)
	}
	out.whole = time.Since(intended)
	return out
}

func (r *result) failed(code string, _ error) *result {
	r.code = code
	return r
}

func chatBody(r *request) []byte {
	data, err := json.Marshal(map[string]any{"model": r.stream.Model, "stream": true, "min_tokens": r.tokens, "max_tokens": r.tokens,
		"messages": []map[string]string{{"role": "user", "content": r.prompt}}})
	if err != nil {
		return nil
	}
	return data
}

func (r *result) takeError(data []byte, status int) {
	var e struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &e) != nil || e.Error.Code == "" {
		e.Error.Code = fmt.Sprint("status_", status)
	}
	r.code, r.outcome = e.Error.Code, e.Error.Outcome
}

// takeReply reads a plain service's reply, which echoes the request.
func (r *result) takeReply(body io.Reader, intended time.Time) {
	var reply struct {
		Run  int    `json:"run"`
		Echo string `json:"echo"`
	}
	if err := json.NewDecoder(body).Decode(&reply); err != nil {
		r.failed("connection", err)
		return
	}
	r.first = time.Since(intended)
	r.wrong = reply.Echo != r.req.prompt || reply.Run != 1
}

var (
	dataPrefix   = []byte("data: ")
	contentField = []byte(`"content":"`)
)

// readStream reads the answer and compares each token as it comes.
func (r *result) readStream(body io.Reader, intended time.Time) {
	last := time.Time{}
	ended := false
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			ended = true
			break
		}
		if bytes.HasPrefix(data, []byte(`{"error"`)) {
			r.takeError(data, http.StatusOK)
			return
		}
		token := content(data)
		if token == "" {
			continue
		}
		now := time.Now()
		if r.tokens == 0 {
			r.first = now.Sub(intended)
		} else {
			r.gaps = append(r.gaps, now.Sub(last))
		}
		last = now
		if token != engine.Token(r.req.prompt, r.tokens) {
			r.wrong = true
		}
		r.tokens++
	}
	switch {
	case !ended:
		r.failed("connection", lines.Err())
	case r.tokens != r.req.tokens:
		r.short = true
	}
}

// content takes the text out of an event. The stand-in's tokens need no
// unescaping, which keeps the tool's own cost low.
func content(data []byte) string {
	i := bytes.Index(data, contentField)
	if i < 0 {
		return ""
	}
	rest := data[i+len(contentField):]
	j := bytes.IndexByte(rest, '"')
	if j < 0 {
		return ""
	}
	return strings.Clone(string(rest[:j]))
}
