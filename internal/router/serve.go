package router

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/settings"
)

// Pages are the two APIs that a router serves.
type Handlers struct{ Callers, Operators http.Handler }

// Listeners are the open listening sockets of a router.
type Listeners struct{ Callers, Operators net.Listener }

// Listen opens the settings' addresses.
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

// Serve runs the router and its APIs until ctx ends, which cuts off what is in
// progress, or until stop is closed. Then it is a graceful shutdown: the
// readiness check fails, requests are still taken for the balancer's lag, and
// the router ends when its last answer has.
func (r *Router) Serve(ctx context.Context, stop <-chan struct{}, l Listeners, p Handlers) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	callers := &http.Server{Handler: p.Callers, ReadHeaderTimeout: settings.Millis(r.set.Callers.HeaderTimeoutMS)}
	operators := &http.Server{Handler: p.Operators, ReadHeaderTimeout: settings.Millis(r.set.Callers.HeaderTimeoutMS)}
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
	_ = callers.Close()   // what is still open is cut off only if ctx ended
	_ = operators.Close() // a watch does not hold up the end
	cancel()
	<-done
	r.logger.Info("router stopped")
	return nil
}

// drain waits for the balancer to notice, then for the last answer.
func (r *Router) drain(ctx context.Context, callers *http.Server) {
	r.BeginDrain()
	callers.SetKeepAlivesEnabled(false) // each answer now ends its connection
	select {
	case <-time.After(settings.Millis(r.set.Callers.BalancerLagMS)):
	case <-ctx.Done():
		return
	}
	_ = callers.Shutdown(ctx) // waits without a limit; ends early only if ctx does
}
