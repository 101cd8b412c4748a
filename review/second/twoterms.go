package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["two-terms"] = playTwoTerms }

const (
	// secondTermAfter is the time between the two SIGTERMs.
	secondTermAfter = time.Second
	// streamsAtStop is the number of streams that run at the gateway when it is stopped.
	streamsAtStop = 8
)

// playTwoTerms stops a gateway by SIGTERM while streams run, and sends SIGTERM once more while it finishes them.
// Without trouble there is one SIGTERM.
func playTwoTerms(rec *recorder, trouble bool) (string, error) {
	f, err := newFleet(rec, []map[string]any{
		route("pufi791", "streaming", modelService, map[string]any{"target_gap_ms": 150, "session_affinity": true}),
	})
	if err != nil {
		return "", err
	}
	defer f.close()
	if err := f.addWorkers(3, modelService, answerStream(streamEvents, streamPause)); err != nil {
		return "", err
	}
	if err := f.startGateways(3); err != nil {
		return "", err
	}
	g := f.gateways[0]
	answers := make([]answer, streamsAtStop)
	var wg sync.WaitGroup
	for i := range answers {
		c, err := open(g.front)
		if err != nil {
			return "", err
		}
		wg.Go(func() {
			defer c.close()
			id := fmt.Sprintf("question%d", i)
			rec.printf("%s is sent to %s", id, g.name)
			answers[i] = c.send(request("pufi791", id, "question", timeLimit, prompt(id)...), timeLimit)
			rec.printf("%s: %s", id, answers[i])
		})
	}
	time.Sleep(time.Second)
	f.signal(g, syscall.SIGTERM)
	if trouble {
		time.Sleep(secondTermAfter)
		f.signal(g, syscall.SIGTERM)
	}
	wg.Wait()
	lost := 0
	for i, a := range answers {
		if len(runsOf(f.workers, fmt.Sprintf("question%d", i))) > 0 && !a.whole() {
			lost++
		}
	}
	if lost == 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d of %d requests were passed on to a worker, which was at work on them, and their channels ended without a complete answer", lost, streamsAtStop), nil
}
