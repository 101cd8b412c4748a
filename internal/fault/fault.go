// Package fault defines the error type used across package, process and API
// boundaries. Every error has a Code, which identifies the kind of failure. Errors of
// requests also have an Outcome, which says whether the request was run.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code identifies a kind of failure. Codes are part of the public API.
type Code string

// The codes, grouped by cause.
const (
	// Invalid input of a caller or operator.
	BadRequest      Code = "bad_request"
	TooLarge        Code = "too_large"
	HeadersTooLarge Code = "head_too_large"
	// BodyTimeout: the body of a request did not arrive in time.
	BodyTimeout            Code = "body_timeout"
	Unauthorized           Code = "unauthorized"
	Forbidden              Code = "forbidden"
	NotFound               Code = "not_found"
	UnknownClass           Code = "unknown_class"
	UnknownModel           Code = "unknown_model"
	UnknownService         Code = "unknown_service"
	UnsupportedField       Code = "unsupported_field"
	IdempotencyKeyRequired Code = "idempotency_key_required"
	IdempotencyKeyConflict Code = "idempotency_key_conflict"
	RevisionConflict       Code = "revision_conflict"
	InvalidConfig          Code = "invalid_config"
	InUse                  Code = "in_use"

	// Limits and overload: retry later.
	TeamRateLimit        Code = "team_rate_limit"
	TeamConcurrencyLimit Code = "team_concurrency_limit"
	QueueFull            Code = "queue_full"
	WaitTooLong          Code = "wait_too_long"
	RetryBudgetSpent     Code = "retry_budget_spent"
	// IdempotencyStoreFull: an agent can't store another idempotency key.
	IdempotencyStoreFull Code = "records_full"
	// LinkBusy: a link, a peer or the memory for request bodies has no capacity now.
	LinkBusy Code = "link_busy"
	// ServerRateLimit: the rate limits of the backend servers are reached.
	ServerRateLimit Code = "server_rate_limit"
	// ServersInBackoff: all backend servers have asked to receive no requests for
	// some time.
	ServersInBackoff Code = "servers_rest"
	// Quarantined: backend servers terminated each time they ran the request.
	Quarantined Code = "quarantined"

	// Failures of the system or its dependencies.
	NoBackendServer           Code = "no_backend_server"
	BackendServersUnreachable Code = "backend_servers_unreachable"
	Draining                  Code = "draining"
	NotReady                  Code = "not_ready"
	LinkLost                  Code = "link_lost"
	// RequestNotHeld: the agent does not have the attempt, for example because it was
	// cancelled or has finished.
	RequestNotHeld Code = "request_not_held"
	// StartDeadlinePassed: the request was not started in time.
	StartDeadlinePassed Code = "start_bound_passed"
	DeadlinePassed      Code = "deadline_passed"
	Cancelled           Code = "cancelled"
	EngineFailed        Code = "engine_failed"
	IncompleteResponse  Code = "short_answer"
	// IdempotentResultUnknown: a call with the idempotency key may have run, but its
	// result is not available.
	IdempotentResultUnknown Code = "cannot_vouch"
	LogUnavailable          Code = "log_unavailable"
	// LogWriteUnconfirmed: the record may or may not have been written.
	LogWriteUnconfirmed Code = "log_unsettled"
	LogTruncated        Code = "log_truncated"
	// LogRestored: the log was restored from an older copy.
	LogRestored Code = "log_restored"
	BadFrame    Code = "bad_frame"
	BadVersion  Code = "bad_version"
	BadSettings Code = "bad_settings"
	Internal    Code = "internal"
)

// Outcome says whether a request was run. It is part of the error responses to callers
// and operators.
type Outcome string

const (
	// NotRun: the request was not started anywhere and never will be.
	NotRun Outcome = "not_run"
	// Unknown: the request may have run; no reachable process can tell.
	Unknown Outcome = "unknown"
	// Partial: the request ran and part of its response was delivered.
	Partial Outcome = "partial"
)

// Error is an error with a code.
type Error struct {
	Code       Code
	Outcome    Outcome
	Field      string // invalid input field, or empty
	Message    string
	RetryAfter time.Duration // 0 if unknown
	Err        error         // cause, or nil
}

// New returns an Error with a formatted message. %w in format sets its cause.
func New(code Code, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{Code: code, Message: wrapped.Error(), Err: errors.Unwrap(wrapped)}
}

// WithField sets the invalid input field and returns e.
func (e *Error) WithField(field string) *Error { e.Field = field; return e }

// WithOutcome sets the outcome and returns e.
func (e *Error) WithOutcome(o Outcome) *Error { e.Outcome = o; return e }

// WithRetryAfter sets the time after which the request may be retried and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error { e.RetryAfter = d; return e }

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s", e.Code, e.Field, e.Message)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// From returns the *Error in err's chain. Any other error is wrapped with code
// Internal; nil gives nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Message: err.Error(), Err: err}
}

// Is reports whether err's chain has an *Error with the given code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// statusClientClosedRequest is the non-standard status that nginx introduced for
// requests whose client has disconnected.
const statusClientClosedRequest = 499

var statusByCode = map[Code]int{
	BadRequest: http.StatusBadRequest, BodyTimeout: http.StatusRequestTimeout, UnsupportedField: http.StatusBadRequest,
	IdempotencyKeyRequired: http.StatusBadRequest, InvalidConfig: http.StatusUnprocessableEntity,
	TooLarge: http.StatusRequestEntityTooLarge, HeadersTooLarge: http.StatusRequestHeaderFieldsTooLarge, Unauthorized: http.StatusUnauthorized,
	Forbidden: http.StatusForbidden, NotFound: http.StatusNotFound,
	UnknownClass: http.StatusBadRequest, UnknownModel: http.StatusNotFound,
	UnknownService: http.StatusNotFound, IdempotencyKeyConflict: http.StatusConflict,
	RevisionConflict: http.StatusPreconditionFailed, InUse: http.StatusConflict,
	TeamRateLimit: http.StatusTooManyRequests, ServerRateLimit: http.StatusTooManyRequests, TeamConcurrencyLimit: http.StatusTooManyRequests,
	QueueFull: http.StatusTooManyRequests, WaitTooLong: http.StatusTooManyRequests,
	RetryBudgetSpent: http.StatusServiceUnavailable, IdempotencyStoreFull: http.StatusServiceUnavailable,
	Quarantined: http.StatusServiceUnavailable, ServersInBackoff: http.StatusServiceUnavailable,
	LinkBusy: http.StatusServiceUnavailable, NoBackendServer: http.StatusServiceUnavailable, BackendServersUnreachable: http.StatusServiceUnavailable,
	Draining: http.StatusServiceUnavailable, NotReady: http.StatusServiceUnavailable,
	LinkLost: http.StatusBadGateway, RequestNotHeld: http.StatusBadGateway,
	StartDeadlinePassed: http.StatusServiceUnavailable, DeadlinePassed: http.StatusGatewayTimeout,
	Cancelled: statusClientClosedRequest, EngineFailed: http.StatusBadGateway, IncompleteResponse: http.StatusBadGateway,
	IdempotentResultUnknown: http.StatusServiceUnavailable, LogUnavailable: http.StatusServiceUnavailable,
	LogWriteUnconfirmed: http.StatusGatewayTimeout,
}

// HTTPStatus returns the HTTP status code for e; 500 for codes without one of their own.
func (e *Error) HTTPStatus() int {
	if s, ok := statusByCode[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// RetrySeconds returns RetryAfter in seconds, rounded up, for the Retry-After
// header; 0 means that the header is omitted.
func (e *Error) RetrySeconds() int {
	return int((e.RetryAfter + time.Second - 1) / time.Second)
}
