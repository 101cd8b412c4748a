// Package assembly builds a router with its HTTP APIs from its settings, for the command
// line (package cli) and for deployments in one process (package dev).
package assembly

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/merlinpost/merlinpost/internal/adminapi"
	"github.com/merlinpost/merlinpost/internal/adminapi/command"
	"github.com/merlinpost/merlinpost/internal/adminapi/query"
	"github.com/merlinpost/merlinpost/internal/callerapi"
	"github.com/merlinpost/merlinpost/internal/router"
	"github.com/merlinpost/merlinpost/internal/settings"
	"github.com/merlinpost/merlinpost/internal/telemetry"
)

// Router is a router with its HTTP APIs and their listening sockets.
type Router struct {
	*router.Router
	listeners router.Listeners
	handlers  router.Handlers
}

// NewRouter builds a router and opens its listening sockets.
func NewRouter(set settings.Router, logger *slog.Logger) (*Router, error) {
	r, err := router.New(set, logger)
	if err != nil {
		return nil, err
	}
	operators, err := adminapi.New(set.Operators.Keys, publicRoutes(r),
		command.New(r.Config, time.Now), query.New(r.Config, r.Status))
	if err != nil {
		return nil, err
	}
	listeners, err := router.Listen(set)
	if err != nil {
		return nil, err
	}
	callers := callerapi.New(r, r.Config.View, set.Callers, logger).Handler()
	return &Router{r, listeners, router.Handlers{Callers: callers, Operators: operators}}, nil
}

// publicRoutes returns a function that registers the routes of the operator API that
// need no key.
func publicRoutes(r *router.Router) func(app *iris.Application) {
	return func(app *iris.Application) {
		app.Get("/metrics", iris.FromStd(telemetry.Handler()))
		app.Get("/healthz", func(ctx iris.Context) { _, _ = fmt.Fprintln(ctx.ResponseWriter(), "ok") })
		app.Get("/readyz", func(ctx iris.Context) {
			if !r.Ready() {
				ctx.StatusCode(iris.StatusServiceUnavailable)
			}
		})
	}
}

// CallersAddress returns the listen address of the caller API.
func (r *Router) CallersAddress() string { return r.listeners.Callers.Addr().String() }

// OperatorsAddress returns the listen address of the operator API.
func (r *Router) OperatorsAddress() string { return r.listeners.Operators.Addr().String() }

// Serve runs the router until ctx ends. Closing stop starts a graceful shutdown, and
// Serve returns when it is complete.
func (r *Router) Serve(ctx context.Context, stop <-chan struct{}) error {
	return r.Router.Serve(ctx, stop, r.listeners, r.handlers)
}
