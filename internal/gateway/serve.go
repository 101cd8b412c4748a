package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// drainPollInterval is the interval at which drain checks for requests in progress.
	drainPollInterval = 20 * time.Millisecond
	// sweepInterval is the interval at which idle connections and outdated notices are removed.
	sweepInterval = time.Second
)

// Serve serves callers, readiness checks, metrics and the quarantine API. It returns when a listener
// fails, when ctx ends or, after stop is closed, when the last request has ended or the grace period
// is over.
func (g *Gateway) Serve(ctx context.Context, stop <-chan struct{}) error {
	listener, err := net.Listen("tcp", g.settings.Load().CallerAddress)
	if err != nil {
		return err
	}
	readinessListener, err := net.Listen("tcp", g.settings.Load().ReadinessAddress)
	if err != nil {
		return err
	}
	callerConns := newCallerListener(listener, g.limits)
	server := &http.Server{Handler: g, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: callerConns.onStateChange, ConnContext: connContext, ErrorLog: discardLogger()}
	failed := make(chan error, 3)
	serve := func(s *http.Server, l net.Listener) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	go serve(server, callerConns)
	go serve(&http.Server{Handler: g.readinessHandler(), ErrorLog: discardLogger()}, readinessListener)
	if g.settings.Load().MetricsAddress != "" {
		operationsListener, err := net.Listen("tcp", g.settings.Load().MetricsAddress)
		if err != nil {
			return err
		}
		go serve(&http.Server{Handler: g.operationsHandler(), ErrorLog: discardLogger()}, operationsListener)
	}
	go g.sweep(ctx)
	g.logger.Info("gateway started", "host", g.settings.Load().Host, "callers", g.settings.Load().CallerAddress)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		return nil
	case <-stop:
	}
	g.drain(ctx, callerConns)
	return nil
}

// readinessHandler serves the load balancer's readiness checks.
func (g *Gateway) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.settings.Load().ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// drain shuts down gracefully. The gateway fails readiness checks at once, accepts new
// connections until the load balancer stops sending them, and completes the requests in
// progress that end within the grace period.
func (g *Gateway) drain(ctx context.Context, conns *callerListener) {
	schedule := g.shutdown.start(g.now(), g.settings.Load().DrainGrace)
	g.logger.Info("stopping", "in_flight", g.inFlight.Load(), "grace", g.settings.Load().DrainGrace)
	conns.closeIdle() // from now on, responses are sent with "Connection: close"
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	listening := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := g.now()
		if listening && !now.Before(schedule.acceptUntil) {
			_ = conns.Close() // an error means that the listener is already closed
			listening = false
		}
		if !listening {
			conns.closeUnused(now)
		}
		if !now.Before(schedule.abortAt) {
			g.shutdown.abort()
		}
		if (!listening && g.inFlight.Load() == 0 && !conns.anyInUse()) || !now.Before(schedule.exitAt) {
			g.logger.Info("stopped", "in_flight", g.inFlight.Load(), "took", now.Sub(schedule.startedAt))
			return
		}
	}
}

// sweep removes idle connections and outdated notices periodically until ctx ends.
func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pool.Sweep()
			g.reportHeldBytes()
			g.notices.Sweep(func(instance string) bool {
				_, listed := g.servers.FindInstance(instance)
				return listed
			}, g.now())
		}
	}
}
