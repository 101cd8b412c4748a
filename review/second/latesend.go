package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["late-send"] = playLateSend }

const (
	// streamEvents and streamPause are the stream of a question: 58 events on average on the sheet, up to 191.
	streamEvents, streamPause = 64, 80 * time.Millisecond
	// openAfter is when the consumers open their channels after SIGTERM, while the balancer still sends new channels.
	openAfter = 700 * time.Millisecond
	// sendAfter is when the first of them sends its request, sendGap the time to the next one. A channel is open for
	// less than header_timeout_ms, 3,000 ms, before the request is sent.
	sendAfter, sendGap = 3200 * time.Millisecond, 60 * time.Millisecond
	lateConsumers      = 6
	timeLimit          = 15 * time.Second
)

// playLateSend stops a gateway by SIGTERM while streams run. Consumers that have opened a channel in the first second
// send their requests on it 3.2 s after the SIGTERM or a little later.
func playLateSend(rec *recorder, trouble bool) (string, error) {
	f, err := newFleet(rec, []map[string]any{
		route("puxa403", "non_idempotent", plainService, map[string]any{"timeout_ms": 600, "target_latency_ms": 100}),
		route("pufi791", "streaming", modelService, map[string]any{"target_gap_ms": 150, "session_affinity": true}),
	})
	if err != nil {
		return "", err
	}
	defer f.close()
	if err := f.addWorkers(3, plainService, answerPlain); err != nil {
		return "", err
	}
	if err := f.addWorkers(3, modelService, answerStream(streamEvents, streamPause)); err != nil {
		return "", err
	}
	if err := f.startGateways(3); err != nil {
		return "", err
	}
	g := f.gateways[0]
	balancer := watchReadiness(f, g)
	defer balancer.stop()

	var wg sync.WaitGroup
	for i := range 3 { // streams that run when SIGTERM comes
		c, err := open(g.front)
		if err != nil {
			return "", err
		}
		wg.Go(func() {
			defer c.close()
			id := fmt.Sprintf("early%d", i)
			rec.printf("%s is sent to %s", id, g.name)
			a := c.send(request("pufi791", id, "question", timeLimit, prompt(id)...), timeLimit)
			rec.printf("%s: %s", id, a)
		})
	}
	time.Sleep(time.Second)
	start := time.Now()
	if trouble {
		f.signal(g, syscall.SIGTERM)
	}
	time.Sleep(time.Until(start.Add(openAfter)))
	if !balancer.inRotation() {
		return "", fmt.Errorf("%s is out of rotation already", g.name)
	}
	answers := make([]answer, lateConsumers)
	for i := range answers {
		c, err := open(g.front)
		if err != nil {
			return "", err
		}
		rec.printf("late%d opens a channel to %s, which is in rotation", i, g.name)
		wg.Go(func() {
			defer c.close()
			time.Sleep(time.Until(start.Add(sendAfter + time.Duration(i)*sendGap)))
			id := fmt.Sprintf("late%d", i)
			rec.printf("%s is sent, %.3f s after the SIGTERM", id, time.Since(start).Seconds())
			answers[i] = c.send(request("pufi791", id, "question", timeLimit, prompt(id)...), timeLimit)
			rec.printf("%s, %.3f s after the SIGTERM: %s", id, time.Since(start).Seconds(), answers[i])
		})
	}
	wg.Wait()
	lost := 0
	for i, a := range answers {
		passedOn := len(runsOf(f.workers, fmt.Sprintf("late%d", i))) > 0
		inTime := a.endedAt.Sub(start) <= (graceSeconds+1)*time.Second
		if passedOn && inTime && (!a.whole() || a.status == 502 || a.status == 504) {
			lost++
		}
	}
	if lost == 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d of %d requests were read and passed on to a worker, which was at work on them, and got no complete answer", lost, lateConsumers), nil
}

// balancer asks a gateway for its readiness once a second and takes it out of rotation after two misses.
type balancer struct {
	mu     sync.Mutex
	misses int
	done   chan struct{}
}

func watchReadiness(f *fleet, g *gateway) *balancer {
	b := &balancer{done: make(chan struct{})}
	go func() {
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-b.done:
				return
			case <-tick.C:
			}
			ready := g.isReady()
			b.mu.Lock()
			b.misses++
			if ready {
				b.misses = 0
			}
			f.rec.printf("balancer: %s ready: %t", g.name, ready)
			b.mu.Unlock()
		}
	}()
	return b
}

func (b *balancer) inRotation() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misses < 2
}

func (b *balancer) stop() { close(b.done) }
