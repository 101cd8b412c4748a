// Package adminapi is the operators' side of a router, by iris. Command
// handlers, which change the configuration, and query handlers, which only
// read, are in packages of their own; here is what both share: access, errors,
// and the routes that join them.
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

// Handler registers routes; the command and query packages provide one each.
type Handler interface{ Register(api iris.Party) }

const actorKey = "actor"

// New returns the operators' API. open routes need no key.
func New(keys []settings.OperatorKey, open func(app *iris.Application), handlers ...Handler) (http.Handler, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutStartupLog, iris.WithoutBodyConsumptionOnUnmarshal, iris.WithPathEscape)
	open(app)
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
		return nil, fault.New(fault.Internal, "operators' API: %w", err)
	}
	return app, nil
}

// authenticate lets only operators' keys pass; a team's key opens nothing.
func authenticate(keys []settings.OperatorKey) iris.Handler {
	return func(ctx iris.Context) {
		key, _ := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(key))
		hash := hex.EncodeToString(sum[:])
		for _, k := range keys {
			if subtle.ConstantTimeCompare([]byte(strings.ToLower(k.SHA256)), []byte(hash)) == 1 {
				ctx.Values().Set(actorKey, k.Name)
				ctx.Next()
				return
			}
		}
		WriteError(ctx, fault.New(fault.Unauthorized, "an operator's key is needed").WithField("Authorization"))
		ctx.StopExecution()
	}
}

// Actor returns the name of the operator.
func Actor(ctx iris.Context) string { return ctx.Values().GetString(actorKey) }

// ErrorBody is the operators' form of a fault.
type ErrorBody struct {
	Code      fault.Code    `json:"code"`
	Outcome   fault.Outcome `json:"outcome,omitempty"`
	Field     string        `json:"field,omitempty"`
	Message   string        `json:"message"`
	Operation string        `json:"operation,omitempty"`
}

// Fail answers with a fault.
func WriteError(ctx iris.Context, err error) { WriteOperationError(ctx, err, "") }

// FailOperation answers with the fault of an operation.
func WriteOperationError(ctx iris.Context, err error, operation string) {
	e := fault.From(err)
	if s := e.RetrySeconds(); s > 0 {
		ctx.Header("Retry-After", strconv.Itoa(s))
	}
	ctx.StatusCode(e.HTTPStatus())
	_ = ctx.JSON(ErrorBody{e.Code, e.Outcome, e.Field, e.Message, operation}) // a client that went away is its own matter
}

// RefOf returns the resource that a request's path names.
func RefFromPath(ctx iris.Context) (resource.Ref, error) {
	kind, err := resource.ParseKind(ctx.Params().Get("kind"))
	return resource.Ref{Kind: kind, Name: ctx.Params().Get("name")}, err
}

// ETag writes a revision as an entity tag.
func ETag(revision uint64) string { return `"` + strconv.FormatUint(revision, 10) + `"` }

// ParseETag reads a revision from an entity tag.
func ParseETag(field, tag string) (uint64, error) {
	revision, err := strconv.ParseUint(strings.Trim(strings.TrimPrefix(tag, "W/"), `"`), 10, 64)
	if err != nil {
		return 0, fault.New(fault.BadRequest, "%q is no revision", tag).WithField(field)
	}
	return revision, nil
}
