package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/merlinpost/merlinpost/internal/standin/platformstore"
	"github.com/merlinpost/merlinpost/internal/standin/worker"
)

// disturbProcesses does one thing after another to gateway processes; what it does
// depends on the seed only.
func (s *gatewaySoak) disturbProcesses(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		g := s.gateways[rnd.IntN(len(s.gateways))]
		pause := time.Duration(50+rnd.IntN(400)) * time.Millisecond
		s.calm.RLock()
		switch rnd.IntN(4) {
		case 0:
			s.kill(g)
			s.restart(g)
		case 1:
			_ = g.cmd.Process.Signal(syscall.SIGSTOP) // may have ended
			wait(ctx, pause)
			_ = g.cmd.Process.Signal(syscall.SIGCONT)
		case 2:
			_ = g.cmd.Process.Signal(syscall.SIGTERM)
			select {
			case <-g.exited:
			case <-time.After(waitLimit):
				s.violate("%s did not stop", g.host)
				s.kill(g)
			}
			s.restart(g)
		case 3:
			// Before its main function runs, SIGHUP ends any program.
			if strings.Contains(g.log.String(), "gateway started") {
				_ = g.cmd.Process.Signal(syscall.SIGHUP)
			}
		}
		s.calm.RUnlock()
		wait(ctx, pause/4)
	}
}

// disturbSurroundings does one thing after another to the store, the workers and the
// connections, beside what happens to processes.
func (s *gatewaySoak) disturbSurroundings(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		g := s.gateways[rnd.IntN(len(s.gateways))]
		i := rnd.IntN(len(s.fleet.workers))
		w := s.fleet.workers[i]
		pause := time.Duration(50+rnd.IntN(400)) * time.Millisecond
		names := []string{w.ID, g.host} // connections to a worker, to the store
		cut := s.cutter(names[rnd.IntN(len(names))])
		switch rnd.IntN(15) {
		case 0:
			s.store.SetMode([]platformstore.Mode{platformstore.ModeUnavailable, platformstore.ModeUnresponsive}[rnd.IntN(2)])
			wait(ctx, pause)
			s.store.SetMode(platformstore.ModeAvailable)
		case 1:
			s.store.Truncate(platformstore.TopicServers)
			s.store.Truncate(platformstore.TopicOperator)
		case 2:
			s.configure(nil)
		case 3:
			s.configure(grown(s.newestVersion() % 7 * 200)) // what is drawn afterwards stays as it was
		case 4:
			w.QueueBehaviours(misbehaviours(w)...)
		case 5:
			w.CloseConnections()
		case 6:
			s.replace(i)
		case 7:
			cut.reset()
		case 8:
			cut.sever()
		case 9:
			cut.silence(true, true)
		case 10:
			cut.silence(rnd.IntN(2) == 0, true) // one way, or both
		case 11:
			cut.delay.Store(int64(pause / 10))
			wait(ctx, pause)
			cut.delay.Store(0)
		case 12:
			if rnd.IntN(3) == 0 { // it takes a while without failures
				s.drain(ctx, i)
			}
		case 13:
			s.startAgain(ctx, i, rnd.IntN(2) == 0, time.Duration(rnd.IntN(3))*pause)
		case 14:
			s.spoilEntry(ctx, w, pause)
		}
		wait(ctx, pause/4)
	}
}

// speak has workers say things of themselves for a while: a rate, nothing that can be read, and with a
// refusal that they want nothing.
func (s *gatewaySoak) speak(ctx context.Context, rnd *rand.Rand) {
	said := [][]string{{"Server-Limit: 2"}, {"Server-Limit: 40"}, {"Server-Limit: 0"}, {"Server-Limit: many"}, {"Server-Limit: 1", "Server-Limit: 9"}}
	for ctx.Err() == nil {
		s.calm.RLock()
		s.fleet.mu.Lock()
		w := s.fleet.workers[rnd.IntN(len(s.fleet.workers))]
		s.fleet.mu.Unlock()
		pause := time.Duration(100+rnd.IntN(900)) * time.Millisecond
		if i := rnd.IntN(len(said) + 1); i < len(said) {
			w.SetHeaders(said[i]...)
		} else {
			w.QueueBehaviours(worker.Behaviour{Reject: true, RetryAfter: "0.4"}, worker.Behaviour{Reject: true, RetryAfter: "soon"})
		}
		wait(ctx, pause)
		w.SetHeaders()
		s.calm.RUnlock()
		wait(ctx, pause/2)
	}
}

// grown adds routes to a configuration that callers do not use.
func grown(routes int) func(config map[string]any) {
	return func(config map[string]any) {
		list := config["routes"].([]any)
		for i := range routes {
			list = append(list, map[string]any{"name": fmt.Sprint("more-", i), "host": fmt.Sprintf("%d.more.example", i), "path_prefix": "/more/",
				"kind": "idempotent", "service": appService, "timeout_ms": 6000, "max_attempts": 2})
		}
		config["routes"] = list
	}
}

// calmDown ends what lasts.
func (s *gatewaySoak) calmDown() {
	s.store.SetMode(platformstore.ModeAvailable)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, c := range s.cutters {
		c.delay.Store(0)
		c.sever() // silent connections would have to be found out first
	}
}

// misbehaviours are what a worker does with its next requests. Engines go on giving
// streams, so that what callers are to get stays the same.
func misbehaviours(w *worker.Worker) []worker.Behaviour {
	events := 0
	if serviceOf(w) == llmService {
		events = streamEvents
	}
	return []worker.Behaviour{{DropConnection: true}, {Reject: true},
		{Events: events, ForeignResponseFirst: true, AbortAfterEvents: -1}, {Events: streamEvents, AbortAfterEvents: 3},
		{Events: events, CloseDelimited: true, AbortAfterEvents: -1}, {Events: events, OmitSeal: true, AbortAfterEvents: -1}}
}

func serviceOf(w *worker.Worker) string {
	if strings.HasPrefix(w.ID, "i-"+llmService) {
		return llmService
	}
	return appService
}

// replace ends a worker without a word and starts another of its service.
func (s *gatewaySoak) replace(i int) {
	old := s.fleet.workers[i]
	next, err := s.addWorker(serviceOf(old))
	if err != nil {
		s.violate("no worker: %v", err)
		return
	}
	s.mu.Lock()
	s.workers = append(s.workers, next)
	s.mu.Unlock()
	old.Close()
	s.unregister(old)
	s.fleet.mu.Lock()
	s.fleet.workers = append(s.fleet.workers[:i], s.fleet.workers[i+1:]...)
	s.fleet.mu.Unlock()
}

func (s *gatewaySoak) restart(g *gatewayProc) {
	s.mu.Lock()
	s.restarts++
	s.mu.Unlock()
	if err := s.start(g); err != nil {
		s.violate("%s does not start: %v", g.host, err)
	}
}

// startAgain ends a worker without a word and starts it again under its ID after a
// while, where it was or at another address.
func (s *gatewaySoak) startAgain(ctx context.Context, i int, elsewhere bool, after time.Duration) {
	old := s.fleet.workers[i]
	old.Close()
	wait(ctx, after)
	address := old.Address()
	if elsewhere {
		address = "127.0.0.1:0"
		s.forgetCutter(old.ID)
	}
	next, err := worker.StartAt(old.ID, address)
	if err != nil {
		s.violate("the worker %s does not start again: %v", old.ID, err)
		return
	}
	if serviceOf(next) == llmService {
		next.SetBehaviour(wholeStream)
	}
	next.StartedMS = max(next.StartedMS, old.StartedMS+1)
	s.fleet.mu.Lock()
	s.fleet.workers[i] = next
	s.fleet.mu.Unlock()
	s.mu.Lock()
	s.workers = append(s.workers, next)
	s.mu.Unlock()
	if err := s.register(next, serviceOf(next), "ready"); err != nil {
		s.violate("the worker %s is not listed again: %v", old.ID, err)
	}
}

// spoilEntry has another writer overwrite a worker's entry for a while.
func (s *gatewaySoak) spoilEntry(ctx context.Context, w *worker.Worker, pause time.Duration) {
	s.store.Put(platformstore.TopicServers, w.ID, []byte(`{"service":"`+serviceOf(w)+`","address":7,"state":"ready"`))
	s.store.Put(platformstore.TopicServers, "someone-else", []byte{0, 255})
	wait(ctx, pause)
	if err := s.register(w, serviceOf(w), "ready"); err != nil {
		s.violate("the worker %s is not listed again: %v", w.ID, err)
	}
}
