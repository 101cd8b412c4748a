// Package adminapi implements the HTTP API of a router for operators, based on the
// iris framework. It provides what all handlers share: authentication, error
// responses and the routing of requests. The handlers that change the configuration
// are in package command, the read-only ones in package query.
package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/resource"
	"github.com/merlinpost/merlinpost/internal/settings"
)

// Handler registers routes below /v1. It is implemented by command.Handlers and
// query.Handlers.
type Handler interface{ Register(api iris.Party) }

const actorContextKey = "actor"

// New returns the operator API. registerPublic registers the routes that need no key.
func New(keys []settings.OperatorKey, registerPublic func(app *iris.Application), handlers ...Handler) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithPathEscape)
	registerPublic(app)
	api := app.Party("/v1", authenticate(keys))
	for _, h := range handlers {
		h.Register(api)
	}
	app.OnErrorCode(iris.StatusNotFound, func(ctx iris.Context) {
		if ctx.ResponseWriter().Written() <= 0 {
			WriteError(ctx, fault.New(fault.NotFound, "no such path"))
		}
	})
	if err := app.Build(); err != nil {
		return nil, fault.New(fault.Internal, "build operator API: %w", err)
	}
	return app, nil
}

// authenticate requires a bearer token that is the key of an operator. Keys of teams
// are not accepted.
func authenticate(keys []settings.OperatorKey) iris.Handler {
	return func(ctx iris.Context) {
		key, _ := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		hash := hex.EncodeToString(sum[:])
		for _, k := range keys {
			if subtle.ConstantTimeCompare([]byte(strings.ToLower(k.SHA256)), []byte(hash)) == 1 {
				ctx.Values().Set(actorContextKey, k.Name)
				ctx.Next()
				return
			}
		}
		WriteError(ctx, fault.New(fault.Unauthorized, "a valid operator key is required").WithField("Authorization"))
		ctx.StopExecution()
	}
}

// Actor returns the name of the authenticated operator.
func Actor(ctx iris.Context) string { return ctx.Values().GetString(actorContextKey) }

// ErrorBody is the JSON form of an error in the operator API.
type ErrorBody struct {
	Code      fault.Code    `json:"code"`
	Outcome   fault.Outcome `json:"outcome,omitempty"`
	Field     string        `json:"field,omitempty"`
	Message   string        `json:"message"`
	Operation string        `json:"operation,omitempty"`
}

// WriteError writes err as the response.
func WriteError(ctx iris.Context, err error) { WriteOperationError(ctx, err, "") }

// WriteOperationError writes err as the response, with the ID of the operation that
// failed.
func WriteOperationError(ctx iris.Context, err error, operation string) {
	e := fault.From(err)
	if s := e.RetrySeconds(); s > 0 {
		ctx.Header("Retry-After", strconv.Itoa(s))
	}
	ctx.StatusCode(e.HTTPStatus())
	_ = ctx.JSON(ErrorBody{e.Code, e.Outcome, e.Field, e.Message, operation}) // an error means that the client has disconnected
}

// RefFromPath returns the reference given by the path parameters kind and name.
func RefFromPath(ctx iris.Context) (resource.Ref, error) {
	kind, err := resource.ParseKind(ctx.Params().Get("kind"))
	return resource.Ref{Kind: kind, Name: ctx.Params().Get("name")}, err
}

// ETag formats a revision as an entity tag.
func ETag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// ParseETag parses a revision, given as an entity tag or a plain number. field is the
// name of the header or parameter, for errors.
func ParseETag(field, tag string) (uint64, error) {
	revision, err := strconv.ParseUint(strings.Trim(strings.TrimPrefix(tag, "W/"), `"`), 10, 64)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "%q is not a valid revision", tag).WithField(field)
	}
	return revision, nil
}
