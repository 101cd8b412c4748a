package permit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// plainRequest returns a request without a prompt to prefill.
func plainRequest(id string, priority int) Ask {
	return Ask{ID: id, Plain: true, Priority: priority, FirstTokenTarget: 300 * time.Millisecond, FirstTokenTimeout: 2 * time.Second, ResponseTimeout: 5 * time.Second}
}

// rateLimitedQueue returns a queue with the given number of engines, of which the first limited ones have
// a rate limit in requests per second.
func rateLimitedQueue(engines, limited int, rate float64) (*Queue, time.Time) {
	q, now := newQueue(engines)
	for i := range limited {
		q.limiter.SetRate(fmt.Sprint("e", i), rate, now)
	}
	return q, now
}

// An engine gets no more requests than its rate limit allows, even if it caches the shared prefix of all
// prompts.
func TestAdvertisedRateLimitIsNotExceeded(t *testing.T) {
	g := NewWithT(t)
	q, now := rateLimitedQueue(2, 1, 1)
	granted := map[string]int{}
	end := now.Add(20 * time.Second)
	for i := 0; now.Before(end); i++ {
		a := sharedPrefixRequest(fmt.Sprint(i), "prefix", 100)
		if decision := q.Submit(a, now); decision.Verdict == Granted {
			granted[decision.Engine]++
		}
		q.RecordFirstToken(a.ID, 5*time.Millisecond, now)
		q.Finish(a.ID, StreamStats{}, now)
		q.Poll(now)
		now = now.Add(20 * time.Millisecond)
	}
	g.Expect(granted["e0"]).To(BeNumerically("<=", 21))
	g.Expect(granted["e0"]).To(BeNumerically(">=", 5), "a server needs requests to lift its limit in a response")
	g.Expect(granted["e0"] + granted["e1"]).To(Equal(1000))
}

func TestPlainRequestsRunConcurrently(t *testing.T) {
	g := NewWithT(t)
	q, now := rateLimitedQueue(3, 1, 0)
	granted := map[string]int{}
	for i := range 40 {
		decision := q.Submit(plainRequest(fmt.Sprint(i), 0), now)
		g.Expect(decision.Verdict).To(Equal(Granted))
		granted[decision.Engine]++
	}
	g.Expect(granted["e1"]).To(BeNumerically("~", granted["e2"], 1))
	for i := range 40 {
		q.Finish(fmt.Sprint(i), StreamStats{}, now)
	}
	g.Expect(q.Idle()).To(BeTrue())
}

// Plain servers that fail requests get no backoff, as there may be no other server, but their cost exceeds
// that of healthy servers.
func TestFailingPlainServerGetsFewerRequests(t *testing.T) {
	g := NewWithT(t)
	q, now := rateLimitedQueue(2, 0, 0)
	for i := range 20 {
		decision := q.Submit(plainRequest(fmt.Sprint(i), 0), now)
		q.Finish(fmt.Sprint(i), StreamStats{EngineFailed: decision.Engine == "e0"}, now)
	}
	g.Expect(q.engines["e0"].usable(now)).To(BeTrue())
	granted := map[string]int{}
	for i := range 10 {
		granted[q.Submit(plainRequest(fmt.Sprint("more-", i), 0), now).Engine]++
	}
	g.Expect(granted["e1"]).To(Equal(10))
}

// When all engines have a rate limit and the load exceeds the sum of the limits, requests are granted by
// priority: no urgent request is refused while less urgent ones are granted, refusals include a retry
// time, and no request waits longer than its timeout.
func TestPriorityDecidesWhenAllEnginesAreRateLimited(t *testing.T) {
	for _, kind := range []string{"plain", "prompt"} {
		t.Run(kind, func(t *testing.T) {
			g := NewWithT(t)
			q, now := rateLimitedQueue(3, 3, 4)              // 12 requests per second in total
			granted, refused := map[int]int{}, map[int]int{} // by priority
			priority, arrived := map[string]int{}, map[string]time.Time{}
			record := func(d Decision) {
				switch d.Verdict {
				case Granted:
					granted[priority[d.ID]]++
					q.RecordFirstToken(d.ID, 10*time.Millisecond, now)
					q.Finish(d.ID, StreamStats{}, now)
				case Refused:
					refused[priority[d.ID]]++
					g.Expect(d.RateLimitedEngines).To(BeNumerically(">", 0))
					g.Expect(d.Wait).To(BeNumerically(">=", minRetryAfter))
					g.Expect(now.Sub(arrived[d.ID])).To(BeNumerically("<", 2*time.Second))
				default:
					g.Expect(d.Verdict).To(Equal(Queued))
				}
			}
			for i := range 500 { // 8 urgent and 17 other requests per second
				a := plainRequest(fmt.Sprint(i), 6)
				if kind == "prompt" {
					a.Plain, a.UniqueTokens = false, 300
				}
				if i%25 < 8 {
					a.Priority = 0
				}
				priority[a.ID], arrived[a.ID] = a.Priority, now
				record(q.Submit(a, now))
				for _, decision := range q.Poll(now) {
					record(decision)
				}
				now = now.Add(40 * time.Millisecond)
			}
			t.Logf("granted %v, refused %v (by priority)", granted, refused)
			g.Expect(refused[0]).To(BeZero())
			g.Expect(granted[6]).To(BeNumerically(">=", 60), "the capacity left by urgent requests")
			g.Expect(granted[0] + granted[6]).To(BeNumerically("~", 12*20, 15))
			g.Expect(refused[6]).To(BeNumerically(">", 200))
		})
	}
}

// A granted request whose end is not reported must not hold capacity for minutes.
func TestGrantExpiresAfterResponseTimeout(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(plainRequest("a", 0), now)
	now = now.Add(5*time.Second + responseTimeoutGrace + time.Millisecond)
	q.Poll(now)
	g.Expect(q.Idle()).To(BeTrue())
}

// Requests do not wait while all engines are shutting down: the verdict is NoEngine immediately.
func TestWaitingRequestsEndWhenNoEngineAccepts(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(backgroundRequest("running", longPromptTokens), now)
	g.Expect(q.Submit(backgroundRequest("waiting", longPromptTokens), now).Verdict).To(Equal(Queued))
	shuttingDown := acceptingEngines(1)
	shuttingDown[0].Accepting = false
	q.SetEngines(shuttingDown)
	now = now.Add(sweepInterval)
	decisions := q.Poll(now)
	g.Expect(decisions).To(HaveLen(1))
	g.Expect(decisions[0].Verdict).To(Equal(NoEngine))
	g.Expect(q.Submit(backgroundRequest("later", longPromptTokens), now).Verdict).To(Equal(NoEngine))
}
