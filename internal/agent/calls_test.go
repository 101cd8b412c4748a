package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
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

// startServer starts an HTTP backend server with the given handler and returns the
// settings for a client of it.
func startServer(t *testing.T, h http.HandlerFunc) settings.Server {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return settings.Server{Address: strings.TrimPrefix(s.URL, "http://"), Slots: 4, StallMS: 300}
}

// newServiceRun returns a run of a call to a plain service.
func newServiceRun() execution.Run {
	return execution.Run{Key: execution.AttemptKey{RequestID: "x", Attempt: 1}, Offer: &wire.Offer{Kind: wire.KindService, Endpoint: "/do", Body: []byte("b"),
		RunTimeoutMS: 5000, ContentType: "text/plain"}}
}

// Guards against sending a call twice: net/http automatically resends a request if the
// kept-alive connection was closed by the server. The test service closes the
// connection of every second call without a response.
func TestServiceCallIsSentOnce(t *testing.T) {
	g := NewWithT(t)
	var calls atomic.Int64
	cfg := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1)%2 == 0 {
			panic(http.ErrAbortHandler) // closes the connection without a response
		}
		_, _ = fmt.Fprint(w, "done") // a write error shows up as a wrong body below
	})
	c := newServiceClient(cfg)
	for i := range 6 {
		before := calls.Load()
		body, end, e := c.call(context.Background(), newServiceRun())
		g.Expect(calls.Load()).To(Equal(before+1), "each call must reach the service exactly once")
		if i%2 == 0 {
			g.Expect(e).To(BeNil())
			g.Expect(string(body)).To(Equal("done"))
			g.Expect(end.Status).To(Equal(http.StatusOK))
		} else {
			g.Expect(e.Outcome).To(Equal(fault.Unknown))
		}
	}
}

func TestUnsentCallReportsNotRun(t *testing.T) {
	g := NewWithT(t)
	closed := settings.Server{Address: "127.0.0.1:1", Slots: 1, StallMS: 300}
	_, _, e := newServiceClient(closed).call(context.Background(), newServiceRun())
	g.Expect(e.Outcome).To(Equal(fault.NotRun))
	_, e = newEngineClient(closed).generate(context.Background(), newEngineRun(`{}`), func([]byte) {})
	g.Expect(e.Outcome).To(Equal(fault.NotRun))
}

// newEngineRun returns a run that continues after two generated tokens.
func newEngineRun(body string) execution.Run {
	return execution.Run{Key: execution.AttemptKey{RequestID: "x", Attempt: 1}, GeneratedTokens: 2, GeneratedText: "a b ", Offer: &wire.Offer{Endpoint: "/v1/completions",
		Target: "m@v2", Tier: 3, Body: []byte(body)}}
}

// textEvent is the format of a server-sent event with one piece of generated text.
const textEvent = "data: {\"choices\":[{\"text\":%q}]}\n\n"

func TestEngineStreams(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		text    string
		code    fault.Code
		outcome fault.Outcome
	}{
		"complete": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, textEvent+": a comment\n\n"+textEvent+"data: [DONE]\n\n", "a", "b")
		}, "ab", "", ""},
		"no end marker": {func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprintf(w, textEvent, "a") },
			"a", fault.EngineFailed, fault.Unknown},
		"malformed event": {func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "data: {\n\n") },
			"", fault.EngineFailed, fault.Unknown},
		"error event": {func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, textEvent+"data: {\"error\":{\"message\":\"out of memory\"}}\n\n", "a")
		}, "a", fault.EngineFailed, fault.Unknown},
		"stall": {func(w http.ResponseWriter, r *http.Request) {
			_, _ = fmt.Fprintf(w, textEvent, "a")
			_ = http.NewResponseController(w).Flush() // sends the event before the stall
			<-r.Context().Done()
		}, "a", fault.EngineFailed, fault.Unknown},
		"not loaded":     {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusNotFound) }, "", fault.NoBackendServer, fault.NotRun},
		"busy":           {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusServiceUnavailable) }, "", fault.QueueFull, fault.NotRun},
		"bad request":    {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusBadRequest) }, "", fault.BadRequest, fault.NotRun},
		"internal error": {func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no", http.StatusInternalServerError) }, "", fault.EngineFailed, fault.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			text := ""
			_, e := newEngineClient(startServer(t, c.handler)).generate(context.Background(), newEngineRun(`{"prompt":"p"}`),
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

// Guards against taking a late copy of an engine's refusal for the response to the next request, which then runs twice.
func TestALateCopyOfARefusalIsNotTheNextResponse(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	const stream = "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n"
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in, late := bufio.NewReader(c), ""
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body) // an error shows up in the next read
					answer := fmt.Sprintf("%sHTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", late, len(stream), stream)
					if requests.Add(1) == 1 {
						answer, late = refusal, refusal
					}
					if _, err := io.WriteString(c, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	c := newEngineClient(settings.Server{Address: l.Addr().String(), Slots: 4, StallMS: 300})
	_, e := c.generate(t.Context(), newEngineRun(`{"prompt":"p"}`), func([]byte) {})
	g.Expect(e.Outcome).To(Equal(fault.NotRun))
	_, e = c.generate(t.Context(), newEngineRun(`{"prompt":"p"}`), func([]byte) {})
	g.Expect(e).To(BeNil(), "the request ran")
}

// Guards against completing a run whose engine broke off, wherever that happened and however the response was framed.
func TestEngineStreamsThatAreCutFail(t *testing.T) {
	const whole = "data: {\"choices\":[{\"text\":\"a\"}]}\r\n\r\ndata: {\"choices\":[{\"text\":\"b\"}]}\n\ndata: [DONE]"
	for _, closeDelimited := range []bool{false, true} {
		for cut := range len(whole) {
			c := newEngineClient(startServer(t, func(w http.ResponseWriter, _ *http.Request) {
				if closeDelimited {
					w.Header().Set("Transfer-Encoding", "identity") // neither chunks nor a length
				}
				_, _ = fmt.Fprint(w, whole[:cut]) // a write error shows up as a failed run, too
			}))
			text := ""
			_, e := c.generate(context.Background(), newEngineRun(`{"prompt":"p"}`), func(data []byte) { text += string(data) })
			NewWithT(t).Expect(e).NotTo(BeNil(), whole[:cut])
			NewWithT(t).Expect("ab").To(HavePrefix(text))
		}
	}
}

// Guards against returning a stream of events that a service broke off as its complete response.
func TestServiceResponseThatEndsInsideAnEventFails(t *testing.T) {
	g := NewWithT(t)
	body := "id: 1\ndata: x\n\n"
	c := newServiceClient(startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, body) // a write error shows up as a wrong result below
	}))
	_, _, e := c.call(context.Background(), newServiceRun())
	g.Expect(e).To(BeNil())
	body = body[:len(body)-1]
	_, _, e = c.call(context.Background(), newServiceRun())
	g.Expect(e).NotTo(BeNil())
	g.Expect(e.Outcome).To(Equal(fault.Unknown))
}

// Fields of the caller's body are passed on, except those that the agent overrides.
func TestCompletionRequestBody(t *testing.T) {
	g := NewWithT(t)
	body, err := completionRequestBody(newEngineRun(`{"model":"m","temperature":0.5,"stream":false}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(MatchJSON(`{"model":"m@v2","temperature":0.5,"stream":true,"stream_options":{"include_usage":true},"priority":3,
		"request_id":"x","resume":{"tokens":2,"text":"a b "}}`))
	_, err = completionRequestBody(newEngineRun(`[]`))
	g.Expect(fault.Is(err, fault.BadRequest)).To(BeTrue())
}
