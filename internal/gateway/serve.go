package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

const (
	// notReadyFor is how long callers are still taken after the stop began: the
	// balancer asks once a second and acts on the second answer, so that new
	// connections come for up to two seconds and a little.
	notReadyFor = 2600 * time.Millisecond
	// stopMargin is kept at the end of the grace time for the process's exit, and
	// answerMargin before that to answer what is still in progress.
	stopMargin, answerMargin = 300 * time.Millisecond, 300 * time.Millisecond
	// drainPoll is how often the stop looks for the last request's end.
	drainPoll = 20 * time.Millisecond
	// sweepEvery is how often idle connections are looked through.
	sweepEvery = time.Second
)

// Serve serves callers, readiness checks and metrics until ctx ends or, after
// stop is closed, until the last request has ended or the grace time is over.
func (g *Gateway) Serve(ctx context.Context, stop <-chan struct{}) error {
	callers, err := net.Listen("tcp", g.settings.Load().CallerAddress)
	if err != nil {
		return err
	}
	checks, err := net.Listen("tcp", g.settings.Load().ReadinessAddress)
	if err != nil {
		return err
	}
	conns := newCallerConns(callers, g.limits)
	server := &http.Server{Handler: g, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnState: conns.changed, ErrorLog: discardLog()}
	failed := make(chan error, 3)
	serve := func(s *http.Server, l net.Listener) {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	go serve(server, conns)
	go serve(&http.Server{Handler: g.checks(), ErrorLog: discardLog()}, checks)
	if g.settings.Load().MetricsAddress != "" {
		page, err := net.Listen("tcp", g.settings.Load().MetricsAddress)
		if err != nil {
			return err
		}
		go serve(&http.Server{Handler: g.operations(), ErrorLog: discardLog()}, page)
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
	g.drain(ctx, conns)
	return nil
}

// checks answers the balancer.
func (g *Gateway) checks() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.settings.Load().ReadinessPath, func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// drain stops gracefully: not ready at once, callers served until the balancer
// has noticed, and what was read finished within the grace time.
func (g *Gateway) drain(ctx context.Context, conns *callerConns) {
	begin := g.now()
	end := begin.Add(g.settings.Load().DrainGrace - stopMargin)
	g.stopping.Store(true)
	g.logger.Info("stopping", "in_flight", g.inFlight.Load(), "grace", g.settings.Load().DrainGrace)
	conns.retire() // answers from now on tell their callers to close
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	listening := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := g.now()
		if listening && now.Sub(begin) >= notReadyFor {
			_ = conns.Close() // only a listener that is closed already fails
			listening = false
		}
		if !now.Before(end.Add(-answerMargin)) {
			g.endNow()
		}
		if (!listening && g.inFlight.Load() == 0) || !now.Before(end) {
			g.logger.Info("stopped", "in_flight", g.inFlight.Load(), "took", now.Sub(begin))
			return
		}
	}
}

func (g *Gateway) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			g.pool.Sweep()
			g.notices.Sweep(func(start string) bool {
				_, listed := g.servers.FindInstance(start)
				return listed
			}, g.now())
		}
	}
}
