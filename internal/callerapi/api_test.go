package callerapi

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/router"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// fakeBackend records the request and returns a fixed response.
type fakeBackend struct {
	request *router.Request
	chunks  []string
	end     *wire.End
	err     *fault.Error
}

func (b *fakeBackend) Do(_ context.Context, req *router.Request, deliver func([]byte) error) (*wire.End, *fault.Error) {
	b.request = req
	for _, c := range b.chunks {
		if deliver([]byte(c)) != nil {
			return nil, fault.New(fault.Cancelled, "caller disconnected").WithOutcome(fault.Partial)
		}
	}
	return b.end, b.err
}

func (b *fakeBackend) Admit(context.Context, string, *resource.Team) (func(), *fault.Error) {
	return func() {}, nil
}

func (b *fakeBackend) Serves(string, string) bool { return false }

func (b *fakeBackend) Ready() bool { return true }

func testView(t *testing.T) *resource.View {
	f := resource.NewState()
	put := func(kind resource.Kind, name, spec string) resource.Change {
		return resource.Change{Verb: resource.Put, Kind: kind, Name: name, Spec: json.RawMessage(spec)}
	}
	rec := resource.Record{Operation: "op", Changes: []resource.Change{
		put(resource.KindClass, "top", `{"tier":0,"max_wait_ms":1000,"max_run_ms":2000,"max_tokens":50}`),
		put(resource.KindClass, "other", `{"tier":1,"max_wait_ms":1000,"max_run_ms":2000,"max_tokens":50}`),
		put(resource.KindPool, "p", `{"servers":[{"name":"s","agent":"127.0.0.1:1","failure_domain":"a"}]}`),
		put(resource.KindModel, "m", `{"pool":"p"}`),
		put(resource.KindService, "receipts", `{"pool":"p","path":"/x","key_window_ms":1000}`),
		put(resource.KindTeam, "t", `{"keys_sha256":["`+resource.HashAPIKey("key")+`"],"default_class":"top"}`),
	}}
	data, err := json.Marshal(rec)
	if err != nil {
		t.Fatal(err)
	}
	if res, _ := f.Apply(1, data); res.Err() != nil {
		t.Fatal(res.Err())
	}
	return f.View()
}

// serve sends one request to the API, which must complete its response.
func serve(t *testing.T, b *fakeBackend, path, body string, header map[string]string) *httptest.ResponseRecorder {
	t.Helper()
	w, aborted := serveAny(t, b, path, body, header)
	if aborted {
		t.Error("the response was aborted")
	}
	return w
}

// serveAny sends one request to the API and reports whether the response was aborted.
func serveAny(t *testing.T, b *fakeBackend, path, body string, header map[string]string) (w *httptest.ResponseRecorder, aborted bool) {
	set := settings.DefaultRouter().Callers
	set.MaxBodyBytes = 2048
	v := testView(t)
	api := New(b, func() *resource.View { return v }, set, slog.New(slog.NewTextHandler(io.Discard, nil)))
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer key")
	for k, val := range header {
		req.Header.Set(k, val)
	}
	w = httptest.NewRecorder()
	defer func() {
		if value := recover(); value == http.ErrAbortHandler {
			aborted = true
		} else if value != nil {
			panic(value)
		}
	}()
	api.Handler().ServeHTTP(w, req)
	return w, false
}

const validChatBody = `{"model":"m","messages":[{"role":"user","content":"x"}]}`

func TestInvalidInputNamesField(t *testing.T) {
	const chat = "/v1/chat/completions"
	for name, c := range map[string]struct {
		path, body string
		header     map[string]string
		status     int
		code       fault.Code
		field      string
	}{
		"no key":            {chat, validChatBody, map[string]string{"Authorization": ""}, 401, fault.Unauthorized, "Authorization"},
		"unknown key":       {chat, validChatBody, map[string]string{"Authorization": "Bearer no"}, 401, fault.Unauthorized, "Authorization"},
		"unknown class":     {chat, validChatBody, map[string]string{HeaderClass: "no"}, 400, fault.UnknownClass, HeaderClass},
		"class not allowed": {chat, validChatBody, map[string]string{HeaderClass: "other"}, 403, fault.Forbidden, HeaderClass},
		"not JSON":          {chat, "{", nil, 400, fault.BadRequest, "body"},
		"wrong type":        {chat, `{"model":7}`, nil, 400, fault.BadRequest, "model"},
		"oversize":          {chat, `{"model":"` + strings.Repeat("x", 4096) + `"}`, nil, 413, fault.TooLarge, "body"},
		"no model":          {chat, `{"messages":[]}`, nil, 400, fault.BadRequest, "model"},
		"unknown model":     {chat, `{"model":"no","messages":[]}`, nil, 404, fault.UnknownModel, "model"},
		"no messages":       {chat, `{"model":"m"}`, nil, 400, fault.BadRequest, "messages"},
		"two choices":       {chat, `{"model":"m","messages":[],"n":2}`, nil, 400, fault.UnsupportedField, "n"},
		"tools":             {chat, `{"model":"m","messages":[],"tools":[{}]}`, nil, 400, fault.UnsupportedField, "tools"},
		"too many tokens":   {chat, `{"model":"m","messages":[],"max_tokens":51}`, nil, 400, fault.BadRequest, "max_tokens"},
		"prompt list":       {"/v1/completions", `{"model":"m","prompt":["a","b"]}`, nil, 400, fault.BadRequest, "prompt"},
		"unknown service":   {"/v1/services/no", "x", nil, 404, fault.UnknownService, "service"},
		"no idempotency":    {"/v1/services/receipts", "x", nil, 400, fault.IdempotencyKeyRequired, HeaderIdempotencyKey},
		"long idempotency":  {"/v1/services/receipts", "x", map[string]string{HeaderIdempotencyKey: strings.Repeat("k", 300)}, 400, fault.BadRequest, HeaderIdempotencyKey},
		"no such path":      {"/v1/nothing", "x", nil, 404, fault.NotFound, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b := &fakeBackend{}
			w := serve(t, b, c.path, c.body, c.header)
			var got errorBody
			g.Expect(json.Unmarshal(w.Body.Bytes(), &got)).To(Succeed(), w.Body.String())
			g.Expect(w.Code).To(Equal(c.status), w.Body.String())
			g.Expect(got.Error.Code).To(Equal(string(c.code)))
			g.Expect(got.Error.Param).To(Equal(c.field))
			g.Expect(got.Error.Outcome).To(Equal(string(fault.NotRun)))
			g.Expect(b.request).To(BeNil(), "the request must not reach the backend")
		})
	}
}

func TestRejectionSetsRetryAfter(t *testing.T) {
	g := NewWithT(t)
	w := serve(t, &fakeBackend{err: fault.New(fault.QueueFull, "full").WithOutcome(fault.NotRun).WithRetryAfter(1500 * time.Millisecond)}, "/v1/chat/completions", validChatBody, nil)
	g.Expect(w.Code).To(Equal(http.StatusTooManyRequests))
	g.Expect(w.Header().Get("Retry-After")).To(Equal("2"))
	g.Expect(w.Header().Get(HeaderRequestID)).NotTo(BeEmpty())
	w = serve(t, &fakeBackend{err: fault.New(fault.Draining, "leaving").WithOutcome(fault.NotRun)}, "/v1/chat/completions", validChatBody, nil)
	g.Expect(w.Header().Get("Retry-After")).To(Equal("1"), "the default if the error has no retry time")
	w = serve(t, &fakeBackend{err: fault.New(fault.EngineFailed, "gone").WithOutcome(fault.Unknown)}, "/v1/chat/completions", validChatBody, nil)
	g.Expect(w.Header().Get("Retry-After")).To(BeEmpty(), "no Retry-After if the request may have run")
}

// Guards against a response that ends regularly after its stream has failed.
func TestFailedStreamEndsWithAnErrorEventAndIsAborted(t *testing.T) {
	g := NewWithT(t)
	b := &fakeBackend{chunks: []string{"a", "b"}, err: fault.New(fault.EngineFailed, "gone").WithOutcome(fault.Partial)}
	w, aborted := serveAny(t, b, "/v1/chat/completions", `{"model":"m","stream":true,"messages":[]}`, nil)
	g.Expect(w.Body.String()).To(ContainSubstring(`"outcome":"partial"`))
	g.Expect(w.Body.String()).NotTo(ContainSubstring("[DONE]"))
	g.Expect(aborted).To(BeTrue())
}

func TestRequestHasClassAndTokenLimit(t *testing.T) {
	g := NewWithT(t)
	b := &fakeBackend{chunks: []string{"hi"}, end: &wire.End{FinishReason: "stop", PromptTokens: 3, OutputTokens: 1}}
	w := serve(t, b, "/v1/chat/completions", validChatBody, nil)
	g.Expect(w.Code).To(Equal(http.StatusOK))
	g.Expect(w.Body.String()).To(ContainSubstring(`"content":"hi"`))
	g.Expect(b.request.Target).To(Equal("m@base"))
	g.Expect(b.request.ClassName).To(Equal("top"))
	g.Expect(string(b.request.Body)).To(ContainSubstring(`"max_tokens":50`))
	b = &fakeBackend{chunks: []string{"ok"}, end: &wire.End{Status: 201, ContentType: "text/plain"}}
	w = serve(t, b, "/v1/services/receipts", "x", map[string]string{HeaderIdempotencyKey: "k"})
	g.Expect(w.Code).To(Equal(201))
	g.Expect(b.request.IdempotencyKey).To(Equal("receipts\x00t\x00k"))
	g.Expect(b.request.MayRepeat).To(BeFalse())
}
