package router

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/responseguard"
	"github.com/merlinpost/merlinpost/internal/settings"
)

// Handlers are the HTTP handlers of the APIs for callers and operators.
type Handlers struct{ Callers, Operators http.Handler }

// Listeners are the listening sockets of the two APIs.
type Listeners struct{ Callers, Operators net.Listener }

// Listen opens the listening sockets at the addresses of the settings.
func Listen(set settings.Router) (Listeners, error) {
	callers, err := net.Listen("tcp", set.Callers.Listen)
	if err != nil {
		return Listeners{}, fault.New(fault.BadSettings, "%w", err).WithField("callers.listen")
	}
	operators, err := net.Listen("tcp", set.Operators.Listen)
	if err != nil {
		_ = callers.Close() // the listen error is the one to report
		return Listeners{}, fault.New(fault.BadSettings, "%w", err).WithField("operators.listen")
	}
	return Listeners{callers, operators}, nil
}

// Serve runs the router and its APIs until ctx ends or stop is closed. When ctx
// ends, requests in progress are aborted. Closing stop starts a graceful shutdown:
// the readiness check fails, requests are accepted for another BalancerLagMS until
// the load balancer has noticed, and Serve returns after the last answer.
func (r *Router) Serve(ctx context.Context, stop <-chan struct{}, l Listeners, h Handlers) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers := &http.Server{Handler: h.Callers, ReadHeaderTimeout: settings.Millis(r.settings.Callers.HeaderTimeoutMS),
		ConnContext: responseguard.ConnContext}
	operators := &http.Server{Handler: h.Operators, ReadHeaderTimeout: settings.Millis(r.settings.Callers.HeaderTimeoutMS)}
	go func() { _ = callers.Serve(l.Callers) }()     // ends with ErrServerClosed
	go func() { _ = operators.Serve(l.Operators) }() // ends with ErrServerClosed
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	r.logger.Info("router started", "callers", l.Callers.Addr().String(), "operators", l.Operators.Addr().String())
	select {
	case <-ctx.Done():
	case <-stop:
		r.drain(ctx, callers)
	}
	_ = callers.Close()   // after a drain, connections are still open only if ctx ended
	_ = operators.Close() // does not wait for open watch requests
	cancel()
	<-done
	r.logger.Info("router stopped")
	return nil
}

// drain makes the readiness check fail, waits BalancerLagMS for the load balancer to
// notice, and then waits for the requests in progress.
func (r *Router) drain(ctx context.Context, callers *http.Server) {
	r.BeginDrain()
	callers.SetKeepAlivesEnabled(false) // close each connection after its answer
	select {
	case <-time.After(settings.Millis(r.settings.Callers.BalancerLagMS)):
	case <-ctx.Done():
		return
	}
	_ = callers.Shutdown(ctx) // has no time limit of its own
}
