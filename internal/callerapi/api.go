// Package callerapi implements the HTTP API of a router for callers: chat
// completions, completions, the list of models and service calls. Completions and
// the list of models are OpenAI-compatible, so that common client libraries work.
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
	"github.com/merlinpost/merlinpost/internal/responseguard"
	"github.com/merlinpost/merlinpost/internal/router"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
	"github.com/merlinpost/merlinpost/internal/wire"
)

// Headers of the API that the OpenAI-compatible format does not define.
const (
	HeaderClass          = "Merlinpost-Class"      // request: name of the class
	HeaderRequestID      = "Merlinpost-Request-Id" // response: ID of the request
	HeaderServed         = "Merlinpost-Served"     // response: model@version
	HeaderIdempotencyKey = "Idempotency-Key"       // request: required for calls that must not be repeated
)

const maxIdempotencyKeyBytes = 256

// Backend runs requests. It is implemented by *router.Router.
type Backend interface {
	// Do runs a request to completion and passes each chunk of the response to
	// deliver, whose error means that the caller has disconnected.
	Do(ctx context.Context, req *router.Request, deliver func([]byte) error) (*wire.End, *fault.Error)
	// Admit checks a request against the limits of its team. The returned function
	// must be called when the request has ended.
	Admit(ctx context.Context, team string, t *resource.Team) (func(), *fault.Error)
	// Serves reports whether a reachable agent of the pool has the target loaded.
	Serves(pool, target string) bool
	// Ready reports whether the router has a configuration and is not draining.
	Ready() bool
}

// API handles the requests of callers.
type API struct {
	backend  Backend
	view     func() *resource.View
	settings settings.Callers
	logger   *slog.Logger
}

// New returns an API that runs requests on backend; view returns the current
// configuration.
func New(backend Backend, view func() *resource.View, set settings.Callers, logger *slog.Logger) *API {
	return &API{backend: backend, view: view, settings: set, logger: logger}
}

// Handler returns the HTTP handler with the API's routes.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", a.serve(a.chatCompletion))
	mux.HandleFunc("POST /v1/completions", a.serve(a.completion))
	mux.HandleFunc("POST /v1/services/{service}", a.serve(a.callService))
	mux.HandleFunc("GET /v1/models", a.serve(a.listModels))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", a.readiness)
	mux.HandleFunc("/", a.serve(func(*exchange) *fault.Error {
		return fault.New(fault.NotFound, "no such path").WithOutcome(fault.NotRun)
	}))
	return mux
}

func (a *API) readiness(w http.ResponseWriter, _ *http.Request) {
	if !a.backend.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// exchange holds one HTTP request and the state of its response.
type exchange struct {
	api       *API
	w         http.ResponseWriter
	r         *http.Request
	id        string
	startTime time.Time
	view      *resource.View

	teamName      string
	team          *resource.Team
	className     string
	class         *resource.Class
	streamStarted bool                          // errors must be sent as stream events
	observation   *telemetry.RequestObservation // nil until the request is known to be valid
}

// serve authenticates the caller, runs the handler and writes its error, if any.
func (a *API) serve(h func(*exchange) *fault.Error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		complete := responseguard.Begin(r)
		x := &exchange{api: a, w: w, r: r, id: configlog.NewID(), startTime: time.Now(), view: a.view()}
		w.Header().Set(HeaderRequestID, x.id)
		e := x.authenticate()
		if e == nil {
			e = h(x)
		}
		if e != nil {
			x.writeError(e)
		}
		x.recordMetrics(e)
		if e != nil && x.streamStarted {
			// The status has been sent, so closing the connection is the only way to end the response as incomplete.
			panic(http.ErrAbortHandler)
		}
		complete()
	}
}

// authenticate sets the team by the API key and the class by the header, or else the
// team's default class. It fails if the team may not use the class.
func (x *exchange) authenticate() *fault.Error {
	if x.view.Revision == 0 && !x.api.backend.Ready() {
		return fault.New(fault.NotReady, "this router has no configuration yet").WithOutcome(fault.NotRun).WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return fault.New(fault.Unauthorized, "missing bearer token: a team's API key is required").WithField("Authorization").WithOutcome(fault.NotRun)
	}
	if x.teamName, ok = x.view.TeamByAPIKey(key); !ok {
		return fault.New(fault.Unauthorized, "unknown API key").WithField("Authorization").WithOutcome(fault.NotRun)
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
		return fault.New(fault.Forbidden, "team %q is not allowed to use class %q", x.teamName, x.className).WithField(HeaderClass).WithOutcome(fault.NotRun)
	}
	return nil
}

// readBody reads the request body. It enforces MaxBodyBytes and BodyTimeoutMS.
func (x *exchange) readBody() ([]byte, *fault.Error) {
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(time.Now().Add(settings.Millis(x.api.settings.BodyTimeoutMS))) // fails only for test recorders
	data, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, x.api.settings.MaxBodyBytes))
	if err != nil {
		if strings.Contains(err.Error(), "too large") {
			return nil, fault.New(fault.TooLarge, "the request body exceeds %d bytes", x.api.settings.MaxBodyBytes).WithField("body").WithOutcome(fault.NotRun)
		}
		return nil, fault.New(fault.BadRequest, "read request body: %w", err).WithField("body").WithOutcome(fault.NotRun)
	}
	_ = control.SetReadDeadline(time.Time{}) // fails only for test recorders
	return data, nil
}

// errorBody is an OpenAI-compatible error response, extended by the outcome.
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

func newErrorBody(e *fault.Error) errorBody {
	kind := "server_error"
	if s := e.HTTPStatus(); s < http.StatusInternalServerError {
		kind = "invalid_request_error"
	}
	return errorBody{errorDetail{e.Message, kind, e.Field, string(e.Code), string(e.Outcome)}}
}

// writeError writes the error as the response, or as a stream event if the response
// is a stream that has started.
func (x *exchange) writeError(e *fault.Error) {
	data, err := json.Marshal(newErrorBody(e))
	if err != nil {
		data = []byte(`{"error":{"code":"internal"}}`)
	}
	if x.streamStarted {
		x.writeEvent(data) // without [DONE], because the response is incomplete
		return
	}
	if s := retryAfterSeconds(e); s > 0 {
		x.w.Header().Set("Retry-After", strconv.Itoa(s))
	}
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(e.HTTPStatus())
	_, _ = x.w.Write(data) // an error means that the caller has disconnected
}

// retryAfterSeconds returns the value of the Retry-After header; 0 means that the
// header is omitted. The default for a request that was not run because of a limit
// or a server-side failure is 1.
func retryAfterSeconds(e *fault.Error) int {
	s := e.RetrySeconds()
	status := e.HTTPStatus()
	if s == 0 && e.Outcome == fault.NotRun && (status == http.StatusTooManyRequests || status >= http.StatusInternalServerError) {
		return 1
	}
	return s
}

func (x *exchange) recordMetrics(e *fault.Error) {
	code, outcome := "", ""
	if e != nil {
		code, outcome = string(e.Code), string(e.Outcome)
	}
	if x.observation != nil {
		x.observation.RecordEnd(time.Now(), code, outcome)
		return
	}
	if e != nil {
		telemetry.Count("merlinpost_requests_rejected_total", "code", code)
	}
}

// startObservation starts recording the metrics of a valid request. Requests that
// fail before are only counted as rejected.
func (x *exchange) startObservation() {
	c := x.class
	x.observation = telemetry.RequestMetricsFor(x.teamName, x.className).Observe(x.startTime, telemetry.LatencyTargets{
		FirstToken: settings.Millis(c.FirstTokenMS), BetweenTokens: settings.Millis(c.BetweenTokensMS), Total: settings.Millis(c.TotalMS)})
}

// modelEntry is one model in the OpenAI-compatible list of models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (a *API) listModels(x *exchange) *fault.Error {
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
	_, _ = x.w.Write(data) // an error means that the caller has disconnected
	return nil
}
