package permit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// plain is an ask without a prompt.
func plain(id string, rank int) Ask {
	return Ask{ID: id, Plain: true, Priority: rank, FirstTokenTarget: 300 * time.Millisecond, FirstTokenTimeout: 2 * time.Second, ResponseTimeout: 5 * time.Second}
}

// limitedQueue is a queue of so many engines, of which so many state a rate.
func limitedQueue(engines, limited int, rate float64) (*Queue, time.Time) {
	q, now := newQueue(engines)
	for i := range limited {
		q.limits.SetRate(fmt.Sprint("e", i), rate, now)
	}
	return q, now
}

// What a server states of its rate binds wherever the prompt's shared part is kept.
func TestAnEngineGetsNoMoreThanItsStatedRate(t *testing.T) {
	g := NewWithT(t)
	q, now := limitedQueue(2, 1, 1)
	granted := map[string]int{}
	end := now.Add(20 * time.Second)
	for i := 0; now.Before(end); i++ {
		a := sharing(fmt.Sprint(i), "part", 100)
		if answer := q.Submit(a, now); answer.Verdict == Granted {
			granted[answer.Engine]++
		}
		q.RecordFirstToken(a.ID, 5*time.Millisecond, now)
		q.Finish(a.ID, StreamStats{}, now)
		q.Poll(now)
		now = now.Add(20 * time.Millisecond)
	}
	g.Expect(granted["e0"]).To(BeNumerically("<=", 21))
	g.Expect(granted["e0"]).To(BeNumerically(">=", 5), "only its answers tell when the limit ends")
	g.Expect(granted["e0"] + granted["e1"]).To(Equal(1000))
}

func TestPlainRequestsRunSideBySide(t *testing.T) {
	g := NewWithT(t)
	q, now := limitedQueue(3, 1, 0)
	granted := map[string]int{}
	for i := range 40 {
		answer := q.Submit(plain(fmt.Sprint(i), 0), now)
		g.Expect(answer.Verdict).To(Equal(Granted))
		granted[answer.Engine]++
	}
	g.Expect(granted["e1"]).To(BeNumerically("~", granted["e2"], 1))
	for i := range 40 {
		q.Finish(fmt.Sprint(i), StreamStats{}, now)
	}
	g.Expect(q.Idle()).To(BeTrue())
}

// A server is not given up because some of its plain answers fail: others may be all there are.
func TestAPlainServerThatFailsRequestsIsAskedLess(t *testing.T) {
	g := NewWithT(t)
	q, now := limitedQueue(2, 0, 0)
	for i := range 20 {
		answer := q.Submit(plain(fmt.Sprint(i), 0), now)
		q.Finish(fmt.Sprint(i), StreamStats{EngineFailed: answer.Engine == "e0"}, now)
	}
	g.Expect(q.engines["e0"].usable(now)).To(BeTrue())
	granted := map[string]int{}
	for i := range 10 {
		granted[q.Submit(plain(fmt.Sprint("more-", i), 0), now).Engine]++
	}
	g.Expect(granted["e1"]).To(Equal(10))
}

// Where all limits together are less than what is asked, rank decides: nothing urgent is refused while
// something less urgent is sent, refusals come at once and tell when to come back, and nobody waits for
// longer than it may.
func TestWhereAllEnginesStateARateRankDecides(t *testing.T) {
	for _, kind := range []string{"plain", "prompt"} {
		t.Run(kind, func(t *testing.T) {
			g := NewWithT(t)
			q, now := limitedQueue(3, 3, 4) // 12 a second
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
					g.Expect(a.Wait).To(BeNumerically(">=", shortestReturn))
					g.Expect(now.Sub(arrived[a.ID])).To(BeNumerically("<", 2*time.Second))
				default:
					g.Expect(a.Verdict).To(Equal(Queued))
				}
			}
			for i := range 500 { // 8 urgent and 17 others a second
				a := plain(fmt.Sprint(i), 6)
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
			g.Expect(sent[6]).To(BeNumerically(">=", 60), "what the urgent ones leave over")
			g.Expect(sent[0] + sent[6]).To(BeNumerically("~", 12*20, 15))
			g.Expect(refused[6]).To(BeNumerically(">", 200))
		})
	}
}

// A request of which nothing is heard any more does not take room for minutes.
func TestAGrantedRequestEndsWithItsDeadline(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(plain("a", 0), now)
	now = now.Add(5*time.Second + forgetAfterDeadline + time.Millisecond)
	q.Poll(now)
	g.Expect(q.Idle()).To(BeTrue())
}

// Nobody waits for engines that all leave.
func TestWhatWaitsIsToldAtOnceWhenAllEnginesLeave(t *testing.T) {
	g := NewWithT(t)
	q, now := newQueue(1)
	q.Submit(long("running", huge), now)
	g.Expect(q.Submit(long("waiting", huge), now).Verdict).To(Equal(Queued))
	leaving := names(1)
	leaving[0].Accepting = false
	q.SetEngines(leaving)
	now = now.Add(lookEvery)
	due := q.Poll(now)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].Verdict).To(Equal(NoEngine))
	g.Expect(q.Submit(long("later", huge), now).Verdict).To(Equal(NoEngine))
}
