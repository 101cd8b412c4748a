package permit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// plainRequest returns a request without a prompt.
func plainRequest(id string, priority int) Ask {
	return Ask{ID: id, Plain: true, Priority: priority, FirstTokenTarget: 300 * time.Millisecond, FirstTokenTimeout: 2 * time.Second, ResponseTimeout: 5 * time.Second}
}

// rateLimitedQueue returns a queue with the given number of engines, some of which state a rate.
func rateLimitedQueue(engines, limited int, rate float64) (*Queue, time.Time) {
	q, now := newQueue(engines)
	for i := range limited {
		q.limiter.SetRate(fmt.Sprint("e", i), rate, now)
	}
	return q, now
}

// The stated rate of a server applies even if the server caches the prompt's shared prefix.
func TestAdvertisedRateLimitIsNotExceeded(t *testing.T) {
	g := NewWithT(t)
	q, now := rateLimitedQueue(2, 1, 1)
	granted := map[string]int{}
	end := now.Add(20 * time.Second)
	for i := 0; now.Before(end); i++ {
		a := sharedPrefixRequest(fmt.Sprint(i), "part", 100)
		if answer := q.Submit(a, now); answer.Verdict == Granted {
			granted[answer.Engine]++
		}
		q.RecordFirstToken(a.ID, 5*time.Millisecond, now)
		q.Finish(a.ID, StreamStats{}, now)
		q.Poll(now)
		now = now.Add(20 * time.Millisecond)
	}
	g.Expect(granted["e0"]).To(BeNumerically("<=", 21))
	g.Expect(granted["e0"]).To(BeNumerically(">=", 5), "only its responses show when the limit ends")
	g.Expect(granted["e0"] + granted["e1"]).To(Equal(1000))
}

func TestPlainRequestsRunConcurrently(t *testing.T) {
	g := NewWithT(t)
	q, now := rateLimitedQueue(3, 1, 0)
	granted := map[string]int{}
	for i := range 40 {
		answer := q.Submit(plainRequest(fmt.Sprint(i), 0), now)
		g.Expect(answer.Verdict).To(Equal(Granted))
		granted[answer.Engine]++
	}
	g.Expect(granted["e1"]).To(BeNumerically("~", granted["e2"], 1))
	for i := range 40 {
		q.Finish(fmt.Sprint(i), StreamStats{}, now)
	}
	g.Expect(q.Idle()).To(BeTrue())
}

// Plain servers that fail some requests stay usable, as there may be no others.
func TestFailingPlainServerGetsFewerRequests(t *testing.T) {
	g := NewWithT(t)
	q, now := rateLimitedQueue(2, 0, 0)
	for i := range 20 {
		answer := q.Submit(plainRequest(fmt.Sprint(i), 0), now)
		q.Finish(fmt.Sprint(i), StreamStats{EngineFailed: answer.Engine == "e0"}, now)
	}
	g.Expect(q.engines["e0"].usable(now)).To(BeTrue())
	granted := map[string]int{}
	for i := range 10 {
		granted[q.Submit(plainRequest(fmt.Sprint("more-", i), 0), now).Engine]++
	}
	g.Expect(granted["e1"]).To(Equal(10))
}

// When all engines state a rate and demand exceeds the total, priority decides: no urgent request is
// refused while less urgent ones are granted, refusals are immediate and include a retry time, and
// no request waits longer than its timeout.
func TestPriorityDecidesWhenAllEnginesAreRateLimited(t *testing.T) {
	for _, kind := range []string{"plain", "prompt"} {
		t.Run(kind, func(t *testing.T) {
			g := NewWithT(t)
			q, now := rateLimitedQueue(3, 3, 4) // 12 a second
			sent, refused := map[int]int{}, map[int]int{}
			rank, arrived := map[string]int{}, map[string]time.Time{}
			take := func(a Decision) {
				switch a.Verdict {
				case Granted:
					sent[rank[a.ID]]++
					q.RecordFirstToken(a.ID, 10*time.Millisecond, now)
					q.Finish(a.ID, StreamStats{}, now)
				case Refused:
					refused[rank[a.ID]]++
					g.Expect(a.RateLimitedEngines).To(BeNumerically(">", 0))
					g.Expect(a.Wait).To(BeNumerically(">=", minRetryAfter))
					g.Expect(now.Sub(arrived[a.ID])).To(BeNumerically("<", 2*time.Second))
				default:
					g.Expect(a.Verdict).To(Equal(Queued))
				}
			}
			for i := range 500 { // 8 urgent and 17 others a second
				a := plainRequest(fmt.Sprint(i), 6)
				if kind == "prompt" {
					a.Plain, a.UniqueTokens = false, 300
				}
				if i%25 < 8 {
					a.Priority = 0
				}
				rank[a.ID], arrived[a.ID] = a.Priority, now
				take(q.Submit(a, now))
				for _, answer := range q.Poll(now) {
					take(answer)
				}
				now = now.Add(40 * time.Millisecond)
			}
			t.Logf("sent %v, refused %v", sent, refused)
			g.Expect(refused[0]).To(BeZero())
			g.Expect(sent[6]).To(BeNumerically(">=", 60), "the capacity left by urgent requests")
			g.Expect(sent[0] + sent[6]).To(BeNumerically("~", 12*20, 15))
			g.Expect(refused[6]).To(BeNumerically(">", 200))
		})
	}
}

// Without a report of its end, a request must not occupy capacity for minutes.
func TestGrantExpiresAfterResponseTimeout(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(plainRequest("a", 0), now)
	now = now.Add(5*time.Second + responseTimeoutGrace + time.Millisecond)
	q.Poll(now)
	g.Expect(q.Idle()).To(BeTrue())
}

// Requests do not keep waiting for engines that are all shutting down.
func TestWaitingRequestsEndWhenNoEngineAccepts(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(backgroundRequest("running", longPromptTokens), now)
	g.Expect(q.Submit(backgroundRequest("waiting", longPromptTokens), now).Verdict).To(Equal(Queued))
	leaving := acceptingEngines(1)
	leaving[0].Accepting = false
	q.SetEngines(leaving)
	now = now.Add(sweepInterval)
	due := q.Poll(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].Verdict).To(Equal(NoEngine))
	g.Expect(q.Submit(backgroundRequest("later", longPromptTokens), now).Verdict).To(Equal(NoEngine))
}
