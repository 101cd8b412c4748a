package gateway

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/merlinpost/merlinpost/internal/decisionlog"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

const (
	// startRetryAfter is told while no configuration is known: a process has it
	// some hundred ms after its start unless the store is away.
	startRetryAfter = 500 * time.Millisecond
	// noServerRetryAfter is told when no server took the request: about the time
	// in which a passed-over server is tried again.
	noServerRetryAfter = 500 * time.Millisecond
	// longestReturn bounds what is told where servers state when they take the next request.
	longestReturn = 5 * time.Second
)

// errorBody is the body of the gateway's own answers.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Field   string `json:"field,omitempty"`
		Outcome string `json:"outcome,omitempty"`
	} `json:"error"`
}

// refuse gives the gateway's own answer. Statuses that promise that the request
// has not run are given only with outcome not_run.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, err error) {
	e := fault.From(err)
	status := e.HTTPStatus()
	if e.Outcome != fault.NotRun && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		status = http.StatusBadGateway
	}
	g.logFailure(q, e, status)
	if e.Code == fault.Cancelled {
		panic(http.ErrAbortHandler) // nobody is there to read an answer
	}
	var body errorBody
	body.Error.Code, body.Error.Message = string(e.Code), e.Message
	body.Error.Field, body.Error.Outcome = e.Field, string(e.Outcome)
	text, err := json.Marshal(body)
	if err != nil {
		g.logger.Error("error body", "error", err)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if e.Code == fault.BadRequest || e.Code == fault.TooLarge || e.Code == fault.HeadersTooLarge {
		h.Set("Connection", "close") // what follows on the connection can't be trusted
	}
	w.WriteHeader(status)
	_, _ = w.Write(text) // a caller that has left needs no answer
}

// logFailure writes the decision line of a request that was not answered as its
// caller wished.
func (g *Gateway) logFailure(q *request, e *fault.Error, status int) {
	telemetry.Count("merlinpost_gateway_failures_total", "code", string(e.Code), "outcome", string(e.Outcome))
	kind := string(e.Code)
	if q.repeatDenied() {
		// A separate rate limit, so that other failures with this code do not suppress the line.
		kind += " repeat denied"
	}
	if !g.failureLines.Allow(kind, g.now()) {
		return
	}
	g.logger.Warn("request failed", append(g.fields(q),
		slog.Int("status", status), slog.String("code", string(e.Code)), slog.String("outcome", string(e.Outcome)),
		slog.Duration("retry_after", e.RetryAfter), slog.String("cause", e.Message))...)
}

// broken logs an answer that could not be completed.
func (g *Gateway) broken(q *request, rel *relay, err error) {
	e := fault.From(err)
	telemetry.Count("merlinpost_gateway_failures_total", "code", string(e.Code), "outcome", string(fault.Partial))
	g.logger.Warn("answer broken off", append(g.fields(q),
		slog.Int("events", rel.events), slog.Duration("first", rel.first), slog.String("code", string(e.Code)), slog.String("cause", e.Message))...)
}

// finished logs a request that was answered; successes are sampled.
func (g *Gateway) finished(q *request, rel *relay) {
	telemetry.Count("merlinpost_gateway_answers_total", "class", q.route.Name, "status", strconv.Itoa(rel.status))
	if rel.events > 0 {
		g.answerTime(q.route.Name).Observe(g.now().Sub(q.start)-rel.first, q.call.Prompt.OutputTokens)
	}
	plain := rel.status < http.StatusBadRequest && len(q.sends) == 1 && !decisionlog.Sampled(q.call.ID, g.settings.Load().LogOneIn)
	if plain && !(q.spoke() && g.failureLines.Allow("notice", g.now())) {
		return
	}
	g.logger.Info("request answered", append(g.fields(q),
		slog.Int("status", rel.status), slog.Int("events", rel.events), slog.Duration("first", rel.first))...)
}

// fields are what decided about a request, with the age of what was known.
func (g *Gateway) fields(q *request) []any {
	now := g.now()
	out := []any{slog.String("id", q.call.ID), slog.Duration("took", now.Sub(q.start)),
		slog.Duration("list_age", g.servers.Age(now)), slog.Duration("config_age", g.tableAge())}
	if q.table != nil {
		out = append(out, slog.Int64("config", q.table.Version))
	}
	if q.route != nil {
		out = append(out, slog.String("route", q.route.Name), slog.String("service", q.service),
			slog.String("team", q.teamName()), slog.Int("priority", q.priority),
			slog.Duration("deadline", q.deadline.Sub(q.start)), slog.Int("prompt", q.call.Prompt.Tokens),
			slog.String("shared", q.sharedPart()))
	}
	if q.identity != nil {
		out = append(out, slog.String("request", q.identity.String()))
	}
	if len(q.standing) > 0 {
		out = append(out, slog.Any("notices", q.standing))
	}
	return append(out, slog.Any("sends", q.sends))
}
