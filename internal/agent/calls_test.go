package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/execution"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// serve starts a backend server and returns the settings to call it.
func serve(t *testing.T, h http.HandlerFunc) settings.Server {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return settings.Server{Address: strings.TrimPrefix(s.URL, "http://"), Slots: 4, StallMS: 300}
}

func serviceRun() execution.Run {
	return execution.Run{Key: execution.AttemptKey{RequestID: "x", Attempt: 1}, Offer: &wire.Offer{Kind: wire.KindService, Endpoint: "/do", Body: []byte("b"),
		RunTimeoutMS: 5000, ContentType: "text/plain"}}
}

// net/http repeats a request by itself when a kept connection turns out to be
// closed; a call that may not be repeated must reach the service once.
func TestAServiceCallIsNeverRepeatedByTheClient(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	set := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler) // the connection ends without an answer
		}
		_, _ = fmt.Fprint(w, "done") // the test's own client reads it
	})
	c := newServiceClient(set)
	for i := range 6 {
		before := calls.Load()
		body, end, e := c.call(context.Background(), serviceRun())
		g.Expect(calls.Load()).To(Equal(before+1), "each call reaches the service once")
		if i%2 == 0 {
			g.Expect(e).To(BeNil())
			g.Expect(string(body)).To(Equal("done"))
			g.Expect(end.Status).To(Equal(http.StatusOK))
		} else {
			g.Expect(e.Outcome).To(Equal(fault.Unknown))
		}
	}
}

func TestACallThatIsNotSentIsNotRun(t *testing.T) {
	g := NewWithT(t)
	closed := settings.Server{Address: "127.0.0.1:1", Slots: 1, StallMS: 300}
	_, _, e := newServiceClient(closed).call(context.Background(), serviceRun())
	g.Expect(e.Outcome).To(Equal(fault.NotRun))
	_, e = newEngineClient(closed).generate(context.Background(), engineRun(`{}`), func([]byte) {})
	g.Expect(e.Outcome).To(Equal(fault.NotRun))
}

func engineRun(body string) execution.Run {
	return execution.Run{Key: execution.AttemptKey{RequestID: "x", Attempt: 1}, GeneratedTokens: 2, GeneratedText: "a b ", Offer: &wire.Offer{Endpoint: "/v1/completions",
		Target: "m@v2", Tier: 3, Body: []byte(body)}}
}

const textEvent = "data: {\"choices\":[{\"text\":%q}]}\n\n"

func TestEngineStreams(t *testing.T) {
	for name, c := range map[string]struct {
		answer  func(w http.ResponseWriter, r *http.Request)
		text    string
		code    fault.Code
		outcome fault.Outcome
	}{
		"whole": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, textEvent+": a comment\n\n"+textEvent+"data: [DONE]\n\n", "a", "b")
		}, "ab", "", ""},
		"no end mark": {func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintf(w, textEvent, "a") },
			"a", fault.EngineFailed, fault.Unknown},
		"broken event": {func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "data: {\n\n") },
			"", fault.EngineFailed, fault.Unknown},
		"error event": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, textEvent+"data: {\"error\":{\"message\":\"out of memory\"}}\n\n", "a")
		}, "a", fault.EngineFailed, fault.Unknown},
		"stall": {func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprintf(w, textEvent, "a")
			_ = http.NewResponseController(w).Flush() // the stream is open
			<-r.Context().Done()
		}, "a", fault.EngineFailed, fault.Unknown},
		"not loaded": {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusNotFound) }, "", fault.NoBackendServer, fault.NotRun},
		"busy":       {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusServiceUnavailable) }, "", fault.QueueFull, fault.NotRun},
		"bad":        {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusBadRequest) }, "", fault.BadRequest, fault.NotRun},
		"failed":     {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusInternalServerError) }, "", fault.EngineFailed, fault.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			text := ""
			_, e := newEngineClient(serve(t, c.answer)).generate(context.Background(), engineRun(`{"prompt":"p"}`),
				func(data []byte) { text += string(data) })
			g.Expect(text).To(Equal(c.text))
			if c.code == "" {
				g.Expect(e).To(BeNil())
				return
			}
			g.Expect(e.Code).To(Equal(c.code))
			g.Expect(e.Outcome).To(Equal(c.outcome))
		})
	}
}

// The caller's body passes through; the agent sets its own fields.
func TestRequestBody(t *testing.T) {
	g := NewWithT(t)
	body, err := requestBody(engineRun(`{"model":"m","temperature":0.5,"stream":false}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(MatchJSON(`{"model":"m@v2","temperature":0.5,"stream":true,"stream_options":{"include_usage":true},"priority":3,
		"request_id":"x","resume":{"tokens":2,"text":"a b "}}`))
	_, err = requestBody(engineRun(`[]`))
	g.Expect(fault.Is(err, fault.BadRequest)).To(BeTrue())
}
