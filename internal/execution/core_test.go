package execution

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/merlinpost/merlinpost/internal/admission"
	"github.com/merlinpost/merlinpost/internal/fault"
	"github.com/merlinpost/merlinpost/internal/receipt"
	"github.com/merlinpost/merlinpost/internal/wire"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// recorder is an Effects implementation that records the calls.
type recorder struct {
	sent    []wire.Message
	started []Run
	stopped []AttemptKey
	claims  []AttemptKey
}

func (r *recorder) Send(_ LinkID, m wire.Message) bool   { r.sent = append(r.sent, m); return true }
func (r *recorder) StartRun(run Run)                     { r.started = append(r.started, run) }
func (r *recorder) StopRun(k AttemptKey, _ int)          { r.stopped = append(r.stopped, k) }
func (r *recorder) AddLinkRequests(LinkID, int)          {}
func (r *recorder) ClaimKey(k AttemptKey, _ *wire.Offer) { r.claims = append(r.claims, k) }

// last returns the most recently sent message of type T.
func lastSent[T wire.Message](g Gomega, r *recorder) T {
	for i := len(r.sent) - 1; i >= 0; i-- {
		if m, ok := r.sent[i].(T); ok {
			return m
		}
	}
	g.Expect(r.sent).To(ContainElement(BeAssignableToTypeOf(*new(T))))
	panic("not reached")
}

func newCore(slots, tombstones int) (*Core, *recorder) {
	r := &recorder{}
	c := New(Config{Admission: admission.Config{Slots: slots, QueueLimit: 100, FloorWindow: time.Second, Preemption: true, MaxPreemptions: 8},
		MaxAttempts: 3, OrphanTimeout: 10 * time.Second, TombstoneRetention: time.Minute, MaxTombstones: tombstones}, epoch, r, func(string) bool { return true })
	c.LinkUp(epoch, 1, "router")
	return c, r
}

func newOffer(id string, tier uint8) *wire.Offer {
	return &wire.Offer{ID: id, Attempt: 1, Class: fmt.Sprint("class", tier), Tier: tier, StartTimeoutMS: 5000, RunTimeoutMS: 10000, Retryable: true,
		Preemptible: tier > 0, MaxTokens: 10, SendWindow: 8}
}

func newKeyedOffer(id string, digest uint64) *wire.Offer {
	o := newOffer(id, 0)
	o.Retryable, o.Kind, o.IdempotencyKey, o.BodyDigest, o.KeyRetentionMS = false, wire.KindService, "key", digest, 60000
	return o
}

func TestRepeatedKeyedCallsShareOneRun(t *testing.T) {
	g := NewWithT(t)
	c, r := newCore(4, 100)
	c.Offer(epoch, 1, newKeyedOffer("first", 7))
	c.Offer(epoch, 1, newKeyedOffer("again", 7))
	c.Offer(epoch, 1, newKeyedOffer("other body", 8))
	g.Expect(lastSent[*wire.OfferResponse](g, r).Fault.Code).To(Equal(string(fault.IdempotencyKeyConflict)))
	g.Expect(r.claims).To(HaveLen(1))
	g.Expect(r.started).To(BeEmpty(), "nothing starts before the claim is decided")
	c.ClaimDecided(epoch, r.claims[0], receipt.Run)
	g.Expect(r.started).To(HaveLen(1))
	c.Output(epoch, r.started[0].Key, 1, []byte("done"), 0)
	c.RunEnded(epoch, r.started[0].Key, 1, wire.End{Status: 200}, nil)
	answers := map[string]string{}
	for _, m := range r.sent {
		if chunk, ok := m.(*wire.Chunk); ok {
			answers[chunk.ID] += string(chunk.Data)
		}
	}
	g.Expect(answers).To(Equal(map[string]string{"first": "done", "again": "done"}))
}

func TestRepeatedCallReplacesCancelledFirstCall(t *testing.T) {
	g := NewWithT(t)
	c, r := newCore(4, 100)
	c.Offer(epoch, 1, newKeyedOffer("first", 7))
	c.Offer(epoch, 1, newKeyedOffer("again", 7))
	c.Cancel(epoch, 1, &wire.Cancel{ID: "first", Attempt: 1})
	g.Expect(lastSent[*wire.Cancelled](g, r).Ran).To(BeFalse())
	g.Expect(r.claims).To(Equal([]AttemptKey{{"first", 1}, {"again", 1}}))
	c.ClaimDecided(epoch, AttemptKey{"first", 1}, receipt.Run) // late decision for the cancelled call
	g.Expect(r.started).To(BeEmpty())
	c.ClaimDecided(epoch, AttemptKey{"again", 1}, receipt.Run)
	g.Expect(r.started).To(HaveLen(1))
}

func TestCancelDoesNotStopRunningKeyedCall(t *testing.T) {
	g := NewWithT(t)
	c, r := newCore(4, 100)
	c.Offer(epoch, 1, newKeyedOffer("first", 7))
	c.ClaimDecided(epoch, r.claims[0], receipt.Run)
	c.Cancel(epoch, 1, &wire.Cancel{ID: "first", Attempt: 1})
	g.Expect(lastSent[*wire.Cancelled](g, r).Ran).To(BeTrue())
	g.Expect(r.stopped).To(BeEmpty())
	c.Output(epoch, r.started[0].Key, 1, []byte("done"), 0)
	c.RunEnded(epoch, r.started[0].Key, 1, wire.End{Status: 200}, nil)
	c.Offer(epoch, 1, newKeyedOffer("again", 7))
	g.Expect(string(lastSent[*wire.Chunk](g, r).Data)).To(Equal("done"))
	g.Expect(r.started).To(HaveLen(1))
}

func TestOfferAfterCancelIsRefused(t *testing.T) {
	g := NewWithT(t)
	c, r := newCore(4, 100)
	c.Cancel(epoch, 1, &wire.Cancel{ID: "late", Attempt: 1})
	g.Expect(lastSent[*wire.Cancelled](g, r).Ran).To(BeFalse())
	c.Offer(epoch, 1, newOffer("late", 0))
	g.Expect(lastSent[*wire.OfferResponse](g, r).Fault.Code).To(Equal(string(fault.RequestNotHeld)))
	g.Expect(r.started).To(BeEmpty())
}

// A cancel of an unknown attempt must report that it may have run if no tombstone
// could be stored, or if its tombstone may have expired: in both cases the agent
// can't rule out a run.
func TestCancelWithoutTombstoneReportsMayHaveRun(t *testing.T) {
	g := NewWithT(t)
	c, r := newCore(4, 1)
	c.Cancel(epoch, 1, &wire.Cancel{ID: "a", Attempt: 1})
	g.Expect(lastSent[*wire.Cancelled](g, r).Ran).To(BeFalse())
	c.Cancel(epoch, 1, &wire.Cancel{ID: "b", Attempt: 1})
	g.Expect(lastSent[*wire.Cancelled](g, r).Ran).To(BeTrue(), "the tombstone limit is reached")
	c, r = newCore(4, 100)
	c.Cancel(epoch, 1, &wire.Cancel{ID: "old", Attempt: 1, AgeMS: 40_000})
	g.Expect(lastSent[*wire.Cancelled](g, r).Ran).To(BeTrue(), "its tombstone may have expired")
}

func TestMaxAttempts(t *testing.T) {
	g := NewWithT(t)
	c, r := newCore(1, 100)
	for i := range 3 {
		c.Offer(epoch, 1, newOffer(fmt.Sprint(i), 0))
		g.Expect(lastSent[*wire.OfferResponse](g, r).Fault).To(BeNil())
	}
	c.Offer(epoch, 1, newOffer("one more", 0))
	f := lastSent[*wire.OfferResponse](g, r).Fault
	g.Expect(f.Code).To(Equal(string(fault.IdempotencyStoreFull)))
	g.Expect(f.Outcome).To(Equal(string(fault.NotRun)))
	g.Expect(f.RetryAfterMS).To(BeNumerically(">", 0))
	g.Expect(c.TakeRefusedOffers()).To(Equal(map[fault.Code]uint64{fault.IdempotencyStoreFull: 1}))
}

func TestOrphanedAttemptEndsAndCountsWastedTokens(t *testing.T) {
	g := NewWithT(t)
	c, r := newCore(1, 100)
	c.Offer(epoch, 1, newOffer("x", 2))
	c.Output(epoch, AttemptKey{"x", 1}, 1, []byte("a"), 1)
	c.Output(epoch, AttemptKey{"x", 1}, 1, []byte("b"), 1)
	c.Ack(epoch, 1, &wire.Ack{ID: "x", Attempt: 1, Next: 1})
	c.LinkDown(epoch, 1)
	c.Sweep(epoch.Add(9 * time.Second))
	g.Expect(c.AttemptCount()).To(Equal(1))
	c.Sweep(epoch.Add(10 * time.Second))
	g.Expect(c.AttemptCount()).To(BeZero())
	g.Expect(r.stopped).To(Equal([]AttemptKey{{"x", 1}}))
	c.Output(epoch, AttemptKey{"x", 1}, 1, []byte("c"), 1) // late output of the stopped run
	g.Expect(c.TakeWastedTokens()).To(Equal(map[string]uint64{"class2": 1, "gone": 1}))
	g.Expect(c.TakeWastedTokens()).To(BeEmpty())
}

// A preempted request must resume after the tokens it has already generated, and
// late tokens of its stopped run must be discarded.
func TestPreemptedRequestResumes(t *testing.T) {
	g := NewWithT(t)
	c, r := newCore(1, 100)
	low, high := newOffer("low", 3), newOffer("high", 0)
	high.FirstTokenTargetMS = 1
	c.Offer(epoch, 1, low)
	c.Output(epoch, AttemptKey{"low", 1}, 1, []byte("a "), 1)
	now := epoch.Add(100 * time.Millisecond)
	c.Offer(now, 1, high)
	c.Tick(now.Add(10 * time.Millisecond))
	g.Expect(r.stopped).To(Equal([]AttemptKey{{"low", 1}}))
	c.Output(now, AttemptKey{"low", 1}, 1, []byte("late"), 1)
	c.RunEnded(now, AttemptKey{"high", 1}, 1, wire.End{}, nil)
	g.Expect(r.started).To(HaveLen(3))
	again := r.started[2]
	g.Expect(again.Key.RequestID).To(Equal("low"))
	g.Expect(again.GeneratedTokens).To(Equal(uint32(1)))
	g.Expect(again.GeneratedText).To(Equal("a "))
	c.Output(now, AttemptKey{"low", 1}, 2, []byte("b"), 1)
	g.Expect(lastSent[*wire.Chunk](g, r).Seq).To(Equal(uint32(1)))
}

func TestDrainRefusesOffersAndCompletesHeldAttempts(t *testing.T) {
	g := NewWithT(t)
	c, r := newCore(1, 100)
	c.Offer(epoch, 1, newOffer("x", 0))
	c.Drain()
	c.Offer(epoch, 1, newOffer("y", 0))
	g.Expect(lastSent[*wire.OfferResponse](g, r).Fault.Code).To(Equal(string(fault.Draining)))
	g.Expect(c.Idle()).To(BeFalse())
	c.Output(epoch, AttemptKey{"x", 1}, 1, []byte("a"), 1)
	c.RunEnded(epoch, AttemptKey{"x", 1}, 1, wire.End{}, nil)
	g.Expect(c.Idle()).To(BeFalse(), "the router has not acknowledged the end")
	c.Ack(epoch, 1, &wire.Ack{ID: "x", Attempt: 1, Next: 1, Final: true})
	g.Expect(c.Idle()).To(BeTrue())
}
