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

// result is the outcome of one request.
type result struct {
	req               *request
	firstTokenLatency time.Duration // from the intended send time to the first token
	totalLatency      time.Duration // from the intended send time to the end of the response
	tokenGaps         []time.Duration
	tokens            int    // tokens received
	code              string // error code, empty if there was no error
	outcome           string // outcome stated in the error response
	hasRetryAfter     bool   // the refusal had a Retry-After header
	wrongContent      bool   // a token differs from the one expected for the prompt
	wrongLength       bool   // the response ended normally but with too few or too many tokens
}

// answered reports whether the response was complete and correct.
func (r *result) answered() bool { return r.code == "" && !r.wrongContent && !r.wrongLength }

// maxSlowGapShare is the share of a response's gaps between tokens that may exceed the target.
const maxSlowGapShare = 0.05

// metTargets reports whether the response was complete and correct and met the latency targets
// of its request stream.
func (r *result) metTargets() bool {
	s := r.req.stream
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	if !r.answered() || (s.FirstTokenMS > 0 && r.firstTokenLatency > ms(s.FirstTokenMS)) || (s.TotalMS > 0 && r.totalLatency > ms(s.TotalMS)) {
		return false
	}
	slow := 0
	for _, g := range r.tokenGaps {
		if s.BetweenTokensMS > 0 && g > ms(s.BetweenTokensMS) {
			slow++
		}
	}
	return float64(slow) <= maxSlowGapShare*float64(len(r.tokenGaps))
}

// client distributes requests over the routers in round-robin order.
type client struct {
	http    *http.Client
	routers []string
}

// maxIdleConns is the number of idle connections kept per router.
const maxIdleConns = 4096

func newClient(routers []string) *client {
	return &client{routers: routers, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}}
}

// send sends a request and reads the response. Latencies are measured from the intended send
// time, not from the actual one.
func (c *client) send(ctx context.Context, r *request, intended time.Time) *result {
	out := &result{req: r}
	path, body := "/v1/chat/completions", chatBody(r)
	if r.stream.Service != "" {
		path, body = "/v1/services/"+r.stream.Service, []byte(r.prompt)
	}
	router := c.routers[r.number%len(c.routers)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+path, bytes.NewReader(body))
	if err != nil {
		return out.setError("bad_request", err)
	}
	req.Header.Set("Authorization", "Bearer "+r.team.Key)
	req.Header.Set("Merlinpost-Class", r.stream.Class)
	req.Header.Set("Content-Type", "application/json")
	if r.stream.Service != "" {
		req.Header.Set("Idempotency-Key", fmt.Sprintf("%s-%d", r.prompt, r.number))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return out.setError("connection", err)
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode != http.StatusOK:
		out.hasRetryAfter = resp.Header.Get("Retry-After") != ""
		data, _ := io.ReadAll(resp.Body) // if the body can't be read, the status code is recorded
		out.recordError(data, resp.StatusCode)
	case r.stream.Service != "":
		out.readServiceReply(resp.Body, intended)
	default:
		out.readStream(resp.Body, intended)
	}
	out.totalLatency = time.Since(intended)
	return out
}

// setError records an error that the client detected itself.
func (r *result) setError(code string, _ error) *result {
	r.code = code
	return r
}

// chatBody returns the body of a chat completion request for a response of exactly
// r.outputTokens tokens.
func chatBody(r *request) []byte {
	data, err := json.Marshal(map[string]any{"model": r.stream.Model, "stream": true, "min_tokens": r.outputTokens, "max_tokens": r.outputTokens,
		"messages": []map[string]string{{"role": "user", "content": r.prompt}}})
	if err != nil {
		return nil
	}
	return data
}

// recordError records the error code and outcome of an error response, or its status if the body
// has no error code.
func (r *result) recordError(data []byte, status int) {
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

// readServiceReply reads the reply of a plain service, which must echo the request and report
// exactly one execution of it.
func (r *result) readServiceReply(body io.Reader, intended time.Time) {
	var reply struct {
		Run  int    `json:"run"`
		Echo string `json:"echo"`
	}
	if err := json.NewDecoder(body).Decode(&reply); err != nil {
		r.setError("connection", err)
		return
	}
	r.firstTokenLatency = time.Since(intended)
	r.wrongContent = reply.Echo != r.req.prompt || reply.Run != 1
}

var (
	dataPrefix   = []byte("data: ")
	contentField = []byte(`"content":"`)
)

// readStream reads a streamed response, records its token latencies and compares each token with
// the expected one.
func (r *result) readStream(body io.Reader, intended time.Time) {
	lastToken := time.Time{}
	ended := false // the end marker of the stream was received
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			ended = true
			continue // the response must end too
		}
		if bytes.HasPrefix(data, []byte(`{"error"`)) {
			r.recordError(data, http.StatusOK)
			return
		}
		token := tokenText(data)
		if token == "" {
			continue
		}
		now := time.Now()
		if r.tokens == 0 {
			r.firstTokenLatency = now.Sub(intended)
		} else {
			r.tokenGaps = append(r.tokenGaps, now.Sub(lastToken))
		}
		lastToken = now
		if token != engine.Token(r.req.prompt, r.tokens) {
			r.wrongContent = true
		}
		r.tokens++
	}
	switch {
	case !ended || lines.Err() != nil:
		r.setError("connection", lines.Err())
	case r.tokens != r.req.outputTokens:
		r.wrongLength = true
	}
}

// tokenText extracts the token from a stream event. To save CPU time it searches for the field
// instead of decoding the JSON, which is safe because the tokens of the stand-in engine contain
// no escape sequences.
func tokenText(data []byte) string {
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
