package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Dimensions of the case extra-answer.
const (
	appService = "wuno96b"
	// slipService is a second application service, whose worker is sound.
	slipService = "xano55b"
	appSlots    = 6
	appQueue    = 3
	appWork     = 5 * time.Millisecond
	// extraShare is the share of doubled answers of the faulty worker.
	extraShare = 0.03
	// requestsPerSecond is what consumers send to all gateways together. One in slipOneIn goes to slipService; the
	// worker of appService can run about 1,000.
	requestsPerSecond = 850
	slipOneIn         = 17
	extraDuration     = 75 * time.Second
	consumerDeadline  = 4 * time.Second
)

// attempt is one consumer attempt.
type attempt struct {
	id     string
	status int // 0 if there was no answer
}

// runExtraAnswer plays two application services with one worker each. One service is busy: its worker rejects requests
// while it is full. This worker sends some of its answers twice.
func runExtraAnswer(d *deployment) (bool, error) {
	var workers []*appWorker
	for i, service := range []string{appService, slipService} {
		share := 0.0
		if service == appService {
			share = extraShare
		}
		w, err := startAppWorker(d, fmt.Sprintf("i-app%d", i+1), appSlots, appQueue, appWork, share)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
		d.publishServer(w.id, service, w.address(), fmt.Sprintf("zone-%d", i+1), "ready", appSlots)
	}
	d.publishConfig(7, []any{receiptRoute("r-receipt", "/puxa403/", appService), receiptRoute("r-slip", "/cufi504/", slipService)},
		[]any{map[string]any{"name": appService, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": slipService, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}})
	for i := range 3 {
		if err := d.startGateway(fmt.Sprintf("zone-%d", i+1)); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second) // until the gateways know each other
	attempts := d.sendReceipts()
	time.Sleep(time.Second) // until the last runs have begun
	runs := map[string]int{}
	for _, w := range workers {
		w.mu.Lock()
		for id, n := range w.runs {
			runs[id] += n
		}
		d.summaryf("%s: %d requests run, %d rejected, %d extra answers sent", w.id, len(w.runs), w.rejected, w.extras)
		w.mu.Unlock()
	}
	answers, refused, twice := map[int]int{}, 0, 0
	for _, a := range attempts {
		answers[a.status]++
		if (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && runs[a.id] > 0 {
			refused++
			d.summaryf("REFUSED: %s was answered %d, and has run %d times", a.id, a.status, runs[a.id])
		}
		if runs[a.id] > 1 {
			twice++
			d.summaryf("TWICE: %s has run %d times", a.id, runs[a.id])
		}
	}
	d.summaryf("%d consumer attempts, answers by status: %v; answered as not run although they ran: %d; run twice: %d", len(attempts), answers, refused, twice)
	if len(runs) == 0 {
		return false, errors.New("no request has run")
	}
	return refused == 0 && twice == 0, nil
}

// receiptRoute returns a route of requests that may run once.
func receiptRoute(name, prefix, service string) any {
	return map[string]any{"name": name, "host": consumerHost, "path_prefix": prefix, "kind": "non_idempotent", "timeout_ms": 4000,
		"target_latency_ms": 300, "priority": 2, "service": service, "max_attempts": 1, "anonymous_access": false}
}

// sendReceipts sends requests to the gateways at random times and returns the attempts.
func (d *deployment) sendReceipts() []attempt {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 200, IdleConnTimeout: 10 * time.Second}, Timeout: consumerDeadline}
	var (
		mu   sync.Mutex
		done []attempt
		all  sync.WaitGroup
	)
	d.beginTraffic()
	next := time.Now()
	end := next.Add(extraDuration)
	for n := 0; time.Now().Before(end); n++ {
		next = next.Add(time.Duration(rand.ExpFloat64() * float64(time.Second) / requestsPerSecond))
		time.Sleep(time.Until(next))
		g := d.gateways[n%len(d.gateways)]
		prefix := "/puxa403/"
		if n%slipOneIn == 0 {
			prefix = "/cufi504/"
		}
		all.Go(func() {
			left := consumerDeadline
			for try := range 2 { // the sheet gives consumers one retry
				began := time.Now()
				a, retryAfter := d.sendReceipt(client, g, prefix, fmt.Sprintf("%08x%08x", rand.Uint32(), n), left)
				mu.Lock()
				done = append(done, a)
				mu.Unlock()
				left -= time.Since(began)
				if retryAfter < 0 || retryAfter > left/3 || try > 0 {
					return
				}
				time.Sleep(retryAfter)
				left -= retryAfter
			}
		})
	}
	all.Wait()
	return done
}

// sendReceipt sends one attempt. retryAfter is negative unless the answer promises that the request has not run.
func (d *deployment) sendReceipt(client *http.Client, g *gatewayProcess, prefix, id string, left time.Duration) (a attempt, retryAfter time.Duration) {
	a.id, retryAfter = id, -1
	req, err := http.NewRequest(http.MethodPost, "http://"+g.front()+prefix+"2f", strings.NewReader("receipt "+id))
	if err != nil {
		return a, retryAfter
	}
	req.Host = consumerHost
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("Api-Key", consumerKey)
	req.Header.Set("X-Request-Deadline", strconv.FormatInt(left.Milliseconds(), 10))
	d.logf("consumer sends %s to %s", id, g.name)
	resp, err := client.Do(req)
	if err != nil {
		d.logf("consumer gets no answer to %s: %v", id, err)
		return a, retryAfter
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		d.logf("consumer gets a broken answer to %s: %v", id, err)
		return a, retryAfter
	}
	a.status = resp.StatusCode
	d.logf("consumer gets %d for %s: %s", a.status, id, body)
	if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
		seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err == nil {
			retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	return a, retryAfter
}
