package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["second-refusal"] = playSecondRefusal }

const (
	// shedShare is the share of the requests that a grey worker refuses, shedFor how long and shedPause the time until
	// the next such disturbance.
	shedShare          = 0.45
	shedFor, shedPause = 4 * time.Second, 5 * time.Second
	shedTimes          = 8
	// garbledShare is the share of a worker's answers after which it may send another one, garblers the number of
	// workers of the three that do so: less than a share of 0.6.
	garbledShare = 0.03
	garblers     = 1
	receiptGap   = 15 * time.Millisecond // between two receipts
	receiptLimit = 600 * time.Millisecond
)

// greyWorker makes a worker refuse part of its requests, and send some refusals a second time.
type greyWorker struct {
	garbles bool

	mu       sync.Mutex
	rnd      *rand.Rand
	shedding bool
	answers  int
	extra    int
	// refused maps a channel to the request that was refused on it last.
	refused map[*worker]map[string]string
}

const refusalHeaders = "X-Not-Executed: full\r\n"

// answer refuses or runs a request. If the request before on this channel was refused and this one bears the same ID,
// a second copy of the refusal arrives late, where this answer is due.
func (g *greyWorker) answer(x *exchange) bool {
	channel := x.conn.RemoteAddr().String()
	g.mu.Lock()
	g.answers++
	if g.refused[x.worker] == nil {
		g.refused[x.worker] = map[string]string{}
	}
	before := g.refused[x.worker][channel]
	delete(g.refused[x.worker], channel)
	refuse := g.shedding && g.rnd.Float64() < shedShare
	late := g.garbles && g.shedding && before == x.id && !refuse && float64(g.extra+1) <= garbledShare*float64(g.answers)
	if late {
		g.extra++
	}
	if refuse {
		g.refused[x.worker][channel] = x.id
	}
	g.mu.Unlock()
	if late {
		x.worker.rec.printf("worker %s: a second copy of its refusal of %s arrives late on the channel", x.worker.id, x.id)
		if !x.send(http.StatusServiceUnavailable, refusalHeaders, "") {
			return false
		}
	}
	if refuse {
		x.worker.rec.printf("worker %s refuses %s: 503, X-Not-Executed", x.worker.id, x.id)
		return x.send(http.StatusServiceUnavailable, refusalHeaders, "")
	}
	return answerPlain(x)
}

// playSecondRefusal posts receipts while the workers shed a part of their requests and one of them sends a few
// of its refusals twice.
func playSecondRefusal(rec *recorder, trouble bool) (string, error) {
	f, err := newFleet(rec, []map[string]any{
		route("puxa403", "non_idempotent", plainService, map[string]any{"timeout_ms": 600, "target_latency_ms": 100, "priority": 2}),
	})
	if err != nil {
		return "", err
	}
	defer f.close()
	var grey []*greyWorker
	for i := range 3 {
		g := &greyWorker{garbles: trouble && i < garblers, rnd: rand.New(rand.NewPCG(1, uint64(i))), refused: map[*worker]map[string]string{}}
		grey = append(grey, g)
		if err := f.addWorkers(1, plainService, g.answer); err != nil {
			return "", err
		}
	}
	if err := f.startGateways(3); err != nil {
		return "", err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range shedTimes {
			time.Sleep(shedPause)
			setShedding(grey, trouble)
			rec.printf("the workers shed %.0f in 100 of their requests for %s: %t", 100*shedShare, shedFor, trouble)
			time.Sleep(shedFor)
			setShedding(grey, false)
		}
	}()
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		broken []string
	)
	for n := 0; ; n++ {
		select {
		case <-done:
			wg.Wait()
			for i, g := range grey {
				rec.printf("worker %d: %d answers, %d second copies", i, g.answers, g.extra)
			}
			return strings.Join(broken, "; "), nil
		case <-time.After(receiptGap):
		}
		wg.Go(func() {
			if text := postReceipt(f, n); text != "" {
				mu.Lock()
				broken = append(broken, text)
				mu.Unlock()
			}
		})
	}
}

func setShedding(grey []*greyWorker, shedding bool) {
	for _, g := range grey {
		g.mu.Lock()
		g.shedding = shedding
		g.mu.Unlock()
	}
}

// postReceipt posts a receipt, once more after a promise that it has not run, and returns how a rule was broken, or
// an empty text. Each consumer attempt has its own ID.
func postReceipt(f *fleet, n int) string {
	deadline := time.Now().Add(receiptLimit)
	for attempt := range 2 {
		id := fmt.Sprintf("receipt%d-%d", n, attempt+1)
		a, broken := postOnce(f, f.gateways[(n+attempt)%len(f.gateways)], id, time.Until(deadline))
		if broken != "" && attempt == 0 {
			retryAfter(a, deadline)
			again, _ := postOnce(f, f.gateways[(n+1)%len(f.gateways)], fmt.Sprintf("receipt%d-2", n), time.Until(deadline))
			if again.status == http.StatusOK {
				f.rec.printf("receipt%d has been posted twice", n)
			}
		}
		if broken != "" || a.status != 429 && a.status != 503 {
			return broken
		}
		retryAfter(a, deadline)
	}
	return ""
}

// retryAfter waits for the time in Retry-After, up to one third of the time left.
func retryAfter(a answer, deadline time.Time) {
	seconds, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
	if err == nil {
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), time.Until(deadline)/3))
	}
}

// postOnce makes one consumer attempt and returns its answer and how a rule was broken, or an empty text.
func postOnce(f *fleet, g *gateway, id string, limit time.Duration) (a answer, broken string) {
	c, err := open(g.front)
	if err != nil {
		return answer{err: err}, ""
	}
	defer c.close()
	f.rec.printf("%s is sent to %s", id, g.name)
	a = c.send(request("puxa403", id, "receipt", limit), limit)
	f.rec.printf("%s: %s", id, a)
	if a.status == 429 || a.status == 503 {
		time.Sleep(settleTime) // a run that begins now counts too
	}
	runs := runsOf(f.workers, id)
	switch {
	case len(runs) > 1:
		broken = fmt.Sprintf("TWICE: %s has run %d times", id, len(runs))
	case len(runs) > 0 && (a.status == 429 || a.status == 503):
		broken = fmt.Sprintf("REFUSED: %s was answered %d and has run at worker %s", id, a.status, runs[0].worker)
	}
	if broken != "" {
		f.rec.printf("%s", broken)
	}
	return a, broken
}

// settleTime is the time after a refusal in which a worker may still begin to run the request.
const settleTime = 20 * time.Millisecond
