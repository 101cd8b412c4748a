package permit

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/merlinpost/merlinpost/internal/telemetry"
)

const (
	// tick is how often waiting asks are looked at without an event.
	tick = 20 * time.Millisecond
	// reportEvery is how often the engine is asked while there is work. The
	// answer is its own host's and costs a loopback round trip.
	reportEvery = 100 * time.Millisecond
	// ring is how many datagrams wait to be taken in.
	ring = 1024
)

// Reporter asks the engine beside the agent how it is.
type Reporter func(ctx context.Context) (Engine, error)

// Server answers the asks of gateways for one engine.
type Server struct {
	conn   *net.UDPConn
	report Reporter
	logger *slog.Logger
	queue  *Queue
	asked  map[string]netip.AddrPort // who asked, by ID of what waits
}

// received is a datagram and its sender.
type received struct {
	datagram
	from netip.AddrPort
}

// Listen opens the socket of a server.
func Listen(address string, report Reporter, logger *slog.Logger) (*Server, error) {
	conn, err := listen(address)
	if err != nil {
		return nil, err
	}
	return &Server{conn: conn, report: report, logger: logger, queue: NewQueue(), asked: map[string]netip.AddrPort{}}, nil
}

// Address returns the address in use.
func (s *Server) Address() string { return s.conn.LocalAddr().String() }

// Run serves until ctx ends: one goroutine receives, one asks the engine, and
// this one decides.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = s.conn.Close() }) // ends the receiver
	defer stop()
	in := make(chan received, ring)
	go receive(s.conn, func() bool { return ctx.Err() != nil }, func(d datagram, from netip.AddrPort) {
		select {
		case in <- received{d, from}:
		default:
			telemetry.Count("merlinpost_permit_overrun_total")
		}
	})
	wanted, reports := make(chan struct{}, 1), make(chan Engine, 1)
	go s.askEngine(ctx, wanted, reports)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var askedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case r := <-in:
			s.take(r, time.Now())
		case e := <-reports:
			s.queue.Report(e)
		case <-ticker.C:
		}
		now := time.Now()
		s.tell(s.queue.Next(now))
		if !s.queue.Idle() && now.Sub(askedAt) >= reportEvery {
			askedAt = now
			select {
			case wanted <- struct{}{}:
			default: // the last question is not answered yet
			}
		}
	}
}

// askEngine asks for a report each time one is wanted.
func (s *Server) askEngine(ctx context.Context, wanted <-chan struct{}, reports chan<- Engine) {
	lost := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-wanted:
		}
		e, err := s.report(ctx)
		switch {
		case err != nil && !lost && ctx.Err() == nil:
			s.logger.Warn("lost the engine's report", "error", err)
		case err == nil && lost:
			s.logger.Info("regained the engine's report")
		}
		lost = err != nil
		if lost {
			continue
		}
		select {
		case reports <- e:
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) take(r received, now time.Time) {
	switch {
	case r.Ask != nil:
		a := s.queue.Ask(*r.Ask, now)
		if a.Verdict == Queued {
			s.asked[a.ID] = r.from
		}
		s.log(a)
		send(s.conn, datagram{Answer: &a}, r.from)
	case r.FirstToken != "":
		s.queue.FirstToken(r.FirstToken, now)
	case r.End != "":
		s.queue.End(r.End)
		delete(s.asked, r.End)
	}
}

// tell sends answers that have become due.
func (s *Server) tell(answers []Answer) {
	for _, a := range answers {
		s.log(a)
		if to, ok := s.asked[a.ID]; ok {
			delete(s.asked, a.ID)
			send(s.conn, datagram{Answer: &a}, to)
		}
	}
}

// log writes the decision line of a refusal; the others are counted.
func (s *Server) log(a Answer) {
	telemetry.Count("merlinpost_permit_answers_total", "verdict", a.Verdict.String())
	if a.Verdict == Refused {
		s.logger.Info("permit refused", "id", a.ID, "wait", a.Wait, "backlog", a.Backlog, "tokens_per_second", a.TokensPerSecond,
			"waiting", s.queue.Waiting(), "memory_used", s.queue.engine.MemoryUsed, "memory_promised", s.queue.promised)
	}
}

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case Granted:
		return "granted"
	case Queued:
		return "queued"
	case Refused:
		return "refused"
	}
	return "none"
}
