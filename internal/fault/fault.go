// Package fault holds the one error type that crosses package, process and
// API borders. Every failure has a Code that says what went wrong, and where a
// request is concerned an Outcome that says whether the work ran.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code names a kind of failure. Codes are part of the public API.
type Code string

// The codes, grouped by who can mend the failure.
const (
	// The caller's or operator's input.
	BadRequest             Code = "bad_request"
	TooLarge               Code = "too_large"
	HeadersTooLarge        Code = "head_too_large"
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

	// Limits and load: come back later.
	TeamRateLimit        Code = "team_rate_limit"
	TeamConcurrencyLimit Code = "team_concurrency_limit"
	QueueFull            Code = "queue_full"
	WaitTooLong          Code = "wait_too_long"
	RetryBudgetSpent     Code = "retry_budget_spent"
	RecordsFull          Code = "records_full"
	LinkBusy             Code = "link_busy"
	// ServerRate: the backend servers take no more requests a second.
	ServerRateLimit Code = "server_rate_limit"
	// ServersRest: all backend servers want nothing for a while.
	ServersInBackoff Code = "servers_rest"
	// Quarantined: servers have ended each time they ran the request.
	Quarantined Code = "quarantined"

	// The system or what it depends on.
	NoBackendServer           Code = "no_backend_server"
	BackendServersUnreachable Code = "backend_servers_unreachable"
	Draining                  Code = "draining"
	NotReady                  Code = "not_ready"
	LinkLost                  Code = "link_lost"
	RequestNotHeld            Code = "request_not_held"
	StartDeadlinePassed       Code = "start_bound_passed"
	DeadlinePassed            Code = "deadline_passed"
	Cancelled                 Code = "cancelled"
	EngineFailed              Code = "engine_failed"
	IncompleteResponse        Code = "short_answer"
	IdempotentResultUnknown   Code = "cannot_vouch"
	LogUnavailable            Code = "log_unavailable"
	LogWriteUnconfirmed       Code = "log_unsettled"
	LogTruncated              Code = "log_truncated"
	// LogRestored: the log has come back from an older copy.
	LogRestored Code = "log_restored"
	BadFrame    Code = "bad_frame"
	BadVersion  Code = "bad_version"
	BadSettings Code = "bad_settings"
	Internal    Code = "internal"
)

// Outcome says whether a request's work ran.
type Outcome string

// The outcomes told to callers.
const (
	// NotRun: the work was not started anywhere and never will be.
	NotRun Outcome = "not_run"
	// Unknown: the work may have run; nobody who answers can tell.
	Unknown Outcome = "unknown"
	// Partial: the work ran and part of its answer was delivered.
	Partial Outcome = "partial"
)

// Error is a typed failure. The zero RetryAfter means that no time to come
// back is known.
type Error struct {
	Code       Code
	Outcome    Outcome
	Field      string // input field at fault, or empty
	Message    string
	RetryAfter time.Duration
	Err        error // cause, may be nil
}

// New returns an Error with a formatted message; %w wraps a cause.
func New(code Code, format string, args ...any) *Error {
	wrapped := fmt.Errorf(format, args...)
	return &Error{Code: code, Message: wrapped.Error(), Err: errors.Unwrap(wrapped)}
}

// InField sets the input field at fault and returns e.
func (e *Error) WithField(field string) *Error { e.Field = field; return e }

// With sets the outcome and returns e.
func (e *Error) WithOutcome(o Outcome) *Error { e.Outcome = o; return e }

// After sets when to come back and returns e.
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

// From returns err as an *Error, wrapping a foreign one as Internal. A nil err
// gives nil.
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

// Is reports whether err carries the given code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

var statusByCode = map[Code]int{
	BadRequest: http.StatusBadRequest, UnsupportedField: http.StatusBadRequest,
	IdempotencyKeyRequired: http.StatusBadRequest, InvalidConfig: http.StatusUnprocessableEntity,
	TooLarge: http.StatusRequestEntityTooLarge, HeadersTooLarge: http.StatusRequestHeaderFieldsTooLarge, Unauthorized: http.StatusUnauthorized,
	Forbidden: http.StatusForbidden, NotFound: http.StatusNotFound,
	UnknownClass: http.StatusBadRequest, UnknownModel: http.StatusNotFound,
	UnknownService: http.StatusNotFound, IdempotencyKeyConflict: http.StatusConflict,
	RevisionConflict: http.StatusPreconditionFailed, InUse: http.StatusConflict,
	TeamRateLimit: http.StatusTooManyRequests, ServerRateLimit: http.StatusTooManyRequests, TeamConcurrencyLimit: http.StatusTooManyRequests,
	QueueFull: http.StatusTooManyRequests, WaitTooLong: http.StatusTooManyRequests,
	RetryBudgetSpent: http.StatusServiceUnavailable, RecordsFull: http.StatusServiceUnavailable,
	Quarantined: http.StatusServiceUnavailable, ServersInBackoff: http.StatusServiceUnavailable,
	LinkBusy: http.StatusServiceUnavailable, NoBackendServer: http.StatusServiceUnavailable, BackendServersUnreachable: http.StatusServiceUnavailable,
	Draining: http.StatusServiceUnavailable, NotReady: http.StatusServiceUnavailable,
	LinkLost: http.StatusBadGateway, RequestNotHeld: http.StatusBadGateway,
	StartDeadlinePassed: http.StatusServiceUnavailable, DeadlinePassed: http.StatusGatewayTimeout,
	Cancelled: 499, EngineFailed: http.StatusBadGateway, IncompleteResponse: http.StatusBadGateway,
	IdempotentResultUnknown: http.StatusServiceUnavailable, LogUnavailable: http.StatusServiceUnavailable,
	LogWriteUnconfirmed: http.StatusGatewayTimeout,
}

// HTTPStatus returns the status code that callers and operators see.
func (e *Error) HTTPStatus() int {
	if s, ok := statusByCode[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// RetrySeconds returns RetryAfter in whole seconds, rounded up, for the
// Retry-After header; 0 means that the header is left out.
func (e *Error) RetrySeconds() int {
	return int((e.RetryAfter + time.Second - 1) / time.Second)
}
