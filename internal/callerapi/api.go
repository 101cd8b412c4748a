// Package callerapi is the callers' side of a router: chat completions,
// completions, the list of models and plain service calls over HTTP, in the
// published format that callers' usual client libraries speak.
package callerapi

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/merlinpost/merlinpost/internal/configlog"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/router"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// The headers of the API beyond the published format.
const (
	HeaderClass          = "Merlinpost-Class"
	HeaderRequestID      = "Merlinpost-Request-Id"
	HeaderServed         = "Merlinpost-Served"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const maxKeyLength = 256

// Backend runs requests; a *router.Router.
type Backend interface {
	Do(ctx context.Context, req *router.Request, deliver func([]byte) error) (*wire.End, *fault.Error)
	Admit(ctx context.Context, team string, t *resource.Team) (func(), *fault.Error)
	Serves(pool, target string) bool
	Ready() bool
}

// API serves callers.
type API struct {
	backend Backend
	view    func() *resource.View
	set     settings.Callers
	logger  *slog.Logger
}

// New returns the API over a backend and the configuration in force.
func New(backend Backend, view func() *resource.View, set settings.Callers, logger *slog.Logger) *API {
	return &API{backend: backend, view: view, set: set, logger: logger}
}

// Handler returns the API's routes.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", a.serve(a.chat))
	mux.HandleFunc("POST /v1/completions", a.serve(a.completion))
	mux.HandleFunc("POST /v1/services/{service}", a.serve(a.service))
	mux.HandleFunc("GET /v1/models", a.serve(a.models))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.HandleFunc("/", a.serve(func(*exchange) *fault.Error {
		return fault.New(fault.NotFound, "no such path").WithOutcome(fault.NotRun)
	}))
	return mux
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.backend.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// exchange is one HTTP request with what was found out about it.
type exchange struct {
	api   *API
	w     http.ResponseWriter
	r     *http.Request
	id    string
	start time.Time
	view  *resource.View

	teamName  string
	team      *resource.Team
	className string
	class     *resource.Class
	began     bool // the answer has begun: errors go into the stream
	observe   *telemetry.Observation
}

// serve identifies the caller, runs the handler and answers its fault.
func (a *API) serve(h func(*exchange) *fault.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{api: a, w: w, r: r, id: configlog.NewID(), start: time.Now(), view: a.view()}
		w.Header().Set(HeaderRequestID, x.id)
		e := x.identify()
		if e == nil {
			e = h(x)
		}
		if e != nil {
			x.fail(e)
		}
		x.count(e)
	}
}

// identify finds the team by its key and the class by header or default.
func (x *exchange) identify() *fault.Error {
	if x.view.Revision == 0 && !x.api.backend.Ready() {
		return fault.New(fault.NotReady, "this router has no configuration yet").WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return fault.New(fault.Unauthorized, "a team key is needed").WithField("Authorization").WithOutcome(fault.NotRun)
	}
	if x.teamName, ok = x.view.TeamByKey(key); !ok {
		return fault.New(fault.Unauthorized, "the key is not known").WithField("Authorization").WithOutcome(fault.NotRun)
	}
	x.team = x.view.Teams[x.teamName]
	x.className = x.r.Header.Get(HeaderClass)
	if x.className == "" {
		x.className = x.team.DefaultClass
	}
	x.class = x.view.Classes[x.className]
	if x.class == nil {
		return fault.New(fault.UnknownClass, "there is no class %q", x.className).WithField(HeaderClass).WithOutcome(fault.NotRun)
	}
	if !x.team.AllowsClass(x.className) {
		return fault.New(fault.Forbidden, "team %q may not use class %q", x.teamName, x.className).WithField(HeaderClass).WithOutcome(fault.NotRun)
	}
	return nil
}

// body reads the whole request body within the bounds on size and time.
func (x *exchange) body() ([]byte, *fault.Error) {
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(settings.Millis(x.api.set.BodyTimeoutMS))) // only test recorders refuse
	data, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.api.set.MaxBodyBytes))
	if err != nil {
		if strings.Contains(err.Error(), "too large") {
			return nil, fault.New(fault.TooLarge, "the body has more than %d bytes", x.api.set.MaxBodyBytes).WithField("body").WithOutcome(fault.NotRun)
		}
		return nil, fault.New(fault.BadRequest, "read the body: %w", err).WithField("body").WithOutcome(fault.NotRun)
	}
	_ = control.SetReadDeadline(time.Time{}) // only test recorders refuse
	return data, nil
}

// errorBody is the published error shape with the outcome added.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Param   string `json:"param,omitempty"`
	Code    string `json:"code"`
	Outcome string `json:"outcome,omitempty"`
}

func errorOf(e *fault.Error) errorBody {
	kind := "server_error"
	if s := e.HTTPStatus(); s < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorBody{errorDetail{e.Message, kind, e.Field, string(e.Code), string(e.Outcome)}}
}

// fail answers with the fault: as the response, or within a stream that began.
func (x *exchange) fail(e *fault.Error) {
	data, err := json.Marshal(errorOf(e))
	if err != nil {
		data = []byte(`{"error":{"code":"internal"}}`)
	}
	if x.began {
		x.event(data) // and no end mark: the answer is not whole
		return
	}
	if s := retrySeconds(e); s > 0 {
		x.w.Header().Set("Retry-After", strconv.Itoa(s))
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(e.HTTPStatus())
	_, _ = x.w.Write(data) // a caller that went away is counted as such
}

// retrySeconds tells a caller whose request was not run for want of capacity or
// of a server when to come back; a second where no better time is known.
func retrySeconds(e *fault.Error) int {
	s := e.RetrySeconds()
	status := e.HTTPStatus()
	if s == 0 && e.Outcome == fault.NotRun && (status == http.StatusTooManyRequests || status >= http.StatusInternalServerError) {
		return 1
	}
	return s
}

func (x *exchange) count(e *fault.Error) {
	code, outcome := "", ""
	if e != nil {
		code, outcome = string(e.Code), string(e.Outcome)
	}
	if x.observe != nil {
		x.observe.End(time.Now(), code, outcome)
		return
	}
	if e != nil {
		telemetry.Count("merlinpost_requests_rejected_total", "code", code)
	}
}

// startObserving begins the metrics of a request that is well formed.
func (x *exchange) startObserving() {
	c := x.class
	x.observe = telemetry.RequestMetricsFor(x.teamName, x.className).Observe(x.start, telemetry.LatencyTargets{
		FirstToken: settings.Millis(c.FirstTokenMS), BetweenTokens: settings.Millis(c.BetweenTokensMS), Total: settings.Millis(c.TotalMS)})
}

// modelEntry is an entry of the published list of models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (a *API) models(x *exchange) *fault.Error {
	out := struct {
		Object string       `json:"object"`
		Data   []modelEntry `json:"data"`
	}{"list", []modelEntry{}}
	for name := range x.view.Models {
		out.Data = append(out.Data, modelEntry{ID: name, Object: "model", OwnedBy: "merlinpost"})
	}
	sort.Slice(out.Data, func(i, j int) bool { return out.Data[i].ID < out.Data[j].ID })
	data, err := json.Marshal(out)
	if err != nil {
		return fault.New(fault.Internal, "encode models: %w", err)
	}
	x.w.Header().Set("Content-Type", "application/json")
	_, _ = x.w.Write(data) // a caller that went away is its own matter
	return nil
}
